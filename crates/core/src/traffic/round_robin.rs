//! Smooth weighted round robin over the services of a split route.

use super::route;

/// Smooth weighted round robin over the services of one route.
///
/// The requests of a service with a small weight, such as 1 in 10, are spread evenly, so
/// that any short window contains the ratio that its weight asks for.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Returns the position of the service for the next request, if any has a weight.
    pub fn next(&mut self, services: &[route::WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let weighted = (0..services.len()).filter(|n| services[*n].weight > 0);
        let best = weighted.max_by_key(|n| (self.credits[*n], std::cmp::Reverse(*n)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
