//! The rate-limited store of model weights.

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
    ConnectionDropped, HttpHandler, HttpServer, ResponseBody, StandinError, answer, down_switch,
    json_answer,
};

/// How a stand-in for the weight store is built.
#[derive(Debug, Clone, Copy)]
pub struct WeightsOptions {
    /// IP address and port to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Most downloads a second; zero for no limit.
    pub downloads_per_second: u32,
    /// The size of every weight, in bytes.
    pub weight_bytes: u32,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen, downloads_per_second: 1, weight_bytes: 64 * 1024 }
    }
}

/// How many downloads the weight store was asked for.
#[domain_type]
#[derive(Copy, Default)]
pub struct WeightCounters {
    /// Downloads that were served.
    pub served: u64,
    /// Downloads that were refused for the rate.
    pub refused: u64,
}

/// A running stand-in for the weight store. It stops when it is dropped.
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
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn start(options: WeightsOptions) -> Result<Self, StandinError> {
        let handler = Rc::new(WeightsHandler {
            weight: vec![0; options.weight_bytes as usize].into(),
            bucket: RefCell::new(TokenBucket::new(options.downloads_per_second)),
            counters: RefCell::default(),
        });
        let (_, downs) = down_switch();
        let server = HttpServer::start(options.listen, handler.clone(), downs).await?;
        Ok(Self { server, handler })
    }

    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How many downloads it was asked for.
    pub fn counters(&self) -> WeightCounters {
        *self.handler.counters.borrow()
    }
}

#[derive(Debug)]
struct WeightsHandler {
    weight: Bytes,
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
                json_answer(StatusCode::OK, &*self.counters.borrow())
            }
            _ => answer(StatusCode::NOT_FOUND, ""),
        })
    }
}

impl WeightsHandler {
    fn download(&self) -> Response<ResponseBody> {
        let mut bucket = self.bucket.borrow_mut();
        let mut counters = self.counters.borrow_mut();
        if bucket.try_take() {
            counters.served += 1;
            return answer(StatusCode::OK, self.weight.clone());
        }
        counters.refused += 1;
        let mut response = answer(StatusCode::TOO_MANY_REQUESTS, "");
        // The header counts whole seconds; rounded up, so that a caller who keeps to it is served.
        let seconds = bucket.wait_time().as_secs_f64().ceil() as u64;
        response.headers_mut().insert(header::RETRY_AFTER, seconds.max(1).into());
        response
    }
}
