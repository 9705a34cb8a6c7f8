//! Tests that policies take speed, occupancy and cached prefixes into account.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_routing::{
    EndpointTable, LoadReport, PolicyKind, PrefixHash, RouteRequest, SelectedPolicy,
};
use bramleywind_types::EndpointId;
use test_case::test_case;

fn table(kind: PolicyKind, slots: &[u32]) -> EndpointTable<SelectedPolicy> {
    let mut table = EndpointTable::new(SelectedPolicy::new(kind, 1));
    for (index, slots) in slots.iter().enumerate() {
        table.upsert(id(index), *slots);
    }
    table
}

fn id(index: usize) -> EndpointId {
    format!("engine-{index}").parse().unwrap()
}

fn request(prompt: &str) -> RouteRequest {
    let prefix = Some(PrefixHash::of(prompt.as_bytes()));
    RouteRequest { prefix, prompt_tokens: 400, answer_tokens: 100 }
}

#[test_case(PolicyKind::RoundRobin)]
#[test_case(PolicyKind::LeastReportedLoad)]
#[test_case(PolicyKind::TwoChoices)]
#[test_case(PolicyKind::PrefixAffinity)]
fn no_candidate_gives_no_choice(kind: PolicyKind) {
    let mut table = table(kind, &[4, 4]);
    assert_eq!(table.begin(&request("a"), |_| false), None);
}

#[test_case(PolicyKind::RoundRobin)]
#[test_case(PolicyKind::LeastReportedLoad)]
#[test_case(PolicyKind::TwoChoices)]
#[test_case(PolicyKind::PrefixAffinity)]
fn ineligible_endpoint_is_never_chosen(kind: PolicyKind) {
    let mut table = table(kind, &[4, 4, 4]);
    for turn in 0..100 {
        let chosen = table.begin(&request(&turn.to_string()), |state| state.id != id(1)).unwrap();
        assert_ne!(chosen, id(1));
        table.finish(&chosen);
    }
}

#[test]
fn same_prefix_returns_to_its_endpoint_while_slots_are_free() {
    let mut table = table(PolicyKind::PrefixAffinity, &[8; 6]);
    let first = table.begin(&request("history"), |_| true).unwrap();
    table.finish(&first);
    for _ in 0..20 {
        let chosen = table.begin(&request("history"), |_| true).unwrap();
        assert_eq!(chosen, first);
        table.finish(&chosen);
    }
}

/// Guards against all requests with a hot prefix going to one endpoint while others have free slots.
#[test]
fn hot_prefix_spreads_when_its_endpoint_is_full() {
    let mut table = table(PolicyKind::PrefixAffinity, &[4; 4]);
    for _ in 0..16 {
        table.begin(&request("hot"), |_| true).unwrap();
    }
    for index in 0..4 {
        assert_eq!(table.state(&id(index)).unwrap().in_flight, 4);
    }
}

#[test]
fn slow_endpoint_gets_less_work_than_fast_one() {
    let mut table = table(PolicyKind::PrefixAffinity, &[4, 4]);
    for _ in 0..20 {
        table.record_first_token(&id(0), &request("a"), 40.0);
        table.record_first_token(&id(1), &request("a"), 800.0);
        table.record_answer(&id(0), 100, 1_000.0);
        table.record_answer(&id(1), 100, 9_000.0);
    }
    let chosen: Vec<_> =
        (0..5).map(|turn| table.begin(&request(&turn.to_string()), |_| true).unwrap()).collect();
    assert!(chosen.iter().filter(|endpoint| **endpoint == id(0)).count() >= 4, "{chosen:?}");
}

/// Guards against this router's own requests, which a lagging report includes, being counted twice.
#[test]
fn own_requests_in_a_lagging_report_are_not_counted_twice() {
    let mut table = table(PolicyKind::PrefixAffinity, &[8]);
    for _ in 0..3 {
        table.begin(&request("a"), |_| true).unwrap();
    }
    table.record_report(&id(0), LoadReport { running: 2, queued: 0 });
    table.record_report(&id(0), LoadReport { running: 5, queued: 0 });
    assert_eq!(table.state(&id(0)).unwrap().estimated_in_flight(), 5);
}

#[test]
fn error_for_an_unknown_policy_lists_the_known_ones() {
    let error = "fastest".parse::<PolicyKind>().unwrap_err().to_string();
    assert_eq!(
        error,
        "endpoint policy `fastest` is unknown; use `round_robin`, `least_reported_load`, `two_choices` or \
         `prefix_affinity`"
    );
}

/// Guards against a policy that takes every prefix ever sent to an endpoint as still cached there, and so keeps
/// choosing it over a faster endpoint.
#[test]
fn prefixes_sent_long_ago_are_forgotten() {
    let faster_choices = |numbers: std::ops::Range<usize>| {
        let mut table = table(PolicyKind::PrefixAffinity, &[8; 3]);
        let prompt = |number: usize| request(&format!("history {number}"));
        for number in 0..100 {
            let request = prompt(number);
            table.begin(&request, |state| state.id == id(1)).unwrap();
            table.record_first_token(&id(1), &request, 500.0);
            table.finish(&id(1));
        }
        // Engine 0 is slightly faster, so only prefixes that are taken as cached lead to engine 1. Engine 2 is the
        // home of a third of the prefixes and is not a candidate later.
        for engine in [0, 2] {
            table.begin(&prompt(999), |state| state.id == id(engine)).unwrap();
            table.record_first_token(&id(engine), &prompt(999), 400.0);
            table.finish(&id(engine));
        }
        let choices = numbers.map(|number| {
            let chosen = table.begin(&prompt(number), |state| state.id != id(2)).unwrap();
            table.finish(&chosen);
            usize::from(chosen == id(0))
        });
        choices.sum::<usize>()
    };
    let (old, recent) = (faster_choices(0..30), faster_choices(70..100));
    assert!(
        old >= recent + 5,
        "at the faster engine: {old} of 30 old, {recent} of 30 recent prefixes"
    );
}
