//! A small deployment for the tests of request steering.

use std::sync;
use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::traffic;

pub(crate) type Dispatcher = traffic::Dispatcher<u32>;

/// Latency objective of the routes.
pub(crate) const OBJECTIVE: time::Duration = time::Duration::from_millis(250);
/// Processing time of a request at a target that is warm for its key.
pub(crate) const WARM_TIME: time::Duration = time::Duration::from_millis(72);
/// Processing time of a request at a target that is not warm for its key.
pub(crate) const COLD_TIME: time::Duration = time::Duration::from_millis(240);

pub(crate) fn at(millis: u64) -> instant::Instant {
    instant::Instant::from_millis(millis)
}

pub(crate) fn zone(name: &str) -> name::Zone {
    name::Zone::new(name).expect("zone")
}

pub(crate) fn service() -> name::Service {
    name::Service::new("ledger").expect("service")
}

pub(crate) fn topology() -> traffic::Topology {
    let zones = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
        ("c2", "c"),
    ];
    traffic::Topology::new(
        zones.map(|(zone_name, region)| {
            (zone(zone_name), name::Region::new(region).expect("region"))
        }),
    )
}

pub(crate) fn target(id: &str, zone_name: &str, slots: u32) -> traffic::Target {
    traffic::Target {
        id: name::Target::new(id).expect("target"),
        service: service(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: zone(zone_name),
        slots,
        state: traffic::TargetState::Ready,
        warmup_left: time::Duration::ZERO,
        started_millis: Some(1),
        sequence: 1,
    }
}

pub(crate) fn route(name: &str, priority: u8) -> traffic::Route {
    traffic::Route {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        idempotency: traffic::Idempotency::Idempotent,
        timeout: time::Duration::from_secs(1),
        objective: OBJECTIVE,
        priority,
        split: vec![traffic::WeightedService {
            service: service(),
            weight: 1,
        }],
        max_attempts: 2,
        access: record::Access::Open,
        has_affinity: true,
        regions: Vec::new(),
    }
}

pub(crate) fn rules(version: u64, routes: &[traffic::Route]) -> sync::Arc<traffic::Rules> {
    let mut rules = traffic::Rules {
        version,
        ..traffic::Rules::default()
    };
    let limits = traffic::ServiceLimits {
        warmup: time::Duration::from_secs(3),
        cold_rate: Some(15.0),
        max_connections: 300,
    };
    rules.services.insert(service(), limits);
    for route in routes {
        rules.add_route("shop.example", route.clone());
    }
    sync::Arc::new(rules)
}

/// Returns rules with an account whose rate and burst are equal, in requests (a second).
pub(crate) fn rules_with_account(account: &name::Account, limit: u64) -> sync::Arc<traffic::Rules> {
    let tokens = budget::Amount::from_tokens(limit);
    let mut rules = traffic::Rules::clone(&rules(2, &[route("stock", 2)]));
    rules.accounts.push(sync::Arc::new(traffic::Account {
        name: account.clone(),
        keys: Vec::new(),
        priority: None,
        limit: Some(budget::Limit::new(tokens, tokens)),
        regions: Vec::new(),
    }));
    sync::Arc::new(rules)
}

pub(crate) fn dispatcher(host: &str, zone_name: &str, targets: &[traffic::Target]) -> Dispatcher {
    let region = topology().region(&zone(zone_name)).expect("region").clone();
    let identity = traffic::Identity {
        host: name::Host::new(host).expect("host"),
        zone: zone(zone_name),
        region,
    };
    let limits = traffic::RetryLimits {
        ratio: 0.2,
        allowance: 56.0,
    };
    let mut dispatcher = Dispatcher::new(identity, topology(), limits);
    assert!(dispatcher.set_rules(rules(1, &[route("stock", 2), route("pay", 0)]), at(0)));
    dispatcher.set_targets(targets, at(0));
    dispatcher
}

pub(crate) fn request(
    route_name: &str,
    priority: u8,
    key: &str,
    now: instant::Instant,
) -> traffic::Request {
    let route = sync::Arc::new(route(route_name, priority));
    traffic::Request {
        affinity_key: traffic::HashKey::new(&route.name, key.as_bytes()),
        deadline: now + route.timeout,
        route,
        account: None,
        service: service(),
        arrived: now,
        fingerprint: 0,
        tried: Vec::new(),
    }
}

pub(crate) fn sent_to(placement: &traffic::Placement) -> Option<&traffic::Pick> {
    match placement {
        traffic::Placement::Send(pick) => Some(pick),
        _ => None,
    }
}

pub(crate) fn report(host: &str, zone_name: &str, incarnation: u64) -> traffic::Report {
    traffic::Report {
        member: traffic::Member {
            host: name::Host::new(host).expect("host"),
            incarnation,
            zone: zone(zone_name),
            caller_address: "127.0.0.1:2".parse().expect("address"),
            control_address: "127.0.0.1:3".parse().expect("address"),
            phase: traffic::Phase::Ready,
            versions: traffic::Versions::default(),
            store_access: traffic::StoreAccess::Available,
        },
        demand: traffic::Demand::default(),
        crashes: Vec::new(),
        is_view_needed: false,
    }
}

pub(crate) fn row(key: &str, version: u64, value: Option<&str>) -> traffic::Row {
    traffic::Row {
        key: key.to_owned(),
        version: version.into(),
        value: value.map(|text| text.as_bytes().to_vec()),
    }
}
