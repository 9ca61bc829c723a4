//! What the planes and tasks of one instance share.

use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
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
    retry_share::{
        Allowance,
        Budget, //
    },
    rights::term::Observation,
    shed::Lateness, //
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
use tokio::sync::Notify;

use crate::{
    catalog::Catalog,
    config::Config,
    endpoints::Endpoints,
    exchange::Exchange,
    instance,
    lane,
    lease,
    mirror::{
        Mirror,
        State, //
    },
    peer,
    planner,
    protocol::{
        OperatorRow,
        Protocol, //
    },
    quota,
    rollout, //
};

/// Most beliefs about cached prefix levels, of 16 bytes each.
const MAX_BELIEFS: usize = 1 << 15;

/// The weights that engines of a model are to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Name of the model.
    pub model: String,
    /// Newest version of its weights.
    pub version: u64,
    /// Versions that were named, with when this instance first heard of each.
    ///
    /// # Invariants
    ///
    /// Sorted by version; never empty, and the last one is `version`.
    pub named: Vec<(u64, Duration)>,
    /// Whether the table tells when the newest version was first heard of.
    pub agreed: bool,
}

impl Wanted {
    /// Since when `version` has been replaced by a newer one.
    pub fn replaced_since(&self, version: u64) -> Option<Duration> {
        let newer = self.named.partition_point(|(named, _)| *named <= version);
        self.named.get(newer).map(|(_, since)| *since)
    }
}

/// Copies of all rows of the table that concern this project.
#[derive(Debug, Default)]
pub struct Mirrors {
    /// What operators wrote.
    pub operator: Mirror,
    /// What endpoints wrote.
    pub endpoints: Mirror,
    /// What instances wrote.
    pub own: Mirror,
}

/// What the planes and tasks of one instance share.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings of this instance.
    pub config: Config,
    /// Chosen at start; tells this life of the instance from others.
    pub life: u64,
    /// Copies of the table's rows.
    pub mirrors: Mirrors,
    /// Configuration in force; none before the first was heard of.
    pub catalog: ArcSwapOption<Catalog>,
    /// Weights that were named, by model.
    pub wanted: ArcSwap<Vec<Wanted>>,
    /// Endpoints of all services.
    pub endpoints: Endpoints,
    /// Instances that take requests.
    pub members: instance::Table,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// Prefix levels that endpoints are believed to cache.
    pub beliefs: belief::Table,
    /// What is learnt of endpoints, and requests that run there.
    pub health: health::Table,
    /// What was heard of the others by datagrams.
    pub exchange: Exchange,
    /// Calls to the peer planes of other instances.
    pub peers: Client,
    /// What this instance may spend of each workspace's limit.
    pub quotas: Arc<quota::Table>,
    /// Placing long requests, here or at another instance.
    pub planner: planner::State,
    /// The lease for orders to engines.
    pub lease: Lease,
    /// The row of the lease, as it was first seen in its last revision.
    pub lease_row: Mutex<Option<Observation>>,
    /// Wakes the task that gives orders.
    pub rollout: Notify,
    /// Histograms.
    pub metrics: Arc<Metrics>,
    /// # Invariants
    ///
    /// Sorted by service.
    repeats: Mutex<Vec<(Arc<str>, Budget)>>,
    /// How late the most urgent requests begin, by service.
    ///
    /// # Invariants
    ///
    /// Sorted by service.
    lateness: Mutex<Vec<(Arc<str>, Lateness)>>,
    /// Place of this instance among the hubs; [`NO_HUB`] if it is none.
    hub: AtomicUsize,
    /// Short urgent requests that run, by service.
    pub lanes: Arc<lane::Table>,
    stopping: AtomicBool,
    protocol: PhantomData<P>,
}

/// Not a place among the hubs.
const NO_HUB: usize = usize::MAX;

impl<P: Protocol> Node<P> {
    /// Puts together a node that has yet to hear of any configuration; needs a runtime.
    ///
    /// # Errors
    ///
    /// If datagrams cannot be listened for, or metrics cannot be set up.
    pub fn new(config: Config) -> anyhow::Result<Self> {
        Ok(Self {
            life: rand::random(),
            mirrors: Mirrors::default(),
            catalog: ArcSwapOption::empty(),
            wanted: ArcSwap::default(),
            endpoints: Endpoints::default(),
            members: instance::Table::default(),
            pool: Arc::new(Pool::new(P::id_header())),
            beliefs: belief::Table::new(MAX_BELIEFS),
            health: health::Table::default(),
            exchange: Exchange::bind(config.listen.exchange)?,
            peers: Client::new(peer::ANSWER_TIMEOUT),
            quotas: Arc::default(),
            planner: planner::State::default(),
            lease: Lease::default(),
            lease_row: Mutex::default(),
            rollout: Notify::new(),
            metrics: Arc::new(Metrics::new()?),
            repeats: Mutex::default(),
            lateness: Mutex::default(),
            hub: AtomicUsize::new(NO_HUB),
            lanes: Arc::default(),
            stopping: AtomicBool::new(false),
            protocol: PhantomData,
            config,
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Place of this instance among the hubs, if it is one.
    pub fn hub(&self) -> Option<usize> {
        let place = self.hub.load(Ordering::Relaxed);
        (place != NO_HUB).then_some(place)
    }

    /// Notes the place of this instance among the hubs.
    pub fn set_hub(&self, place: Option<usize>) {
        let place = place.unwrap_or(NO_HUB);
        if self.hub.swap(place, Ordering::Relaxed) != place {
            self.exchange.uncovered.notify_waiters();
        }
    }

    /// Whether a configuration is known.
    pub fn has_catalog(&self) -> bool {
        self.catalog.load().is_some()
    }

    /// Whether a request would be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalog.load().is_some()
    }

    /// The weights that engines of `model` are to serve.
    pub fn wanted(&self, model: &str) -> Option<Wanted> {
        let wanted = self.wanted.load();
        wanted.iter().find(|wanted| wanted.model == model).cloned()
    }

    /// Takes in rows that operators changed.
    pub fn operator_changed(&self, changes: &[Change]) {
        for change in changes {
            let Some(value) = &change.value else {
                continue;
            };
            match P::read_operator_row(&change.key, value) {
                Ok(OperatorRow::Catalog(catalog)) => self.put_in_force(*catalog),
                Ok(OperatorRow::Weights { model, version }) => self.want(model, version),
                Ok(OperatorRow::Other) => {}
                Err(reason) => emit!(
                    warn,
                    event::CATALOG_UNREADABLE,
                    row = change.key,
                    revision = change.revision,
                    reason = %reason,
                ),
            }
        }
    }

    /// A configuration takes the place of older ones only.
    fn put_in_force(&self, catalog: Catalog) {
        let in_force = self.catalog.load().as_ref().map_or(0, |c| c.version);
        if catalog.version <= in_force {
            return;
        }
        emit!(
            info,
            event::CATALOG_IN_FORCE,
            version = catalog.version,
            before = in_force,
        );
        self.catalog.store(Some(Arc::new(catalog)));
    }

    fn want(&self, model: String, version: u64) {
        let mut all = Vec::clone(&self.wanted.load());
        let known = all.iter().position(|wanted| wanted.model == model);
        if known.is_some_and(|index| all[index].version >= version) {
            return;
        }
        emit!(
            info,
            event::WEIGHTS_WANTED,
            model = model,
            version = version
        );
        let now = clock::now();
        match known {
            Some(index) => {
                all[index].version = version;
                all[index].agreed = false;
                all[index].named.push((version, now));
            }
            None => all.push(Wanted {
                model,
                version,
                named: vec![(version, now)],
                agreed: false,
            }),
        }
        self.wanted.store(Arc::new(all));
        self.rollout.notify_one();
    }

    /// Versions of which the table may not tell yet when they were first heard of, with when that
    /// was here.
    pub fn undated(&self) -> Vec<(String, u64, Duration)> {
        self.date_versions();
        let wanted = self.wanted.load();
        let undated = wanted.iter().filter(|wanted| !wanted.agreed);
        let last = |w: &Wanted| Some((w.model.clone(), w.version, w.named.last()?.1));
        undated.filter_map(last).collect()
    }

    /// Takes in rows that endpoints changed.
    pub fn endpoints_changed(&self, changes: &[Change]) {
        self.endpoints.apply::<P>(changes, clock::now());
        self.rollout.notify_one();
    }

    /// Takes in rows that instances changed.
    pub fn own_changed(&self, changes: &[Change]) {
        for change in changes {
            if change.key == crate::LEASE {
                let released = change.value.as_deref().is_some_and(lease::is_released);
                *self.lease_row.lock() = Some(Observation {
                    revision: change.revision,
                    // A lease that was released has ended long ago.
                    since: if released {
                        Duration::ZERO
                    } else {
                        clock::now()
                    },
                });
            }
            rollout::hear(self, change);
            self.hear_instance(change);
        }
    }

    /// Dates versions of weights by when any instance first heard of them, as the table tells.
    pub fn date_versions(&self) {
        let wanted = self.wanted.load();
        if wanted.iter().all(|wanted| wanted.agreed) {
            return;
        }
        let mut all = Vec::clone(&wanted);
        for wanted in &mut all {
            wanted.agreed = self.date(wanted);
        }
        self.wanted.store(Arc::new(all));
    }

    /// Whether the table tells the date of the newest version.
    fn date(&self, wanted: &mut Wanted) -> bool {
        let mut dated = false;
        for (version, since) in &mut wanted.named {
            let key = format!("{}{}/{version}", crate::NAMED, wanted.model);
            let value = self.mirrors.own.value(&key);
            let text = value.as_deref().and_then(|v| std::str::from_utf8(v).ok());
            let at = text
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis);
            let local = at.and_then(|at| self.exchange.local_time(at));
            dated = local.is_some();
            *since = local.map_or(*since, |local| local.min(*since));
        }
        dated
    }

    fn hear_instance(&self, change: &Change) {
        let Some(name) = change.key.strip_prefix(crate::INSTANCES) else {
            return;
        };
        let row = match change.value.as_deref().map(serde_json::from_slice) {
            Some(Ok(row)) => Some(row),
            None => None,
            Some(Err(reason)) => {
                emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %reason);
                None
            }
        };
        self.members.hear(name, row, clock::now());
    }

    /// Instances that share the limits, this one among them.
    pub fn sharers(&self) -> usize {
        self.members.others(&self.config.name, clock::now()).len() + 1
    }

    /// Counts the first attempt of a request at a service.
    pub fn attempted(&self, service: &Arc<str>) {
        let allowance = self.allowance();
        self.with_budget(service, |budget| budget.earn(allowance));
    }

    /// Takes a repeat at a service out of the budget, if one is left.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let allowance = self.allowance();
        let sharers = self.sharers();
        self.with_budget(service, |budget| budget.spend(allowance, sharers))
    }

    /// Takes in that one of the most urgent requests at a service began.
    pub fn began(&self, service: &Arc<str>, after: Duration, objective: Duration) {
        let mut lateness = self.lateness.lock();
        let index = match lateness.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                lateness.insert(index, (service.clone(), Lateness::default()));
                index
            }
        };
        lateness[index].1.record(clock::now(), after, objective);
    }

    /// Part of the less urgent requests at a service to refuse, from 0 to 1.
    pub fn refused_part(&self, service: &Arc<str>) -> f64 {
        let lateness = self.lateness.lock();
        let place = lateness.binary_search_by(|(name, _)| name.cmp(service));
        place.map_or(0.0, |index| lateness[index].1.refusal_rate(clock::now()))
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.config.bounds.retry_ratio,
            slack: self.config.bounds.retry_slack,
        }
    }

    fn with_budget<T>(&self, service: &Arc<str>, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut repeats = self.repeats.lock();
        let index = match repeats.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                repeats.insert(index, (service.clone(), Budget::default()));
                index
            }
        };
        change(&mut repeats[index].1)
    }

    /// What an instance that starts wants to know.
    pub fn state(&self) -> State {
        State {
            operator: self.mirrors.operator.copy(),
            endpoints: self.mirrors.endpoints.copy(),
            own: self.mirrors.own.copy(),
        }
    }

    /// Takes over what another instance knows, as far as it is news.
    pub fn import(&self, state: State) {
        self.operator_changed(&self.mirrors.operator.import(state.operator));
        self.endpoints_changed(&self.mirrors.endpoints.import(state.endpoints));
        self.own_changed(&self.mirrors.own.import(state.own));
    }
}
