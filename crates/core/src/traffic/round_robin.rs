//! Turns of the parts of a split route.

use super::route;

/// Smooth weighted round robin over the parts of one route.
///
/// It answers the load pattern of a small share, such as 1 in 10: the part gets
/// its turns evenly spread, so that it is on its share in any short window.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Returns the position of the part that the next request goes to.
    pub fn next(&mut self, parts: &[route::WeightedService]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|n| parts[*n].weight > 0);
        let best = weighted.max_by_key(|n| (self.credits[*n], std::cmp::Reverse(*n)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
