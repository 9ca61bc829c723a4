//! The endpoints of all services, as they register themselves.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

/// What an endpoint says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Name, unique among endpoints that live at the same time.
    pub name: Arc<str>,
    /// Tells one life of the endpoint from its others.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Models that it serves, with the version of their weights.
    pub weights: Vec<(Arc<str>, u64)>,
}

/// What changes between two registrations of one endpoint.
#[derive(Debug, Default)]
pub struct Live {
    /// Newest version of weights that was heard of, for the first model.
    version: AtomicU64,
    /// Whether it loads weights, as far as is known.
    loading: AtomicBool,
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// What it says of itself.
    pub registration: Registration,
    /// Version under which what is learnt of it is kept; [`UNIDENTIFIED`] before the first.
    pub identified: AtomicU64,
    live: Arc<Live>,
}

/// No version of weights.
const UNIDENTIFIED: u64 = u64::MAX;

impl Endpoint {
    /// An endpoint that was heard of for the first time, or in another life.
    pub fn new(registration: Registration) -> Self {
        let endpoint = Self {
            registration,
            identified: AtomicU64::new(UNIDENTIFIED),
            live: Arc::default(),
        };
        endpoint.hear_registered();
        endpoint
    }

    /// The same endpoint, after it has registered anew.
    pub fn renewed(&self, registration: Registration) -> Self {
        if registration.incarnation != self.registration.incarnation {
            return Self::new(registration);
        }
        let endpoint = Self {
            registration,
            identified: AtomicU64::new(self.identified.load(Ordering::Relaxed)),
            live: self.live.clone(),
        };
        endpoint.hear_registered();
        endpoint
    }

    fn hear_registered(&self) {
        if let Some((_, version)) = self.registration.weights.first() {
            self.hear_version(*version);
        }
    }

    /// Version of the weights that it serves; 0 if it serves no model.
    pub fn version(&self) -> u64 {
        self.live.version.load(Ordering::Relaxed)
    }

    /// Notes a version that it was heard to serve; versions never go back.
    pub fn hear_version(&self, version: u64) {
        if self.live.version.fetch_max(version, Ordering::Relaxed) < version {
            self.live.loading.store(false, Ordering::Relaxed);
        }
    }

    /// Whether it loads weights, as far as is known.
    pub fn is_loading(&self) -> bool {
        self.live.loading.load(Ordering::Relaxed)
    }

    /// Notes whether it loads weights.
    pub fn set_loading(&self, loading: bool) {
        self.live.loading.store(loading, Ordering::Relaxed);
    }

    /// The model that it serves.
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
    /// Puts endpoints in order.
    pub fn new(mut endpoints: Vec<Arc<Endpoint>>) -> Self {
        endpoints.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { endpoints }
    }

    /// Endpoints of one service, leaving ones too.
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

fn key(endpoint: &Endpoint) -> (&str, &str) {
    (&endpoint.registration.service, &endpoint.registration.name)
}
