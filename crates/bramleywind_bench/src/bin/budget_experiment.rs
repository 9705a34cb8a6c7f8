//! Compares three ways of sharing budgets between routers: a fixed equal split, one compare-and-swap per
//! request, and the token ledger. Each runs under five conditions, and its refusals are compared with those of
//! one exact ledger on the same request list.

#[path = "budget_experiment/args.rs"]
mod args;
#[path = "budget_experiment/exact_ledger.rs"]
mod exact_ledger;
#[path = "budget_experiment/network.rs"]
mod network;
#[path = "budget_experiment/sharing.rs"]
mod sharing;
#[path = "budget_experiment/trial.rs"]
mod trial;
#[path = "budget_experiment/virtual_time.rs"]
mod virtual_time;
#[path = "budget_experiment/workload.rs"]
mod workload;

use std::{
    io::{self, Write},
    time::Duration,
};

use args::Args;
use clap::Parser;
use sharing::SharingKind;
use trial::Condition;
use workload::Workload;

const CONDITIONS: [Condition; 5] = [
    Condition::Calm,
    Condition::Killed,
    Condition::Paused,
    Condition::Partition,
    Condition::StoreDown,
];
const KINDS: [SharingKind; 3] =
    [SharingKind::EqualSplit, SharingKind::SwapPerRequest, SharingKind::FundsKeeper];
const COLUMNS: [&str; 12] = [
    "seed",
    "condition",
    "sharing",
    "requests",
    "overspend",
    "refused",
    "false/1000",
    "near_end",
    "writes/request",
    "stranded",
    "stranded_s",
    "delay_ms(mean/p99)",
];

fn main() -> io::Result<()> {
    let args = Args::parse();
    let length = Duration::from_secs(args.seconds);
    let mut output = io::stdout().lock();
    write_row(&mut output, args.csv, &COLUMNS.map(str::to_owned))?;
    for seed in &args.seeds {
        let workload = Workload::generate(*seed, length);
        for condition in CONDITIONS {
            for kind in KINDS {
                let report = trial::run(condition, kind, &workload, length, *seed);
                let requests = report.requests as f64;
                let milliseconds = |time: Duration| time.as_secs_f64() * 1e3;
                let row = [
                    seed.to_string(),
                    format!("{condition:?}"),
                    format!("{kind:?}"),
                    report.requests.to_string(),
                    report.overspend.to_string(),
                    report.refused.to_string(),
                    format!("{:.2}", report.false_refusals as f64 * 1e3 / requests),
                    report.near_end_refusals.to_string(),
                    format!("{:.3}", report.store_writes as f64 / requests),
                    report.stranded_tokens.to_string(),
                    report
                        .stranded_time
                        .map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64())),
                    format!(
                        "{:.2}/{:.2}",
                        milliseconds(report.mean_delay),
                        milliseconds(report.p99_delay)
                    ),
                ];
                write_row(&mut output, args.csv, &row)?;
            }
        }
    }
    Ok(())
}

fn write_row(output: &mut impl Write, csv: bool, cells: &[String]) -> io::Result<()> {
    if csv {
        return writeln!(output, "{}", cells.join(","));
    }
    let widths = [5, 10, 15, 9, 10, 8, 11, 9, 15, 9, 11, 19];
    for (cell, width) in cells.iter().zip(widths) {
        write!(output, "{cell:<width$}")?;
    }
    writeln!(output)
}
