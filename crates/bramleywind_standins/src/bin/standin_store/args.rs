use bramleywind_standins::ListenArgs;
use clap::Parser;

/// Stand-in for the platform's key-value store. `POST /control` sets faults.
#[derive(Debug, Parser)]
pub(crate) struct StoreArgs {
    #[command(flatten)]
    pub(crate) listen: ListenArgs,
}
