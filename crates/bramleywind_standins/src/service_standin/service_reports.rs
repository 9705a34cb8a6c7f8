//! The documents of a plain service. They are small, so they stand in one file.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;

/// The faults of a service. The default is none.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Milliseconds between the execution of a call and its answer.
    pub delay_ms: u64,
    /// This many next calls are executed and answered with 500. Counts down.
    pub fail_next: u32,
    /// This many next calls are answered with 503 and not executed. Counts down.
    pub refuse_next: u32,
    /// This many next calls are executed, and their connection is dropped. Counts down.
    pub lose_next: u32,
    /// New work is refused as by an endpoint that leaves.
    pub leaving: bool,
}

/// How often a service has executed calls.
#[domain_type]
#[derive(Default)]
pub struct ServiceExecutions {
    /// Executions by idempotency key.
    pub executions: BTreeMap<Box<str>, u64>,
    /// Executions of calls without a key.
    pub without_key: u64,
}

/// What a service answers to a call that it executed.
#[domain_type]
pub struct ServiceAnswer {
    /// The method of the call.
    pub method: Box<str>,
    /// The path of the call.
    pub path: Box<str>,
    /// The key of the call.
    pub key: Option<Box<str>>,
    /// The count of executions with this key, or without any, this one included.
    pub execution: u64,
    /// How many bytes the body had.
    pub body_bytes: u64,
}
