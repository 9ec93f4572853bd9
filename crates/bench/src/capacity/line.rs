//! A straight line through measured points.

use std::fmt;

/// A least-squares line and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at the origin.
    pub base: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Part of the points' variance that the line explains, 1 for a perfect fit.
    pub fit: f64,
}

impl Line {
    /// Fits a line to points by least squares.
    #[must_use]
    pub fn fit(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.collect();
        let count = real(points.len().max(1));
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
        let fit = if yy > 0.0 { slope * xy / yy } else { 1.0 };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            fit,
        }
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} + {:.3} (fit {:.4})",
            self.base, self.slope, self.fit
        )
    }
}

/// Returns a count as a real number, exact up to 2^32.
#[must_use]
pub fn real(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
