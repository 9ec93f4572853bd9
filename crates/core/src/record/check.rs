//! Validation of one record by itself.

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

/// A field whose value violates a rule for records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Violation {
    /// Identity of the invalid record, such as `account/boat-club`.
    pub record: String,
    /// Path of the field, such as `account.rate`.
    pub field: String,
    /// Category of the violated rule.
    pub cause: Cause,
    /// What is wrong and which values are allowed.
    pub reason: String,
}

/// Category of a violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// The value is out of range or malformed.
    Value,
    /// The value contradicts the value of the named field.
    Contradiction(&'static str),
    /// The value refers to something that no record defines.
    Dangling,
    /// Another record already has the value.
    Duplicate,
}

impl super::Document {
    /// Returns every violation that is visible within this record alone.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Violations {
            record: self.id().unwrap_or_else(|| "document".to_owned()),
            list: Vec::new(),
        };
        violations.range(
            "schema",
            self.schema,
            Self::OLDEST_SCHEMA,
            Self::NEWEST_SCHEMA,
        );
        if self.id().is_none() {
            violations.add("schema", "a document holds exactly one record");
        }
        self.check_record(&mut violations);
        violations.root_causes()
    }

    fn check_record(&self, violations: &mut Violations) {
        if let Some(account) = &self.account {
            self.check_account(account, violations);
        }
        if let Some(key) = &self.key {
            violations.name("key.name", &key.name);
        }
        if let Some(region) = &self.region {
            check_region(region, violations);
        }
        if let Some(link) = &self.link {
            check_link(link, violations);
        }
        if let Some(service) = &self.service {
            check_service(service, violations);
        }
        if let Some(target) = &self.target {
            check_target(target, violations);
        }
        if let Some(shift) = &self.shift {
            check_shift(shift, violations);
        }
        if let Some(drain) = &self.drain {
            violations.name("drain.name", &drain.name);
        }
        if let Some(policy) = &self.policy {
            check_policy(policy, violations);
        }
    }

    fn check_account(&self, account: &super::Account, violations: &mut Violations) {
        violations.rate("account.rate", account.rate);
        violations.range("account.burst", account.burst, 1, MAX_BURST);
        if self.schema < Self::NEWEST_SCHEMA && account.class.is_some() {
            let reason = "requires schema 2: write `schema: 2` or remove the field";
            violations.contradict("account.class", "schema", reason);
        }
    }
}

struct Violations {
    record: String,
    list: Vec<Violation>,
}

impl Violations {
    fn push(&mut self, field: &str, cause: Cause, reason: String) {
        self.list.push(Violation {
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
            let reason = format!("{value} is out of range: allowed values are {min} to {max}");
            self.push(field, Cause::Value, reason);
        }
    }

    fn duration(
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
            self.add(field, "0/s is out of range: write 1/s or more");
        }
    }

    fn name(&mut self, field: &str, text: &str) {
        if name::check("record", text).is_err() {
            self.add(
                field,
                "is not a valid name: use 1 to 63 of a-z, 0-9, '-' and '.'",
            );
        }
    }

    /// Leaves out contradictions with a field that is itself invalid.
    fn root_causes(self) -> Vec<Violation> {
        let fields: Vec<String> = self
            .list
            .iter()
            .map(|violation| violation.field.clone())
            .collect();
        let is_root_cause = |violation: &Violation| match violation.cause {
            Cause::Contradiction(other) => !fields.iter().any(|field| field == other),
            _ => true,
        };
        self.list.into_iter().filter(is_root_cause).collect()
    }
}

fn check_region(region: &super::Region, violations: &mut Violations) {
    if region.zones.is_empty() {
        violations.add("region.zones", "is empty: name at least one zone");
    }
    let mut known = collections::BTreeSet::new();
    for (index, zone) in region.zones.iter().enumerate() {
        if !known.insert(zone) {
            let reason = format!("zone '{zone}' is listed twice");
            violations.add(&format!("region.zones[{index}]"), &reason);
        }
    }
    violations.duration(
        "region.delay",
        region.delay,
        time::Duration::ZERO,
        MAX_DELAY,
    );
}

fn check_link(link: &super::Link, violations: &mut Violations) {
    violations.name("link.name", &link.name);
    if link.between[0] == link.between[1] {
        let reason = format!(
            "links region '{}' with itself: name two different regions",
            link.between[0]
        );
        violations.add("link.between", &reason);
    }
    if link.bandwidth.bytes_per_second() == 0 {
        let reason = "0 Mbit/s is out of range: write 1 Mbit/s or more";
        violations.add("link.bandwidth", reason);
    }
    violations.duration("link.delay", link.delay, time::Duration::ZERO, MAX_DELAY);
}

fn check_service(service: &super::Service, violations: &mut Violations) {
    if service.routes.is_empty() {
        violations.add("service.routes", "is empty: write at least one route");
    }
    for (index, route) in service.routes.iter().enumerate() {
        check_route(route, &format!("service.routes[{index}]"), violations);
    }
    let min = time::Duration::from_millis(1);
    violations.duration("service.deadline", service.deadline, min, MAX_DEADLINE);
    violations.range("service.queue", service.queue, 0, MAX_QUEUE);
    let good = service.objective.good;
    if good == unit::Percent::WHOLE || good.basis_points() == 0 {
        let reason = format!("{good} is out of range: allowed values are 0.01% to 99.99%");
        violations.add("service.objective.good", &reason);
    }
    let within = service.objective.within;
    violations.duration("service.objective.within", within, min, MAX_DEADLINE);
    if within > service.deadline {
        let reason = format!(
            "{within} is longer than the service's deadline of {}: \
             an answer after the deadline never meets the objective",
            service.deadline
        );
        violations.contradict("service.objective.within", "service.deadline", &reason);
    }
}

fn check_route(route: &super::Route, path: &str, violations: &mut Violations) {
    if route.methods.is_empty() {
        violations.add(
            &format!("{path}.methods"),
            "is empty: write at least one method",
        );
    }
    for (index, method) in route.methods.iter().enumerate() {
        if !METHODS.contains(&method.as_str()) {
            let hint = crate::suggest::hint(&method.to_uppercase(), METHODS);
            let reason = format!("'{method}' is not a supported HTTP method: {hint}");
            violations.add(&format!("{path}.methods[{index}]"), &reason);
        }
    }
    let is_path_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if !route.path.starts_with('/') || !route.path.chars().all(is_path_char) {
        let reason = format!(
            "'{}' is not a valid path: begin with '/' and write it without spaces, '?' and '#'",
            route.path
        );
        violations.add(&format!("{path}.path"), &reason);
    }
}

fn check_target(target: &super::Target, violations: &mut Violations) {
    violations.range("target.slots", target.slots, 1, MAX_SLOTS);
    violations.range("target.connections", target.connections, 1, MAX_CONNECTIONS);
    if target.connections < target.slots {
        let reason = format!(
            "{} connections cannot carry {} slots: allow at least as many connections as slots",
            target.connections, target.slots
        );
        violations.contradict("target.connections", "target.slots", &reason);
    }
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        let reason =
            "is not an address that can be reached: write an IP address and a port above 0";
        violations.add("target.address", reason);
    }
}

fn check_shift(shift: &super::Shift, violations: &mut Violations) {
    violations.name("shift.name", &shift.name);
    if shift.from == shift.to {
        let reason = format!(
            "shifts traffic from region '{}' to itself: name two different regions",
            shift.from
        );
        violations.contradict("shift.to", "shift.from", &reason);
    }
    if shift.part.basis_points() == 0 {
        let reason = "0% moves no traffic: write 0.01% to 100%, or remove the shift";
        violations.add("shift.part", reason);
    }
    violations.rate("shift.cap", shift.cap);
}

fn check_policy(policy: &super::Policy, violations: &mut Violations) {
    let stale_after = policy.stale_after;
    violations.duration(
        "policy.stale_after",
        stale_after,
        MIN_STALE_AFTER,
        MAX_STALE_AFTER,
    );
    let answer_ttl = policy.answer_ttl;
    violations.duration(
        "policy.answer_ttl",
        answer_ttl,
        MIN_ANSWER_TTL,
        MAX_ANSWER_TTL,
    );
}
