use bramleywind_standins::{ListenArgs, WeightsOptions};
use clap::Parser;

/// Stand-in for the rate-limited weight store.
#[derive(Debug, Parser)]
pub(crate) struct WeightsArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Maximum number of downloads per second; zero for no limit.
    #[arg(long, default_value_t = 1)]
    downloads_per_second: u32,
    /// Size of each weight file, in bytes.
    #[arg(long, default_value_t = 65_536)]
    weight_bytes: u32,
}

impl WeightsArgs {
    pub(crate) fn into_options(self) -> WeightsOptions {
        WeightsOptions {
            listen: self.listen.listen,
            downloads_per_second: self.downloads_per_second,
            weight_bytes: self.weight_bytes,
        }
    }
}
