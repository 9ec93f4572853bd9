//! The entry hosts that this host hears.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::hash;
use super::report;

/// The entry hosts that were heard lately, with their last report.
#[derive(Debug, Default)]
pub struct Fleet {
    members: collections::BTreeMap<name::Host, Heard>,
}

#[derive(Debug)]
struct Heard {
    report: report::Report,
    at: instant::Instant,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// The host was not known or was silent before.
    Joined,
    /// The host began another phase or another life.
    Changed,
    /// Nothing but figures.
    Same,
}

impl Fleet {
    /// Silence after which a host counts as gone; more than three reports at their usual pace.
    pub const SILENCE: time::Duration = time::Duration::from_millis(1_750);
    /// Silence after which a host's part of the shares is given to the others.
    pub const FORGOTTEN: time::Duration = time::Duration::from_secs(30);

    /// Takes in a report.
    pub fn hear(&mut self, report: report::Report, now: instant::Instant) -> News {
        let before = self.members.get(&report.host);
        let news = match before {
            Some(heard) if now.since(heard.at) < Self::SILENCE => {
                let is_same =
                    heard.report.phase == report.phase && heard.report.life == report.life;
                if is_same { News::Same } else { News::Changed }
            }
            _ => News::Joined,
        };
        let host = report.host.clone();
        self.members.insert(host, Heard { report, at: now });
        news
    }

    /// Forgets hosts that have long been silent; returns them.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Host> {
        let gone: Vec<name::Host> = self
            .members
            .iter()
            .filter(|(_host, heard)| now.since(heard.at) >= Self::FORGOTTEN)
            .map(|(host, _heard)| host.clone())
            .collect();
        for host in &gone {
            self.members.remove(host);
        }
        gone
    }

    /// Returns the hosts heard lately, in order of their names.
    pub fn live(&self, now: instant::Instant) -> impl Iterator<Item = &report::Report> {
        let recent = self.members.values();
        recent
            .filter(move |heard| now.since(heard.at) < Self::SILENCE)
            .map(|heard| &heard.report)
    }

    /// Returns how many live hosts come before a host in an order that all hosts share.
    #[must_use]
    pub fn place(&self, own: &name::Host, now: instant::Instant) -> usize {
        let own = hash::digest(own.as_str());
        let others = self.live(now).map(|r| hash::digest(r.host.as_str()));
        others.filter(|other| *other < own).count()
    }

    /// Returns every host that is not forgotten, with the time since it was heard.
    pub fn known(
        &self,
        now: instant::Instant,
    ) -> impl Iterator<Item = (&report::Report, time::Duration)> {
        self.members
            .values()
            .map(move |heard| (&heard.report, now.since(heard.at)))
    }
}
