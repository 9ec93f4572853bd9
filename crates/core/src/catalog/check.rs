//! Consistency checks between records.

use std::collections;
use std::fmt;

use crate::name;
use crate::record;
use crate::secret;
use crate::suggest;

/// Returns all violations, both within single records and between records.
#[must_use]
pub fn violations(documents: &[record::Document]) -> Vec<record::Violation> {
    let mut check = Check::new(documents);
    for document in documents {
        check.violations.extend(document.violations());
        check.check_unique(document);
        check.check_references(document);
        check.check_claims(document);
    }
    check.violations
}

/// State of the checks: names that exist, and values that may occur only once.
#[derive(Debug, Default)]
struct Check<'a> {
    violations: Vec<record::Violation>,
    accounts: collections::BTreeSet<&'a str>,
    regions: collections::BTreeSet<&'a str>,
    zones: collections::BTreeSet<&'a str>,
    services: collections::BTreeSet<&'a str>,
    targets: collections::BTreeSet<&'a str>,
    ids: collections::BTreeSet<String>,
    digests: collections::BTreeSet<secret::Digest>,
    addresses: collections::BTreeMap<record::Address, &'a str>,
    zone_regions: collections::BTreeMap<&'a str, &'a str>,
    region_pairs: collections::BTreeMap<[&'a str; 2], &'a str>,
    routes: collections::BTreeMap<[&'a str; 2], &'a str>,
}

impl<'a> Check<'a> {
    fn new(documents: &'a [record::Document]) -> Self {
        let mut check = Self::default();
        for document in documents {
            if let Some(account) = &document.account {
                check.accounts.insert(account.name.as_str());
            }
            if let Some(region) = &document.region {
                check.regions.insert(region.name.as_str());
                check
                    .zones
                    .extend(region.zones.iter().map(name::Zone::as_str));
            }
            if let Some(service) = &document.service {
                check.services.insert(service.name.as_str());
            }
            if let Some(target) = &document.target {
                check.targets.insert(target.name.as_str());
            }
        }
        check
    }

    fn add_duplicate(&mut self, document: &record::Document, field: &str, reason: String) {
        self.add(document, field, record::Cause::Duplicate, reason);
    }

    fn add(
        &mut self,
        document: &record::Document,
        field: &str,
        cause: record::Cause,
        reason: String,
    ) {
        self.violations.push(record::Violation {
            record: document.id().unwrap_or_default(),
            field: field.to_owned(),
            cause,
            reason,
        });
    }

    /// Reports two records of the same kind and name.
    fn check_unique(&mut self, document: &record::Document) {
        let Some(id) = document.id() else { return };
        let kind = id.split('/').next().unwrap_or_default().to_owned();
        let reason =
            format!("another record has the same id, '{id}': give each record a unique name");
        if !self.ids.insert(id) {
            let field = if kind == "policy" {
                kind
            } else {
                format!("{kind}.name")
            };
            self.add_duplicate(document, &field, reason);
        }
    }

    /// Reports references to names that no record describes.
    fn check_references(&mut self, document: &record::Document) {
        if let Some(key) = &document.key {
            self.check_reference(document, "key.account", Kind::Account, &key.account);
        }
        if let Some(target) = &document.target {
            self.check_reference(document, "target.service", Kind::Service, &target.service);
            self.check_reference(document, "target.zone", Kind::Zone, &target.zone);
        }
        if let Some(link) = &document.link {
            for (index, region) in link.between.iter().enumerate() {
                self.check_reference(
                    document,
                    &format!("link.between[{index}]"),
                    Kind::Region,
                    region,
                );
            }
        }
        if let Some(shift) = &document.shift {
            self.check_reference(document, "shift.service", Kind::Service, &shift.service);
            self.check_reference(document, "shift.from", Kind::Region, &shift.from);
            self.check_reference(document, "shift.to", Kind::Region, &shift.to);
        }
        match document.drain.as_ref().map(|drain| &drain.subject) {
            Some(record::Subject::Target(name)) => {
                self.check_reference(document, "drain.subject.target", Kind::Target, name);
            }
            Some(record::Subject::Zone(name)) => {
                self.check_reference(document, "drain.subject.zone", Kind::Zone, name);
            }
            Some(record::Subject::Host(_) | record::Subject::Ended(_)) | None => {}
        }
    }

    fn check_reference(
        &mut self,
        document: &record::Document,
        field: &str,
        kind: Kind,
        name: &dyn fmt::Display,
    ) {
        let known_names = match kind {
            Kind::Account => &self.accounts,
            Kind::Region => &self.regions,
            Kind::Zone => &self.zones,
            Kind::Service => &self.services,
            Kind::Target => &self.targets,
        };
        let name = name.to_string();
        if known_names.contains(name.as_str()) {
            return;
        }
        let hint = suggest::nearest(&name, known_names.iter().copied());
        let hint = hint.map(|hint| format!(": did you mean '{hint}'?"));
        let reason = format!(
            "no record describes {kind} '{name}'{}",
            hint.unwrap_or_default()
        );
        self.add(document, field, record::Cause::Dangling, reason);
    }

    /// Reports values that two records claim: digests, addresses, zones, links and routes.
    fn check_claims(&mut self, document: &'a record::Document) {
        if let Some(key) = &document.key
            && !self.digests.insert(key.digest)
        {
            let reason = "another key has the same digest: issue a separate key".to_owned();
            self.add_duplicate(document, "key.digest", reason);
        }
        if let Some(target) = &document.target {
            let name = target.name.as_str();
            if let Some(other) = self.addresses.insert(target.address, name) {
                let reason = format!("target '{other}' has the same address, {}", target.address);
                self.add_duplicate(document, "target.address", reason);
            }
        }
        if let Some(region) = &document.region {
            self.check_zones(document, region);
        }
        if let Some(link) = &document.link {
            self.check_link(document, link);
        }
        if let Some(service) = &document.service {
            self.check_routes(document, service);
        }
    }

    /// Reports zones that two regions list.
    fn check_zones(&mut self, document: &record::Document, region: &'a record::Region) {
        for (index, zone) in region.zones.iter().enumerate() {
            let region_name = self
                .zone_regions
                .insert(zone.as_str(), region.name.as_str());
            if let Some(other) = region_name.filter(|name| *name != region.name.as_str()) {
                let reason = format!("zone '{zone}' is in region '{other}' too");
                self.add_duplicate(document, &format!("region.zones[{index}]"), reason);
            }
        }
    }

    /// Reports two links between the same regions.
    fn check_link(&mut self, document: &record::Document, link: &'a record::Link) {
        let [one, two] = &link.between;
        let mut pair = [one.as_str(), two.as_str()];
        pair.sort_unstable();
        let other = self.region_pairs.insert(pair, &link.name);
        if let Some(other) = other.filter(|other| *other != link.name) {
            let reason = format!("link '{other}' also connects {one} and {two}");
            self.add_duplicate(document, "link.between", reason);
        }
    }

    /// Reports routes with the same method and path.
    fn check_routes(&mut self, document: &record::Document, service: &'a record::Service) {
        let name = service.name.as_str();
        for (index, route) in service.routes.iter().enumerate() {
            for method in &route.methods {
                let method_and_path = [method.as_str(), route.path.as_str()];
                if let Some(other) = self.routes.insert(method_and_path, name) {
                    let path = &route.path;
                    let reason =
                        format!("service '{other}' already has a route for {method} {path}");
                    self.add_duplicate(document, &format!("service.routes[{index}].path"), reason);
                }
            }
        }
    }
}

/// Kinds of records that other records refer to.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Account,
    Region,
    Zone,
    Service,
    Target,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Account => "client account",
            Self::Region => "region",
            Self::Zone => "availability zone",
            Self::Service => "service",
            Self::Target => "target",
        })
    }
}
