//! Checks within one record.

use std::collections;
use std::time;

use crate::name;
use crate::unit;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const MAX_BURST: u64 = 1_000_000_000;
const MAX_SLOTS: u32 = 100_000;
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_QUEUE: u32 = 1_000_000;
const MAX_DELAY: time::Duration = time::Duration::from_secs(10);
const MAX_DEADLINE: time::Duration = time::Duration::from_hours(1);
const MIN_STALE_AFTER: time::Duration = time::Duration::from_secs(1);
const MAX_STALE_AFTER: time::Duration = time::Duration::from_mins(1);
const MIN_ANSWER_TTL: time::Duration = time::Duration::from_millis(100);
const MAX_ANSWER_TTL: time::Duration = time::Duration::from_mins(5);

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Violation {
    /// Identity of the record, such as `account/boat-club`.
    pub record: String,
    /// Path of the field, such as `account.rate`.
    pub field: String,
    /// Why the value is not allowed.
    pub cause: Cause,
    /// What is wrong and what is allowed.
    pub reason: String,
}

/// Why a value is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// The value is out of range or malformed.
    Value,
    /// The value contradicts the field that is named here.
    Contradiction(&'static str),
    /// The value names what no record describes.
    Dangling,
    /// Another record claims the value.
    Duplicate,
}

impl super::Document {
    /// Returns every field whose value is not allowed, judged by this record alone.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut flaws = Violations {
            record: self.id().unwrap_or_else(|| "document".to_owned()),
            found: Vec::new(),
        };
        flaws.range(
            "schema",
            self.schema,
            Self::OLDEST_SCHEMA,
            Self::NEWEST_SCHEMA,
        );
        if self.id().is_none() {
            flaws.add("schema", "a document holds exactly one record");
        }
        self.each(&mut flaws);
        flaws.independent()
    }

    fn each(&self, flaws: &mut Violations) {
        if let Some(account) = &self.account {
            self.account(account, flaws);
        }
        if let Some(key) = &self.key {
            flaws.name("key.name", &key.name);
        }
        if let Some(region) = &self.region {
            check_region(region, flaws);
        }
        if let Some(link) = &self.link {
            check_link(link, flaws);
        }
        if let Some(service) = &self.service {
            check_service(service, flaws);
        }
        if let Some(target) = &self.target {
            check_target(target, flaws);
        }
        if let Some(shift) = &self.shift {
            check_shift(shift, flaws);
        }
        if let Some(drain) = &self.drain {
            flaws.name("drain.name", &drain.name);
        }
        if let Some(policy) = &self.policy {
            check_policy(policy, flaws);
        }
    }

    fn account(&self, account: &super::Account, flaws: &mut Violations) {
        flaws.rate("account.rate", account.rate);
        flaws.range("account.burst", account.burst, 1, MAX_BURST);
        if self.schema < Self::NEWEST_SCHEMA && account.class.is_some() {
            let reason = "comes with schema 2: write `schema: 2`, or leave the field out";
            flaws.contradict("account.class", "schema", reason);
        }
    }
}

struct Violations {
    record: String,
    found: Vec<Violation>,
}

impl Violations {
    fn push(&mut self, field: &str, cause: Cause, reason: String) {
        self.found.push(Violation {
            record: self.record.clone(),
            field: field.to_owned(),
            cause,
            reason,
        });
    }

    fn add(&mut self, field: &str, reason: &str) {
        self.push(field, Cause::Value, reason.to_owned());
    }

    fn contradict(&mut self, field: &str, other: &'static str, reason: &str) {
        self.push(field, Cause::Contradiction(other), reason.to_owned());
    }

    fn range<T: Copy + PartialOrd + std::fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        min: T,
        max: T,
    ) {
        if value < min || value > max {
            let reason = format!("{value} is out of range: allowed is {min} to {max}");
            self.push(field, Cause::Value, reason);
        }
    }

    fn span(
        &mut self,
        field: &str,
        value: unit::HumanDuration,
        min: time::Duration,
        max: time::Duration,
    ) {
        self.range(
            field,
            value,
            unit::HumanDuration::new(min),
            unit::HumanDuration::new(max),
        );
    }

    fn rate(&mut self, field: &str, rate: unit::Rate) {
        if rate.get() == 0 {
            self.add(field, "0/s is out of range: allowed is 1/s and more");
        }
    }

    fn name(&mut self, field: &str, text: &str) {
        if name::check("record", text).is_err() {
            self.add(field, "is no name: use 1 to 63 of a-z, 0-9, '-' and '.'");
        }
    }

    /// Leaves out contradictions with a field that has a flaw itself.
    fn independent(self) -> Vec<Violation> {
        let fields: Vec<String> = self.found.iter().map(|flaw| flaw.field.clone()).collect();
        let is_independent = |flaw: &Violation| match flaw.cause {
            Cause::Contradiction(other) => !fields.iter().any(|field| field == other),
            _ => true,
        };
        self.found.into_iter().filter(is_independent).collect()
    }
}

fn check_region(region: &super::Region, flaws: &mut Violations) {
    if region.zones.is_empty() {
        flaws.add("region.zones", "is empty: name at least one zone");
    }
    let mut known = collections::BTreeSet::new();
    for (index, zone) in region.zones.iter().enumerate() {
        if !known.insert(zone) {
            let reason = format!("zone '{zone}' stands here twice");
            flaws.add(&format!("region.zones[{index}]"), &reason);
        }
    }
    flaws.span(
        "region.delay",
        region.delay,
        time::Duration::ZERO,
        MAX_DELAY,
    );
}

fn check_link(link: &super::Link, flaws: &mut Violations) {
    flaws.name("link.name", &link.name);
    if link.between[0] == link.between[1] {
        let reason = format!("links region '{}' with itself: name two", link.between[0]);
        flaws.add("link.between", &reason);
    }
    if link.bandwidth.bytes_per_second() == 0 {
        let reason = "0 Mbit/s is out of range: allowed is 1 Mbit/s and more";
        flaws.add("link.bandwidth", reason);
    }
    flaws.span("link.delay", link.delay, time::Duration::ZERO, MAX_DELAY);
}

fn check_service(service: &super::Service, flaws: &mut Violations) {
    if service.routes.is_empty() {
        flaws.add("service.routes", "is empty: write at least one route");
    }
    for (index, route) in service.routes.iter().enumerate() {
        check_route(route, &format!("service.routes[{index}]"), flaws);
    }
    let shortest = time::Duration::from_millis(1);
    flaws.span("service.deadline", service.deadline, shortest, MAX_DEADLINE);
    flaws.range("service.queue", service.queue, 0, MAX_QUEUE);
    let good = service.objective.good;
    if good == unit::Percent::WHOLE || good.basis_points() == 0 {
        let reason = format!("{good} is out of range: allowed is 0.01% to 99.99%");
        flaws.add("service.objective.good", &reason);
    }
    let within = service.objective.within;
    flaws.span("service.objective.within", within, shortest, MAX_DEADLINE);
    if within > service.deadline {
        let reason = format!(
            "{within} is longer than the service's deadline of {}: \
             an answer after the deadline is never good",
            service.deadline
        );
        flaws.contradict("service.objective.within", "service.deadline", &reason);
    }
}

fn check_route(route: &super::Route, path: &str, flaws: &mut Violations) {
    if route.methods.is_empty() {
        flaws.add(&format!("{path}.methods"), "is empty: write at least one");
    }
    for (index, method) in route.methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let hint = crate::suggest::hint(&method.to_uppercase(), METHODS);
            let reason = format!("'{method}' is no HTTP method: {hint}");
            flaws.add(&format!("{path}.methods[{index}]"), &reason);
        }
    }
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !route.path.starts_with('/') || !route.path.chars().all(is_plain) {
        let reason = format!(
            "'{}' is no path: begin with '/', without spaces, '?' and '#'",
            route.path
        );
        flaws.add(&format!("{path}.path"), &reason);
    }
}

fn check_target(target: &super::Target, flaws: &mut Violations) {
    flaws.range("target.slots", target.slots, 1, MAX_SLOTS);
    flaws.range("target.connections", target.connections, 1, MAX_CONNECTIONS);
    if target.connections < target.slots {
        let reason = format!(
            "{} connections cannot carry {} slots: allowed is as many as slots and more",
            target.connections, target.slots
        );
        flaws.contradict("target.connections", "target.slots", &reason);
    }
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        let reason = "no target can be reached there: write an IP address and a port above 0";
        flaws.add("target.address", reason);
    }
}

fn check_shift(shift: &super::Shift, flaws: &mut Violations) {
    flaws.name("shift.name", &shift.name);
    if shift.from == shift.to {
        let reason = format!("shifts from region '{}' to itself: name two", shift.from);
        flaws.contradict("shift.to", "shift.from", &reason);
    }
    if shift.part.basis_points() == 0 {
        let reason = "0% moves nothing: allowed is 0.01% to 100%, or remove the shift";
        flaws.add("shift.part", reason);
    }
    flaws.rate("shift.cap", shift.cap);
}

fn check_policy(policy: &super::Policy, flaws: &mut Violations) {
    let stale_after = policy.stale_after;
    flaws.span(
        "policy.stale_after",
        stale_after,
        MIN_STALE_AFTER,
        MAX_STALE_AFTER,
    );
    let answer_ttl = policy.answer_ttl;
    flaws.span(
        "policy.answer_ttl",
        answer_ttl,
        MIN_ANSWER_TTL,
        MAX_ANSWER_TTL,
    );
}
