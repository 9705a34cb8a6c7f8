use std::fs;

/// Clock ticks per second in `/proc`; the kernel reports them to user space as 100.
const TICKS_PER_SECOND: f64 = 100.0;

/// The CPU time and memory of a process, as reported by the kernel.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// CPU time of all threads, in seconds.
    pub processor_s: f64,
    /// Resident memory, in mebibytes (1,048,576 bytes).
    pub resident_mb: f64,
}

impl ProcessUsage {
    /// Reads the usage of the process with the given id; all values are zero if it has ended.
    ///
    /// ```
    /// let usage = bramleywind_bench::ProcessUsage::of(std::process::id());
    /// assert!(usage.resident_mb > 0.0);
    /// ```
    pub fn of(process: u32) -> Self {
        let read = |file| fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let stat = read("stat");
        // The process name, in parentheses, may contain spaces; the numeric fields follow it.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| -> f64 {
            fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0)
        };
        let resident_kb: f64 = read("status")
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .unwrap_or(0.0);
        Self {
            processor_s: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
            resident_mb: resident_kb / 1_024.0,
        }
    }

    /// Returns the average number of CPU cores in use since an earlier sample, `elapsed_s` seconds before.
    pub fn cores_since(&self, earlier: &Self, elapsed_s: f64) -> f64 {
        (self.processor_s - earlier.processor_s) / elapsed_s
    }
}
