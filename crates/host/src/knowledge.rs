//! What the host knows from the store and from other hosts, decoded and in force.

use std::collections;
use std::sync;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;
use skylark_platform::rules;
use skylark_platform::store;
use skylark_platform::target;

use super::waiting;

/// Where news comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source<'a> {
    /// The store itself.
    Store,
    /// Another host, and the targets that it keeps although the store lists them no more.
    Host(&'a [name::Target]),
}

/// What the host knows from the store and from other hosts.
#[derive(Debug)]
pub(crate) struct Knowledge {
    desk: traffic::Dispatcher<waiting::Waker>,
    orders: traffic::Replica,
    targets: traffic::Replica,
    registry: traffic::Registry,
    lost: collections::HashSet<store::Table>,
    was_whole: bool,
    following: bool,
}

impl Knowledge {
    /// Creates the knowledge of a host that has heard nothing.
    pub(crate) fn new(desk: traffic::Dispatcher<waiting::Waker>) -> Self {
        Self {
            desk,
            orders: traffic::Replica::default(),
            targets: traffic::Replica::default(),
            registry: traffic::Registry::default(),
            lost: collections::HashSet::new(),
            was_whole: false,
            following: true,
        }
    }

    /// Returns the decisions.
    pub(crate) const fn dispatcher(&self) -> &traffic::Dispatcher<waiting::Waker> {
        &self.desk
    }

    /// Returns the decisions, to change what they know.
    pub(crate) const fn dispatcher_mut(&mut self) -> &mut traffic::Dispatcher<waiting::Waker> {
        &mut self.desk
    }

    /// Returns the copy of a table.
    pub(crate) const fn mirror(&self, table: store::Table) -> &traffic::Replica {
        match table {
            store::Table::Targets => &self.targets,
            store::Table::Orders | store::Table::Hosts => &self.orders,
        }
    }

    /// Returns the versions up to which the copies are whole.
    pub(crate) const fn versions(&self) -> traffic::Versions {
        traffic::Versions {
            config: self.orders.version(),
            targets: self.targets.version(),
        }
    }

    /// Returns the newest changes that the copies hold, for the other hosts.
    pub(crate) const fn changed(&self) -> traffic::Versions {
        traffic::Versions {
            config: self.orders.newest_change(),
            targets: self.targets.newest_change(),
        }
    }

    /// Returns whether this host follows the store's tables itself.
    pub(crate) const fn is_following(&self) -> bool {
        self.following
    }

    /// Decides whether this host follows the store's tables, or hears of changes from its zone.
    ///
    /// One host of a zone follows; the others do as well while that one is silent
    /// or gets no answers.
    pub(crate) fn decide_following(
        &mut self,
        identity: &traffic::Identity,
        now: instant::Instant,
    ) -> bool {
        let fleet = self.desk.fleet();
        let follows =
            !self.was_whole || !fleet.has_store_reader(&identity.zone, &identity.host, now);
        if follows != self.following {
            self.following = follows;
            // What this host could not reach is no matter while another one reads for it.
            self.lost.clear();
            self.registry.set_store_reachable(true, now);
            log::info!(follows; "this host's turn to follow the store changed");
        }
        follows
    }

    /// Returns whether the store answered the last call for each table.
    pub(crate) fn store_access(&self) -> traffic::StoreAccess {
        if self.lost.is_empty() {
            traffic::StoreAccess::Available
        } else {
            traffic::StoreAccess::Unavailable
        }
    }

    /// Returns whether rules and targets are known; at first also that no other host knows newer ones.
    pub(crate) fn is_whole(&mut self, now: instant::Instant) -> bool {
        if self.desk.rules().is_none() || self.targets.version() == 0 {
            return false;
        }
        let own = self.orders.version();
        let mut others = self.desk.fleet().live(now);
        self.was_whole = self.was_whole || others.all(|member| member.versions.config <= own);
        self.was_whole
    }

    /// Notes whether a table of the store can be read.
    pub(crate) fn reach(&mut self, table: store::Table, is_reached: bool, now: instant::Instant) {
        let changed = if is_reached {
            self.lost.remove(&table)
        } else {
            self.lost.insert(table)
        };
        if table == store::Table::Targets {
            self.registry.set_store_reachable(is_reached, now);
        }
        match (changed, is_reached) {
            (true, true) => log::info!(table = table.as_str(); "store regained"),
            (true, false) => log::warn!(table = table.as_str(); "store lost"),
            _ => {}
        }
    }

    /// Takes in changes of a table, or all its rows; returns whether there was any news.
    pub(crate) fn take(
        &mut self,
        table: store::Table,
        changes: traffic::Changes,
        version: u64,
        source: Source<'_>,
        now: instant::Instant,
    ) -> bool {
        let mirror = match table {
            store::Table::Orders => &mut self.orders,
            store::Table::Targets => &mut self.targets,
            store::Table::Hosts => return false,
        };
        let news = match changes {
            traffic::Changes::Delta(rows) => mirror.apply_changes(rows, version),
            traffic::Changes::Snapshot(rows) => mirror.apply_snapshot(rows, version),
        };
        if news.is_empty() {
            return false;
        }
        match table {
            store::Table::Orders => self.take_orders(&news, now),
            store::Table::Targets => self.take_targets(&news, source, now),
            store::Table::Hosts => {}
        }
        true
    }

    /// Returns the targets that are kept although the store lists them no more.
    pub(crate) fn kept(&self) -> Vec<name::Target> {
        self.registry.retained()
    }

    /// Drops targets that did not come back after an outage of the store, and works out shares.
    pub(crate) fn refresh(&mut self, now: instant::Instant) {
        let gone = self.registry.expire(now);
        if gone.is_empty() {
            self.desk.refresh(now);
            return;
        }
        for id in &gone {
            log::info!(target_id:% = id; "target did not come back after the store's outage");
        }
        self.desk.set_targets(&self.registry.targets(), now);
    }

    fn take_orders(&mut self, news: &[traffic::Row], now: instant::Instant) {
        for row in news.iter().filter(|row| row.key == rules::CONFIG_KEY) {
            let Some(bytes) = &row.value else { continue };
            match rules::read(bytes) {
                Ok(rules) => {
                    let version = rules.version;
                    let is_new = self.desk.set_rules(sync::Arc::new(rules), now);
                    log::info!(version, row = row.version, in_force = is_new; "rules read");
                }
                Err(fault) => {
                    log::error!(row = row.version, error:% = fault; "rules refused; the last ones stay in force");
                }
            }
        }
        let mut closed = collections::BTreeSet::new();
        for row in self.orders.rows() {
            match rules::read_evacuation(&row.key) {
                Ok(Some(zone)) => {
                    closed.insert(zone);
                }
                Ok(None) => {}
                Err(fault) => log::error!(row = row.version, error:% = fault; "order refused"),
            }
        }
        log::info!(version = self.orders.version(), zones:? = closed; "zones without new requests");
        self.desk.set_closed(&closed, now);
        self.desk.set_targets(&self.registry.targets(), now);
    }

    fn take_targets(&mut self, news: &[traffic::Row], source: Source<'_>, now: instant::Instant) {
        for row in news {
            match &row.value {
                Some(bytes) => self.put_target(row, bytes),
                None => self.remove_target(row, source, now),
            }
        }
        self.desk.set_targets(&self.registry.targets(), now);
    }

    fn put_target(&mut self, row: &traffic::Row, bytes: &[u8]) {
        match target::read(&row.key, bytes) {
            Ok(target) => {
                log::info!(
                    target_id:% = target.id, row = row.version, service:% = target.service,
                    zone:% = target.zone, state:? = target.state, cold:? = target.warmup_left;
                    "target changed"
                );
                if !self.registry.put(target) {
                    log::warn!(target_id = row.key.as_str(), row = row.version; "entry of an earlier life left out");
                }
            }
            Err(fault) => {
                log::warn!(target_id = row.key.as_str(), row = row.version, error:% = fault; "entry refused");
                if let Ok(id) = name::Target::new(&row.key) {
                    self.registry.discard(&id);
                }
            }
        }
    }

    fn remove_target(&mut self, row: &traffic::Row, source: Source<'_>, now: instant::Instant) {
        log::info!(target_id = row.key.as_str(), row = row.version, source:? = source; "target no longer listed");
        if let Ok(id) = name::Target::new(&row.key) {
            let is_certain = matches!(source, Source::Host(kept) if !kept.contains(&id));
            self.registry.remove(&id, is_certain, now);
        }
    }
}
