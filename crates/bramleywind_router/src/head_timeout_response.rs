use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice, RequestId};

use crate::refusal_response::refusal_json;

/// Returns the complete HTTP response to a caller whose request head did not arrive in time.
pub(crate) fn head_timeout_response() -> Vec<u8> {
    let message = "the head of the request was not received in time";
    let refusal = Refusal::not_run(RefusalCode::RequestTimeout, message, RepeatAdvice::AfterDelay)
        .after_ms(0);
    let body = refusal_json(&refusal);
    let head = format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\nretry-after: 0\r\n\
         x-request-id: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        RequestId::random(),
        body.len()
    );
    [head.as_bytes(), &body].concat()
}
