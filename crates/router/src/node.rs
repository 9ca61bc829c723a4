//! State shared by the planes and tasks of one instance.

use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use arc_swap::{
    ArcSwap,
    ArcSwapOption, //
};
use endpoint::Pool;
use parking_lot::Mutex;
use platform::{
    http::Client,
    table::Change, //
};
use policy::{
    belief::Millis,
    load::Estimate,
    retry_share::Budget,
    stop::Schedule, //
};
use state::{
    belief,
    clock,
    health,
    lease::Lease, //
};
use telemetry::{
    emit,
    event,
    metrics::Metrics, //
};
use tokio::sync::{
    Notify,
    Semaphore, //
};

use crate::{
    builds,
    bulkhead,
    catalog::Catalog,
    config::Config,
    endpoints::Endpoints,
    era::Era,
    exchange::{
        self,
        Exchange, //
    },
    exposure,
    fleet::{
        Endpoint,
        Registration, //
    },
    ingress::{
        Ingress,
        Machine, //
    },
    instance,
    lease,
    limit,
    mirror::{
        Mirrors,
        State, //
    },
    observed,
    origin,
    peer,
    planner,
    protocol::{
        Invalid,
        OperatorRow,
        Protocol,
        Statement, //
    },
    quarantine,
    quota,
    relay,
    rollout,
    stop,
    sync,
    weights::Rollout, //
};

/// Maximum number of beliefs about cached prefix levels, of 16 bytes each.
const MAX_BELIEFS: usize = 1 << 15;

/// State shared by the planes and tasks of one instance.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings of this instance.
    pub config: Config,
    /// Time of the start.
    started_at: Duration,
    /// Chosen at random at each start, so that incarnations of the instance differ.
    pub incarnation: u64,
    /// Copies of the table's rows.
    pub mirrors: Mirrors,
    /// Configuration in force; `None` until the first one is received.
    pub catalog: ArcSwapOption<Catalog>,
    /// Rows of operators that are in force, which a table restored from an older copy may lack.
    ///
    /// # Invariants
    ///
    /// Sorted by key, each once.
    in_force: Mutex<Vec<Change>>,
    /// Rollouts of weights, one for each model.
    pub rollouts: ArcSwap<Vec<Rollout>>,
    /// Notified when `rollouts` changes.
    pub rollouts_changed: Notify,
    /// Endpoints of all services.
    pub endpoints: Endpoints,
    /// Instances that serve requests.
    pub members: instance::Table,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// Paths to endpoints.
    pub paths: Arc<relay::Table>,
    /// Instances that do not relay connections for now.
    pub avoided_relays: relay::Avoided,
    /// Connections of other instances that this one may relay.
    pub relayed: Arc<Semaphore>,
    /// Prefix levels that endpoints are believed to cache.
    pub beliefs: belief::Table,
    /// Observed health and load of endpoints, and requests in flight there.
    pub health: health::Table,
    /// Era of the table.
    pub era: Era,
    /// Notified when a restored table lacks this instance's row.
    pub row_lost: Notify,
    /// Datagram exchange with the other instances.
    pub exchange: Exchange,
    /// Client for the peer planes of other instances.
    pub peers: Client,
    /// Rate limits of workspaces.
    pub quotas: Arc<quota::Table>,
    /// Limits of endpoints that this instance grants to others and itself.
    pub limits: limit::Table,
    /// Bulkheads of brittle endpoints, from which this instance grants to others and itself.
    pub bulkheads: Arc<bulkhead::Table>,
    /// What callers may make this instance hold.
    pub ingress: Ingress,
    /// Segments of prompts that crash engines.
    pub quarantine: Arc<quarantine::Table>,
    /// Placement of model requests, by this or another instance.
    pub planner: planner::State,
    /// Builds of the endpoints of each service.
    pub builds: builds::Table,
    /// Rollouts of services' versions.
    pub exposure: exposure::Table,
    /// Which service and build began each stream.
    pub origins: origin::Table,
    /// The lease that permits orders to engines.
    pub lease: Lease,
    /// The lease's row as last received.
    pub lease_row: Mutex<Option<lease::Sighting>>,
    /// How long engines take to finish their requests, at most.
    pub longest_request: rollout::LongestRequest,
    /// Wakes the rollout task.
    pub rollout_wakeup: Notify,
    /// Counters, gauges and histograms.
    pub metrics: Arc<Metrics>,
    /// Retry budgets, by service.
    ///
    /// # Invariants
    ///
    /// Sorted by service.
    pub(crate) retry_budgets: Mutex<Vec<(Arc<str>, Budget)>>,
    /// What the answers of each service have shown.
    pub observed: observed::Table,
    /// Rank of this instance among the hubs; [`NO_HUB`] if it is not a hub.
    hub_rank: AtomicUsize,
    /// Progress of a planned stop.
    pub stop: stop::State,
    protocol: PhantomData<P>,
}

/// Time after the start in which the rows of quarantined segments are waited for.
const QUARANTINE_READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Value of the hub rank of an instance that is not a hub.
const NO_HUB: usize = usize::MAX;

impl<P: Protocol> Node<P> {
    /// Creates a node without a configuration. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If the datagram socket cannot be bound or the metrics cannot be registered.
    pub fn new(config: Config) -> anyhow::Result<Self> {
        let started_at = clock::now();
        let machine = Machine::new(config.memory_mb, config.max_fds);
        Ok(Self {
            started_at,
            incarnation: rand::random(),
            mirrors: Mirrors::default(),
            catalog: ArcSwapOption::empty(),
            in_force: Mutex::default(),
            rollouts: ArcSwap::default(),
            rollouts_changed: Notify::new(),
            endpoints: Endpoints::new(started_at),
            members: instance::Table::default(),
            pool: Arc::new(Pool::new(P::id_header(), machine.answer_bytes())),
            paths: Arc::default(),
            avoided_relays: relay::Avoided::default(),
            relayed: Arc::new(Semaphore::new(relay::MAX_RELAYED as usize)),
            beliefs: belief::Table::new(MAX_BELIEFS),
            health: health::Table::default(),
            era: Era::default(),
            row_lost: Notify::new(),
            exchange: Exchange::bind(config.listen.exchange)?,
            peers: Client::new(peer::ANSWER_TIMEOUT),
            quotas: Arc::default(),
            limits: limit::Table::default(),
            bulkheads: Arc::default(),
            ingress: Ingress::new(machine),
            quarantine: Arc::default(),
            planner: planner::State::default(),
            builds: builds::Table::default(),
            exposure: exposure::Table::default(),
            origins: origin::Table::default(),
            lease: Lease::default(),
            lease_row: Mutex::default(),
            longest_request: rollout::LongestRequest::default(),
            rollout_wakeup: Notify::new(),
            metrics: Arc::new(Metrics::new()?),
            retry_budgets: Mutex::default(),
            observed: observed::Table::default(),
            hub_rank: AtomicUsize::new(NO_HUB),
            stop: stop::State::default(),
            protocol: PhantomData,
            config,
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Begins a planned stop whose times count from `begun_at`; returns them.
    pub fn begin_stop(&self, begun_at: Instant) -> Schedule {
        let schedule = Schedule::new(self.config.bounds.stop);
        self.stop.begin(&schedule, begun_at);
        schedule
    }

    /// Rank of this instance among the hubs; 0 is the first. `None` if it is not a hub.
    pub fn hub_rank(&self) -> Option<usize> {
        let rank = self.hub_rank.load(Ordering::Relaxed);
        (rank != NO_HUB).then_some(rank)
    }

    /// Sets the rank of this instance among the hubs.
    pub fn set_hub_rank(&self, rank: Option<usize>) {
        let rank = rank.unwrap_or(NO_HUB);
        if self.hub_rank.swap(rank, Ordering::Relaxed) != rank {
            self.exchange.hubs_changed.notify_waiters();
        }
    }

    /// Whether a configuration is known.
    pub fn has_catalog(&self) -> bool {
        self.catalog.load().is_some()
    }

    /// Whether the rows of quarantined segments were read, or have had their time since the start:
    /// a table that does not answer must not keep an instance from serving.
    pub fn knows_quarantine(&self) -> bool {
        self.mirrors.instances.is_read() || clock::now() > self.started_at + QUARANTINE_READ_TIMEOUT
    }

    /// Whether the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.has_catalog()
    }

    /// Records that the table has answered in an era, here or at another instance. In a new one,
    /// acknowledged writes may be gone.
    pub fn enter_era(&self, era: u64) {
        let now = clock::now();
        let Some(before) = self.era.enter(era, now) else {
            return;
        };
        emit!(warn, event::TABLE_RESTORED, era = era, before = before);
        self.metrics.count_table_restore();
        self.exchange.forget_clock();
    }

    /// Applies changed rows of operators; `confirmed` is a time by the table's clock at which the
    /// table did not have the changes, if one is known.
    pub fn apply_operator_changes(&self, changes: &[Change], confirmed: Option<Duration>) {
        // The first rows were there before this instance started.
        let confirmed = confirmed.filter(|_| self.has_catalog());
        for change in changes {
            let Some(value) = &change.value else {
                continue;
            };
            let is_newer = match P::read_operator_row(&change.key, value) {
                Ok(OperatorRow::Catalog(catalog)) => self.activate(*catalog, confirmed),
                Ok(OperatorRow::Weights { model, version }) => {
                    self.set_rollout(model, version, change.revision, confirmed)
                }
                Ok(OperatorRow::Rollout(order)) => {
                    self.order_rollout(order, change.revision, confirmed)
                }
                Ok(OperatorRow::Other) => false,
                Err(reason) => {
                    emit!(
                        warn,
                        event::CATALOG_UNREADABLE,
                        row = change.key,
                        revision = %change.revision,
                        reason = %reason,
                    );
                    false
                }
            };
            if is_newer {
                let mut in_force = self.in_force.lock();
                match in_force.binary_search_by(|known| known.key.cmp(&change.key)) {
                    Ok(index) => in_force[index] = change.clone(),
                    Err(index) => in_force.insert(index, change.clone()),
                }
            }
        }
    }

    /// Rows of operators that are in force, for an instance that has read the table in `era`: those
    /// that the table may lack.
    pub fn rows_in_force(&self, era: u64) -> Vec<Change> {
        let mirror = &self.mirrors.operator;
        let is_older = mirror.revision().era < era;
        let is_lost =
            |row: &&Change| is_older || mirror.value(&row.key).as_ref() != row.value.as_ref();
        let in_force = self.in_force.lock();
        in_force.iter().filter(is_lost).cloned().collect()
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it is.
    /// `confirmed` is a time by the table's clock at which the table did not have it.
    fn activate(&self, catalog: Catalog, confirmed: Option<Duration>) -> bool {
        let in_force = self.catalog.load().as_ref().map_or(0, |c| c.version);
        if catalog.version <= in_force {
            return false;
        }
        let table_time = self.exchange.table_time(clock::now());
        let age = table_time
            .zip(confirmed)
            .map(|(now, confirmed)| now.saturating_sub(confirmed));
        emit!(
            info,
            event::CATALOG_IN_FORCE,
            version = catalog.version,
            before = in_force,
            isolated = catalog.isolated_count(),
            partition = %catalog.partition(None),
            age_ms = age.map(exchange::whole_millis),
        );
        self.catalog.store(Some(Arc::new(catalog)));
        true
    }

    /// Applies changed rows of endpoints.
    pub fn apply_endpoint_changes(&self, changes: &[Change]) {
        let now = clock::now();
        exchange::judge_outage(self, now);
        self.endpoints.apply::<P>(changes, now);
        exposure::refresh(self);
        self.rollout_wakeup.notify_one();
        self.builds.changed.notify_one();
    }

    /// Records what an endpoint has stated about itself in the answer to a request that was sent at
    /// `sent_at`.
    pub fn record_statement(&self, endpoint: &Registration, statement: Statement, sent_at: Millis) {
        if statement.leaving {
            self.endpoints.record_departure(endpoint, clock::now());
        }
        let now = self.beliefs.now();
        let health = self.health.endpoint(&endpoint.name);
        let Some(rest) = statement.rest else {
            return health.update_estimate(|estimate| estimate.rest.record_answer(sent_at));
        };
        emit!(
            info,
            event::ENDPOINT_RESTS,
            endpoint = &*endpoint.name,
            rest_ms = exchange::whole_millis(rest),
        );
        health.update_estimate(|estimate| estimate.rest.begin(now, rest));
    }

    /// Records the limit that an endpoint has stated in an answer, or that it states none.
    pub fn record_limit(&self, endpoint: &Registration, limit: Option<f64>) {
        let health = self.health.endpoint(&endpoint.name);
        let mut is_new = false;
        health.update_estimate(|estimate| {
            is_new = estimate.limit.record_statement(limit, clock::now());
        });
        if is_new {
            emit!(
                info,
                event::ENDPOINT_LIMITED,
                endpoint = &*endpoint.name,
                limit = limit,
            );
        }
    }

    /// What this instance has observed of an endpoint.
    pub fn estimate_of(&self, endpoint: &Endpoint) -> Estimate {
        let health = self.health.endpoint(&endpoint.registration.name);
        health.view("", self.beliefs.now()).estimate
    }

    /// Applies changed rows of instances.
    pub fn apply_instance_changes(&self, changes: &[Change]) {
        for change in changes {
            if change.key == crate::LEASE {
                *self.lease_row.lock() = Some(lease::Sighting::new(change, clock::now()));
            }
            rollout::apply_progress(self, change);
            quarantine::apply_row(self, change);
            builds::apply_row(self, change);
            exposure::apply_row(self, change);
            origin::apply_row(self, change);
            self.apply_instance_row(change);
        }
        quarantine::restore_rows(self);
        if sync::is_row_lost(self) {
            self.row_lost.notify_one();
        }
        self.date_versions();
    }

    fn apply_instance_row(&self, change: &Change) {
        let Some(name) = change.key.strip_prefix(crate::INSTANCES) else {
            return;
        };
        let row = match change.value.as_deref().map(serde_json::from_slice) {
            Some(Ok(row)) => Some(row),
            None => None,
            Some(Err(reason)) => {
                emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %Invalid::from(reason));
                None
            }
        };
        let now = clock::now();
        self.members.apply_row(name, row, change.revision, now);
    }

    /// Number of instances that share the limits, including this one.
    pub fn instance_count(&self) -> usize {
        self.members.others(&self.config.name, clock::now()).len() + 1
    }

    /// State for an instance that starts.
    pub fn export(&self) -> State {
        State {
            operator: self.mirrors.operator.snapshot(),
            endpoints: self.mirrors.endpoints.snapshot(),
            instances: self.mirrors.instances.snapshot(),
        }
    }

    /// Merges the state of another instance, as far as it is newer.
    pub fn import(&self, state: State) {
        let changes = self.mirrors.operator.import(state.operator);
        if self.mirrors.operator.is_read() {
            self.enter_era(self.mirrors.operator.revision().era);
        }
        self.apply_operator_changes(&changes, None);
        self.apply_endpoint_changes(&self.mirrors.endpoints.import(state.endpoints));
        self.apply_instance_changes(&self.mirrors.instances.import(state.instances));
    }
}
