use bramleywind_config::ConfigDocument;
use bramleywind_harness::{FleetPlan, LocalFleet, RouterPlan};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, ServiceSpec, WorkspaceSpec};

use crate::MeasureResult;

/// The data centres of the target size. The first three form one region, the other two another.
const DATA_CENTRES: [&str; 5] = ["north-a", "north-b", "north-c", "south-a", "south-b"];

/// The model that all engines serve.
pub const MODEL: &str = "weave";

/// The prepaid tokens of each budget, more than any measurement uses.
const PREPAID_TOKENS: u64 = 100_000_000;

/// Returns a plan with the given numbers of routers, engines and services, spread over the data centres.
pub fn fleet_plan(routers: usize, engines: usize, services: usize) -> MeasureResult<FleetPlan> {
    let mut plan = FleetPlan::six_routers([DATA_CENTRES[0], DATA_CENTRES[1], DATA_CENTRES[2]]);
    let router = |index: usize| -> MeasureResult<RouterPlan> {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        Ok(RouterPlan {
            instance: format!("{data_centre}-r{index:03}").parse()?,
            data_centre: data_centre.parse()?,
            capacity: 1,
        })
    };
    plan.routers = (0..routers).map(router).collect::<Result<_, _>>()?;
    let arguments = ["--model", MODEL, "--slots", "64", "--tokens-per-second", "2000"];
    for index in 0..engines {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        plan = plan.engine(&format!("engine-{index}"), data_centre, &arguments);
    }
    for index in 0..services {
        plan = plan.service(&format!("locker-{index}"), DATA_CENTRES[index % DATA_CENTRES.len()]);
    }
    Ok(plan)
}

/// Returns the name of a budget.
pub fn budget_name(index: usize) -> String {
    format!("budget-{index:06}")
}

/// Returns the bearer key that draws on a budget.
pub fn bearer_key(index: usize) -> String {
    format!("bearer-key-of-budget-{index:06}")
}

/// Returns a configuration with the given numbers of workspaces and budgets, one key for each budget, and the
/// endpoints of a fleet. `extra_tokens` is added to the credit of each budget and makes otherwise equal configurations
/// differ.
pub fn config_document(
    fleet: Option<&LocalFleet>,
    workspaces: usize,
    budgets: usize,
    extra_tokens: u64,
) -> MeasureResult<ConfigDocument> {
    let mut description = Fleet::new()
        .model(ModelSpec::new(MODEL, 4_096))
        .service(ServiceSpec::new("lockers", 1).non_idempotent_route("POST", "/unlock"));
    for index in 0..workspaces {
        let mut workspace = WorkspaceSpec::new(&format!("workspace-{index:04}"))
            .may_use_model(MODEL)
            .may_use_service("lockers");
        for budget in (index..budgets).step_by(workspaces) {
            let name = budget_name(budget);
            workspace = workspace
                .budget(&name, PREPAID_TOKENS + extra_tokens)
                .key(&bearer_key(budget), &name);
        }
        description = description.workspace(workspace);
    }
    let endpoints = fleet.map(|fleet| fleet.endpoints.as_slice()).unwrap_or_default();
    let specs = endpoints.iter().map(|running| {
        let id = running.endpoint.as_str();
        let spec = if id.starts_with("engine") {
            EndpointSpec::engine(id, [MODEL]).slots(64).checks_fencing()
        } else {
            EndpointSpec::service(id, "lockers").slots(64)
        };
        spec.placed_in(running.data_centre.as_str()).at(&running.address.to_string())
    });
    Ok(description.endpoints(specs).build()?)
}
