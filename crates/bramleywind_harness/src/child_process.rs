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

/// How often the state of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The length of the end of a process's output that an error shows, in bytes.
const MAX_SHOWN_OUTPUT_BYTES: usize = 2_000;

/// The signals that can be sent to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Kills the process at once.
    Kill,
    /// Suspends the process until [`ProcessSignal::Continue`].
    Pause,
    /// Resumes a paused process.
    Continue,
    /// Asks the process to shut down gracefully.
    Terminate,
    /// Asks the process to shut down gracefully, as from a terminal.
    Interrupt,
    /// Asks the process to reload its settings.
    HangUp,
}

/// A process that this program started. Dropping the value kills the process by its id.
#[derive(Debug)]
pub struct ChildProcess {
    name: Box<str>,
    child: Child,
    output_path: PathBuf,
}

impl ChildProcess {
    /// Starts a program with its output written to `<folder>/<name>.log`.
    ///
    /// # Errors
    ///
    /// [`FleetError::System`] if the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let output_path = folder.join(format!("{name}.log"));
        let action = || format!("start `{}`", program.display()).into_boxed_str();
        let output_file =
            File::create(&output_path).with_context(|_| SystemSnafu { action: action() })?;
        let error_file =
            output_file.try_clone().with_context(|_| SystemSnafu { action: action() })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output_file)
            .stderr(error_file)
            .spawn()
            .with_context(|_| SystemSnafu { action: action() })?;
        Ok(Self { name: name.into(), child, output_path })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process has printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output_path).unwrap_or_default()
    }

    /// Waits until the process prints `listening on <address>`, and returns the address.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotReady`] with the end of the output, if the line is not printed in time.
    pub fn listening_address(&mut self) -> Result<SocketAddr, FleetError> {
        let deadline = Instant::now() + READY_LIMIT;
        loop {
            let output = self.output();
            let found = output.lines().find_map(|line| line.strip_prefix("listening on "));
            if let Some(address) = found.and_then(|text| text.trim().parse().ok()) {
                return Ok(address);
            }
            if Instant::now() >= deadline || self.has_ended() {
                return Err(self.not_ready_error());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns a [`FleetError::NotReady`] with the end of the output.
    pub fn not_ready_error(&self) -> FleetError {
        let output = self.output();
        let mut start = output.len().saturating_sub(MAX_SHOWN_OUTPUT_BYTES);
        while !output.is_char_boundary(start) {
            start += 1;
        }
        FleetError::NotReady { name: self.name.clone(), output: output[start..].into() }
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: ProcessSignal) {
        if self.has_ended() {
            return;
        }
        let signal = match signal {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Pause => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Terminate => Signal::TERM,
            ProcessSignal::Interrupt => Signal::INT,
            ProcessSignal::HangUp => Signal::HUP,
        };
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // This fails if the process has ended since the check, and then there is nothing to signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        self.signal(ProcessSignal::Kill);
        // A killed process ends soon, so the wait is short. Its status is of no interest.
        let _ = self.child.wait();
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// [`FleetError::Timeout`] if it is still running after `limit`.
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
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
