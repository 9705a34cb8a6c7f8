use std::rc::Rc;

use bramleywind_macros::domain_type;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Either;
use hyper::body::Incoming;

use super::{
    chat_messages::ChatRequest,
    engine_core::{EngineCore, SubmitRefusal},
    engine_faults::EngineFaults,
    engine_reports::{CacheEvents, EngineOrder},
    generation::GenerationBody,
};
use crate::http_server::{
    ConnectionDropped, HttpHandler, ResponseBody, answer, json_answer, parse_query, read_json,
    text_answer,
};

/// The header by which an endpoint says that it takes no new work because it leaves.
pub const LEAVING_HEADER: &str = "bramleywind-leaving";

/// The query of `GET /v1/cache-events`.
#[domain_type]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

pub(super) struct EngineHandler {
    pub(super) core: Rc<EngineCore>,
}

impl HttpHandler for EngineHandler {
    type Body = Either<ResponseBody, GenerationBody>;

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Self::Body>, ConnectionDropped> {
        if request.method() == Method::POST && request.uri().path() == "/v1/chat/completions" {
            return Ok(self.complete(request).await);
        }
        Ok(self.report(request).await.map(Either::Left))
    }
}

impl EngineHandler {
    async fn complete(
        &self,
        request: Request<Incoming>,
    ) -> Response<Either<ResponseBody, GenerationBody>> {
        let chat: ChatRequest = match read_json(request).await {
            Ok(chat) => chat,
            Err(refusal) => return refusal.into_answer().map(Either::Left),
        };
        let is_streamed = chat.stream;
        let body = match self.core.submit(chat) {
            Ok(body) => body,
            Err(refusal) => return refusal_answer(refusal).map(Either::Left),
        };
        if !is_streamed {
            let document = body.collect().await;
            return json_answer(StatusCode::OK, &document).map(Either::Left);
        }
        let mut response = Response::new(Either::Right(body));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    async fn report(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let core = &self.core;
        let path: Box<str> = request.uri().path().into();
        match (request.method(), &*path) {
            (&Method::GET, "/v1/load") => json_answer(StatusCode::OK, &core.load()),
            (&Method::GET, "/v1/cache-events") => match parse_query::<EventQuery>(&request) {
                Ok(query) => {
                    let events = core.cache_events(query.after);
                    json_answer(StatusCode::OK, &CacheEvents { events })
                }
                Err(refusal) => refusal.into_answer(),
            },
            (&Method::POST, "/v1/orders") => match read_json::<EngineOrder>(request).await {
                Ok(order) if !order.is_complete() => text_answer(
                    StatusCode::BAD_REQUEST,
                    "the order lacks a field that its kind needs; name the model, adapter, version or role",
                ),
                Ok(order) => {
                    let status =
                        if core.order(order) { StatusCode::OK } else { StatusCode::CONFLICT };
                    json_answer(status, &core.inventory())
                }
                Err(refusal) => refusal.into_answer(),
            },
            (&Method::GET, "/v1/orders") => json_answer(StatusCode::OK, &core.inventory()),
            (&Method::POST, "/control") => match read_json::<EngineFaults>(request).await {
                Ok(faults) => {
                    core.set_faults(faults);
                    json_answer(StatusCode::OK, &faults)
                }
                Err(refusal) => refusal.into_answer(),
            },
            (&Method::GET, "/control") => json_answer(StatusCode::OK, &core.faults()),
            (&Method::GET, "/control/stats") => json_answer(StatusCode::OK, &core.stats()),
            _ => answer(StatusCode::NOT_FOUND, ""),
        }
    }
}

fn refusal_answer(refusal: SubmitRefusal) -> Response<ResponseBody> {
    match refusal {
        SubmitRefusal::Leaving => {
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "");
            response.headers_mut().insert(LEAVING_HEADER, HeaderValue::from_static("true"));
            response
        }
        SubmitRefusal::Failing => answer(StatusCode::INTERNAL_SERVER_ERROR, ""),
        SubmitRefusal::UnknownModel => text_answer(
            StatusCode::NOT_FOUND,
            "the model is not loaded; order the engine to load it",
        ),
    }
}
