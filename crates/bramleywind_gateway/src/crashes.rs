//! Requests that crash the endpoints they reach.
//!
//! Load pattern: a caller repeats one request at any gateway, and each endpoint that begins to run it ends. A request
//! that was in flight when an endpoint ended is a suspect; one that was in flight at [`MAX_CRASHES`] ends, or at one more
//! where the endpoints had begun to answer it, is refused everywhere until [`CRASH_RETENTION`] has passed. Any answer to the same request proves that it is harmless, so a
//! popular request is not refused because endpoints end for other reasons.
//!
//! What crashes endpoints may also be a part of prompts that many unlike requests share. [`PartGuard`] finds it.
//!
//! [`MAX_CRASHES`]: bramleywind_claims::MAX_CRASHES
//! [`CRASH_RETENTION`]: bramleywind_claims::CRASH_RETENTION

mod answer_memory;
mod call_fingerprint;
mod crash_effect;
mod crash_guard;
mod crash_notice;
mod crash_outbox;
mod endpoint_end;
mod endpoint_probe;
mod notice_audience;
mod part_guard;
mod part_notice;
mod part_outbox;
mod part_quarantine;
mod part_report;
mod proof_memory;
mod quarantine_record;
mod request_hash;
mod run_progress;
mod shared_part;
mod unconfirmed_crash;

pub use answer_memory::AnswerMemory;
pub use call_fingerprint::CallFingerprint;
pub use crash_effect::CrashEffect;
pub use crash_guard::CrashGuard;
pub use crash_notice::{CrashNotice, NoticeReply};
pub use crash_outbox::CrashOutbox;
pub use endpoint_probe::{ProbeOutcome, probe_endpoint};
pub use notice_audience::NoticeAudience;
pub use part_guard::{
    ASSESSMENT_TIME, MAX_PART_CRASHES, MAX_PROVEN_PART_CRASHES, PROVEN_ASSESSMENT_TIME, PartGuard,
    RECENT_PROOF_TIME,
};
pub use part_notice::{PartNotice, PartProof, PartRefusal, PartReply};
pub use part_outbox::PartOutbox;
pub use part_quarantine::PartQuarantine;
pub use part_report::PartReport;
pub use proof_memory::ProofMemory;
pub use quarantine_record::QuarantineRecord;
pub use request_hash::RequestHash;
pub use run_progress::RunProgress;
pub use shared_part::SharedPart;
pub use unconfirmed_crash::{UnconfirmedCrash, UnconfirmedCrashes};

/// A report about a request of the gateway.
pub type CallCrashReport = bramleywind_claims::CrashReport<CallFingerprint>;
