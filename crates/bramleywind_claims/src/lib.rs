//! Repeats of requests: durable claims that keep a non-idempotent request from running twice, the homes that
//! remember the outcomes of idempotent requests, and the strikes of requests that crash endpoints.
//!
//! These live apart from the request path because each of them is a record of what happened to a request key,
//! which must outlast the connection that the request came in on.

mod base64_bytes;
mod claim_holder;
mod claim_keeper;
mod claim_link;
mod claim_page;
mod claim_record;
mod claim_stats;
mod claim_ticket;
mod close_outcome;
mod home_choice;
mod keeper_state;
mod key_home;
mod key_messages;
mod opening_outcome;
mod page_job;
mod page_worker;
mod recorded_outcome;
mod retry_delay;
mod strike_book;
mod strike_report;
mod strike_verdict;

pub use claim_holder::{ClaimHolder, ClaimId, ClaimSequence};
pub use claim_keeper::ClaimKeeper;
pub use claim_link::{ClaimLink, ClaimQuery, ClaimStatus};
pub use claim_page::{ClaimPage, MAX_OPEN_PAGE_BYTES, MAX_PAGE_BYTES, PageError};
pub use claim_record::{CLAIM_RETENTION, ClaimRecord, ClaimState};
pub use claim_stats::ClaimStats;
pub use claim_ticket::ClaimTicket;
pub use close_outcome::CloseOutcome;
pub use home_choice::{HomeCandidate, HomePair, choose_homes};
pub use key_home::{KEY_RETENTION, KeyHome, MAX_HOME_BYTES};
pub use key_messages::{KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest};
pub use opening_outcome::{OpeningOutcome, UnavailableClaim};
pub use recorded_outcome::{MAX_CLAIM_BODY_BYTES, MAX_HOME_BODY_BYTES, RecordedOutcome};
pub use strike_book::{MAX_STRIKES, STRIKE_RETENTION, StrikeBook};
pub use strike_report::{RequestFingerprint, StrikeId, StrikeReport};
pub use strike_verdict::StrikeVerdict;
