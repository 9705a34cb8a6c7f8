use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use crate::{FleetError, fleet_error::SystemSnafu};

/// How long a process may take to print its address.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// How often a process is looked at.
const POLL: Duration = Duration::from_millis(10);

/// How much of a process's output an error shows, in bytes.
const SHOWN_OUTPUT: usize = 2_000;

/// A signal that tests send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once.
    Kill,
    /// Stops the process until [`ProcessSignal::Continue`].
    Pause,
    /// Continues a paused process.
    Continue,
    /// Asks the process to end gracefully.
    Terminate,
}

/// A process that this program started. It is killed, by its id, when the value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: Box<str>,
    child: Child,
    output: PathBuf,
}

impl ChildProcess {
    /// Starts a program; its output goes to `<folder>/<name>.log`.
    ///
    /// # Errors
    ///
    /// [`FleetError::System`] if it cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let output = folder.join(format!("{name}.log"));
        let action = || format!("start `{}`", program.display()).into_boxed_str();
        let file = File::create(&output).with_context(|_| SystemSnafu { action: action() })?;
        let errors = file.try_clone().with_context(|_| SystemSnafu { action: action() })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .with_context(|_| SystemSnafu { action: action() })?;
        Ok(Self { name: name.into(), child, output })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All that the process has printed.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Waits for the line `listening on <address>` and returns the address.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotReady`] with the end of the output, if the line does not come in time.
    pub fn listening_address(&mut self) -> Result<SocketAddr, FleetError> {
        let deadline = Instant::now() + READY_LIMIT;
        loop {
            let output = self.output();
            let found = output.lines().find_map(|line| line.strip_prefix("listening on "));
            if let Some(address) = found.and_then(|text| text.trim().parse().ok()) {
                return Ok(address);
            }
            if Instant::now() >= deadline || self.has_ended() {
                return Err(self.not_ready());
            }
            std::thread::sleep(POLL);
        }
    }

    /// An error that shows the end of the output.
    pub fn not_ready(&self) -> FleetError {
        let output = self.output();
        let mut start = output.len().saturating_sub(SHOWN_OUTPUT);
        while !output.is_char_boundary(start) {
            start += 1;
        }
        FleetError::NotReady { name: self.name.clone(), output: output[start..].into() }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal. Nothing happens if the process has ended.
    pub fn signal(&mut self, signal: ProcessSignal) {
        if self.has_ended() {
            return;
        }
        let signal = match signal {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Pause => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Terminate => Signal::TERM,
        };
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // The process may have ended since it was looked at; then there is nothing to signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(ProcessSignal::Kill);
        // A process that was killed ends, so the wait is short; its status says nothing new.
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// [`FleetError::Timeout`] if it still runs after `limit`.
    pub async fn wait_for_end(&mut self, limit: Duration) -> Result<ExitStatus, FleetError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                let condition = format!("process `{}` ends", self.name).into();
                return Err(FleetError::Timeout { condition });
            }
            compio::time::sleep(POLL).await;
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
