//! Construction of the catalog from records.

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
    /// Returns the first violation, within or between records; [`super::violations`] returns all.
    pub fn new(version: unit::Version, documents: &[record::Document]) -> Result<Self> {
        if let Some(violation) = super::violations(documents).into_iter().next() {
            return Err(error::Error::Contradiction {
                record: violation.record,
                reason: format!("{}: {}", violation.field, violation.reason),
            });
        }
        let mut catalog = Self {
            version,
            ..Self::default()
        };
        for document in documents {
            catalog.insert(document);
        }
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
}
