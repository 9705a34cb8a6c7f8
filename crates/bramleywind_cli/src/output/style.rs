use anstyle::AnsiColor;

/// The styles of the output for people. They are removed where the output is not a terminal.
#[derive(Debug)]
pub struct Style;

impl Style {
    /// Something is as wanted, or was added.
    pub const GOOD: anstyle::Style = AnsiColor::Green.on_default();
    /// Something is wrong, or was removed.
    pub const BAD: anstyle::Style = AnsiColor::Red.on_default().bold();
    /// Something changed or needs a look.
    pub const NOTICE: anstyle::Style = AnsiColor::Yellow.on_default();
    /// A headline.
    pub const HEADING: anstyle::Style = anstyle::Style::new().bold();
}
