//! The message by which a gateway tells others about crashes, and its reply.

use bramleywind_macros::domain_type;

use super::{CallCrashReport, CallFingerprint, NoticeAudience};

/// Reports of one gateway about requests and the endpoints that ended under them.
#[domain_type]
pub struct CrashNotice {
    /// The gateways that the notice is sent to.
    pub audience: NoticeAudience,
    /// The reports.
    pub reports: Vec<CallCrashReport>,
}

/// The reply to a [`CrashNotice`].
#[domain_type]
#[derive(Default)]
pub struct NoticeReply {
    /// The reported requests that the receiver has seen answered lately, which are harmless.
    pub answered: Vec<CallFingerprint>,
}
