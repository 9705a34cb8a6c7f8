use std::time::{Duration, Instant};

use bramleywind_harness::LocalFleet;

use crate::{
    MeasureResult, fleet_shape, measurement_table::MeasurementTable, process_sample::ProcessSample,
};

/// The workspaces and budgets of the measured configurations, with 46 budgets per workspace as in the target size. The
/// last one is just below the largest value that the store accepts.
const BUDGET_SHAPES: [(usize, usize); 4] = [(10, 460), (20, 920), (40, 1_840), (60, 2_760)];

/// The workspaces and budgets of configurations that differ only in the number of workspaces.
const WORKSPACE_SHAPES: [(usize, usize); 3] = [(46, 920), (230, 920), (920, 920)];

/// The pause in which a router frees the memory that it needed only for the change of configuration.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures one router without endpoints, by the number of budgets and by the number of workspaces.
pub async fn measure(table: &mut MeasurementTable) -> MeasureResult<()> {
    for (workspaces, budgets) in BUDGET_SHAPES {
        measure_shape(table, ("budgets", budgets), workspaces, budgets).await?;
    }
    for (workspaces, budgets) in WORKSPACE_SHAPES {
        measure_shape(table, ("workspaces", workspaces), workspaces, budgets).await?;
    }
    Ok(())
}

async fn measure_shape(
    table: &mut MeasurementTable,
    (part, size): (&'static str, usize),
    workspaces: usize,
    budgets: usize,
) -> MeasureResult<()> {
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(1, 0, 0)?).await?;
    let process = fleet.routers[0].process.id();
    compio::time::sleep(SETTLE_TIME).await;
    let before = ProcessSample::read(process)?;
    let document = fleet_shape::config_document(None, workspaces, budgets, 0)?;
    let text = serde_json::to_string(&document)?;
    let started_at = Instant::now();
    fleet.apply_text(&text).await?;
    let in_force = started_at.elapsed().as_secs_f64();
    compio::time::sleep(SETTLE_TIME).await;
    let after = ProcessSample::read(process)?;
    let mut add = |quantity, value| table.add(part, size, quantity, value);
    add("document_bytes", text.len() as f64);
    add("anonymous_bytes_added", after.anonymous_bytes - before.anonymous_bytes);
    add("peak_bytes_added", after.peak_bytes - before.resident_bytes);
    add("processor_s_to_in_force", after.processor_seconds - before.processor_seconds);
    add("in_force_s_from_tool_start", in_force);
    Ok(())
}
