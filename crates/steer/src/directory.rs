//! Directory of the entry hosts: one list for each availability zone, written by the zone's member.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::peer;

/// Latest contact from a host in this host's zone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Contact {
    host: control::Host,
    installed: unit::Version,
    at: instant::Instant,
}

/// Lists of entry hosts by availability zone, with the contacts from which the own list is made.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listings: collections::BTreeMap<name::Zone, peer::Listing>,
    contacts: collections::BTreeMap<name::Host, Contact>,
    leaving: collections::BTreeSet<String>,
}

impl Directory {
    /// Records that a host in this host's zone was heard from.
    pub fn record_contact(
        &mut self,
        host: control::Host,
        installed: unit::Version,
        now: instant::Instant,
    ) {
        let contact = Contact {
            host,
            installed,
            at: now,
        };
        self.contacts.insert(contact.host.host.clone(), contact);
    }

    /// Sets the hosts that the platform is about to remove.
    ///
    /// The platform's list lags: a host that is missing from it is not assumed to be gone.
    pub fn set_leaving(&mut self, leaving: collections::BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// Merges a list from a peer or the table, and returns whether it was newer.
    pub fn merge(&mut self, listing: &peer::Listing, roster: &member::Roster) -> bool {
        let is_newer = self.listings.get(&listing.zone).is_none_or(|present| {
            if present.origin == listing.origin {
                return listing.serial > present.serial;
            }
            let zone_member = roster.zone_member(&listing.zone);
            zone_member.is_some_and(|member| member.incarnation == listing.origin)
        });
        if is_newer {
            self.listings.insert(listing.zone.clone(), listing.clone());
        }
        is_newer
    }

    /// Rebuilds the list of this member's own zone, and returns whether it changed.
    ///
    /// A new member starts from the previous member's list, so that the hosts stay listed until
    /// they have had time to contact the new member.
    pub fn rebuild(
        &mut self,
        member: &member::Member,
        silence_timeout: time::Duration,
        now: instant::Instant,
    ) -> bool {
        let current = self.listings.get(&member.zone);
        let serial = current.map_or(0, |listing| listing.serial);
        if let Some(inherited) = current
            .filter(|listing| listing.origin != member.incarnation)
            .cloned()
        {
            for host in inherited.hosts {
                let name = host.host.clone();
                self.contacts.entry(name).or_insert(Contact {
                    host,
                    installed: unit::Version::NONE,
                    at: now,
                });
            }
        }
        self.contacts
            .retain(|_name, contact| now.since(contact.at) < silence_timeout);
        let hosts: Vec<control::Host> = self.contacts.values().map(|c| self.listed(c)).collect();
        let is_unchanged = self
            .listings
            .get(&member.zone)
            .is_some_and(|listing| listing.origin == member.incarnation && listing.hosts == hosts);
        if is_unchanged {
            return false;
        }
        let listing = peer::Listing {
            zone: member.zone.clone(),
            origin: member.incarnation.clone(),
            serial: serial + 1,
            hosts,
        };
        self.listings.insert(member.zone.clone(), listing);
        true
    }

    fn listed(&self, contact: &Contact) -> control::Host {
        let mut host = contact.host.clone();
        if self.leaving.contains(host.host.as_str()) {
            host.phase = control::Phase::Leaving;
        }
        host
    }

    /// Returns the hosts of the zones that have a member in the roster.
    pub fn hosts(&self, roster: &member::Roster) -> Vec<control::Host> {
        let listings = self.listings.values();
        listings
            .filter(|listing| roster.zone_member(&listing.zone).is_some())
            .flat_map(|listing| listing.hosts.iter().cloned())
            .collect()
    }

    /// Returns the entity tag of each list.
    pub fn etags(&self) -> collections::BTreeMap<name::Zone, u64> {
        let etag = |(zone, listing): (&name::Zone, &peer::Listing)| (zone.clone(), listing.etag());
        self.listings.iter().map(etag).collect()
    }

    /// Returns the lists whose entity tags differ from the given ones.
    pub fn differing(&self, etags: &collections::BTreeMap<name::Zone, u64>) -> Vec<peer::Listing> {
        let listings = self.listings.values();
        listings
            .filter(|listing| etags.get(&listing.zone) != Some(&listing.etag()))
            .cloned()
            .collect()
    }

    /// Returns the list of a zone, or `None` if the text is no valid name of a zone.
    pub fn listing_by_name(&self, zone: &str) -> Option<&peer::Listing> {
        let zone = name::Zone::new(zone).ok()?;
        self.listings.get(&zone)
    }

    /// Returns the list of a zone.
    pub fn listing(&self, zone: &name::Zone) -> Option<&peer::Listing> {
        self.listings.get(zone)
    }

    /// Returns the oldest version that a host of this member's zone has in force.
    pub fn oldest_version(&self) -> Option<unit::Version> {
        self.contacts
            .values()
            .map(|contact| contact.installed)
            .min()
    }
}
