/// An exponentially weighted moving average that starts at its first sample.
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
    /// Creates an average in which each new sample has the given weight, between 0 and 1.
    pub fn new(weight: f64) -> Self {
        Self { weight, current: None }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.add_weighted(sample, self.weight);
    }

    /// Adds a sample with the given weight, between 0 and 1, instead of the default one.
    pub fn add_weighted(&mut self, sample: f64, weight: f64) {
        self.current = Some(match self.current {
            None => sample,
            Some(current) => current + weight * (sample - current),
        });
    }

    /// Returns the average, or `None` if there has been no sample.
    pub fn current(&self) -> Option<f64> {
        self.current
    }
}
