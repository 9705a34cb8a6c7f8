//! Measures how the state, messages, processor time, memory and store calls of a router grow with the fleet, and
//! extrapolates them to the target size. It runs the real daemon against the stand-ins on loopback.
//! `docs/CAPACITY.md` states the results.

mod args;
mod budget_slopes;
mod death_listings;
mod fleet_shape;
mod fleet_window;
mod group_loss;
mod idle_slopes;
mod linear_fit;
mod measurement_table;
mod peer_traffic;
mod process_sample;
mod reclaim_times;
mod request_costs;
mod structure_costs;
#[cfg(test)]
mod tests;

use std::{error::Error, time::Duration};

use args::{Args, Part};
use clap::Parser;
use compio::runtime::Runtime;
use measurement_table::MeasurementTable;

/// The result of a measurement. An error ends the program with its message.
type MeasureResult<T> = Result<T, Box<dyn Error>>;

// The target size of a fleet. `TARGET_PAGES` is the number of pages that hold all budgets.
const TARGET_ROUTERS: usize = 380;
const TARGET_ENGINES: usize = 810;
const TARGET_BUDGETS: usize = 190_000;
const TARGET_WORKSPACES: usize = 4_100;
const TARGET_PAGES: usize = 512;

fn main() -> MeasureResult<()> {
    let args = Args::parse();
    let window = Duration::from_secs(args.seconds);
    let mut table = MeasurementTable::new(args.csv);
    table.print_header()?;
    Runtime::new()?.block_on(async {
        for part in Part::selected(&args.parts) {
            match part {
                Part::Structures => structure_costs::measure(&mut table)?,
                Part::Idle => {
                    for routers in &args.sizes {
                        idle_slopes::measure(&mut table, *routers, window).await?;
                    }
                    table.print_fits("idle", TARGET_ROUTERS)?;
                }
                Part::Engines => {
                    for engines in idle_slopes::ENGINE_COUNTS {
                        idle_slopes::measure_engines(&mut table, engines, window).await?;
                    }
                    table.print_fits("engines", TARGET_ENGINES)?;
                }
                Part::Losses => {
                    for (part, group) in group_loss::KILLED_GROUPS {
                        group_loss::measure(&mut table, part, group).await?;
                    }
                }
                Part::Listings => death_listings::measure(&mut table).await?,
                Part::Budgets => {
                    budget_slopes::measure(&mut table).await?;
                    table.print_fits("budgets", TARGET_BUDGETS)?;
                    table.print_fits("workspaces", TARGET_WORKSPACES)?;
                }
                Part::Requests => {
                    for routers in request_costs::ROUTER_COUNTS {
                        request_costs::measure(&mut table, routers, window).await?;
                    }
                    for (_, name) in request_costs::REQUEST_KINDS {
                        table.print_fits(name, TARGET_ROUTERS)?;
                    }
                }
                Part::Reclaim => {
                    for budgets in reclaim_times::BUDGET_COUNTS {
                        reclaim_times::measure(&mut table, budgets, None).await?;
                    }
                    table.print_fits("reclaim", TARGET_PAGES)?;
                    for slices in reclaim_times::FULL_PAGE_SLICES {
                        let budgets = reclaim_times::BUDGET_COUNTS[0];
                        reclaim_times::measure(&mut table, budgets, Some(slices)).await?;
                    }
                }
            }
        }
        Ok(())
    })
}
