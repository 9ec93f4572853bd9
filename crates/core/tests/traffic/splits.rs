//! Routes whose requests are split among services by weight.

use skylark_core::name;
use skylark_core::traffic;

use super::common;

/// Hosts of the largest deployment.
const HOSTS: u32 = 295;
/// Largest difference between a service's part of the requests and its weight.
const MAX_DIFFERENCE: f64 = 0.1;

fn split_route(weights: &[u32]) -> traffic::Route {
    let services = weights.iter().enumerate();
    let split = services.map(|(n, weight)| traffic::WeightedService {
        service: name::Service::new(&format!("s{n}")).expect("service"),
        weight: *weight,
    });
    traffic::Route {
        split: split.collect(),
        ..common::route("split", 1)
    }
}

/// Load pattern: each of many hosts gets only a few requests of a route with a split.
#[test]
fn a_fleet_keeps_the_weights_of_a_split_with_few_requests_a_host() {
    for weights in [&[1, 1][..], &[3, 1], &[7, 3], &[90, 10], &[1, 2, 2]] {
        let route = split_route(weights);
        let names = (0..HOSTS).map(|n| format!("h{n}"));
        let mut hosts: Vec<common::Dispatcher> = names
            .map(|name| common::dispatcher(&name, "a1", &[]))
            .collect();
        let mut counts = vec![0_u32; weights.len()];
        for round in 1..=4 {
            for host in &mut hosts {
                let service = host.choose_service(&route).expect("service");
                let position = route.split.iter().position(|part| part.service == service);
                counts[position.expect("a part of the split")] += 1;
            }
            let total: u32 = weights.iter().sum();
            for (count, weight) in counts.iter().zip(weights) {
                let share = f64::from(*count) / f64::from(HOSTS * round);
                let expected = f64::from(*weight) / f64::from(total);
                assert!(
                    (share - expected).abs() <= MAX_DIFFERENCE,
                    "{weights:?} after {round} requests a host: {share:.2} in place of {expected:.2}"
                );
            }
        }
    }
}
