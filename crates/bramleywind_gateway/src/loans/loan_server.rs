use std::time::Instant;

use bramleywind_http::ResponseBody;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use slog::{debug, info, warn};

use super::{
    LoanRequest, TokenGift,
    loan_messages::EarlierLoanRequest,
    message_codec::{decode_either, decode_message, encode_message},
};
use crate::{
    gateway::{Gateway, StopPhase},
    members::unix_millis,
    platform_api::Platform,
};

/// The path of loan requests.
pub(super) const LOAN_PATH: &str = "/loan";

/// The path of gifts.
pub(super) const GIFT_PATH: &str = "/gift";

/// The path of requests for a gateway's time of day.
pub(super) const CLOCK_PATH: &str = "/clock";

/// The path of notices about requests that crash endpoints.
pub(super) const CRASH_PATH: &str = "/crashes";

/// The path of notices about parts of prompts that crash endpoints.
pub(super) const PART_PATH: &str = "/crashing-parts";

/// The path of notices about the rates of requests that endpoints take.
pub(super) const RATE_PATH: &str = "/rates";

/// The path of requests for permits to send a request to an endpoint that limits its requests.
pub(super) const PERMIT_PATH: &str = "/permits";

/// The path of queries about the list of endpoints.
pub(super) const LIST_PATH: &str = "/endpoints";

/// The path of queries about the list of gateways.
pub(super) const FLEET_PATH: &str = "/fleet";

/// The path of requests for the configuration.
pub(super) const CONFIG_PATH: &str = "/configuration";

/// The path of messages to a witness of spent tokens.
pub(super) const WITNESS_PATH: &str = "/witness";

/// The paths that a stopping gateway still answers. Tokens that change hands then could be lost when the process ends.
const PATHS_WHILE_STOPPING: [&str; 8] = [
    CLOCK_PATH,
    CRASH_PATH,
    PART_PATH,
    RATE_PATH,
    PERMIT_PATH,
    LIST_PATH,
    CONFIG_PATH,
    WITNESS_PATH,
];

/// The maximum size of a message: a gift with tokens of 4,000 budgets.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Answers a request of another gateway.
pub async fn answer_peer<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if gateway.stop_phase() != StopPhase::Running && !PATHS_WHILE_STOPPING.contains(&path) {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let response = match path {
        LOAN_PATH => match read_body(request).await {
            Ok(body) => match decode_either::<LoanRequest, EarlierLoanRequest>(&body) {
                Ok(loan) => lend_tokens(gateway, loan).await,
                Err(error) => Err(error.to_string()),
            },
            Err(error) => Err(error),
        },
        GIFT_PATH => read_message(request).await.map(|gift| accept_gift(gateway, gift)),
        CLOCK_PATH => encode_response(&unix_millis()),
        CRASH_PATH => match read_message(request).await {
            Ok(notice) => encode_response(&gateway.apply_crash_notice(&notice)),
            Err(error) => Err(error),
        },
        PART_PATH => match read_message(request).await {
            Ok(notice) => encode_response(&gateway.apply_part_notice(&notice)),
            Err(error) => Err(error),
        },
        RATE_PATH => match read_message(request).await {
            Ok(notice) => encode_response(&gateway.apply_rate_notice(&notice)),
            Err(error) => Err(error),
        },
        PERMIT_PATH => match read_message(request).await {
            Ok(permit) => encode_response(&gateway.answer_permit(&permit)),
            Err(error) => Err(error),
        },
        FLEET_PATH => match read_message(request).await {
            Ok(query) => encode_response(&gateway.answer_fleet_query(&query)),
            Err(error) => Err(error),
        },
        WITNESS_PATH => match read_message(request).await {
            Ok(message) => encode_response(&gateway.answer_witness_request(&message)),
            Err(error) => Err(error),
        },
        CONFIG_PATH => encode_response(&gateway.config().as_deref()),
        LIST_PATH => match read_message(request).await {
            Ok(query) => encode_response(&gateway.answer_list_query(&query).await),
            Err(error) => Err(error),
        },
        _ => return empty_response(StatusCode::NOT_FOUND),
    };
    response.unwrap_or_else(|error| {
        warn!(gateway.log(), "invalid message from another gateway; answering 400"; "error" => error);
        empty_response(StatusCode::BAD_REQUEST)
    })
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, String> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await;
    Ok(body.map_err(|error| error.to_string())?.to_bytes())
}

async fn read_message<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, String> {
    decode_message(&read_body(request).await?).map_err(|error| error.to_string())
}

async fn lend_tokens<P: Platform>(
    gateway: &Gateway<P>,
    loan: LoanRequest,
) -> Result<Response<ResponseBody>, String> {
    let asked_at = Instant::now();
    gateway.funds().ledger().borrow_mut().record_statement(
        &loan.workspace,
        &loan.borrower,
        loan.uncharged,
        asked_at,
    );
    let answer = gateway.funds().lend(&loan.workspace, loan.needed, loan.tokens).await;
    let now = Instant::now();
    // A loan that was made at once needs no line of its own: the borrower logs what it lacked.
    if answer.tokens < loan.needed {
        let ledger = gateway.funds().ledger().borrow();
        let account = ledger.account(&loan.workspace);
        let access = ledger.standby_access(now);
        info!(gateway.log(), "tokens not lent"; "borrower" => %loan.borrower, "workspace" => %loan.workspace,
            "needed" => loan.needed.0, "lent" => answer.tokens.0, "is_exhausted" => answer.is_exhausted,
            "waited_ms" => u64::try_from(now.saturating_duration_since(asked_at).as_millis()).ok(),
            "access" => ?access, "available" => account.map(|account| account.available(access).0),
            "pool" => account.map(|account| account.pool().0),
            "uncharged" => account.map(|account| account.uncharged(access).0),
            "uncharged_at_borrowers" => account.map(|account| account.uncharged_at_borrowers(now).0),
            "working" => account.map(|account| account.granted().working.0),
            "standby" => account.map(|account| account.granted().standby.0),
            "use_rate" => account.map(|account| account.granted().use_rate.0),
            "rate_per_second" => account.map(|account| account.rate(now)),
            "lent_in_all" => account.map(|account| account.lent().0),
            "borrowed" => account.map(|account| account.borrowed().0));
    }
    encode_response(&answer)
}

fn encode_response(message: &impl Serialize) -> Result<Response<ResponseBody>, String> {
    encode_message(message)
        .map(|body| Response::new(ResponseBody::from(body)))
        .map_err(|error| error.to_string())
}

fn accept_gift<P: Platform>(gateway: &Gateway<P>, gift: TokenGift) -> Response<ResponseBody> {
    for (workspace, tokens) in gift.gifts {
        let is_taken = gateway.funds().accept_gift(&workspace, tokens);
        if is_taken {
            debug!(gateway.log(), "tokens received"; "donor" => %gift.donor, "workspace" => %workspace,
                "tokens" => tokens.0);
        } else {
            info!(gateway.log(), "tokens of an unknown workspace stay counted as spent"; "donor" => %gift.donor,
                "workspace" => %workspace, "tokens" => tokens.0);
        }
    }
    Response::new(ResponseBody::from(Bytes::new()))
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
