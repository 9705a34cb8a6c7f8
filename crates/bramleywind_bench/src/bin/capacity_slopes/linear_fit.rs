/// A straight line fitted to measured points by least squares.
#[derive(Debug, Clone, Copy)]
pub struct LinearFit {
    pub intercept: f64,
    pub slope: f64,
    /// The share of the variance that the line explains.
    pub r_squared: f64,
    points: usize,
    mean_x: f64,
    squared_deviation_x: f64,
    /// The standard deviation of the residuals, with `points - 2` degrees of freedom.
    residual_deviation: f64,
}

/// Two-sided 95% quantiles of Student's t distribution for 1 to 6 degrees of freedom.
const T_QUANTILES: [f64; 6] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45];

impl LinearFit {
    /// Fits a line to the points. Returns `None` for fewer than three points, or if all have the same `x`.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squared_deviation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let squared_deviation_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        if squared_deviation_x <= 0.0 {
            return None;
        }
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / squared_deviation_x;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 =
            points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let r_squared = if squared_deviation_y > 0.0 {
            1.0 - squared_residuals / squared_deviation_y
        } else {
            1.0
        };
        let residual_deviation = (squared_residuals / (count - 2.0)).sqrt();
        Some(Self {
            intercept,
            slope,
            r_squared,
            points: points.len(),
            mean_x,
            squared_deviation_x,
            residual_deviation,
        })
    }

    /// Returns the value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Returns half the width of the 95% prediction interval at `x`, assuming that the line holds there.
    pub fn interval_half_width_at(&self, x: f64) -> f64 {
        let quantile = T_QUANTILES[(self.points - 3).min(T_QUANTILES.len() - 1)];
        let distance = (x - self.mean_x).powi(2) / self.squared_deviation_x;
        quantile * self.residual_deviation * (1.0 + 1.0 / self.points as f64 + distance).sqrt()
    }
}
