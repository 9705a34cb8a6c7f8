//! Handling of repeated requests: durable claims that keep a non-idempotent request from running twice, caches that
//! remember the outcomes of idempotent requests, and a tracker of requests that crash endpoints.
//!
//! They are separate from the request path because each of them records what happened to a request, and that record
//! must outlast the connection on which the request arrived.

mod base64_bytes;
mod claim_holder;
mod claim_keeper;
mod claim_link;
mod claim_page;
mod claim_record;
mod claim_stats;
mod claim_ticket;
mod close_outcome;
mod crash_report;
mod crash_tracker;
mod crash_verdict;
mod home_choice;
mod idempotency_cache;
mod keeper_state;
mod key_messages;
mod opening_outcome;
mod page_job;
mod page_worker;
mod recorded_outcome;
mod retry_delay;

pub use claim_holder::{ClaimHolder, ClaimId, ClaimSequence};
pub use claim_keeper::ClaimKeeper;
pub use claim_link::{ClaimLink, ClaimQuery, ClaimStatus};
pub use claim_page::{ClaimPage, MAX_OPEN_PAGE_BYTES, MAX_PAGE_BYTES, PageError};
pub use claim_record::{CLAIM_RETENTION, ClaimRecord, ClaimState};
pub use claim_stats::ClaimStats;
pub use claim_ticket::ClaimTicket;
pub use close_outcome::CloseOutcome;
pub use crash_report::{CrashReport, CrashReportId, RequestFingerprint};
pub use crash_tracker::{CRASH_RETENTION, CrashTracker, MAX_CRASHES, MAX_LATE_CRASHES};
pub use crash_verdict::CrashVerdict;
pub use home_choice::{HomeCandidate, HomePair, choose_homes};
pub use idempotency_cache::{IdempotencyCache, KEY_RETENTION, MAX_CACHE_BYTES};
pub use key_messages::{KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest};
pub use opening_outcome::{OpeningOutcome, UnavailableClaim};
pub use recorded_outcome::{MAX_CACHED_BODY_BYTES, MAX_CLAIM_BODY_BYTES, RecordedOutcome};
