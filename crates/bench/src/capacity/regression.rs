//! Linear regression by least squares.

use std::fmt;

/// A line fitted to measured points, with its coefficient of determination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    /// Value of the line at zero.
    pub intercept: f64,
    /// Growth of the value per unit.
    pub slope: f64,
    /// Part of the variance of the points that the line explains; 1 is a perfect fit.
    pub r_squared: f64,
}

impl Regression {
    /// Fits a line to points by least squares.
    #[must_use]
    pub fn fit(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.collect();
        let count = to_f64(points.len().max(1));
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            points
                .iter()
                .map(|(x, y)| term(x - mean_x, y - mean_y))
                .sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r_squared = if yy > 0.0 { slope * xy / yy } else { 1.0 };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared,
        }
    }
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} + {:.3} (fit {:.4})",
            self.intercept, self.slope, self.r_squared
        )
    }
}

/// Converts a count to floating point, exact up to 2^32; larger counts become `u32::MAX`.
#[must_use]
pub fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
