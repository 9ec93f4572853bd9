//! State of the cluster as this host knows it: replicated tables, targets and the dispatcher.

use std::collections;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;
use skylark_platform::config;
use skylark_platform::store;
use skylark_platform::target;
use skylark_runtime::field;

use super::peers;
use super::queue;

/// Where changes of a table come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source<'a> {
    /// The store.
    Store,
    /// Another host, with the targets that it retains although the store no longer lists them.
    Host(&'a [name::Target]),
}

impl Source<'_> {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Host(_) => "host",
        }
    }
}

/// State of the cluster from the store and from other hosts.
#[derive(Debug)]
pub(crate) struct ClusterState {
    dispatcher: traffic::Dispatcher<queue::Waiter>,
    config: traffic::Replica,
    targets: traffic::Replica,
    registry: traffic::Registry,
    evacuations: traffic::Evacuations,
    /// Tables whose last request to the store failed.
    unreachable: collections::HashSet<store::Table>,
    has_synced: bool,
    is_reader: bool,
    /// Whether other hosts were asked for a newer configuration than the store's.
    is_confirmed: bool,
    /// Targets that owe this host answers and are silent.
    silent: collections::BTreeSet<name::Target>,
    /// Requests whose end was not recorded, as logged last.
    overdue: u64,
}

impl ClusterState {
    /// Creates the state of a host that has no configuration and no targets yet.
    pub(crate) fn new(
        dispatcher: traffic::Dispatcher<queue::Waiter>,
        heartbeat: time::Duration,
    ) -> Self {
        Self {
            dispatcher,
            config: traffic::Replica::default(),
            targets: traffic::Replica::default(),
            registry: traffic::Registry::default().with_heartbeat(heartbeat),
            evacuations: traffic::Evacuations::default(),
            unreachable: collections::HashSet::new(),
            has_synced: false,
            is_reader: true,
            is_confirmed: false,
            silent: collections::BTreeSet::new(),
            overdue: 0,
        }
    }

    /// Returns the dispatcher, which chooses targets.
    pub(crate) const fn dispatcher(&self) -> &traffic::Dispatcher<queue::Waiter> {
        &self.dispatcher
    }

    /// Returns the dispatcher for changes.
    pub(crate) const fn dispatcher_mut(&mut self) -> &mut traffic::Dispatcher<queue::Waiter> {
        &mut self.dispatcher
    }

    /// Returns the replica of a table.
    pub(crate) const fn replica(&self, table: store::Table) -> &traffic::Replica {
        match table {
            store::Table::Targets => &self.targets,
            store::Table::Config | store::Table::Hosts => &self.config,
        }
    }

    /// Returns the versions up to which the replicas are complete.
    pub(crate) const fn versions(&self) -> traffic::Versions {
        traffic::Versions {
            config: self.config.version(),
            targets: self.targets.version(),
        }
    }

    /// Returns the versions of the newest changes in the replicas, for other hosts to compare.
    pub(crate) const fn newest_changes(&self) -> traffic::Versions {
        let config = if self.is_confirmed {
            self.config.newest_change()
        } else {
            traffic::Position::ZERO
        };
        traffic::Versions {
            config,
            targets: self.targets.newest_change(),
        }
    }

    /// Returns the replica of a table that other hosts may read: none of a configuration that is
    /// not confirmed.
    pub(crate) fn confirmed_replica(&self, table: store::Table) -> Option<&traffic::Replica> {
        let is_offered = table == store::Table::Targets || self.is_confirmed;
        is_offered.then(|| self.replica(table))
    }

    /// Returns the version of the configuration that is in force, or else of that in the store.
    pub(crate) fn config_version(&self) -> Option<u64> {
        let in_force = self.dispatcher.rules().map(|rules| rules.version);
        in_force.or_else(|| {
            let row = self.config.row(config::CONFIG_KEY)?;
            let parsed = config::parse(row.value.as_deref()?).ok()?;
            Some(parsed.rules.version)
        })
    }

    /// Puts the store's configuration in force after other hosts were asked for a newer one;
    /// returns whether that is new.
    pub(crate) fn confirm_config(&mut self, now: instant::Instant) -> bool {
        let is_new = !self.is_confirmed;
        self.is_confirmed = true;
        if is_new {
            let rows: Vec<traffic::Row> = self.config.rows().cloned().collect();
            self.apply_config(&rows, None, false, now);
        }
        is_new
    }

    /// Takes another host's configuration if it is newer than the own one; returns whether it is.
    pub(crate) fn offer_config(
        &mut self,
        delta: &peers::TableDelta,
        now: instant::Instant,
    ) -> bool {
        let (traffic::Changes::Snapshot(rows) | traffic::Changes::Delta(rows)) = &delta.changes;
        let mut configs = rows.iter().filter(|row| row.key == config::CONFIG_KEY);
        let Some(bytes) = configs.next().and_then(|row| row.value.clone()) else {
            return false;
        };
        let version = config::parse(&bytes).map(|parsed| parsed.rules.version);
        if version.ok() <= self.config_version() {
            return false;
        }
        self.config.keep(config::CONFIG_KEY, bytes);
        if self.is_confirmed {
            let row = self.config.row(config::CONFIG_KEY).cloned();
            self.apply_config(row.as_slice(), None, false, now);
        }
        true
    }

    /// Returns whether this host reads the store itself.
    pub(crate) const fn is_store_reader(&self) -> bool {
        self.is_reader
    }

    /// Decides whether this host reads the store, or gets changes from its zone's reader.
    ///
    /// One host of a zone reads. The others read as well while that host is silent
    /// or gets no response from the store, and each table once at their start.
    pub(crate) fn update_reader(
        &mut self,
        identity: &traffic::Identity,
        now: instant::Instant,
    ) -> bool {
        let fleet = self.dispatcher.fleet();
        let phase = if self.has_synced {
            traffic::Phase::Ready
        } else {
            traffic::Phase::Starting
        };
        let is_reader = !self.has_tables() || !fleet.has_store_reader(identity, phase, now);
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            // Reachability from this host does not matter while another host reads the store.
            self.unreachable.clear();
            self.registry.set_store_reachable(true, now);
            log::info!(follows = is_reader; "role as the zone's store reader changed");
        }
        is_reader
    }

    /// Returns whether each table was read once, from the store or from another host.
    const fn has_tables(&self) -> bool {
        !self.config.version().is_zero() && !self.targets.version().is_zero()
    }

    /// Returns whether the last request to the store succeeded for each table.
    pub(crate) fn store_access(&self) -> traffic::StoreAccess {
        if self.unreachable.is_empty() {
            traffic::StoreAccess::Available
        } else {
            traffic::StoreAccess::Unavailable
        }
    }

    /// Returns whether the host can serve: it has a configuration and targets, and its configuration
    /// has once been as new as that of every live host.
    pub(crate) fn is_synced(&mut self, now: instant::Instant) -> bool {
        if self.dispatcher.rules().is_none() || !self.has_tables() {
            return false;
        }
        let own_version = self.config.version();
        let mut others = self.dispatcher.fleet().live(now);
        self.has_synced =
            self.has_synced || others.all(|member| member.versions.config <= own_version);
        self.has_synced
    }

    /// Records whether a table of the store can be read.
    pub(crate) fn set_store_reachable(
        &mut self,
        table: store::Table,
        is_reachable: bool,
        now: instant::Instant,
    ) {
        let changed = if is_reachable {
            self.unreachable.remove(&table)
        } else {
            self.unreachable.insert(table)
        };
        if table == store::Table::Targets {
            self.registry.set_store_reachable(is_reachable, now);
        }
        match (changed, is_reachable) {
            (true, true) => log::info!(table = table.as_str(); "store table reachable again"),
            (true, false) => {
                log::warn!(table = table.as_str(); "store table unreachable; keeping the last known rows");
            }
            _ => {}
        }
    }

    /// Applies changes or a snapshot of a table; returns whether anything changed.
    pub(crate) fn apply(
        &mut self,
        table: store::Table,
        changes: traffic::Changes,
        version: traffic::Position,
        source: Source<'_>,
        now: instant::Instant,
    ) -> bool {
        let replica = match table {
            store::Table::Config => &mut self.config,
            store::Table::Targets => &mut self.targets,
            store::Table::Hosts => return false,
        };
        let before = replica.version();
        let accepted = match table {
            store::Table::Config => replica.row(config::CONFIG_KEY).cloned(),
            store::Table::Targets | store::Table::Hosts => None,
        };
        let is_new_epoch = !before.is_zero() && version.epoch() > before.epoch();
        let new_rows = match changes {
            traffic::Changes::Delta(rows) => replica.apply_changes(rows, version),
            traffic::Changes::Snapshot(rows) => replica.apply_snapshot(rows, version),
        };
        // What a host of the new epoch does not list, it may never have known.
        let is_final = !is_new_epoch;
        if is_new_epoch && table == store::Table::Targets {
            self.registry.restore(now);
        }
        if new_rows.is_empty() {
            return is_new_epoch;
        }
        match table {
            store::Table::Config => {
                // A configuration from another host is one that it has in force.
                let has_config = new_rows
                    .iter()
                    .any(|row| row.key == config::CONFIG_KEY && row.value.is_some());
                self.is_confirmed |= has_config && matches!(source, Source::Host(_));
                self.apply_config(&new_rows, accepted.as_ref(), is_new_epoch, now);
            }
            store::Table::Targets => self.apply_targets(&new_rows, source, is_final, now),
            store::Table::Hosts => {}
        }
        true
    }

    /// Returns the targets that are retained although the store no longer lists them.
    pub(crate) fn retained(&self) -> Vec<name::Target> {
        self.registry.retained()
    }

    /// Ends what was kept for a time after a store outage or an older copy, and updates shares.
    pub(crate) fn refresh(&mut self, now: instant::Instant) {
        let ended = self.evacuations.expire(self.store_access(), now);
        if !ended.is_empty() {
            log::warn!(zones:% = field::List(&ended); "evacuation not ordered again after the store returned from an older copy; zone in use again");
            self.dispatcher.set_closed(&self.evacuations.zones(), now);
        }
        self.log_silent_targets(now);
        let overdue = self.dispatcher.overdue();
        if overdue > self.overdue {
            log::error!(requests = overdue - self.overdue; "end of requests not recorded long after their deadlines; counting them as ended");
            self.overdue = overdue;
        }
        let expired = self.registry.expire(now);
        let accepted = self.registry.accept_outdated(now);
        if expired.is_empty() && accepted.is_empty() {
            self.dispatcher.refresh(now);
            return;
        }
        for id in &expired {
            log::info!(target_id:% = id; "target not listed again after the store outage; target removed");
        }
        for id in &accepted {
            log::info!(target_id:% = id; "target still listed after the store returned from an older copy; entry accepted");
        }
        self.dispatcher.set_targets(&self.registry.targets(), now);
    }

    fn log_silent_targets(&mut self, now: instant::Instant) {
        let (owed, silent) = self.dispatcher.owed_answers(now);
        for id in silent.difference(&self.silent) {
            log::warn!(target_id:% = id, owed; "target owes an answer and is silent; sending it nothing");
        }
        for id in self.silent.difference(&silent) {
            log::info!(target_id:% = id; "target is not silent any more");
        }
        self.silent = silent;
    }

    /// Applies changed rows of the configuration's table; `accepted` is the row of the
    /// configuration before.
    fn apply_config(
        &mut self,
        new_rows: &[traffic::Row],
        accepted: Option<&traffic::Row>,
        is_new_epoch: bool,
        now: instant::Instant,
    ) {
        if !self.is_confirmed {
            return;
        }
        for row in new_rows.iter().filter(|row| row.key == config::CONFIG_KEY) {
            self.put_config(row, accepted, now);
        }
        let mut evacuated = collections::BTreeSet::new();
        for row in self.config.rows() {
            match config::parse_evacuation(&row.key) {
                Ok(Some(zone)) => {
                    evacuated.insert(zone);
                }
                Ok(None) => {}
                Err(error) => {
                    log::error!(row:% = row.version, error:% = error; "evacuation row rejected; ignoring it");
                }
            }
        }
        if is_new_epoch {
            self.evacuations.restore(evacuated, now);
        } else {
            self.evacuations.set_listed(evacuated);
        }
        let zones = self.evacuations.zones();
        log::info!(version:% = self.config.version(), zones:% = field::List(&zones); "evacuated zones updated");
        self.dispatcher.set_closed(&zones, now);
        self.dispatcher.set_targets(&self.registry.targets(), now);
    }

    fn put_config(
        &mut self,
        row: &traffic::Row,
        accepted: Option<&traffic::Row>,
        now: instant::Instant,
    ) {
        let Some(bytes) = &row.value else {
            self.keep_config(accepted);
            return;
        };
        let config::Parsed { rules, warnings } = match config::parse(bytes) {
            Ok(parsed) => parsed,
            Err(error) => {
                log::error!(row:% = row.version, error:% = error; "configuration rejected; keeping the previous one");
                return;
            }
        };
        for warning in &warnings {
            log::error!(row:% = row.version, error:% = warning; "part of the configuration not understood");
        }
        let version = rules.version;
        let in_force = self.dispatcher.rules().map(|rules| rules.version);
        let is_rewritten = in_force == Some(version)
            && row.version.epoch() > 0
            && accepted.is_some_and(|accepted| accepted.value != row.value);
        let is_new = if is_rewritten {
            // The store lost this version, and it was given out again with other contents.
            self.dispatcher.replace_rules(sync::Arc::new(rules), now);
            true
        } else {
            self.dispatcher.set_rules(sync::Arc::new(rules), now)
        };
        log::info!(version, row:% = row.version, bytes = bytes.len(), in_force = is_new; "configuration read");
        if in_force > Some(version) {
            log::warn!(version, in_force:? = in_force; "configuration is older than the one in force; keeping that");
            self.keep_config(accepted);
        }
    }

    /// Keeps the configuration in force for other hosts although the store has an older one.
    fn keep_config(&mut self, accepted: Option<&traffic::Row>) {
        let Some(bytes) = accepted.and_then(|row| row.value.clone()) else {
            return;
        };
        let version = config::parse(&bytes).map(|parsed| parsed.rules.version);
        let in_force = self.dispatcher.rules().map(|rules| rules.version);
        if version.ok() == in_force {
            self.config.keep(config::CONFIG_KEY, bytes);
        }
    }

    fn apply_targets(
        &mut self,
        new_rows: &[traffic::Row],
        source: Source<'_>,
        is_final: bool,
        now: instant::Instant,
    ) {
        for row in new_rows {
            match &row.value {
                Some(bytes) => self.put_target(row, bytes),
                None => self.remove_target(row, source, is_final, now),
            }
        }
        self.dispatcher.set_targets(&self.registry.targets(), now);
    }

    fn put_target(&mut self, row: &traffic::Row, bytes: &[u8]) {
        match target::parse(&row.key, bytes) {
            Ok(target) => {
                log::info!(
                    target_id:% = target.id, row:% = row.version, service:% = target.service,
                    zone:% = target.zone, state:% = target.state, cold:% = field::Millis(target.warmup_left);
                    "target changed"
                );
                if !self.registry.put(target) {
                    log::warn!(target_id = row.key.as_str(), row:% = row.version; "target entry older than what is known of the target; ignored for now");
                }
            }
            Err(error) => {
                log::warn!(target_id = row.key.as_str(), row:% = row.version, error:% = error; "target entry rejected; target removed");
                if let Ok(id) = name::Target::new(&row.key) {
                    self.registry.discard(&id);
                }
            }
        }
    }

    fn remove_target(
        &mut self,
        row: &traffic::Row,
        source: Source<'_>,
        is_final: bool,
        now: instant::Instant,
    ) {
        log::info!(target_id = row.key.as_str(), row:% = row.version, source = source.as_str(); "target no longer listed");
        if let Ok(id) = name::Target::new(&row.key) {
            if is_final {
                let is_certain =
                    matches!(source, Source::Host(retained) if !retained.contains(&id));
                self.registry.remove(&id, is_certain, now);
            } else {
                self.registry.retain_missing(&id);
            }
        }
    }
}
