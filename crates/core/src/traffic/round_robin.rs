//! Smooth weighted round robin over the services of a split route.

use super::processing_time;
use super::route;

/// Largest number of requests that are skipped at the beginning.
const MAX_SKIPPED: u32 = 1_000;

/// Smooth weighted round robin over the services of one route.
///
/// The requests of a service with a small weight, such as 1 in 10, are spread evenly, so
/// that any short window contains the ratio that its weight asks for. Hosts with different
/// phases begin at different requests of the cycle. Otherwise each host would send its first
/// requests to the service with the largest weight, and so would a whole fleet whose hosts get
/// only a few each.
#[derive(Clone, Debug)]
pub struct RoundRobin {
    /// Part of the cycle that is skipped, from 0 up to 1.
    phase: f64,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Creates a round robin that begins after a part of its cycle, from 0 up to 1.
    #[must_use]
    pub const fn new(phase: f64) -> Self {
        Self {
            phase,
            credits: Vec::new(),
        }
    }

    /// Returns the position of the service for the next request, if any has a weight.
    pub fn next(&mut self, services: &[route::WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.begin(services);
        }
        self.step(services)
    }

    fn begin(&mut self, services: &[route::WeightedService]) {
        self.credits = vec![0; services.len()];
        let weights = services.iter().map(|service| u64::from(service.weight));
        let total: u64 = weights.clone().sum();
        let cycle = total / weights.fold(0, greatest_divisor).max(1);
        let cycle = u32::try_from(cycle).map_or(MAX_SKIPPED, |cycle| cycle.min(MAX_SKIPPED));
        for _skipped in 0..processing_time::to_u64(self.phase * f64::from(cycle)) {
            self.step(services);
        }
    }

    fn step(&mut self, services: &[route::WeightedService]) -> Option<usize> {
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

/// Returns the greatest common divisor of two numbers; that of 0 and a number is the number.
const fn greatest_divisor(a: u64, b: u64) -> u64 {
    let (mut a, mut b) = (a, b);
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}
