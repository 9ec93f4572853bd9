//! Building the catalog from records, with the checks between records.

use crate::error;
use crate::record;
use crate::unit;

use super::Catalog;

type Result<T> = std::result::Result<T, error::Error>;

impl Catalog {
    /// Builds the catalog of a version from its records.
    ///
    /// # Errors
    ///
    /// Fails when a record names what no record describes.
    pub fn new(version: unit::Version, documents: &[record::Document]) -> Result<Self> {
        let mut catalog = Self {
            version,
            ..Self::default()
        };
        for document in documents {
            catalog.insert(document);
        }
        catalog.check()?;
        Ok(catalog)
    }

    fn insert(&mut self, document: &record::Document) {
        if let Some(account) = &document.account {
            self.accounts.insert(account.name.clone(), account.clone());
        }
        if let Some(key) = &document.key {
            self.insert_key(key);
        }
        if let Some(region) = &document.region {
            self.insert_region(region);
        }
        if let Some(service) = &document.service {
            self.services.insert(service.name.clone(), service.clone());
        }
        if let Some(target) = &document.target {
            self.targets.insert(target.name.clone(), target.clone());
        }
        self.links.extend(document.link.clone());
        self.shifts.extend(document.shift.clone());
        self.drains.extend(document.drain.clone());
        self.policy = document.policy.unwrap_or(self.policy);
    }

    fn insert_key(&mut self, key: &record::Key) {
        if key.state == record::State::Valid {
            self.keys.insert(key.digest, key.clone());
        }
    }

    fn insert_region(&mut self, region: &record::Region) {
        for zone in &region.zones {
            self.zones.insert(zone.clone(), region.name.clone());
        }
        self.regions.insert(region.name.clone(), region.clone());
    }

    fn check(&self) -> Result<()> {
        for key in self.keys.values() {
            known(
                self.accounts.contains_key(&key.account),
                "key",
                &key.name,
                "account",
                &key.account,
            )?;
        }
        for target in self.targets.values() {
            let record = target.name.as_str();
            known(
                self.services.contains_key(&target.service),
                "target",
                record,
                "service",
                &target.service,
            )?;
            known(
                self.zones.contains_key(&target.zone),
                "target",
                record,
                "zone",
                &target.zone,
            )?;
        }
        for link in &self.links {
            for region in &link.between {
                known(
                    self.regions.contains_key(region),
                    "link",
                    &link.name,
                    "region",
                    region,
                )?;
            }
        }
        for shift in &self.shifts {
            known(
                self.services.contains_key(&shift.service),
                "shift",
                &shift.name,
                "service",
                &shift.service,
            )?;
            for region in [&shift.from, &shift.to] {
                known(
                    self.regions.contains_key(region),
                    "shift",
                    &shift.name,
                    "region",
                    region,
                )?;
            }
        }
        Ok(())
    }
}

fn known(
    is_known: bool,
    record: &str,
    name: &str,
    kind: &'static str,
    missing: &dyn std::fmt::Display,
) -> Result<()> {
    if is_known {
        return Ok(());
    }
    Err(error::Error::Dangling {
        record: format!("{record}/{name}"),
        kind,
        name: missing.to_string(),
    })
}
