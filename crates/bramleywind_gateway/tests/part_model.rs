//! Counts how many endpoints end before a crashing part is found, and how many sound requests are refused for it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_claims::CrashReportId;
use bramleywind_gateway::{
    crashes::{PartGuard, PartReport, SharedPart},
    platform_api::PartId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

const SEEDS: u64 = 12;

/// The duration of a run, in steps of 10 ms.
const STEPS: u64 = 3_000;

const STEP: Duration = Duration::from_millis(10);

/// Requests per step, and the callers and later parts among which they are drawn.
const REQUEST_SHARE: f64 = 0.6;
const CALLERS: u64 = 4;
const LATER_PARTS: u64 = 60;

/// The share of requests with a crashing part.
const CRASHING_SHARE: f64 = 0.04;

/// The steps until an endpoint is back.
const DOWN_STEPS: u64 = 300;

#[derive(Debug, Clone)]
struct RunningRequest {
    parts: Box<[SharedPart]>,
    is_crashing: bool,
    begins_at: u64,
    ends_at: u64,
}

#[derive(Debug, Default, Clone)]
struct ModelEndpoint {
    running: Vec<RunningRequest>,
    is_down_until: u64,
    start: u64,
}

/// What one run counted.
#[derive(Debug, Default, PartialEq, Eq)]
struct RunCounts {
    requests: u64,
    /// Sound requests that were refused.
    refused: u64,
    /// The most ends under one crashing part.
    ends: usize,
    /// Ends for other reasons.
    own_ends: u64,
}

fn part(id: u64) -> SharedPart {
    SharedPart { service: "scribe".parse().unwrap(), id: PartId(id) }
}

/// Runs a fleet of nine endpoints whose gateways share what they know. A share of the endpoints ends by itself each ten
/// seconds.
fn run(seed: u64, crashing_parts: u64, own_share: f64) -> RunCounts {
    let (mut random, start) = (StdRng::seed_from_u64(seed), Instant::now());
    let mut guard = PartGuard::new(start);
    let mut endpoints = vec![ModelEndpoint::default(); 9];
    let (mut counts, mut ends) =
        (RunCounts::default(), vec![0; usize::try_from(crashing_parts).unwrap()]);
    for step in 0..STEPS {
        let now = start + STEP * u32::try_from(step).unwrap();
        guard.take_questions(now);
        guard.decide(now);
        guard.take_outbox();
        if random.random_bool(REQUEST_SHARE) {
            let is_crashing =
                crashing_parts > 0 && step > 300 && random.random_bool(CRASHING_SHARE);
            // A few later parts are in most requests.
            let rank = random.random_range(0.0_f64..1.0).powi(3);
            let later = if is_crashing {
                1_000 + random.random_range(0..crashing_parts)
            } else {
                100 + (rank * LATER_PARTS as f64) as u64
            };
            let parts = [part(random.random_range(0..CALLERS)), part(later)];
            let up: Vec<_> = (0..endpoints.len())
                .filter(|index| endpoints[*index].is_down_until <= step)
                .collect();
            counts.requests += u64::from(!is_crashing);
            if guard.refused_until(&parts, now).is_some() {
                counts.refused += u64::from(!is_crashing);
            } else if !up.is_empty() {
                let begins_at = step + random.random_range(5..40);
                let ends_at = begins_at + random.random_range(10..400);
                let index = up[random.random_range(0..up.len())];
                let request =
                    RunningRequest { parts: parts.into(), is_crashing, begins_at, ends_at };
                endpoints[index].running.push(request);
            }
        }
        for (index, endpoint) in endpoints.iter_mut().enumerate() {
            let crashing =
                endpoint.running.iter().find(|run| run.is_crashing && run.begins_at <= step);
            let ends_itself = random.random_bool(own_share / 1_000.0);
            if let Some(request) = crashing {
                ends[usize::try_from(request.parts[1].id.0 - 1_000).unwrap()] += 1;
            }
            if crashing.is_some() || (ends_itself && endpoint.is_down_until <= step) {
                counts.own_ends += u64::from(crashing.is_none());
                let crash = CrashReportId(index as u64 * 1_000 + endpoint.start);
                // An answer is established five steps after it began.
                for request in endpoint.running.drain(..).filter(|run| run.begins_at + 5 > step) {
                    guard.record_end(PartReport { crash, age_ms: 0, parts: request.parts }, now);
                }
                endpoint.start += 1;
                endpoint.is_down_until = step + DOWN_STEPS;
            }
            for request in endpoint.running.iter().filter(|run| run.begins_at + 5 == step) {
                guard.record_proof(&request.parts, now - STEP * 5, now);
            }
            endpoint.running.retain(|run| run.ends_at > step);
        }
    }
    counts.ends = ends.into_iter().max().unwrap_or_default();
    counts
}

/// Guards against a change that lets more endpoints end under one part, or that refuses sound requests.
#[test_case(0, 0.15; "no crashing part, endpoints end by themselves")]
#[test_case(1, 0.0; "one crashing part")]
#[test_case(3, 0.0; "three crashing parts")]
#[test_case(1, 0.15; "one crashing part, endpoints end by themselves")]
#[test_case(3, 0.15; "three crashing parts, endpoints end by themselves")]
fn crashing_parts_are_found_and_sound_requests_served(crashing_parts: u64, own_share: f64) {
    let runs: Vec<_> = (0..SEEDS).map(|seed| run(seed, crashing_parts, own_share)).collect();
    let requests: u64 = runs.iter().map(|run| run.requests).sum();
    let refused: u64 = runs.iter().map(|run| run.refused).sum();
    let own_ends: u64 = runs.iter().map(|run| run.own_ends).sum();
    let worst = runs.iter().map(|run| run.ends).max().unwrap();
    let mean = runs.iter().map(|run| run.ends).sum::<usize>() as f64 / SEEDS as f64;
    let summary = format!(
        "worst {worst} ends, mean {mean:.2}, {own_ends} own ends, {refused} of {requests} sound requests refused"
    );
    assert!(worst <= 5, "{summary}");
    // One of a thousand.
    assert!(refused * 1_000 <= requests, "{summary}");
}
