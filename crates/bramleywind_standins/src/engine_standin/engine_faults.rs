use bramleywind_macros::domain_type;

/// The way in which an engine reports the token usage of a request.
#[domain_type]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum UsageFault {
    /// The usage is reported correctly.
    #[default]
    Exact,
    /// The usage is not reported.
    None,
    /// The reported usage is far higher than the real one.
    TooMuch,
    /// The reported usage is half of the real one.
    TooLittle,
}

/// The injected faults of an engine, which can change while it runs; none by default.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// New requests are refused with the response of an engine that is leaving; running requests continue.
    pub leaving: bool,
    /// How token usage is reported.
    pub usage: UsageFault,
    /// The number of tokens that the engine still generates before it crashes. Counts down.
    pub die_after_tokens: Option<u64>,
    /// The number of further requests that fail with status 500 and do not run. Counts down.
    pub fail_next: u32,
    /// The engine generates no tokens, while connections stay open.
    pub stalled: bool,
}
