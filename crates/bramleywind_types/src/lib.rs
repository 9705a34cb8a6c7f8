//! Identifiers, token counts, deadlines and refusals that the other crates share.
//!
//! They are kept apart from the crates that use them, so that the daemon, the command-line tool and the operator
//! library agree on one textual and one serialized form.

mod body_hash;
mod entry_list;
mod idempotency_key;
mod incarnation_id;
mod name_error;
mod number_type;
mod numbers;
mod refusal;
mod request_id;
mod request_key;
mod text_id;
mod text_ids;
mod unix_deadline;

pub use body_hash::BodyHash;
pub use entry_list::{EntryAddress, EntryList};
pub use idempotency_key::IdempotencyKey;
pub use incarnation_id::IncarnationId;
pub use name_error::NameError;
pub use numbers::{ConfigRevision, FencingToken, JournalSequence, TokenCount};
pub use refusal::{Refusal, RefusalBody, RefusalCode, RepeatAdvice, RunState};
pub use request_id::RequestId;
pub use request_key::RequestKey;
pub use text_id::MAX_ID_BYTES;
pub use text_ids::{
    AdapterName, BudgetId, DataCentreId, EndpointId, InstanceId, ModelId, OperationId, RoleName,
    ServiceId, VersionName, WorkspaceId,
};
pub use unix_deadline::UnixDeadline;
