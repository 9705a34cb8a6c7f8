//! Converts refusals to responses, in the same form on every port and route.

use bramleywind_http::ResponseBody;
use bramleywind_types::{Refusal, RefusalBody, RequestId};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};

/// The header with the id of the request, in every response.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The header that marks the responses of a router or endpoint that is leaving.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("bramleywind-leaving");

/// Returns the response for a refusal.
pub fn refusal_response(refusal: &Refusal, request: RequestId) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json_response(status, refusal_json(refusal), request);
    if let Some(delay_ms) = refusal.retry_after_ms {
        let seconds = HeaderValue::from(delay_ms.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the final event of a stream that fails after it has begun.
pub fn refusal_event(refusal: &Refusal) -> Bytes {
    let json = refusal_json(refusal);
    [b"event: error\ndata: ", json.as_ref(), b"\n\n"].concat().into()
}

/// Returns a response with a JSON body.
pub fn json_response(
    status: StatusCode,
    json: Bytes,
    request: RequestId,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(json));
    *response.status_mut() = status;
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_type);
    insert_request_id(response.headers_mut(), request);
    response
}

/// Adds the id of the request to the headers of its response.
pub fn insert_request_id(headers: &mut http::HeaderMap, request: RequestId) {
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

/// Returns the JSON body for a refusal.
pub(crate) fn refusal_json(refusal: &Refusal) -> Bytes {
    let body = RefusalBody { error: refusal.clone() };
    // Serializing cannot fail, since the type has no maps with keys other than strings.
    serde_json::to_vec(&body).unwrap_or_default().into()
}
