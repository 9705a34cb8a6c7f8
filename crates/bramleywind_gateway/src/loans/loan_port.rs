use std::time::{Duration, Instant};

use bramleywind_types::TokenCount;
use bytes::Bytes;
use compio::time::timeout;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use slog::{info, warn};

use super::{LoanAnswer, LoanRequest, TokenGift};
use crate::{forward::AnswerBody, gateway::Gateway, link::Platform, members::unix_millis};

/// Where a gateway is asked for a loan.
pub(super) const LOAN_PATH: &str = "/loan";

/// Where a gateway is offered a gift.
pub(super) const GIFT_PATH: &str = "/gift";

/// Where a gateway is asked for its time of day.
pub(super) const CLOCK_PATH: &str = "/clock";

/// How long a lender waits for a grant: less than the borrower waits for the answer.
const DRAW_TIME: Duration = Duration::from_millis(70);

/// The largest message, in bytes: a gift of 4,000 budgets.
const MOST_MESSAGE_BYTES: usize = 256 * 1024;

/// Answers another gateway.
pub async fn answer_peer<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let answer = match request.uri().path() {
        LOAN_PATH => match decode(request).await {
            Ok(loan) => lend(gateway, &loan).await,
            Err(error) => Err(error),
        },
        GIFT_PATH => decode(request).await.map(|gift| take_gift(gateway, gift)),
        CLOCK_PATH => tell_time(),
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
    bincode::serde::decode_from_slice(&body, bincode::config::standard())
        .map(|(message, _)| message)
        .map_err(|error| error.to_string())
}

async fn lend<P: Platform>(
    gateway: &Gateway<P>,
    loan: &LoanRequest,
) -> Result<Response<AnswerBody>, String> {
    let now = Instant::now();
    let mut tokens = gateway.funds().book().borrow_mut().lend(&loan.workspace, loan.tokens, now);
    let missing = loan.tokens.saturating_sub(tokens);
    if loan.may_wait && missing > TokenCount(0) {
        tokens = tokens.saturating_add(draw(gateway, loan, missing).await);
    }
    // Requests in vain are many in an outage, and say nothing.
    if tokens > TokenCount(0) {
        info!(gateway.log(), "tokens lent"; "borrower" => %loan.borrower, "workspace" => %loan.workspace,
            "wanted" => loan.tokens.0, "lent" => tokens.0,
            "standby_released" => gateway.funds().book().borrow().released(now));
    }
    bincode::serde::encode_to_vec(LoanAnswer { tokens }, bincode::config::standard())
        .map(|body| Response::new(AnswerBody::from(Bytes::from(body))))
        .map_err(|error| error.to_string())
}

/// Draws a grant for another gateway, as for a request of its own.
async fn draw<P: Platform>(
    gateway: &Gateway<P>,
    loan: &LoanRequest,
    missing: TokenCount,
) -> TokenCount {
    let table = gateway.route_table();
    let prepaid = table.and_then(|table| table.workspace(&loan.workspace)?.prepaid);
    let Some(prepaid) = prepaid else { return TokenCount(0) };
    let drawn = gateway.funds().reserve(&loan.workspace, prepaid, missing);
    match timeout(DRAW_TIME, drawn).await {
        Ok(Ok(reservation)) => reservation.into_loan(Instant::now()),
        // The borrower asks the next banker, and then the store.
        Ok(Err(_)) | Err(_) => TokenCount(0),
    }
}

fn tell_time() -> Result<Response<AnswerBody>, String> {
    bincode::serde::encode_to_vec(unix_millis(), bincode::config::standard())
        .map(|body| Response::new(AnswerBody::from(Bytes::from(body))))
        .map_err(|error| error.to_string())
}

fn take_gift<P: Platform>(gateway: &Gateway<P>, gift: TokenGift) -> Response<AnswerBody> {
    for (workspace, tokens) in gift.gifts {
        let is_taken = gateway.funds().book().borrow_mut().take_loan(&workspace, tokens);
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
