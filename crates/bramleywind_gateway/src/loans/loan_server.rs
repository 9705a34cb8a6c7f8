use std::time::Instant;

use bramleywind_http::ResponseBody;
use bramleywind_types::TokenCount;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use slog::{info, warn};

use super::{
    LoanAnswer, LoanRequest, TokenGift,
    message_codec::{decode_message, encode_message},
};
use crate::{gateway::Gateway, members::unix_millis, platform_api::Platform};

/// The path of loan requests.
pub(super) const LOAN_PATH: &str = "/loan";

/// The path of gifts.
pub(super) const GIFT_PATH: &str = "/gift";

/// The path of requests for a gateway's time of day.
pub(super) const CLOCK_PATH: &str = "/clock";

/// The maximum size of a message: a gift with tokens of 4,000 budgets.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Answers a request of another gateway.
pub async fn answer_peer<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let response = match request.uri().path() {
        LOAN_PATH => read_message(request).await.and_then(|loan| lend_tokens(gateway, &loan)),
        GIFT_PATH => read_message(request).await.map(|gift| accept_gift(gateway, gift)),
        CLOCK_PATH => encode_response(&unix_millis()),
        _ => return empty_response(StatusCode::NOT_FOUND),
    };
    response.unwrap_or_else(|error| {
        warn!(gateway.log(), "invalid message from another gateway; answering 400"; "error" => error);
        empty_response(StatusCode::BAD_REQUEST)
    })
}

async fn read_message<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, String> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    decode_message(&body).map_err(|error| error.to_string())
}

fn lend_tokens<P: Platform>(
    gateway: &Gateway<P>,
    loan: &LoanRequest,
) -> Result<Response<ResponseBody>, String> {
    let now = Instant::now();
    let mut ledger = gateway.funds().ledger().borrow_mut();
    let tokens = ledger.lend(&loan.workspace, loan.tokens, now);
    // Requests that get no tokens are not logged: they are frequent in an outage and carry no information.
    if tokens > TokenCount(0) {
        info!(gateway.log(), "tokens lent"; "borrower" => %loan.borrower, "workspace" => %loan.workspace,
            "wanted" => loan.tokens.0, "lent" => tokens.0, "standby" => ?ledger.standby_access(now));
    }
    drop(ledger);
    encode_response(&LoanAnswer { tokens })
}

fn encode_response(message: &impl Serialize) -> Result<Response<ResponseBody>, String> {
    encode_message(message)
        .map(|body| Response::new(ResponseBody::from(body)))
        .map_err(|error| error.to_string())
}

fn accept_gift<P: Platform>(gateway: &Gateway<P>, gift: TokenGift) -> Response<ResponseBody> {
    for (workspace, tokens) in gift.gifts {
        let is_taken = gateway.funds().ledger().borrow_mut().accept_loan(&workspace, tokens);
        info!(gateway.log(), "gift"; "donor" => %gift.donor, "workspace" => %workspace,
            "tokens" => tokens.0, "taken" => is_taken);
    }
    Response::new(ResponseBody::from(Bytes::new()))
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
