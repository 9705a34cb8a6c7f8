use bramleywind_macros::domain_type;

/// How an engine reports the usage of a request.
#[domain_type]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum UsageFault {
    /// As it was.
    #[default]
    Exact,
    /// Not at all.
    None,
    /// Far more than was generated.
    TooMuch,
    /// Half of what was generated.
    TooLittle,
}

/// The faults of an engine that can be switched while it runs. The default is none.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// New work is refused as by an engine that leaves; running work goes on.
    pub leaving: bool,
    /// How usage is reported.
    pub usage: UsageFault,
    /// The engine crashes when it has generated this many tokens after the switch was set.
    pub die_after_tokens: Option<u64>,
    /// This many next requests are answered with 500 and do not run. Counts down.
    pub fail_next: u32,
    /// Nothing is generated, while connections stay open.
    pub stalled: bool,
}
