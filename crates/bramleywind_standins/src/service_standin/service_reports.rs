//! The JSON documents of the plain service.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;

/// The injected faults of a service; none by default.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between the execution of a call and its response, in milliseconds.
    pub delay_ms: u64,
    /// The number of further calls that are executed and fail with status 500. Counts down.
    pub fail_next: u32,
    /// The number of further calls that fail with status 503 and are not executed. Counts down.
    pub refuse_next: u32,
    /// The number of further calls that are executed and whose connection is then dropped. Counts down.
    pub lose_next: u32,
    /// New calls are refused with the response of an endpoint that is leaving.
    pub leaving: bool,
}

/// The number of calls that a service has executed.
#[domain_type]
#[derive(Default)]
pub struct ServiceExecutions {
    /// Number of executions by idempotency key.
    pub executions: BTreeMap<Box<str>, u64>,
    /// Number of executions of calls without an idempotency key.
    pub without_key: u64,
}

/// The response body for an executed call.
#[domain_type]
pub struct ServiceAnswer {
    /// The method of the call.
    pub method: Box<str>,
    /// The path of the call.
    pub path: Box<str>,
    /// The idempotency key of the call.
    pub key: Option<Box<str>>,
    /// The number of executions with this key (or without a key), this one included.
    pub execution: u64,
    /// The size of the request body, in bytes.
    pub body_bytes: u64,
}
