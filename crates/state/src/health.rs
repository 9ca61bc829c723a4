//! Health and load of each endpoint, as this instance has observed them.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::{
    Mutex,
    RwLock, //
};
use policy::{
    belief::{
        Holder,
        Millis, //
    },
    load::{
        Estimate,
        Report, //
    },
    retry::Budget, //
};

use crate::flight::Counter;

/// Pause before an endpoint that rejected a weights version is asked for that version again.
const VERSION_REJECTION_PAUSE: Duration = Duration::from_millis(500);

/// Mutable state of an endpoint: its identity and the estimates about it.
#[derive(Clone, Debug, Default)]
struct State {
    estimate: Estimate,
    epoch: u16,
    incarnation: String,
    version: String,
    /// The last version that the endpoint rejected, and the end of the pause for that version.
    rejected: Option<(String, Millis)>,
}

/// An endpoint as this instance has observed it.
#[derive(Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Hash of the name.
    pub hash: u64,
    /// Requests of this instance at the endpoint.
    pub in_flight: Arc<Counter>,
    slot: u16,
    state: Mutex<State>,
}

/// Snapshot of the state of an endpoint, for one request.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Holder under which beliefs about the endpoint are stored now.
    pub holder: Holder,
    /// Estimates for the endpoint.
    pub estimate: Estimate,
    /// Whether requests for the wanted version may be sent there now, by those who can connect.
    pub usable: bool,
    /// Whether this instance can connect, as far as it knows.
    pub reachable: bool,
    /// Whether it last reported a version other than the wanted one.
    pub version_mismatch: bool,
}

impl Endpoint {
    /// Snapshot for a request that needs `version`.
    pub fn view(&self, version: &str, now: Millis) -> View {
        let state = self.state.lock();
        let rejected = state
            .rejected
            .as_ref()
            .is_some_and(|(rejected, pause_end)| rejected == version && now < *pause_end);
        View {
            holder: self.holder(&state),
            estimate: state.estimate,
            version_mismatch: !version.is_empty()
                && !state.version.is_empty()
                && state.version != version,
            usable: !rejected && state.estimate.breaker.allows(now),
            reachable: state.estimate.path.failures() == 0,
        }
    }

    /// Records the incarnation and weights version that the endpoint reported.
    ///
    /// A new incarnation or version gets a new holder, which invalidates all beliefs
    /// about the old one.
    pub fn identify(&self, incarnation: &str, version: &str) -> Holder {
        let mut state = self.state.lock();
        let changed = |old: &str, new: &str| !old.is_empty() && old != new;
        if changed(&state.incarnation, incarnation) || changed(&state.version, version) {
            state.epoch = state.epoch.wrapping_add(1);
            state.rejected = None;
        }
        if state.incarnation != incarnation {
            state.estimate.forget_statements();
            incarnation.clone_into(&mut state.incarnation);
        }
        if state.version != version {
            version.clone_into(&mut state.version);
        }
        self.holder(&state)
    }

    /// The holder of beliefs about `incarnation`; `None` if another incarnation is current.
    ///
    /// Without a known incarnation, `incarnation` is taken as the current one.
    pub fn holder_of(&self, incarnation: &str) -> Option<Holder> {
        let mut state = self.state.lock();
        if state.incarnation.is_empty() {
            incarnation.clone_into(&mut state.incarnation);
        }
        (state.incarnation == incarnation).then(|| self.holder(&state))
    }

    /// The last known incarnation, empty if there is none, and its holder.
    pub fn incarnation(&self) -> (String, Holder) {
        let state = self.state.lock();
        (state.incarnation.clone(), self.holder(&state))
    }

    /// Applies `change` to the estimates.
    pub fn update_estimate(&self, change: impl FnOnce(&mut Estimate)) {
        change(&mut self.state.lock().estimate);
    }

    /// Records that the endpoint rejected `version`, and starts the pause for that version.
    pub fn record_version_rejection(&self, version: &str, now: Millis) {
        let pause = u64::try_from(VERSION_REJECTION_PAUSE.as_millis()).unwrap_or(u64::MAX);
        self.state.lock().rejected = Some((version.to_owned(), now + pause));
    }

    /// Records a load report, without the waiting requests of this instance.
    pub fn record_report(&self, waiting: u32, running: u32, read_at: Millis) {
        let own_waiting = self.in_flight.waiting();
        self.state.lock().estimate.report = Report {
            waiting: waiting.saturating_sub(own_waiting),
            running,
            read_at,
        };
    }

    fn holder(&self, state: &State) -> Holder {
        Holder {
            slot: self.slot,
            epoch: state.epoch,
        }
    }
}

/// All endpoints that this instance knows.
///
/// # Invariants
///
/// Sorted by name; slots are numbered in the order in which endpoints were added.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: RwLock<Vec<Arc<Endpoint>>>,
    turns: AtomicUsize,
    retry_budget: Mutex<Budget>,
}

impl Table {
    /// The endpoint with this name, added if absent.
    pub fn endpoint(&self, name: &Arc<str>) -> Arc<Endpoint> {
        if let Some(endpoint) = self.find(name) {
            return endpoint;
        }
        let mut endpoints = self.endpoints.write();
        let found = endpoints.binary_search_by(|endpoint| (*endpoint.name).cmp(name));
        let index = match found {
            Ok(index) => return endpoints[index].clone(),
            Err(index) => index,
        };
        let endpoint = Arc::new(Endpoint {
            name: name.clone(),
            hash: policy::prefix::name_hash(name),
            in_flight: Arc::default(),
            slot: u16::try_from(endpoints.len()).unwrap_or(u16::MAX),
            state: Mutex::default(),
        });
        endpoints.insert(index, endpoint.clone());
        endpoint
    }

    /// The endpoint with this name, if it is known.
    pub fn find(&self, name: &str) -> Option<Arc<Endpoint>> {
        let endpoints = self.endpoints.read();
        let found = endpoints.binary_search_by(|endpoint| (*endpoint.name).cmp(name));
        found.ok().map(|index| endpoints[index].clone())
    }

    /// Number of requests of this instance that run at an endpoint now.
    pub fn running(&self, name: &str) -> u32 {
        self.find(name)
            .map_or(0, |endpoint| endpoint.in_flight.running())
    }

    /// All endpoints, sorted by slot.
    pub fn by_slot(&self) -> Vec<Arc<Endpoint>> {
        let mut all = self.endpoints.read().clone();
        all.sort_by_key(|endpoint| endpoint.slot);
        all
    }

    /// Sequence number for the next choice of an endpoint, which wraps around.
    pub fn next_turn(&self) -> usize {
        self.turns.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds to the retry budget for the first attempt of a request.
    pub fn record_first_attempt(&self) {
        self.retry_budget.lock().earn();
    }

    /// Returns a retry to the budget, after an endpoint has proved that it did not start
    /// the request.
    pub fn refund_retry(&self) {
        self.retry_budget.lock().refund();
    }

    /// Takes a retry out of the budget; `false` if none is left.
    pub fn spend_retry(&self) -> bool {
        self.retry_budget.lock().spend()
    }
}
