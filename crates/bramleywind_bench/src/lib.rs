//! Shared parts of the experiments and benchmarks: load generation, percentiles, process usage and tables.
//!
//! The programs run the real daemon against the stand-ins on loopback and print each target next to the
//! measured result. The targets come from the design and are never derived from measurements.

mod bench_error;
mod bench_fleet;
mod call_record;
mod call_summary;
mod engine_totals;
mod load_generator;
mod planned_call;
mod print_command;
mod process_usage;
mod prompt_source;
mod result_table;
mod target_check;

pub use bench_error::BenchError;
pub use bench_fleet::{BENCH_MODEL, BenchFleet, EngineProfile, bench_workspaces};
pub use call_record::{CallOutcome, CallRecord};
pub use call_summary::{CallSummary, percentile};
pub use engine_totals::EngineTotals;
pub use load_generator::{LoadGenerator, LoadMode};
pub use planned_call::PlannedCall;
pub use print_command::print_command;
pub use process_usage::ProcessUsage;
pub use prompt_source::{ArrivalPlan, PromptShape, PromptSource};
pub use result_table::ResultTable;
pub use target_check::TargetCheck;
