//! What a relay tells other availability zones of its own one.

use std::collections;
use std::hash;
use std::ops;
use std::time;

use crate::name;

use super::report;

/// What a relay tells other availability zones of its own one.
///
/// It answers fleets in which a report from each host to each would fill the
/// links between zones: the demand of a zone's hosts is added up, and only the
/// first hosts of each zone exchange the sums.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The availability zone.
    pub zone: name::Zone,
    /// Its hosts, with the milliseconds since each was heard.
    pub members: Vec<(report::Member, u16)>,
    /// What their callers ask for together.
    pub demand: report::Demand,
    /// Fingerprints of requests under which targets crashed lately.
    pub deaths: Vec<(u64, name::Target)>,
}

impl Summary {
    /// Adds up the reports of a zone's hosts, each with the time since it was heard.
    #[must_use]
    pub fn new<'a>(
        zone: &name::Zone,
        reports: impl Iterator<Item = (&'a report::Report, time::Duration)>,
    ) -> Self {
        let mut accounts = collections::BTreeMap::new();
        let mut services = collections::BTreeMap::new();
        let mut loads = collections::BTreeMap::new();
        let mut deaths = collections::BTreeSet::new();
        let mut members = Vec::new();
        for (report, age) in reports {
            let millis = u16::try_from(age.as_millis()).unwrap_or(u16::MAX);
            members.push((report.member.clone(), millis));
            add(&mut accounts, &report.demand.accounts);
            add(&mut services, &report.demand.services);
            add(&mut loads, &report.demand.loads);
            deaths.extend(report.deaths.iter().cloned());
        }
        Self {
            zone: zone.clone(),
            members,
            demand: report::Demand {
                accounts: accounts.into_iter().collect(),
                services: services.into_iter().collect(),
                loads: loads.into_iter().collect(),
            },
            deaths: deaths.into_iter().collect(),
        }
    }
}

fn add<K, V>(sums: &mut collections::BTreeMap<K, V>, parts: &[(K, V)])
where
    K: Copy + Ord + hash::Hash,
    V: Copy + Default + ops::AddAssign,
{
    for (key, value) in parts {
        *sums.entry(*key).or_default() += *value;
    }
}
