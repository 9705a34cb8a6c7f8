//! Admission: which requests an instance takes on when its link or its memory cannot carry all of them.
//!
//! Some callers always connect to the same instance, whichever ones the entries name. The load that this answers is one
//! workspace whose callers send a small instance several times what its link carries. Without a limit, requests, loans and
//! calls to the store queue behind each other there, and all of them are late.

mod admission_control;
mod admission_decision;
mod instance_limits;
mod link_delays;
mod link_meter;
mod link_rate;
mod memory_size;

pub use admission_control::{AdmissionControl, MAX_ACCEPT_DELAY};
pub use admission_decision::{AdmissionDecision, AdmissionInput};
pub use instance_limits::InstanceLimits;
pub use link_delays::LinkDelays;
pub use link_meter::LinkMeter;
pub use link_rate::LinkRate;
pub use memory_size::MemorySize;
