use anstyle::AnsiColor;

/// The styles of the human output format. They are stripped when the output is not a terminal.
#[derive(Debug)]
pub struct Style;

impl Style {
    /// For successes and additions.
    pub const GOOD: anstyle::Style = AnsiColor::Green.on_default();
    /// For failures and removals.
    pub const BAD: anstyle::Style = AnsiColor::Red.on_default().bold();
    /// For changes and things that need attention.
    pub const NOTICE: anstyle::Style = AnsiColor::Yellow.on_default();
    /// For headings.
    pub const HEADING: anstyle::Style = anstyle::Style::new().bold();
}
