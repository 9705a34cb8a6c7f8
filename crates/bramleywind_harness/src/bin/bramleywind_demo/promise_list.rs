use std::process::ExitCode;

/// What was promised, and whether it was seen.
#[derive(Debug, Default)]
pub(crate) struct PromiseList {
    promises: Vec<SeenPromise>,
}

#[derive(Debug)]
struct SeenPromise {
    kept: bool,
    text: Box<str>,
}

impl PromiseList {
    pub(crate) fn add(&mut self, kept: bool, text: impl Into<Box<str>>) {
        self.promises.push(SeenPromise { kept, text: text.into() });
    }

    /// Prints a line for each promise; the status says whether all were kept.
    #[allow(clippy::print_stdout, reason = "the demo talks to a person at a terminal")]
    pub(crate) fn report(&self) -> ExitCode {
        println!("\n== Outcomes");
        for promise in &self.promises {
            println!("{}  {}", if promise.kept { "kept  " } else { "BROKEN" }, promise.text);
        }
        if self.promises.iter().all(|promise| promise.kept) {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
