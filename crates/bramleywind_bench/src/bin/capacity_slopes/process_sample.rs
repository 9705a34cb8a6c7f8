use std::{fs, io};

/// The clock ticks of `/proc/<pid>/stat` per second, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// The processor time and memory of a process, from `/proc`.
///
/// The processor time counts only while the process ran, so it stays valid on a shared machine.
#[derive(Debug, Clone, Copy)]
pub struct ProcessSample {
    /// User and system time since the process started, in seconds.
    pub processor_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Resident memory that no file backs, in bytes.
    pub anonymous_bytes: f64,
    /// The peak of resident memory since the process started, in bytes.
    pub peak_bytes: f64,
}

impl ProcessSample {
    /// Samples a process.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The second field is the name of the program in parentheses, which may contain spaces.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: u64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let kilobytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let number = line.and_then(|line| line.split_whitespace().next());
            number.and_then(|number| number.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
        };
        Ok(Self {
            processor_seconds: ticks as f64 / TICKS_PER_SECOND,
            resident_bytes: kilobytes("VmRSS:"),
            anonymous_bytes: kilobytes("RssAnon:"),
            peak_bytes: kilobytes("VmHWM:"),
        })
    }

    /// Samples this process.
    pub fn read_own() -> io::Result<Self> {
        Self::read(std::process::id())
    }
}
