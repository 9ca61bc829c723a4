//! Rollout of the weights that operators name, controlled by one instance at a time.
//!
//! The instance that holds the lease orders the engines to load. It publishes
//! the progress in the table, so that all instances avoid engines that load and
//! learn at once which engines serve the new weights.

mod load;
mod request;

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::order;
use parking_lot::Mutex;
use platform::table::{
    Change,
    Txn,
    Watch, //
};
use policy::rollout::{
    ACQUIRE_STAGGER,
    Engine,
    LoadTimes,
    Weights,
    acquire_delay,
    load_backoff,
    plan, //
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
        Claim,
        Contender,
        RENEWALS_PER_TERM,
        Sighting, //
    },
    node::Node,
    protocol::{
        Invalid,
        Protocol, //
    },
    stream::millis,
    weights::Rollout, //
};
use load::{
    ANNOUNCE_DELAY,
    End,
    Load,
    Outcome,
    order_grant, //
};
pub use request::LongestRequest;

/// Interval between steps while engines serve outdated weights.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between steps while all engines are up to date.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Rollout progress of the engines of one model, as published in the table.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Progress {
    /// Version that the engines should serve.
    version: u64,
    /// Names of the engines that load it.
    loading: Vec<Arc<str>>,
    /// Names of the engines that serve it.
    done: Vec<Arc<str>>,
    /// Era of the table, as the holder knew it; a row is written again in a later one.
    #[serde(default)]
    era: u64,
}

/// Applies a published rollout progress; ignores all other rows.
pub fn apply_progress<P: Protocol>(node: &Node<P>, change: &Change) {
    let (Some(model), Some(value)) = (change.key.strip_prefix(ROLLOUTS), &change.value) else {
        return;
    };
    let progress: Progress = match serde_json::from_slice(value) {
        Ok(progress) => progress,
        Err(reason) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %Invalid::from(reason));
            return;
        }
    };
    for endpoint in engines(node, model) {
        let name = &endpoint.registration.name;
        if progress.done.contains(name) {
            endpoint.record_version(progress.version);
        }
        // The row may be older than what the engine says itself.
        let is_outdated = endpoint.version() < progress.version;
        let is_named = is_outdated && progress.loading.contains(name);
        // After a restore, it may be older than one that named the engine.
        let was_named = progress.era < change.revision.era && endpoint.is_loading();
        endpoint.set_loading(is_named || was_named);
    }
}

/// Engines that serve `model` and are not leaving.
fn engines<P: Protocol>(node: &Node<P>, model: &str) -> Vec<Arc<Endpoint>> {
    let fleet = node.endpoints.fleet();
    let matches = |e: &&Arc<Endpoint>| {
        !e.registration.leaving && e.model().is_some_and(|served| **served == *model)
    };
    fleet.all().iter().filter(matches).cloned().collect()
}

/// An engine whose latest load failed.
#[derive(Debug)]
struct Failure {
    engine: Arc<str>,
    /// Number of consecutive failed loads.
    count: u32,
    /// Time from which it may be ordered to load again.
    retry_at: Instant,
}

/// An engine that loads, or finishes its requests before it loads.
#[derive(Debug)]
struct Absent {
    endpoint: Arc<Endpoint>,
    since: Instant,
}

/// Controls the rollout while this instance holds the lease.
struct Controller<P, W> {
    node: Arc<Node<P>>,
    table: W,
    contender: Contender<W>,
    tasks: JoinSet<Outcome>,
    absent: Vec<Absent>,
    load_times: Arc<Mutex<LoadTimes>>,
    /// Engines whose latest load failed.
    failures: Vec<Failure>,
    /// Time of the latest attempt to acquire or renew the lease.
    lease_attempted_at: Option<Instant>,
    /// Whether engines serve outdated weights.
    is_busy: bool,
    /// Time since which the lease is seen to be free while engines serve outdated weights.
    free_since: Option<Instant>,
    /// Latest progress written to the table, by model.
    published: Vec<(String, Progress)>,
}

/// Orders loads while engines serve outdated weights and the lease is held, until the task is
/// aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    let name = node.config.name.clone();
    let mut controller = Controller {
        contender: Contender::new(table.clone(), LEASE, &name, node.config.bounds.lease)
            .bound_to(node.config.listen.exchange),
        node: node.clone(),
        table,
        tasks: JoinSet::new(),
        absent: Vec::new(),
        load_times: Arc::default(),
        failures: Vec::new(),
        lease_attempted_at: None,
        is_busy: false,
        free_since: None,
        published: Vec::new(),
    };
    loop {
        let interval = if controller.is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::select! {
            () = node.rollout_wakeup.notified() => {}
            () = tokio::time::sleep(interval) => {}
            Some(result) = controller.tasks.join_next() => controller.handle_outcome(result),
        }
        controller.step().await;
    }
}

impl<P: Protocol, W: Watch> Controller<P, W> {
    fn handle_outcome(&mut self, result: Result<Outcome, tokio::task::JoinError>) {
        let Ok(Outcome { endpoint, end }) = result else {
            return;
        };
        let absence = self
            .absent(&endpoint)
            .map_or(Duration::ZERO, |absent| absent.since.elapsed());
        endpoint.set_loading(false);
        let name = endpoint.registration.name.clone();
        self.absent
            .retain(|absent| absent.endpoint.registration.name != name);
        if end == End::Withheld {
            emit!(info, event::LOAD_WITHHELD, endpoint = &*name);
            return;
        }
        let known = self.failures.iter().position(|f| f.engine == name);
        let known = known.map(|index| self.failures.swap_remove(index));
        if end == End::Failed {
            let count = known.map_or(0, |f| f.count).saturating_add(1);
            let backoff = load_backoff(count, self.node.time_left_to_load(&endpoint, clock::now()));
            emit!(
                info,
                event::LOAD_FAILED,
                endpoint = &*name,
                failures = count,
                absent_ms = millis(absence),
                backoff_ms = millis(backoff),
            );
            self.failures.push(Failure {
                engine: name,
                count,
                retry_at: Instant::now() + backoff,
            });
        }
    }

    /// Number of consecutive failed loads of `engine`.
    fn failure_count(&self, engine: &Endpoint) -> u32 {
        let name = &engine.registration.name;
        let mut failures = self.failures.iter();
        failures.find(|f| f.engine == *name).map_or(0, |f| f.count)
    }

    async fn step(&mut self) {
        if self.node.is_stopping() {
            if let Err(fault) = self.contender.release(&self.node.lease).await {
                emit!(debug, event::LEASE_FAULT, reason = %fault);
            }
            return;
        }
        self.is_busy = self.has_work() || self.node.exposure.has_work();
        if !self.is_busy {
            self.free_since = None;
            if !self.absent.is_empty() {
                return;
            }
            self.publish().await;
            return;
        }
        if !self.ensure_lease().await {
            return;
        }
        // An engine that is announced now is ordered after the delay.
        let knows_progress = self.node.mirrors.instances.is_read();
        if knows_progress && order_grant(&self.node, ANNOUNCE_DELAY).is_some() {
            for rollout in self.node.rollouts.load().iter() {
                self.start_loads(rollout);
            }
        }
        self.publish().await;
    }

    /// Whether any engine serves outdated weights.
    fn has_work(&self) -> bool {
        let rollouts = self.node.rollouts.load();
        let is_behind = |rollout: &Rollout| {
            let engines = engines(&self.node, &rollout.model);
            engines.iter().any(|e| e.version() < rollout.version)
        };
        rollouts.iter().any(is_behind)
    }

    /// Acquires or renews the lease when it is due; returns whether it is held.
    async fn ensure_lease(&mut self) -> bool {
        let is_held = self.node.lease.check(order::MAX_DELIVERY_TIME).is_some();
        let since_attempt = self
            .lease_attempted_at
            .map_or(Duration::MAX, |at| at.elapsed());
        let is_due = if is_held {
            since_attempt >= self.node.config.bounds.lease / RENEWALS_PER_TERM
        } else {
            since_attempt >= ACQUIRE_STAGGER && self.may_acquire()
        };
        if is_due {
            self.lease_attempted_at = Some(Instant::now());
            if let Err(fault) = self.contender.step(&self.node.lease).await {
                emit!(debug, event::LEASE_FAULT, reason = %fault);
            }
        }
        self.node.lease.check(order::MAX_DELIVERY_TIME).is_some()
    }

    /// Whether the lease has been free for so long that the live instances that precede this one would
    /// have acquired it.
    fn may_acquire(&mut self) -> bool {
        let now = clock::now();
        let sighting = self.node.lease_row.lock().clone();
        let sighting = sighting.unwrap_or_else(|| {
            let (era, since) = self.node.era.current().unwrap_or((0, now));
            Sighting::absent(era, since)
        });
        let table_time = self.node.exchange.table_time(now);
        match self.contender.claim_to(&sighting, table_time, now) {
            None => {
                self.free_since = None;
                return false;
            }
            // No other instance may take it now.
            Some(Claim::Own | Claim::Restored) => return true,
            Some(_) => {}
        }
        let free_since = *self.free_since.get_or_insert_with(Instant::now);
        let own = &*self.node.config.name;
        let preceding = self.node.members.with_live(now, |members| {
            let names = members.iter().map(|member| &*member.name);
            names.filter(|name| sighting.precedes(name, own)).count()
        });
        free_since.elapsed() >= acquire_delay(preceding)
    }

    /// Starts as many loads of `rollout` as may run now.
    fn start_loads(&mut self, rollout: &Rollout) {
        let mut engines = engines(&self.node, &rollout.model);
        let offset = rand::random::<u32>() as usize % engines.len().max(1);
        engines.rotate_left(offset);
        // Those that the previous holder has ordered are absent already.
        let ordered = self.published_loading(rollout);
        engines.sort_by_key(|engine| {
            // A restore may have lost the row that named the engine.
            !engine.is_loading() && !ordered.contains(&engine.registration.name)
        });
        let now = clock::now();
        let views: Vec<Engine> = engines.iter().map(|e| self.view(e, rollout, now)).collect();
        let is_of_model = |absent: &&Absent| {
            let model = absent.endpoint.model();
            model.is_some_and(|model| **model == *rollout.model)
        };
        let absent = self.absent.iter().filter(is_of_model).count();
        let loading_elsewhere = self.absent.len() - absent;
        let bound = self.node.config.bounds.weights_all();
        let plan = {
            let mut load_times = self.load_times.lock();
            load_times.set_longest_request(self.node.longest_request.duration());
            plan(&views, &load_times, loading_elsewhere, bound)
        };
        for ((index, mode), absent) in plan.picked.into_iter().zip(absent..) {
            emit!(
                info,
                event::LOAD_STARTED,
                endpoint = &*engines[index].registration.name,
                version = rollout.version,
                served = engines[index].version(),
                absent,
                max_absent = plan.max_absent,
                mode = ?mode,
                time_left_ms = millis(views[index].time_left),
            );
            let endpoint = engines[index].clone();
            endpoint.set_loading(true);
            self.absent.push(Absent {
                endpoint: endpoint.clone(),
                since: Instant::now(),
            });
            let load = Load {
                node: self.node.clone(),
                endpoint,
                load_times: self.load_times.clone(),
                model: rollout.model.clone(),
                mode,
                failures: views[index].failures,
            };
            self.tasks.spawn(load.run());
        }
    }

    /// Names of the engines that load according to the table.
    fn published_loading(&self, rollout: &Rollout) -> Vec<Arc<str>> {
        let key = format!("{ROLLOUTS}{}", rollout.model);
        let rows = self.node.mirrors.instances.with_prefix(&key);
        let row = rows.into_iter().find(|(found, _)| *found == key);
        // An unreadable row is logged when it is applied.
        row.and_then(|(_, value)| serde_json::from_slice(&value).ok())
            .map_or_else(Vec::new, |progress: Progress| progress.loading)
    }

    fn absent(&self, engine: &Endpoint) -> Option<&Absent> {
        let name = &engine.registration.name;
        let mut absent = self.absent.iter();
        absent.find(|absent| absent.endpoint.registration.name == *name)
    }

    fn view(&self, engine: &Endpoint, rollout: &Rollout, now: Duration) -> Engine {
        let absent = self.absent(engine);
        Engine {
            weights: self.weights(engine, rollout),
            time_left: self.node.time_left_to_load(engine, now),
            absence: absent.map_or(Duration::ZERO, |absent| absent.since.elapsed()),
            failures: self.failure_count(engine),
        }
    }

    fn weights(&self, engine: &Endpoint, rollout: &Rollout) -> Weights {
        if self.absent(engine).is_some() {
            return Weights::Loading;
        }
        let name = &engine.registration.name;
        let now = Instant::now();
        let is_backing_off = self
            .failures
            .iter()
            .any(|f| f.engine == *name && f.retry_at > now);
        if engine.version() >= rollout.version {
            Weights::Wanted
        } else if is_backing_off {
            Weights::Deferred
        } else {
            Weights::Other
        }
    }

    /// Writes the progress of each model to the table if it has changed.
    async fn publish(&mut self) {
        let rollouts = self.node.rollouts.load_full();
        for rollout in rollouts.iter() {
            let progress = self.progress(rollout);
            let known = self
                .published
                .iter()
                .position(|(model, _)| *model == rollout.model);
            let is_changed = match known {
                Some(index) => self.published[index].1 != progress,
                None => !progress.loading.is_empty(),
            };
            if !is_changed {
                continue;
            }
            let key = format!("{ROLLOUTS}{}", rollout.model);
            // Cannot fail: strings and integers always serialize.
            let value = serde_json::to_vec(&progress).unwrap_or_default();
            if let Err(fault) = self.table.transact(Txn::default().put(key, value)).await {
                emit!(debug, event::TABLE_FAULT, prefix = ROLLOUTS, reason = %fault);
                continue;
            }
            if let Some(index) = known {
                self.published.swap_remove(index);
            }
            self.published.push((rollout.model.clone(), progress));
        }
    }

    fn progress(&self, rollout: &Rollout) -> Progress {
        let engines = engines(&self.node, &rollout.model);
        Progress {
            version: rollout.version,
            loading: names(&engines, |e| self.absent(e).is_some()),
            done: names(&engines, |e| e.version() >= rollout.version),
            era: self.node.era.current().map_or(0, |(era, _)| era),
        }
    }
}

/// Names of the engines for which `matches` holds.
fn names(engines: &[Arc<Endpoint>], matches: impl Fn(&Endpoint) -> bool) -> Vec<Arc<str>> {
    let matching = engines.iter().filter(|engine| matches(engine));
    matching.map(|e| e.registration.name.clone()).collect()
}
