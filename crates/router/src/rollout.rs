//! Brings engines to the weights that operators name, by one instance at a time.
//!
//! The instance that holds the lease gives the orders. It writes how far the
//! engines have come into the table, so that all instances keep away from
//! engines that load and know at once which ones serve the new weights.

mod load;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use endpoint::order;
use platform::table::{
    Change,
    Txn,
    Watch, //
};
use policy::rollout::{
    Weights,
    load_backoff,
    max_loading,
    pick_within, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    task::JoinSet,
    time::Instant, //
};

use crate::{
    LEASE,
    ROLLOUTS,
    fleet::Endpoint,
    lease::{
        Contender,
        RENEWALS_PER_TERM, //
    },
    node::{
        Node,
        Wanted, //
    },
    protocol::Protocol, //
};
use load::{
    Ended,
    Load,
    Pace,
    START_LOAD_TIME, //
};

/// Time between looks at what there is to do while there is something.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Time between looks while there is nothing.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// By how much later each further instance tries to take the lease, so that not all do.
const TURN: Duration = Duration::from_millis(300);

/// How far the engines of one model have come.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Progress {
    /// The version that they are to serve.
    version: u64,
    /// Engines that load it.
    loading: Vec<Arc<str>>,
    /// Engines that serve it.
    done: Vec<Arc<str>>,
}

/// Takes in how far engines have come, if the row tells that.
pub fn hear<P: Protocol>(node: &Node<P>, change: &Change) {
    let (Some(model), Some(value)) = (change.key.strip_prefix(ROLLOUTS), &change.value) else {
        return;
    };
    let progress: Progress = match serde_json::from_slice(value) {
        Ok(progress) => progress,
        Err(reason) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %reason);
            return;
        }
    };
    for endpoint in engines(node, model) {
        let name = &endpoint.registration.name;
        if progress.done.contains(name) {
            endpoint.hear_version(progress.version);
        }
        endpoint.set_loading(progress.loading.contains(name));
    }
}

/// Engines that serve `model` and are not leaving.
fn engines<P: Protocol>(node: &Node<P>, model: &str) -> Vec<Arc<Endpoint>> {
    let fleet = node.endpoints.fleet();
    let serves = |e: &&Arc<Endpoint>| {
        !e.registration.leaving && e.model().is_some_and(|served| **served == *model)
    };
    fleet.all().iter().filter(serves).cloned().collect()
}

/// An engine that loads, or is being freed of requests before.
#[derive(Debug)]
struct Loading {
    endpoint: Arc<Endpoint>,
    /// Whether the load is about to end, so that the next engine can be freed of requests.
    is_ending: Arc<AtomicBool>,
}

/// An engine that did not load when it was last tried.
#[derive(Debug)]
struct Failing {
    engine: Arc<str>,
    /// Loads in a row that failed.
    failures: u32,
    /// When it may be tried again.
    until: Instant,
}

/// What the holder of the lease has under way.
struct Work<P, W> {
    node: Arc<Node<P>>,
    table: W,
    keeper: Contender<W>,
    tasks: JoinSet<Ended>,
    loading: Vec<Loading>,
    pace: Arc<Pace>,
    /// Engines that did not load when they were last tried.
    failing: Vec<Failing>,
    renewed: Option<Instant>,
    /// Since when there has been something to do.
    busy_since: Option<Instant>,
    published: Vec<(String, Progress)>,
}

/// Gives orders whenever there is something to do and the lease is held, until the task is
/// aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    let name = node.config.name.clone();
    let mut work = Work {
        keeper: Contender::new(table.clone(), LEASE, &name, node.config.bounds.lease),
        node: node.clone(),
        table,
        tasks: JoinSet::new(),
        loading: Vec::new(),
        pace: Arc::new(Pace::new(max_loading(0), START_LOAD_TIME)),
        failing: Vec::new(),
        renewed: None,
        busy_since: None,
        published: Vec::new(),
    };
    loop {
        let interval = match work.busy_since {
            Some(_) => BUSY_INTERVAL,
            None => IDLE_INTERVAL,
        };
        tokio::select! {
            () = node.rollout.notified() => {}
            () = tokio::time::sleep(interval) => {}
            Some(ended) = work.tasks.join_next() => work.end(ended),
        }
        work.step().await;
    }
}

impl<P: Protocol, W: Watch> Work<P, W> {
    fn end(&mut self, ended: Result<Ended, tokio::task::JoinError>) {
        let Ok(Ended { endpoint, loaded }) = ended else {
            return;
        };
        endpoint.set_loading(false);
        let name = endpoint.registration.name.clone();
        self.loading
            .retain(|l| l.endpoint.registration.name != name);
        let known = self.failing.iter().position(|f| f.engine == name);
        let known = known.map(|index| self.failing.swap_remove(index));
        if !loaded {
            let failures = known.map_or(0, |f| f.failures).saturating_add(1);
            self.failing.push(Failing {
                engine: name,
                failures,
                until: Instant::now() + load_backoff(failures),
            });
        }
    }

    /// Loads of the engine that failed in a row, if it was tried.
    fn failures(&self, engine: &Endpoint) -> u32 {
        let name = &engine.registration.name;
        let mut failing = self.failing.iter();
        failing
            .find(|f| f.engine == *name)
            .map_or(0, |f| f.failures)
    }

    async fn step(&mut self) {
        if self.node.is_stopping() {
            if let Err(fault) = self.keeper.release(&self.node.lease).await {
                emit!(debug, event::LEASE_FAULT, reason = %fault);
            }
            return;
        }
        if !self.has_work() {
            self.busy_since = None;
            if !self.loading.is_empty() {
                return;
            }
            self.publish().await;
            return;
        }
        let since = *self.busy_since.get_or_insert_with(Instant::now);
        if !self.hold_lease(since).await {
            return;
        }
        for wanted in self.node.wanted.load().iter() {
            self.order(wanted);
        }
        self.publish().await;
    }

    /// Whether any engine serves older weights than those named.
    fn has_work(&self) -> bool {
        let wanted = self.node.wanted.load();
        let is_behind = |wanted: &Wanted| {
            let engines = engines(&self.node, &wanted.model);
            engines.iter().any(|e| e.version() < wanted.version)
        };
        wanted.iter().any(is_behind)
    }

    /// Takes or renews the lease when it is due.
    async fn hold_lease(&mut self, since: Instant) -> bool {
        let held = self.node.lease.check(order::MAX_DELIVERY_TIME).is_some();
        let tried = self.renewed.map_or(Duration::MAX, |at| at.elapsed());
        let due = if held {
            tried >= self.node.config.bounds.lease / RENEWALS_PER_TERM
        } else {
            tried >= TURN && since.elapsed() >= self.turn() && self.is_free()
        };
        if due {
            self.renewed = Some(Instant::now());
            if let Err(fault) = self.keeper.step(&self.node.lease).await {
                emit!(debug, event::LEASE_FAULT, reason = %fault);
            }
        }
        self.node.lease.check(order::MAX_DELIVERY_TIME).is_some()
    }

    /// Whether the lease's row, as hubs tell it, stood unchanged for so long that it has ended.
    fn is_free(&mut self) -> bool {
        let Some(sighting) = *self.node.lease_row.lock() else {
            return true;
        };
        self.keeper.set_sighting(sighting);
        sighting.is_expired(self.node.config.bounds.lease, clock::now())
    }

    /// How long to leave the lease to instances that come first in order of their names.
    fn turn(&self) -> Duration {
        let named = self.node.members.heard(clock::now());
        let own = &*self.node.config.name;
        let before = named.iter().filter(|member| *member.name < *own).count();
        TURN.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX))
    }

    /// Starts as many loads as may run now.
    fn order(&mut self, wanted: &Wanted) {
        let mut engines = engines(&self.node, &wanted.model);
        let turn = rand::random::<u32>() as usize % engines.len().max(1);
        engines.rotate_left(turn);
        // The oldest weights run out first, but engines that do not answer hold up no others.
        engines.sort_by_key(|engine| (self.failures(engine), engine.version()));
        let weights: Vec<Weights> = engines.iter().map(|e| self.weights(e, wanted)).collect();
        let most = max_loading(engines.len());
        let picked = pick_within(&weights, self.under_way(), most);
        self.set_pace(most);
        for index in picked {
            let endpoint = engines[index].clone();
            endpoint.set_loading(true);
            let is_ending = Arc::new(AtomicBool::new(false));
            self.loading.push(Loading {
                endpoint: endpoint.clone(),
                is_ending: is_ending.clone(),
            });
            let load = Load {
                node: self.node.clone(),
                endpoint,
                pace: self.pace.clone(),
                is_ending,
                model: wanted.model.clone(),
                version: wanted.version,
            };
            self.tasks.spawn(load.run());
        }
    }

    /// Loads that take up room; one that is about to end makes room for the next.
    fn under_way(&self) -> usize {
        let full = self.loading.iter();
        full.filter(|l| !l.is_ending.load(Ordering::Relaxed))
            .count()
    }

    /// Loads that have begun go on under the pace that they began with.
    fn set_pace(&mut self, most: usize) {
        if self.pace.most != most {
            let load_time = *self.pace.load_time.lock();
            self.pace = Arc::new(Pace::new(most, load_time));
        }
    }

    fn weights(&self, engine: &Endpoint, wanted: &Wanted) -> Weights {
        let name = &engine.registration.name;
        if self
            .loading
            .iter()
            .any(|l| l.endpoint.registration.name == *name)
        {
            return Weights::Loading;
        }
        let now = Instant::now();
        let rests = self
            .failing
            .iter()
            .any(|f| f.engine == *name && f.until > now);
        if engine.version() >= wanted.version || rests {
            return Weights::Wanted;
        }
        Weights::Other
    }

    /// Tells the other instances how far the engines have come, if that has changed.
    async fn publish(&mut self) {
        let wanted = self.node.wanted.load_full();
        for wanted in wanted.iter() {
            let progress = self.progress(wanted);
            let known = self
                .published
                .iter()
                .position(|(model, _)| *model == wanted.model);
            let news = match known {
                Some(index) => self.published[index].1 != progress,
                None => !progress.loading.is_empty(),
            };
            if !news {
                continue;
            }
            let key = format!("{ROLLOUTS}{}", wanted.model);
            // Texts and numbers always encode.
            let value = serde_json::to_vec(&progress).unwrap_or_default();
            if let Err(fault) = self.table.transact(Txn::default().put(key, value)).await {
                emit!(debug, event::TABLE_FAULT, prefix = ROLLOUTS, reason = %fault);
                continue;
            }
            if let Some(index) = known {
                self.published.swap_remove(index);
            }
            self.published.push((wanted.model.clone(), progress));
        }
    }

    fn progress(&self, wanted: &Wanted) -> Progress {
        let engines = engines(&self.node, &wanted.model);
        Progress {
            version: wanted.version,
            loading: names(&engines, |e| self.weights(e, wanted) == Weights::Loading),
            done: names(&engines, |e| e.version() >= wanted.version),
        }
    }
}

/// Names of the engines for which `fits` holds.
fn names(engines: &[Arc<Endpoint>], fits: impl Fn(&Endpoint) -> bool) -> Vec<Arc<str>> {
    let fitting = engines.iter().filter(|engine| fits(engine));
    fitting.map(|e| e.registration.name.clone()).collect()
}
