//! Keeps this instance's term, and its parts of each workspace, in the table.

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
    Claim,
    home::Homes,
    limit,
    standing::Standings,
    store::{
        self,
        HolderRow, //
    }, //
};
use crate::node::Node;

use commit::{
    Cached,
    Change,
    Item, //
};

/// Time over which demand is counted, and between looks at what to claim.
const TICK: Duration = Duration::from_secs(1);
/// How long a peer's shortage makes this instance give up what it can spare.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(5);
/// Attempts at one change that others keep preceding.
const ATTEMPTS: usize = 5;
/// After a failure, claims are not tried for this long.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

struct Minter {
    node: Arc<Node>,
    holder: Holder,
    /// Table revision of the own row; 0 before it is registered.
    revision: u64,
    standings: Standings,
    homes: Homes,
    /// # Invariants
    ///
    /// Sorted by workspace, each once.
    cache: Vec<Cached>,
    renew_at: Duration,
    tick_at: Duration,
    failed_at: Option<Duration>,
}

/// Keeps the rights of this instance until its planned stop.
pub async fn run(node: Arc<Node>) {
    let mut minter = Minter {
        holder: rand::random(),
        revision: 0,
        standings: Standings::default(),
        homes: Homes::default(),
        cache: Vec::new(),
        renew_at: Duration::ZERO,
        tick_at: Duration::ZERO,
        failed_at: None,
        node: node.clone(),
    };
    let period = TICK.min(term::renewal_interval(minter.term()));
    loop {
        minter.look().await;
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            claims = node.rights.claims.take() => minter.serve(claims).await,
            () = node.rights.closing.notified() => return minter.retire().await,
        }
    }
}

impl Minter {
    fn term(&self) -> Duration {
        self.node.config.limits.rights_term
    }

    /// The peer plane's address, if no other instance can listen at the same one.
    fn listens(&self) -> Option<SocketAddr> {
        let own = self.node.config.advertise_peer.is_none();
        let address = self.node.config.peer.ip();
        (own && !address.is_unspecified()).then_some(self.node.addresses.peer_bound)
    }

    fn now(&self) -> Duration {
        self.node.rights.table.now()
    }

    fn failed(&mut self, fault: &Fault) {
        emit!(warn, event::RIGHTS_FAULT, reason = %fault);
        self.failed_at = Some(self.now());
    }

    /// Does what is due: renewal, ending of others' rights, changes of parts.
    async fn look(&mut self) {
        let now = self.now();
        let instances = u32::try_from(self.node.live_members().len()).unwrap_or(u32::MAX);
        self.node
            .rights
            .instances
            .store(instances, Ordering::Relaxed);
        if now >= self.renew_at {
            self.renew_at = now + term::renewal_interval(self.term());
            let renewed = self.renew().await;
            self.watch().await;
            if !renewed {
                self.renew_at = self.renew_at.min(self.now() + TICK);
            }
        }
        if now >= self.tick_at {
            self.tick_at = now + TICK;
            self.tick().await;
        }
    }

    /// Renews the own row, or registers anew; tells whether the table took it.
    async fn renew(&mut self) -> bool {
        for _ in 0..ATTEMPTS {
            // Before the request, so that nobody counts the term from earlier.
            let sent_at = self.now();
            let key = store::holder_key(self.holder);
            let row = HolderRow {
                name: self.node.config.name.clone(),
                listens: self.listens(),
                term: self.term(),
            };
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let txn = Txn::default()
                .when(key.clone(), self.revision)
                .put(key.clone(), value);
            match self.node.table.transact(txn).await {
                Ok(Outcome::Applied(revision)) => {
                    self.revision = revision;
                    let until = term::holder_deadline(sent_at, self.term());
                    self.node.rights.table.set_term_end(until);
                    return true;
                }
                // A renewal whose answer was lost has been applied.
                Ok(Outcome::Conflict(rows)) if rows.iter().any(|row| row.key == key) => {
                    self.revision = rows[0].revision;
                }
                Ok(Outcome::Conflict(_)) => self.lose(),
                Err(fault) => {
                    if self.revision == 0 {
                        // This id may be registered by a request that is still under way.
                        self.holder = rand::random();
                    }
                    self.failed(&fault);
                    return false;
                }
            }
        }
        false
    }

    /// Starts anew after others have ended the rights of this instance.
    fn lose(&mut self) {
        emit!(warn, event::RIGHTS_LOST, holder = self.holder);
        self.node.rights.table.clear();
        self.holder = rand::random();
        self.revision = 0;
        for cached in &mut self.cache {
            cached.doubtful = false;
        }
    }

    /// Reads all holders and ends the rights of those that are gone.
    async fn watch(&mut self) {
        match self.node.table.range(store::HOLDERS).await {
            Ok(range) => self.standings.see(range.rows, self.now()),
            Err(fault) => return self.failed(&fault),
        }
        let address = self.listens();
        for standing in self.standings.ended(self.holder, address, self.now()) {
            let key = store::holder_key(standing.holder);
            let txn = Txn::default()
                .when(key.clone(), standing.sighting.revision)
                .delete(key);
            match self.node.table.transact(txn).await {
                Ok(Outcome::Applied(_)) => {
                    emit!(info, event::RIGHTS_ENDED, instance = standing.row.name);
                    self.standings.remove(standing.holder);
                }
                Ok(Outcome::Conflict(_)) => {}
                Err(fault) => return self.failed(&fault),
            }
        }
    }

    /// Averages the demand and changes parts where it pays.
    async fn tick(&mut self) {
        let version = self.node.settings.load();
        for entry in self.node.rights.table.entries() {
            let limit = limit(&version.snapshot, &entry.workspace);
            entry.tick(limit, self.now());
        }
        if !self.may_try() {
            return;
        }
        self.homes.refresh(&self.node);
        for workspace in self.homes.iter() {
            // Makes the entry, so that it is looked at below.
            self.node.rights.table.entry(workspace);
        }
        let mut items = Vec::new();
        for entry in self.node.rights.table.entries() {
            if let Some(item) = self.plan(&entry) {
                items.push(item);
            }
        }
        self.commit(items).await;
    }

    /// Tries claims of requests that wait.
    async fn serve(&mut self, claims: Vec<Claim>) {
        if self.may_try() {
            let short = |claim: &Claim| {
                let item = self.plan(&claim.entry)?;
                matches!(item.change, Change::Claim(_)).then_some(item)
            };
            let items = claims.iter().filter_map(short).collect();
            self.commit(items).await;
        }
        for claim in claims {
            // Fails only if the request no longer waits.
            claim.done.send(()).ok();
        }
    }

    /// Whether the own row stands and the table has not failed just now.
    fn may_try(&self) -> bool {
        let now = self.now();
        let paused = self
            .failed_at
            .is_some_and(|at| now.saturating_sub(at) < FAILURE_PAUSE);
        self.revision > 0 && !paused
    }

    fn plan(&self, entry: &Arc<Entry>) -> Option<Item> {
        let version = self.node.settings.load();
        let limit = limit(&version.snapshot, &entry.workspace);
        let change = self.change(entry, limit)?;
        Some(Item {
            entry: entry.clone(),
            limit,
            change,
        })
    }

    fn change(&self, entry: &Entry, limit: Limit) -> Option<Change> {
        let cached = self.cached(&entry.workspace);
        if cached.is_some_and(|cached| cached.doubtful) {
            return Some(Change::Confirm);
        }
        let demand = entry.demand();
        let held = entry.parts();
        let wanted = share::wanted_parts(demand, limit);
        if demand.rate > 0 && held < wanted {
            return Some(Change::Claim(wanted - held));
        }
        if held == 0 && self.homes.contains(&entry.workspace) {
            return Some(Change::Claim(share::HOME_PARTS));
        }
        let short_at = entry.peers_short_at()?;
        if self.now().saturating_sub(short_at) > SHORTAGE_MEMORY {
            return None;
        }
        let spare = share::spare_parts(demand, limit, held);
        (spare > 0).then_some(Change::Release(spare))
    }

    /// Gives all parts back, then the own row.
    async fn retire(&mut self) {
        let entries = self.node.rights.table.entries();
        let now = self.now();
        if entries.iter().any(|entry| entry.has_outstanding_loans(now)) {
            // Lent burst cannot be given back before the loans have ended.
            tokio::time::sleep(HOLD_TERM).await;
        }
        let version = self.node.settings.load();
        let item = |entry: &Arc<Entry>| Item {
            entry: entry.clone(),
            limit: limit(&version.snapshot, &entry.workspace),
            change: Change::Release(entry.parts()),
        };
        let held = entries.iter().filter(|entry| entry.parts() > 0);
        let items = held.map(item).collect();
        self.commit(items).await;
        self.node.rights.table.clear();
        let key = store::holder_key(self.holder);
        let txn = Txn::default().when(key.clone(), self.revision).delete(key);
        if let Err(fault) = self.node.table.transact(txn).await {
            self.failed(&fault);
        }
    }
}
