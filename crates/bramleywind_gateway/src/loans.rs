//! Messages between gateways: loans of granted tokens, their return, the time of day, and notices about requests that
//! crash endpoints.
//!
//! A lender gives up the tokens before it answers, and they stay in its own durable grant. If the answer is lost,
//! nobody spends the tokens; they are never spent twice.

mod loan_client;
mod loan_messages;
mod loan_server;
mod message_codec;

pub use loan_client::{GiftError, LoanClient};
pub use loan_messages::{LoanAnswer, LoanRequest, TokenGift};
pub use loan_server::answer_peer;
