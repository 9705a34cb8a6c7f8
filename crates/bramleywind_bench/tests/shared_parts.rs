//! Tests of the code that the benchmarks share.

use std::time::Duration;

use bramleywind_bench::{ArrivalPlan, PromptShape, PromptSource, percentile};
use test_case::test_case;

/// Guards against a histogram that clips large values, so that all latencies would look the same.
#[test_case(50.0, 500.0; "median")]
#[test_case(99.0, 990.0; "tail")]
fn percentiles_keep_three_figures(percent: f64, expected: f64) {
    let found = percentile((1..=1_000).map(f64::from), percent);
    assert!((found / expected - 1.0).abs() < 0.002, "{found} is not {expected}");
}

/// Guards against comparing policies on different request lists: a seed must always generate the same calls.
#[test]
fn the_same_seed_draws_the_same_calls() {
    let shape = PromptShape {
        prefixes: 8,
        skew: 1.0,
        prefix_words: 32,
        own_words: 4,
        answer_tokens: (5, 9),
    };
    let plan = ArrivalPlan {
        rates: vec![("large".into(), 50.0)],
        duration: Duration::from_secs(4),
        weights: vec![3, 1],
    };
    let draw = |seed| PromptSource::new(shape.clone(), seed).arrivals(&plan);
    assert_eq!(draw(5), draw(5));
    assert_ne!(draw(5), draw(6));
    let calls = draw(5);
    assert!(calls.is_sorted_by_key(|call| call.offset));
    assert!((120..=280).contains(&calls.len()), "{} calls at 50 a second for 4 s", calls.len());
}
