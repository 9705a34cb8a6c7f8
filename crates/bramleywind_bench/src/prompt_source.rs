use std::time::Duration;

use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
};
use rand_chacha::ChaCha8Rng;

use crate::PlannedCall;

/// The distribution of prompts and answers.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptShape {
    /// Number of shared prefixes.
    pub prefixes: usize,
    /// The Zipf exponent of the prefixes' popularity: the share of prefix `n` is proportional to `n` to the
    /// negative power of it.
    pub skew: f64,
    /// Number of words of a shared prefix.
    pub prefix_words: u32,
    /// Number of words that are unique to each prompt.
    pub own_words: u32,
    /// Minimum and maximum number of tokens of an answer.
    pub answer_tokens: (u32, u32),
}

/// The arrival times, workspaces and targets of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalPlan {
    /// Calls per second for each workspace. Arrivals are independent of each other.
    pub rates: Vec<(Box<str>, f64)>,
    /// The time during which calls arrive.
    pub duration: Duration,
    /// The relative share of calls for each target.
    pub weights: Vec<u32>,
}

/// A generator of random calls; the same seed yields the same calls.
#[derive(Debug)]
pub struct PromptSource {
    shape: PromptShape,
    random: ChaCha8Rng,
    popularity: WeightedIndex<f64>,
    seed: u64,
}

impl PromptSource {
    /// Creates a source of prompts of the given shape.
    ///
    /// # Panics
    ///
    /// Panics if the shape has no prefix.
    pub fn new(shape: PromptShape, seed: u64) -> Self {
        let weights = (1..=shape.prefixes).map(|rank| (rank as f64).powf(-shape.skew));
        let popularity = WeightedIndex::new(weights).expect("there is at least one prefix");
        Self { popularity, random: ChaCha8Rng::seed_from_u64(seed), shape, seed }
    }

    /// Generates the calls of a plan, ordered by their scheduled times.
    pub fn arrivals(&mut self, plan: &ArrivalPlan) -> Vec<PlannedCall> {
        let targets = WeightedIndex::new(&plan.weights).expect("there is at least one target");
        let mut calls = Vec::new();
        for (workspace, rate) in &plan.rates {
            let mut offset = 0.0;
            loop {
                offset -= (1.0 - self.random.random::<f64>()).ln() / rate;
                if offset >= plan.duration.as_secs_f64() {
                    break;
                }
                let target = targets.sample(&mut self.random);
                calls.push(self.call(Duration::from_secs_f64(offset), target, workspace));
            }
        }
        calls.sort_by_key(|call| call.offset);
        calls
    }

    /// Generates a single call, for example for a closed loop.
    pub fn call(&mut self, offset: Duration, target: usize, workspace: &str) -> PlannedCall {
        let (least, most) = self.shape.answer_tokens;
        let prefix = self.popularity.sample(&mut self.random);
        let own = self.random.random::<u32>();
        let mut words = Vec::new();
        words.extend(
            (0..self.shape.prefix_words).map(|word| format!("p{}x{prefix}w{word}", self.seed)),
        );
        words.extend((0..self.shape.own_words).map(|word| format!("o{own}w{word}")));
        PlannedCall {
            offset,
            target,
            workspace: workspace.into(),
            prompt: words.join(" ").into(),
            answer_tokens: self.random.random_range(least..=most),
        }
    }
}
