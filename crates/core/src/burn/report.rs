//! Burn rate report over all services and client accounts.

use std::collections;
use std::time;

use crate::catalog;
use crate::decision;
use crate::name;
use crate::record;
use crate::timestamp;
use crate::unit;

use super::bucket;
use super::count;
use super::latency;
use super::request_class;
use super::row;
use super::series;

/// Number of time steps in a series.
const SERIES_STEPS: u64 = 60;

/// Lengths of the time windows for burn rates, which end now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Windows {
    /// Short window, which shows current problems.
    pub short: unit::HumanDuration,
    /// Long window, which shows lasting problems.
    pub long: unit::HumanDuration,
}

/// Report on burn rates, with the worst-served client account first.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Arrival time of the first request.
    pub from: timestamp::Timestamp,
    /// Arrival time of the last request.
    pub to: timestamp::Timestamp,
    /// Lengths of the time windows.
    pub windows: Windows,
    /// Results for each service and client account, the most spent budget first.
    pub rows: Vec<row::Row>,
    /// Burn rate of each service over time.
    pub series: Vec<series::Series>,
    /// Number of requests whose service no record describes.
    pub unattributed: u64,
}

/// Request with its class.
struct ClassifiedRequest<'a> {
    decision: &'a decision::Decision,
    service: &'a record::Service,
    class: request_class::RequestClass,
}

type Key<'a> = (&'a name::Service, Option<&'a name::Account>);

impl Report {
    /// Computes the report as of `now` from decisions in any order.
    #[must_use]
    pub fn new(
        decisions: &[decision::Decision],
        catalog: &catalog::Catalog,
        windows: Windows,
        now: timestamp::Timestamp,
    ) -> Self {
        let mut ordered: Vec<&decision::Decision> = decisions.iter().collect();
        ordered.sort_by_key(|decision| decision.at);
        let from = ordered.first().map(|first| first.at).unwrap_or_default();
        let to = ordered.last().map(|last| last.at).unwrap_or_default();
        let classified = classify(&ordered, catalog);
        let mut groups: collections::BTreeMap<Key<'_>, Vec<&ClassifiedRequest<'_>>> =
            collections::BTreeMap::new();
        for request in &classified {
            let key = (&request.service.name, request.decision.account.as_ref());
            groups.entry(key).or_default().push(request);
        }
        let rows = groups.values().filter_map(|group| row(group, windows, now));
        let mut rows: Vec<row::Row> = rows.collect();
        rows.sort_by(worst_first);
        let attributed = u64::try_from(classified.len()).unwrap_or(u64::MAX);
        let total = u64::try_from(decisions.len()).unwrap_or(u64::MAX);
        Self {
            from,
            to,
            windows,
            rows,
            series: series(&classified, from, to),
            unattributed: total - attributed,
        }
    }
}

fn classify<'a>(
    ordered: &[&'a decision::Decision],
    catalog: &'a catalog::Catalog,
) -> Vec<ClassifiedRequest<'a>> {
    let mut buckets = collections::BTreeMap::new();
    let mut classified = Vec::new();
    for decision in ordered {
        let account = decision.account.as_ref();
        let account = account.and_then(|name| catalog.accounts.get(name));
        let has_token = account.is_none_or(|account| {
            let full = || bucket::Bucket::new(account, decision.at);
            let bucket = buckets.entry(&account.name).or_insert_with(full);
            bucket.charge(decision)
        });
        let service = decision.service.as_ref();
        let Some(service) = service.and_then(|name| catalog.services.get(name)) else {
            continue;
        };
        classified.push(ClassifiedRequest {
            decision,
            service,
            class: request_class::RequestClass::new(decision, &service.objective, has_token),
        });
    }
    classified
}

fn row(
    group: &[&ClassifiedRequest<'_>],
    windows: Windows,
    now: timestamp::Timestamp,
) -> Option<row::Row> {
    let first = group.first()?;
    let service = first.service;
    let allowed = allowed_fraction(service);
    let all = count(group.iter().copied());
    let recent = |window: unit::HumanDuration| {
        let since = earlier_by(now, window.get());
        count(
            group
                .iter()
                .copied()
                .filter(move |request| request.decision.at >= since),
        )
    };
    let answered = group
        .iter()
        .filter(|request| matches!(request.decision.verdict, decision::Verdict::Served { .. }));
    Some(row::Row {
        service: service.name.clone(),
        account: first.decision.account.clone(),
        objective: service.objective.good,
        within: service.objective.within,
        count: all,
        spent: all.burn_rate(allowed),
        short: recent(windows.short).burn_rate(allowed),
        long: recent(windows.long).burn_rate(allowed),
        latency: latency::Latency::new(answered.map(|request| request.decision.latency).collect()),
    })
}

fn count<'a>(requests: impl Iterator<Item = &'a ClassifiedRequest<'a>>) -> count::Count {
    let mut count = count::Count::default();
    for request in requests {
        count.add(request.class);
    }
    count
}

/// Returns the fraction of requests that may be bad.
fn allowed_fraction(service: &record::Service) -> f64 {
    let whole = unit::Percent::WHOLE.basis_points();
    let good = service.objective.good.basis_points();
    f64::from(whole - good) / f64::from(whole)
}

fn earlier_by(at: timestamp::Timestamp, span: time::Duration) -> timestamp::Timestamp {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    timestamp::Timestamp::from_millis(at.as_millis().saturating_sub(millis))
}

fn worst_first(one: &row::Row, other: &row::Row) -> std::cmp::Ordering {
    other
        .spent
        .total_cmp(&one.spent)
        .then_with(|| other.latency.p99.cmp(&one.latency.p99))
        .then_with(|| (&one.service, &one.account).cmp(&(&other.service, &other.account)))
}

fn series(
    classified: &[ClassifiedRequest<'_>],
    from: timestamp::Timestamp,
    to: timestamp::Timestamp,
) -> Vec<series::Series> {
    let duration = to.as_millis() - from.as_millis();
    let step = duration.div_ceil(SERIES_STEPS).max(1);
    let mut counts: collections::BTreeMap<
        &name::Service,
        collections::BTreeMap<u64, count::Count>,
    > = collections::BTreeMap::new();
    let mut allowed_by_service = collections::BTreeMap::new();
    for request in classified {
        let number = (request.decision.at.as_millis() - from.as_millis()) / step;
        let steps = counts.entry(&request.service.name).or_default();
        steps.entry(number).or_default().add(request.class);
        allowed_by_service.insert(&request.service.name, allowed_fraction(request.service));
    }
    let to_series =
        |(service, steps): (&name::Service, collections::BTreeMap<u64, count::Count>)| {
            let allowed = allowed_by_service.get(service).copied().unwrap_or(1.0);
            let points = steps.iter().map(|(number, count)| series::Point {
                at: timestamp::Timestamp::from_millis(from.as_millis() + number * step),
                burn_rate: count.burn_rate(allowed),
            });
            series::Series {
                service: service.clone(),
                points: points.collect(),
            }
        };
    counts.into_iter().map(to_series).collect()
}
