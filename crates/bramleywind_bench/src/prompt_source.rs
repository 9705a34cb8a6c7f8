use std::time::Duration;

use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
};
use rand_chacha::ChaCha8Rng;

use crate::PlannedCall;

/// What prompts and answers look like.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptShape {
    /// The number of shared prefixes.
    pub prefixes: usize,
    /// The exponent of their popularity: the share of prefix `n` falls with `n` to this power.
    pub skew: f64,
    /// The words of a shared prefix.
    pub prefix_words: u32,
    /// The words that are each prompt's own.
    pub own_words: u32,
    /// The fewest and the most tokens of an answer.
    pub answer_tokens: (u32, u32),
}

/// When calls arrive, whose they are and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalPlan {
    /// Calls a second for each workspace. Arrivals are independent of each other.
    pub rates: Vec<(Box<str>, f64)>,
    /// For how long.
    pub duration: Duration,
    /// The weight of each target.
    pub weights: Vec<u32>,
}

/// Draws request lists; the same seed gives the same lists.
#[derive(Debug)]
pub struct PromptSource {
    shape: PromptShape,
    random: ChaCha8Rng,
    popularity: WeightedIndex<f64>,
    seed: u64,
}

impl PromptSource {
    /// A source of prompts of the given shape.
    ///
    /// # Panics
    ///
    /// Panics if there is no prefix.
    pub fn new(shape: PromptShape, seed: u64) -> Self {
        let weights = (1..=shape.prefixes).map(|rank| (rank as f64).powf(-shape.skew));
        let popularity = WeightedIndex::new(weights).expect("there is at least one prefix");
        Self { popularity, random: ChaCha8Rng::seed_from_u64(seed), shape, seed }
    }

    /// A list of calls that arrive by the plan, in order of their times.
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

    /// A call for a closed loop.
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
