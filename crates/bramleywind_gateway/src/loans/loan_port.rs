use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::{info, warn};

use super::{LoanAnswer, LoanRequest};
use crate::{forward::AnswerBody, gateway::Gateway, link::Platform};

/// The largest request for a loan, in bytes: two names and a number.
const MOST_REQUEST_BYTES: usize = 1_024;

/// Answers a request for a loan.
pub async fn answer_loan<P: Platform>(
    gateway: &Gateway<P>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let body = Limited::new(request.into_body(), MOST_REQUEST_BYTES).collect().await;
    let decoded = body.map_err(|error| error.to_string()).and_then(|body| {
        bincode::serde::decode_from_slice::<LoanRequest, _>(
            &body.to_bytes(),
            bincode::config::standard(),
        )
        .map_err(|error| error.to_string())
    });
    let loan = match decoded {
        Ok((loan, _)) => loan,
        Err(error) => {
            warn!(gateway.log(), "request for a loan unreadable"; "error" => error);
            return refused(StatusCode::BAD_REQUEST);
        }
    };
    let tokens = gateway.funds().book().borrow_mut().lend(&loan.workspace, loan.tokens);
    info!(gateway.log(), "loan asked for"; "borrower" => %loan.borrower, "workspace" => %loan.workspace,
        "wanted" => loan.tokens.0, "lent" => tokens.0);
    match bincode::serde::encode_to_vec(LoanAnswer { tokens }, bincode::config::standard()) {
        Ok(body) => Response::new(AnswerBody::from(Bytes::from(body))),
        Err(error) => {
            warn!(gateway.log(), "loan can't be encoded; its tokens stay unused"; "error" => %error);
            refused(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn refused(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
