use std::process::ExitCode;

/// The guarantees that the demo checked, with the result of each check.
#[derive(Debug, Default)]
pub(crate) struct GuaranteeReport {
    checks: Vec<GuaranteeCheck>,
}

#[derive(Debug)]
struct GuaranteeCheck {
    is_kept: bool,
    text: Box<str>,
}

impl GuaranteeReport {
    pub(crate) fn add(&mut self, is_kept: bool, text: impl Into<Box<str>>) {
        self.checks.push(GuaranteeCheck { is_kept, text: text.into() });
    }

    /// Prints a line for each guarantee. Returns success if all of them were kept.
    #[allow(clippy::print_stdout, reason = "the demo prints to a terminal")]
    pub(crate) fn print(&self) -> ExitCode {
        println!("\n== Outcomes");
        for check in &self.checks {
            println!("{}  {}", if check.is_kept { "kept  " } else { "BROKEN" }, check.text);
        }
        if self.checks.iter().all(|check| check.is_kept) {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
