//! Which entry hosts each availability zone has, as its member lists them.

use std::collections;
use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::peer;

/// The last sign of life of a host in this host's zone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Heard {
    host: control::Host,
    installed: unit::Version,
    at: instant::Instant,
}

/// Lists of entry hosts, one for each availability zone, each written by the zone's member.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listings: collections::BTreeMap<name::Zone, peer::Listing>,
    heard: collections::BTreeMap<name::Host, Heard>,
    leaving: collections::BTreeSet<String>,
}

impl Directory {
    /// Takes note of a sign of life of a host in this host's zone.
    pub fn hear(&mut self, host: control::Host, installed: unit::Version, now: instant::Instant) {
        let heard = Heard {
            host,
            installed,
            at: now,
        };
        self.heard.insert(heard.host.host.clone(), heard);
    }

    /// Takes note of the hosts that the platform is about to take away.
    ///
    /// The platform's list lags: a host that it does not show is not taken for dead.
    pub fn leave(&mut self, leaving: collections::BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// Takes a list from a peer or the table; returns whether it is newer.
    pub fn take(&mut self, listing: &peer::Listing, roster: &member::Roster) -> bool {
        let is_newer = self.listings.get(&listing.zone).is_none_or(|known| {
            if known.origin == listing.origin {
                return listing.serial > known.serial;
            }
            let writer = roster.zone_member(&listing.zone);
            writer.is_some_and(|member| member.incarnation == listing.origin)
        });
        if is_newer {
            self.listings.insert(listing.zone.clone(), listing.clone());
        }
        is_newer
    }

    /// Writes the list of this member's own zone anew; returns whether it changed.
    ///
    /// A new member starts from the list of the member before it, without that
    /// member's host, until the hosts had time to turn to the new member.
    pub fn write(
        &mut self,
        me: &member::Member,
        patience: time::Duration,
        now: instant::Instant,
    ) -> bool {
        let known = self.listings.get(&me.zone);
        let serial = known.map_or(0, |known| known.serial);
        if let Some(before) = known
            .filter(|known| known.origin != me.incarnation)
            .cloned()
        {
            for host in before.hosts {
                let name = host.host.clone();
                self.heard.entry(name).or_insert(Heard {
                    host,
                    installed: unit::Version::NONE,
                    at: now,
                });
            }
        }
        self.heard
            .retain(|_name, heard| now.since(heard.at) < patience);
        let hosts: Vec<control::Host> = self.heard.values().map(|h| self.shown(h)).collect();
        let is_same = self
            .listings
            .get(&me.zone)
            .is_some_and(|known| known.origin == me.incarnation && known.hosts == hosts);
        if is_same {
            return false;
        }
        let listing = peer::Listing {
            zone: me.zone.clone(),
            origin: me.incarnation.clone(),
            serial: serial + 1,
            hosts,
        };
        self.listings.insert(me.zone.clone(), listing);
        true
    }

    fn shown(&self, heard: &Heard) -> control::Host {
        let mut host = heard.host.clone();
        if self.leaving.contains(host.host.as_str()) {
            host.phase = control::Phase::Leaving;
        }
        host
    }

    /// Returns the hosts of zones that have a member in the roster.
    pub fn hosts(&self, roster: &member::Roster) -> Vec<control::Host> {
        let listings = self.listings.values();
        listings
            .filter(|listing| roster.zone_member(&listing.zone).is_some())
            .flat_map(|listing| listing.hosts.iter().cloned())
            .collect()
    }

    /// Returns a stamp for each list.
    pub fn stamps(&self) -> collections::BTreeMap<name::Zone, u64> {
        let stamp = |(zone, listing): (&name::Zone, &peer::Listing)| (zone.clone(), listing.etag());
        self.listings.iter().map(stamp).collect()
    }

    /// Returns the lists that differ from those with the given stamps.
    pub fn differing(&self, stamps: &collections::BTreeMap<name::Zone, u64>) -> Vec<peer::Listing> {
        let listings = self.listings.values();
        listings
            .filter(|listing| stamps.get(&listing.zone) != Some(&listing.etag()))
            .cloned()
            .collect()
    }

    /// Returns the list of a zone that is named as text.
    pub fn stamps_of(&self, zone: &str) -> Option<&peer::Listing> {
        let zone = name::Zone::new(zone).ok()?;
        self.listings.get(&zone)
    }

    /// Returns the list of a zone.
    pub fn listing(&self, zone: &name::Zone) -> Option<&peer::Listing> {
        self.listings.get(zone)
    }

    /// Returns the oldest version that a listed host of this member's zone has in force.
    pub fn oldest(&self) -> Option<unit::Version> {
        self.heard.values().map(|heard| heard.installed).min()
    }
}
