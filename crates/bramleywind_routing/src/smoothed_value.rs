/// An exponentially weighted moving average, which starts at its first sample.
///
/// ```
/// use bramleywind_routing::SmoothedValue;
///
/// let mut value = SmoothedValue::new(0.5);
/// value.add(10.0);
/// value.add(20.0);
/// assert_eq!(value.current(), Some(15.0));
/// ```
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct SmoothedValue {
    weight: f64,
    current: Option<f64>,
}

impl SmoothedValue {
    /// An average in which each new sample counts with `weight`, between 0 and 1.
    pub fn new(weight: f64) -> Self {
        Self { weight, current: None }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.add_weighted(sample, self.weight);
    }

    /// Adds a sample that counts with a weight of its own, between 0 and 1.
    pub fn add_weighted(&mut self, sample: f64, weight: f64) {
        self.current = Some(match self.current {
            None => sample,
            Some(current) => current + weight * (sample - current),
        });
    }

    /// The average, if there was a sample.
    pub fn current(&self) -> Option<f64> {
        self.current
    }
}
