//! Helpers that build responses and read requests.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

/// The largest request body that a stand-in reads: enough for a value of one megabyte and the rest of its
/// request.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The body of a response that is not streamed.
pub type ResponseBody = Full<Bytes>;

/// Builds a response without headers.
pub fn plain_response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with one line of text.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    plain_response(status, format!("{text}\n"))
}

/// Builds a response with a JSON document, or an internal server error if it cannot be encoded.
pub fn json_response<T: Serialize>(status: StatusCode, document: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(document) {
        Ok(body) => {
            let mut response = plain_response(status, body);
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// The reason why a request is rejected before the stand-in acts on it.
#[derive(Debug)]
pub struct BadRequest {
    status: StatusCode,
    message: Box<str>,
}

impl BadRequest {
    /// Creates the error for a request that cannot be parsed.
    pub fn malformed(error: impl std::fmt::Display) -> Self {
        Self { status: StatusCode::BAD_REQUEST, message: error.to_string().into() }
    }

    /// Converts the error to a response with its message.
    pub fn into_response(self) -> Response<ResponseBody> {
        text_response(self.status, &self.message)
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns [`BadRequest`] if the body is too large or the connection broke.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, BadRequest> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(BadRequest {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            message: error.to_string().into(),
        }),
    }
}

/// Reads the body of a request as JSON.
///
/// # Errors
///
/// Returns [`BadRequest`] if the body cannot be read or is not a valid document of type `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, BadRequest> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body).map_err(BadRequest::malformed)
}

/// Parses the query string of a request.
///
/// # Errors
///
/// Returns [`BadRequest`] if a field of the query is missing or invalid.
pub fn parse_query<Q: DeserializeOwned>(request: &Request<Incoming>) -> Result<Q, BadRequest> {
    let query = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(query).map_err(BadRequest::malformed)
}
