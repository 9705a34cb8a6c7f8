use std::time::Duration;

use bramleywind_standins::{CRASH_HEADER, ListenArgs, ServiceOptions};
use clap::Parser;

/// Stand-in for a plain service. `POST /control` sets faults.
#[derive(Debug, Parser)]
pub(crate) struct ServiceArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Name of the header that crashes the service after it has executed the call.
    #[arg(long, default_value = CRASH_HEADER)]
    crash_header: Box<str>,
    /// Time for which the service refuses connections after a crash, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    down_ms: u64,
}

impl ServiceArgs {
    pub(crate) fn into_options(self) -> ServiceOptions {
        ServiceOptions {
            listen: self.listen.listen,
            crash_header: self.crash_header,
            down_time: Duration::from_millis(self.down_ms),
        }
    }
}
