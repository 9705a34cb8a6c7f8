//! The platform's rate-limited store of model weights.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use bramleywind_macros::domain_type;
use bramleywind_store::TokenBucket;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::http_server::{
    ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, json_response,
    outage_channel, plain_response,
};

/// The options of a stand-in for the weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightsOptions {
    /// IP address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Maximum number of downloads per second; zero for no limit.
    pub downloads_per_second: u32,
    /// Size of each weight file, in bytes.
    pub weight_bytes: u32,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen, downloads_per_second: 1, weight_bytes: 64 * 1024 }
    }
}

/// Counters of the download requests.
#[domain_type]
#[derive(Copy, Default)]
pub struct WeightCounters {
    /// Downloads that were served.
    pub served: u64,
    /// Downloads that were refused because of the rate limit.
    pub refused: u64,
}

/// A running stand-in for the weight store. Dropping it stops it.
///
/// ```
/// use bramleywind_standins::{WeightsOptions, WeightsStandin};
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let weights = WeightsStandin::start(WeightsOptions::default()).await.unwrap();
///     assert_eq!(weights.counters().served, 0);
/// });
/// ```
#[derive(Debug)]
pub struct WeightsStandin {
    server: HttpServer,
    handler: Rc<WeightsHandler>,
}

impl WeightsStandin {
    /// Starts a stand-in with the given options.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address cannot be bound.
    pub async fn start(options: WeightsOptions) -> Result<Self, StandinError> {
        let handler = Rc::new(WeightsHandler {
            weight_file: vec![0; options.weight_bytes as usize].into(),
            bucket: RefCell::new(TokenBucket::new(options.downloads_per_second)),
            counters: RefCell::default(),
        });
        let (_, outage_receiver) = outage_channel();
        let server = HttpServer::start(options.listen, handler.clone(), outage_receiver).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters of the download requests.
    pub fn counters(&self) -> WeightCounters {
        *self.handler.counters.borrow()
    }
}

#[derive(Debug)]
struct WeightsHandler {
    weight_file: Bytes,
    bucket: RefCell<TokenBucket>,
    counters: RefCell<WeightCounters>,
}

impl HttpHandler for WeightsHandler {
    type Body = ResponseBody;

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ConnectionDropped> {
        let path = request.uri().path();
        Ok(match *request.method() {
            Method::GET if path.starts_with("/v1/weights/") => self.download(),
            Method::GET if path == "/control" => {
                json_response(StatusCode::OK, &*self.counters.borrow())
            }
            _ => plain_response(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl WeightsHandler {
    fn download(&self) -> Response<ResponseBody> {
        let mut bucket = self.bucket.borrow_mut();
        let mut counters = self.counters.borrow_mut();
        if bucket.try_take() {
            counters.served += 1;
            return plain_response(StatusCode::OK, self.weight_file.clone());
        }
        counters.refused += 1;
        let mut response = plain_response(StatusCode::TOO_MANY_REQUESTS, "");
        // The header holds whole seconds. The wait is rounded up, so that a caller that honours it is served.
        let seconds = bucket.wait_time().as_secs_f64().ceil() as u64;
        response.headers_mut().insert(header::RETRY_AFTER, seconds.max(1).into());
        response
    }
}
