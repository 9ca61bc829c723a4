//! The endpoints of all services, as registered.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use state::clock;

/// Registration that an endpoint writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Name, unique among endpoints that live at the same time.
    pub name: Arc<str>,
    /// Differs between incarnations of the endpoint; higher for later ones.
    pub incarnation: u64,
    /// Number of the row among those that this incarnation has written; 0 if they are not numbered.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software; empty if it names none.
    pub build: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Models that it serves, each with the version of its weights.
    pub weights: Vec<(Arc<str>, u64)>,
}

impl Registration {
    /// Order in which an endpoint has written its rows.
    pub fn position(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether the endpoint has older weights than in an earlier registration. Endpoints never go
    /// back to older weights, so that the earlier one was wrong.
    pub fn has_older_weights(&self, earlier: &Self) -> bool {
        let weights = self.weights.first().zip(earlier.weights.first());
        weights.is_some_and(|((model, version), (earlier_model, earlier_version))| {
            model == earlier_model && version < earlier_version
        })
    }
}

/// State of an endpoint that outlasts a new registration of the same incarnation.
#[derive(Debug)]
pub struct State {
    /// Newest version of weights that the endpoint is known to serve, for the first model.
    version: AtomicU64,
    /// Since when it is known to load weights, or to finish its requests before it loads, in
    /// milliseconds of the local clock; [`NOT_LOADING`] if it does not.
    loading_since: AtomicU64,
}

/// Value of [`State::loading_since`] while the endpoint does not load.
const NOT_LOADING: u64 = u64::MAX;

impl Default for State {
    fn default() -> Self {
        Self {
            version: AtomicU64::new(0),
            loading_since: AtomicU64::new(NOT_LOADING),
        }
    }
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its latest registration.
    pub registration: Registration,
    /// Version of weights under which the health table last identified it; [`UNIDENTIFIED`] before
    /// the first time.
    pub identified_version: AtomicU64,
    state: Arc<State>,
}

/// Value of [`Endpoint::identified_version`] before the first identification; not a version.
const UNIDENTIFIED: u64 = u64::MAX;

impl Endpoint {
    /// Creates an endpoint that registered for the first time, or as a new incarnation.
    pub fn new(registration: Registration) -> Self {
        let endpoint = Self {
            registration,
            identified_version: AtomicU64::new(UNIDENTIFIED),
            state: Arc::default(),
        };
        endpoint.record_registered_version();
        endpoint
    }

    /// The endpoint with a new registration; keeps its state within the same incarnation.
    pub fn with_registration(&self, registration: Registration) -> Self {
        if registration.incarnation != self.registration.incarnation {
            return Self::new(registration);
        }
        let endpoint = Self {
            registration,
            identified_version: AtomicU64::new(self.identified_version.load(Ordering::Relaxed)),
            state: self.state.clone(),
        };
        endpoint.record_registered_version();
        endpoint
    }

    /// Records the version from the registration.
    fn record_registered_version(&self) {
        if let Some((_, version)) = self.registration.weights.first() {
            self.record_version(*version);
        }
    }

    /// Version of the weights that it serves; 0 if it serves no model.
    pub fn version(&self) -> u64 {
        self.state.version.load(Ordering::Relaxed)
    }

    /// Records a version that it serves; older versions are ignored.
    pub fn record_version(&self, version: u64) {
        if self.state.version.fetch_max(version, Ordering::Relaxed) < version {
            self.set_loading(false);
        }
    }

    /// Whether it is known to load weights.
    pub fn is_loading(&self) -> bool {
        self.loading_since().is_some()
    }

    /// Since when it is known to load weights, by the local clock; `None` if it does not.
    pub fn loading_since(&self) -> Option<Duration> {
        let since = self.state.loading_since.load(Ordering::Relaxed);
        (since != NOT_LOADING).then(|| Duration::from_millis(since))
    }

    /// Sets whether it loads weights.
    pub fn set_loading(&self, loading: bool) {
        let since = &self.state.loading_since;
        if !loading {
            since.store(NOT_LOADING, Ordering::Relaxed);
            return;
        }
        let now = u64::try_from(clock::now().as_millis()).unwrap_or(NOT_LOADING - 1);
        // The first report counts; fails if there was one.
        let (unset, set) = (Ordering::Relaxed, Ordering::Relaxed);
        let _ = since.compare_exchange(NOT_LOADING, now, unset, set);
    }

    /// The first model that it serves; `None` if it serves none.
    pub fn model(&self) -> Option<&Arc<str>> {
        self.registration.weights.first().map(|(model, _)| model)
    }
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// # Invariants
    ///
    /// Sorted by service, then by name.
    endpoints: Vec<Arc<Endpoint>>,
}

impl Fleet {
    /// Creates a fleet; sorts the endpoints.
    pub fn new(mut endpoints: Vec<Arc<Endpoint>>) -> Self {
        endpoints.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { endpoints }
    }

    /// Endpoints of one service, including leaving ones.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        let service_of = |e: &Arc<Endpoint>| (*e.registration.service).cmp(service);
        let first = self.endpoints.partition_point(|e| service_of(e).is_lt());
        let count = self.endpoints[first..].partition_point(|e| service_of(e).is_le());
        &self.endpoints[first..first + count]
    }

    /// All endpoints.
    pub fn all(&self) -> &[Arc<Endpoint>] {
        &self.endpoints
    }
}

/// Sort key of an endpoint: service, then name.
fn key(endpoint: &Endpoint) -> (&str, &str) {
    (&endpoint.registration.service, &endpoint.registration.name)
}
