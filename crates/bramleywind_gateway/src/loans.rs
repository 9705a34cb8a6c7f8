//! What gateways tell each other: loans of granted tokens, for when the store is out of reach, and the time of day.
//!
//! A lender gives up the tokens before it answers, and they stay in its own durable grant. If the answer is lost, the
//! tokens are spent by nobody; they are never spent twice.

mod loan_client;
mod loan_messages;
mod loan_server;
mod message_codec;

pub use loan_client::{GiftError, LoanClient};
pub use loan_messages::{LoanAnswer, LoanRequest, TokenGift};
pub use loan_server::answer_peer;
