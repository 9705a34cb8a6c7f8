//! Building answers and reading request bodies.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

/// The largest request body that a stand-in reads, in bytes: a value of a megabyte, and the rest of its
/// request.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The body of an answer that is known whole.
pub type ResponseBody = Full<Bytes>;

/// An answer without headers.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// An answer with a line of text.
pub fn text_answer(status: StatusCode, text: &str) -> Response<ResponseBody> {
    answer(status, format!("{text}\n"))
}

/// An answer with a JSON document.
pub fn json_answer<T: Serialize>(status: StatusCode, document: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(document) {
        Ok(body) => {
            let mut response = answer(status, body);
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Why a request is refused before the stand-in acts on it.
#[derive(Debug)]
pub struct BadRequest {
    status: StatusCode,
    message: Box<str>,
}

impl BadRequest {
    /// A refusal of something that could not be parsed.
    pub fn malformed(error: impl std::fmt::Display) -> Self {
        Self { status: StatusCode::BAD_REQUEST, message: error.to_string().into() }
    }

    /// The answer for the client.
    pub fn into_answer(self) -> Response<ResponseBody> {
        text_answer(self.status, &self.message)
    }
}

/// Reads a request's body whole.
///
/// # Errors
///
/// If the body is too large or broke off.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, BadRequest> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(BadRequest {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: error.to_string().into(),
        }),
    }
}

/// Reads a request's body as JSON.
///
/// # Errors
///
/// If the body is too large or not the document.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, BadRequest> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body).map_err(BadRequest::malformed)
}

/// Reads a request's query.
///
/// # Errors
///
/// If the query does not hold the expected fields.
pub fn parse_query<Q: DeserializeOwned>(request: &Request<Incoming>) -> Result<Q, BadRequest> {
    let query = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(query).map_err(BadRequest::malformed)
}
