//! Checks between records.

use std::collections;
use std::fmt;

use crate::name;
use crate::record;
use crate::secret;
use crate::suggest;

/// Returns every flaw of the records, each alone and together.
#[must_use]
pub fn violations(documents: &[record::Document]) -> Vec<record::Violation> {
    let mut check = Check::new(documents);
    for document in documents {
        check.found.extend(document.violations());
        check.unique(document);
        check.names(document);
        check.owners(document);
    }
    check.found
}

/// Names that records may refer to, and what is already taken.
#[derive(Debug, Default)]
struct Check<'a> {
    found: Vec<record::Violation>,
    accounts: collections::BTreeSet<&'a str>,
    regions: collections::BTreeSet<&'a str>,
    zones: collections::BTreeSet<&'a str>,
    services: collections::BTreeSet<&'a str>,
    targets: collections::BTreeSet<&'a str>,
    ids: collections::BTreeSet<String>,
    digests: collections::BTreeSet<secret::Digest>,
    addresses: collections::BTreeMap<record::Address, &'a str>,
    homes: collections::BTreeMap<&'a str, &'a str>,
    pairs: collections::BTreeMap<[&'a str; 2], &'a str>,
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

    fn taken(&mut self, document: &record::Document, field: &str, reason: String) {
        self.add(document, field, record::Cause::Duplicate, reason);
    }

    fn add(
        &mut self,
        document: &record::Document,
        field: &str,
        cause: record::Cause,
        reason: String,
    ) {
        self.found.push(record::Violation {
            record: document.id().unwrap_or_default(),
            field: field.to_owned(),
            cause,
            reason,
        });
    }

    /// Refuses two records of one kind and name.
    fn unique(&mut self, document: &record::Document) {
        let Some(id) = document.id() else { return };
        let kind = id.split('/').next().unwrap_or_default().to_owned();
        let reason = format!("another record is '{id}' too: names are used once");
        if !self.ids.insert(id) {
            let field = if kind == "policy" {
                kind
            } else {
                format!("{kind}.name")
            };
            self.taken(document, &field, reason);
        }
    }

    /// Refuses names that no record describes.
    fn names(&mut self, document: &record::Document) {
        if let Some(key) = &document.key {
            self.known(document, "key.account", Kind::Account, &key.account);
        }
        if let Some(target) = &document.target {
            self.known(document, "target.service", Kind::Service, &target.service);
            self.known(document, "target.zone", Kind::Zone, &target.zone);
        }
        if let Some(link) = &document.link {
            for (index, region) in link.between.iter().enumerate() {
                self.known(
                    document,
                    &format!("link.between[{index}]"),
                    Kind::Region,
                    region,
                );
            }
        }
        if let Some(shift) = &document.shift {
            self.known(document, "shift.service", Kind::Service, &shift.service);
            self.known(document, "shift.from", Kind::Region, &shift.from);
            self.known(document, "shift.to", Kind::Region, &shift.to);
        }
        match document.drain.as_ref().map(|drain| &drain.subject) {
            Some(record::Subject::Target(name)) => {
                self.known(document, "drain.subject.target", Kind::Target, name);
            }
            Some(record::Subject::Zone(name)) => {
                self.known(document, "drain.subject.zone", Kind::Zone, name);
            }
            Some(record::Subject::Host(_) | record::Subject::Ended(_)) | None => {}
        }
    }

    fn known(
        &mut self,
        document: &record::Document,
        field: &str,
        kind: Kind,
        name: &dyn fmt::Display,
    ) {
        let known = match kind {
            Kind::Account => &self.accounts,
            Kind::Region => &self.regions,
            Kind::Zone => &self.zones,
            Kind::Service => &self.services,
            Kind::Target => &self.targets,
        };
        let name = name.to_string();
        if known.contains(name.as_str()) {
            return;
        }
        let hint = suggest::nearest(&name, known.iter().copied());
        let hint = hint.map(|hint| format!(": did you mean '{hint}'?"));
        let reason = format!(
            "no record describes {kind} '{name}'{}",
            hint.unwrap_or_default()
        );
        self.add(document, field, record::Cause::Dangling, reason);
    }

    /// Refuses things that two records claim.
    fn owners(&mut self, document: &'a record::Document) {
        if let Some(key) = &document.key
            && !self.digests.insert(key.digest)
        {
            let reason = "another key has this digest: issue a key of its own".to_owned();
            self.taken(document, "key.digest", reason);
        }
        if let Some(target) = &document.target {
            let name = target.name.as_str();
            if let Some(other) = self.addresses.insert(target.address, name) {
                let reason = format!("target '{other}' has address {} too", target.address);
                self.taken(document, "target.address", reason);
            }
        }
        if let Some(region) = &document.region {
            self.region(document, region);
        }
        if let Some(link) = &document.link {
            self.link(document, link);
        }
        if let Some(service) = &document.service {
            self.service(document, service);
        }
    }

    fn region(&mut self, document: &record::Document, region: &'a record::Region) {
        for (index, zone) in region.zones.iter().enumerate() {
            let home = self.homes.insert(zone.as_str(), region.name.as_str());
            if let Some(other) = home.filter(|home| *home != region.name.as_str()) {
                let reason = format!("zone '{zone}' is in region '{other}' too");
                self.taken(document, &format!("region.zones[{index}]"), reason);
            }
        }
    }

    fn link(&mut self, document: &record::Document, link: &'a record::Link) {
        let [one, other] = &link.between;
        let mut pair = [one.as_str(), other.as_str()];
        pair.sort_unstable();
        let known = self.pairs.insert(pair, &link.name);
        if let Some(known) = known.filter(|known| *known != link.name) {
            let reason = format!("link '{known}' is between {one} and {other} too");
            self.taken(document, "link.between", reason);
        }
    }

    fn service(&mut self, document: &record::Document, service: &'a record::Service) {
        let name = service.name.as_str();
        for (index, route) in service.routes.iter().enumerate() {
            for method in &route.methods {
                let place = [method.as_str(), route.path.as_str()];
                if let Some(other) = self.routes.insert(place, name) {
                    let path = &route.path;
                    let reason = format!("service '{other}' takes {method} {path} already");
                    self.taken(document, &format!("service.routes[{index}].path"), reason);
                }
            }
        }
    }
}

/// Kinds of records that others name.
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
