//! Renews this instance's term in the table, and acquires and releases parts of each workspace.

mod commit;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
        Table,
        Txn, //
    }, //
};
use policy::rights::{
    Limit,
    loan::HOLD_TERM,
    share::{
        self,
        Holder, //
    },
    term, //
};
use state::right::Entry;
use telemetry::{
    emit,
    event, //
};

use super::{
    Allocation,
    home::Workspaces,
    limit,
    registry::Registry,
    store::{
        self,
        HolderRow, //
    }, //
};
use crate::node::Node;

use commit::{
    CachedRow,
    Change,
    Item, //
};

/// Interval over which demand is counted and at which parts are acquired or released.
const TICK: Duration = Duration::from_secs(1);
/// How long after a peer's shortage this instance releases the parts that it can spare.
const SHORTAGE_WINDOW: Duration = Duration::from_secs(5);
/// Attempts at one write that conflicts with writes of others.
const MAX_ATTEMPTS: usize = 5;
/// Time after a table fault during which parts are neither acquired nor released.
const FAULT_BACKOFF: Duration = Duration::from_millis(500);

/// Maintains this instance's registration and its parts in the table.
struct Allocator {
    node: Arc<Node>,
    holder: Holder,
    /// Table revision of this holder's row; absent before it is registered.
    revision: Revision,
    registry: Registry,
    home_workspaces: Workspaces,
    /// Workspaces' rows as last seen.
    ///
    /// # Invariants
    ///
    /// Sorted by workspace, each once.
    cache: Vec<CachedRow>,
    renew_at: Duration,
    tick_at: Duration,
    fault_at: Option<Duration>,
}

/// Maintains the rights of this instance until its planned stop, then releases them.
pub async fn run(node: Arc<Node>) {
    let mut allocator = Allocator {
        holder: rand::random(),
        revision: Revision::ABSENT,
        registry: Registry::default(),
        home_workspaces: Workspaces::default(),
        cache: Vec::new(),
        renew_at: Duration::ZERO,
        tick_at: Duration::ZERO,
        fault_at: None,
        node: node.clone(),
    };
    let period = TICK.min(term::renewal_interval(allocator.term()));
    loop {
        allocator.run_due().await;
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            allocations = node.rights.allocations.recv_all() => allocator.serve(allocations).await,
            () = node.rights.closing.notified() => return allocator.release_all().await,
        }
    }
}

impl Allocator {
    fn term(&self) -> Duration {
        self.node.config.limits.rights_term
    }

    /// The address that the peer plane is bound to, if no other instance can be bound to it.
    fn exclusive_address(&self) -> Option<SocketAddr> {
        let advertises_bound = self.node.config.advertise_peer.is_none();
        let ip = self.node.config.peer.ip();
        (advertises_bound && !ip.is_unspecified()).then_some(self.node.addresses.peer_bound)
    }

    fn now(&self) -> Duration {
        self.node.rights.table.now()
    }

    fn record_fault(&mut self, fault: &Fault) {
        emit!(warn, event::RIGHTS_FAULT, reason = %fault);
        self.fault_at = Some(self.now());
    }

    /// Does the work that is due: renewal, expiry of other holders, changes of parts.
    async fn run_due(&mut self) {
        let now = self.now();
        let instances = u32::try_from(self.node.live_members().len()).unwrap_or(u32::MAX);
        self.node
            .rights
            .instances
            .store(instances, Ordering::Relaxed);
        if now >= self.renew_at {
            self.renew_at = now + term::renewal_interval(self.term());
            let renewed = self.renew().await;
            self.expire_holders().await;
            if !renewed {
                self.renew_at = self.renew_at.min(self.now() + TICK);
            }
        }
        if now >= self.tick_at {
            self.tick_at = now + TICK;
            self.tick().await;
        }
    }

    /// Renews this holder's row, or registers a new one; returns whether the table accepted it.
    async fn renew(&mut self) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            // Read before the request is sent, so that no other instance counts the term from an
            // earlier time.
            let requested_at = self.now();
            let key = store::holder_key(self.holder);
            let row = HolderRow {
                name: self.node.config.name.clone(),
                listens: self.exclusive_address(),
                term: self.term(),
            };
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let txn = Txn::default()
                .when(key.clone(), self.revision)
                .put(key.clone(), value);
            match self.node.table.transact(txn).await {
                Ok(Outcome::Applied(revision)) => {
                    self.revision = revision;
                    let term_end = term::holder_deadline(requested_at, self.term());
                    self.node.rights.table.set_term_end(term_end);
                    return true;
                }
                // An earlier renewal, whose answer was lost, was applied.
                Ok(Outcome::Conflict(rows)) if rows.iter().any(|row| row.key == key) => {
                    self.revision = rows[0].revision;
                }
                Ok(Outcome::Conflict(_)) => self.reset(),
                Err(fault) => {
                    if self.revision.is_absent() {
                        // The request may still arrive and register this id.
                        self.holder = rand::random();
                    }
                    self.record_fault(&fault);
                    return false;
                }
            }
        }
        false
    }

    /// Discards all rights and takes a new id, after another instance deleted this holder's row.
    fn reset(&mut self) {
        emit!(warn, event::RIGHTS_LOST, holder = self.holder);
        self.node.rights.table.clear();
        self.holder = rand::random();
        self.revision = Revision::ABSENT;
        for cached in &mut self.cache {
            cached.uncertain = false;
        }
    }

    /// Reads all holders' rows and deletes those whose rights have ended.
    async fn expire_holders(&mut self) {
        match self.node.table.range(store::HOLDER_PREFIX).await {
            Ok(range) => self.registry.record_all(range.rows, self.now()),
            Err(fault) => return self.record_fault(&fault),
        }
        let address = self.exclusive_address();
        for registration in self.registry.expired(self.holder, address, self.now()) {
            let key = store::holder_key(registration.holder);
            let txn = Txn::default()
                .when(key.clone(), registration.observation.revision)
                .delete(key);
            match self.node.table.transact(txn).await {
                Ok(Outcome::Applied(_)) => {
                    emit!(info, event::RIGHTS_ENDED, instance = registration.row.name);
                    self.registry.remove(registration.holder);
                }
                Ok(Outcome::Conflict(_)) => {}
                Err(fault) => return self.record_fault(&fault),
            }
        }
    }

    /// Updates the average demand, then acquires and releases parts accordingly.
    async fn tick(&mut self) {
        let settings = self.node.settings.load();
        for entry in self.node.rights.table.entries() {
            let limit = limit(&settings.snapshot, &entry.workspace);
            entry.tick(limit, self.now());
        }
        if !self.can_write() {
            return;
        }
        self.home_workspaces.refresh(&self.node);
        for workspace in self.home_workspaces.iter() {
            // Creates the entry, so that the loop below covers it.
            self.node.rights.table.entry(workspace);
        }
        let mut items = Vec::new();
        for entry in self.node.rights.table.entries() {
            if let Some(item) = self.plan_change(&entry) {
                items.push(item);
            }
        }
        self.commit(items).await;
    }

    /// Attempts to acquire parts for waiting requests.
    async fn serve(&mut self, allocations: Vec<Allocation>) {
        if self.can_write() {
            let plan_acquisition = |allocation: &Allocation| {
                let item = self.plan_change(&allocation.entry)?;
                matches!(item.change, Change::Acquire(_)).then_some(item)
            };
            let items = allocations.iter().filter_map(plan_acquisition).collect();
            self.commit(items).await;
        }
        for allocation in allocations {
            // Fails only if the request no longer waits.
            allocation.done.send(()).ok();
        }
    }

    /// Whether this holder is registered and no table fault occurred within [`FAULT_BACKOFF`].
    fn can_write(&self) -> bool {
        let now = self.now();
        let in_backoff = self
            .fault_at
            .is_some_and(|at| now.saturating_sub(at) < FAULT_BACKOFF);
        !self.revision.is_absent() && !in_backoff
    }

    /// The change that `entry` needs now, if any.
    fn plan_change(&self, entry: &Arc<Entry>) -> Option<Item> {
        let settings = self.node.settings.load();
        let limit = limit(&settings.snapshot, &entry.workspace);
        let change = self.needed_change(entry, limit)?;
        Some(Item {
            entry: entry.clone(),
            limit,
            change,
        })
    }

    fn needed_change(&self, entry: &Entry, limit: Limit) -> Option<Change> {
        let cached = self.cached_row(&entry.workspace);
        if cached.is_some_and(|cached| cached.uncertain) {
            return Some(Change::Confirm);
        }
        let demand = entry.demand();
        let parts = entry.parts();
        let wanted_parts = share::wanted_parts(demand, limit);
        if demand.rate > 0 && parts < wanted_parts {
            return Some(Change::Acquire(wanted_parts - parts));
        }
        if parts == 0 && self.home_workspaces.contains(&entry.workspace) {
            return Some(Change::Acquire(share::HOME_PARTS));
        }
        let short_at = entry.peers_short_at()?;
        if self.now().saturating_sub(short_at) > SHORTAGE_WINDOW {
            return None;
        }
        let spare_parts = share::spare_parts(demand, limit, parts);
        (spare_parts > 0).then_some(Change::Release(spare_parts))
    }

    /// Releases all parts, then deletes this holder's row.
    async fn release_all(&mut self) {
        let entries = self.node.rights.table.entries();
        let now = self.now();
        if entries.iter().any(|entry| entry.has_outstanding_loans(now)) {
            // Lent burst cannot be released before the loans have expired.
            tokio::time::sleep(HOLD_TERM).await;
        }
        let settings = self.node.settings.load();
        let item = |entry: &Arc<Entry>| Item {
            entry: entry.clone(),
            limit: limit(&settings.snapshot, &entry.workspace),
            change: Change::Release(entry.parts()),
        };
        let held_entries = entries.iter().filter(|entry| entry.parts() > 0);
        let items = held_entries.map(item).collect();
        self.commit(items).await;
        self.node.rights.table.clear();
        let key = store::holder_key(self.holder);
        let txn = Txn::default().when(key.clone(), self.revision).delete(key);
        if let Err(fault) = self.node.table.transact(txn).await {
            self.record_fault(&fault);
        }
    }
}
