use std::{fs, time::Duration};

use bramleywind_macros::domain_type;

use super::boot_millis;

/// The file that names the present boot of the instance.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// A moment in the life of an instance since its boot.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_gateway::members::BootTime;
///
/// let earlier = BootTime::new(Some("boot-1".into()), 5_000);
/// let later = BootTime::new(Some("boot-1".into()), 7_500);
/// assert_eq!(later.since(&earlier), Some(Duration::from_millis(2_500)));
/// // The instance was booted in between.
/// assert_eq!(BootTime::new(Some("boot-2".into()), 7_500).since(&earlier), None);
/// assert_eq!(BootTime::new(Some("boot-1".into()), 300).since(&earlier), None);
/// ```
#[domain_type]
#[derive(Default)]
pub struct BootTime {
    /// The name of the boot; `None` if the system names none.
    boot: Option<Box<str>>,
    /// Milliseconds since the boot; `None` if they were not recorded.
    millis: Option<u64>,
}

impl BootTime {
    /// Creates the time of so many milliseconds after a boot.
    pub fn new(boot: Option<Box<str>>, millis: u64) -> Self {
        Self { boot, millis: Some(millis) }
    }

    /// Returns the present time.
    pub fn now() -> Self {
        // Without a name, a boot in between shows only if the clock has gone back.
        let boot = fs::read_to_string(BOOT_ID_FILE).ok().map(|text| text.trim().into());
        Self::new(boot, boot_millis())
    }

    /// Returns the time since an earlier moment on the same instance, or `None` if the instance was booted in between.
    pub fn since(&self, earlier: &Self) -> Option<Duration> {
        let is_same_boot = self.boot == earlier.boot;
        let millis = self.millis?.checked_sub(earlier.millis?)?;
        is_same_boot.then_some(Duration::from_millis(millis))
    }
}
