use std::time::Instant;

use bramleywind_http::AnswerBody;
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
use crate::{gateway::Gateway, platform_api::Platform, members::unix_millis};

/// Where a gateway is asked for a loan.
pub(super) const LOAN_PATH: &str = "/loan";

/// Where a gateway is offered a gift.
pub(super) const GIFT_PATH: &str = "/gift";

/// Where a gateway is asked for its time of day.
pub(super) const CLOCK_PATH: &str = "/clock";

/// The largest message, in bytes: a gift of 4,000 budgets.
const MOST_MESSAGE_BYTES: usize = 256 * 1024;

/// Answers another gateway.
pub async fn answer_peer<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let answer = match request.uri().path() {
        LOAN_PATH => decode(request).await.and_then(|loan| lend(gateway, &loan)),
        GIFT_PATH => decode(request).await.map(|gift| take_gift(gateway, gift)),
        CLOCK_PATH => answer(&unix_millis()),
        _ => return refused(StatusCode::NOT_FOUND),
    };
    answer.unwrap_or_else(|error| {
        warn!(gateway.log(), "message of another gateway not handled"; "error" => error);
        refused(StatusCode::BAD_REQUEST)
    })
}

async fn decode<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, String> {
    let body = Limited::new(request.into_body(), MOST_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    decode_message(&body).map_err(|error| error.to_string())
}

fn lend<P: Platform>(
    gateway: &Gateway<P>,
    loan: &LoanRequest,
) -> Result<Response<AnswerBody>, String> {
    let now = Instant::now();
    let mut ledger = gateway.funds().ledger().borrow_mut();
    let tokens = ledger.lend(&loan.workspace, loan.tokens, now);
    // Requests in vain are many in an outage, and say nothing.
    if tokens > TokenCount(0) {
        info!(gateway.log(), "tokens lent"; "borrower" => %loan.borrower, "workspace" => %loan.workspace,
            "wanted" => loan.tokens.0, "lent" => tokens.0, "standby" => ?ledger.standby_access(now));
    }
    drop(ledger);
    answer(&LoanAnswer { tokens })
}

fn answer(message: &impl Serialize) -> Result<Response<AnswerBody>, String> {
    encode_message(message)
        .map(|body| Response::new(AnswerBody::from(body)))
        .map_err(|error| error.to_string())
}

fn take_gift<P: Platform>(gateway: &Gateway<P>, gift: TokenGift) -> Response<AnswerBody> {
    for (workspace, tokens) in gift.gifts {
        let is_taken = gateway.funds().ledger().borrow_mut().take_loan(&workspace, tokens);
        info!(gateway.log(), "gift"; "donor" => %gift.donor, "workspace" => %workspace,
            "tokens" => tokens.0, "taken" => is_taken);
    }
    Response::new(AnswerBody::from(Bytes::new()))
}

fn refused(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
