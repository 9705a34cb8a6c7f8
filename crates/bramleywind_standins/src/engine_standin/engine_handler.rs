use std::rc::Rc;

use bramleywind_macros::domain_type;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Either;
use hyper::body::Incoming;

use super::{
    chat_messages::ChatRequest,
    engine_faults::EngineFaults,
    engine_reports::{CacheEvents, EngineOrder},
    engine_scheduler::{EngineScheduler, SubmitError},
    generation::GenerationBody,
};
use crate::http_server::{
    ConnectionDropped, HttpHandler, ResponseBody, json_response, parse_query, plain_response,
    read_json, text_response,
};

/// The response header that marks a refusal by an endpoint that is leaving and takes no new requests.
pub const LEAVING_HEADER: &str = "bramleywind-leaving";

/// The query string of `GET /v1/cache-events`.
#[domain_type]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

pub(super) struct EngineHandler {
    pub(super) scheduler: Rc<EngineScheduler>,
}

impl HttpHandler for EngineHandler {
    type Body = Either<ResponseBody, GenerationBody>;

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Self::Body>, ConnectionDropped> {
        if request.method() == Method::POST && request.uri().path() == "/v1/chat/completions" {
            return Ok(self.serve_completion(request).await);
        }
        Ok(self.serve_report(request).await.map(Either::Left))
    }
}

impl EngineHandler {
    async fn serve_completion(
        &self,
        request: Request<Incoming>,
    ) -> Response<Either<ResponseBody, GenerationBody>> {
        let chat: ChatRequest = match read_json(request).await {
            Ok(chat) => chat,
            Err(error) => return error.into_response().map(Either::Left),
        };
        let is_streamed = chat.stream;
        let body = match self.scheduler.submit(chat) {
            Ok(body) => body,
            Err(error) => return submit_error_response(error).map(Either::Left),
        };
        if !is_streamed {
            let document = body.collect().await;
            return json_response(StatusCode::OK, &document).map(Either::Left);
        }
        let mut response = Response::new(Either::Right(body));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    async fn serve_report(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let scheduler = &self.scheduler;
        let path: Box<str> = request.uri().path().into();
        match (request.method(), &*path) {
            (&Method::GET, "/v1/load") => json_response(StatusCode::OK, &scheduler.load()),
            (&Method::GET, "/v1/cache-events") => match parse_query::<EventQuery>(&request) {
                Ok(query) => {
                    let events = scheduler.cache_events(query.after);
                    json_response(StatusCode::OK, &CacheEvents { events })
                }
                Err(error) => error.into_response(),
            },
            (&Method::POST, "/v1/orders") => match read_json::<EngineOrder>(request).await {
                Ok(order) if !order.is_complete() => text_response(
                    StatusCode::BAD_REQUEST,
                    "the order lacks a field that its kind requires; set the model, adapter, version or role",
                ),
                Ok(order) => {
                    let status = if scheduler.apply_order(order) {
                        StatusCode::OK
                    } else {
                        StatusCode::CONFLICT
                    };
                    json_response(status, &scheduler.inventory())
                }
                Err(error) => error.into_response(),
            },
            (&Method::GET, "/v1/orders") => json_response(StatusCode::OK, &scheduler.inventory()),
            (&Method::POST, "/control") => match read_json::<EngineFaults>(request).await {
                Ok(faults) => {
                    scheduler.set_faults(faults);
                    json_response(StatusCode::OK, &faults)
                }
                Err(error) => error.into_response(),
            },
            (&Method::GET, "/control") => json_response(StatusCode::OK, &scheduler.faults()),
            (&Method::GET, "/control/stats") => json_response(StatusCode::OK, &scheduler.stats()),
            _ => plain_response(StatusCode::NOT_FOUND, ""),
        }
    }
}

fn submit_error_response(error: SubmitError) -> Response<ResponseBody> {
    match error {
        SubmitError::Leaving => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(LEAVING_HEADER, HeaderValue::from_static("true"));
            response
        }
        SubmitError::Failing => plain_response(StatusCode::INTERNAL_SERVER_ERROR, ""),
        SubmitError::UnknownModel => text_response(
            StatusCode::NOT_FOUND,
            "the model is not loaded; order the engine to load it",
        ),
    }
}
