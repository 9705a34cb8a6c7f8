use bramleywind_standins::ListenArgs;
use clap::Parser;

/// Stand-in for the platform's instance list. `PUT /control/instances/<id>` sets a record.
#[derive(Debug, Parser)]
pub(crate) struct InstancesArgs {
    #[command(flatten)]
    pub(crate) listen: ListenArgs,
}
