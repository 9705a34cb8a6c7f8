use std::fs;

/// Clock ticks a second in `/proc`, which the kernel fixes for programs at 100.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used, by the kernel's count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads, in seconds.
    pub processor_s: f64,
    /// Resident memory, in megabytes of 1,048,576 bytes.
    pub resident_mb: f64,
}

impl ProcessUsage {
    /// Reads the usage of a process; zero if it has ended.
    ///
    /// ```
    /// let usage = bramleywind_bench::ProcessUsage::of(std::process::id());
    /// assert!(usage.resident_mb > 0.0);
    /// ```
    pub fn of(process: u32) -> Self {
        let read = |file| fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let stat = read("stat");
        // The name, in parentheses, may contain spaces; the numbers follow it.
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

    /// The processor time since an earlier reading, in cores over `elapsed_s` seconds.
    pub fn cores_since(&self, earlier: &Self, elapsed_s: f64) -> f64 {
        (self.processor_s - earlier.processor_s) / elapsed_s
    }
}
