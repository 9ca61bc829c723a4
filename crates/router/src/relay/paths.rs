//! What this instance knows of its paths to endpoints.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

use parking_lot::Mutex;
use policy::path::{
    Paths,
    Route, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Registration;

/// Paths to the endpoints of all services.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service, each once.
    services: Mutex<Vec<(Arc<str>, Paths)>>,
    /// Notified when a direct path has failed.
    pub(super) has_failed: Notify,
    /// Number of the next round of probes.
    turn: AtomicUsize,
}

/// Identifies an incarnation of an endpoint.
pub(super) fn key(endpoint: &Registration) -> u64 {
    xxh3_64_with_seed(endpoint.name.as_bytes(), endpoint.incarnation)
}

impl Table {
    /// How to connect to an endpoint.
    pub fn route(&self, endpoint: &Registration) -> Route {
        let now = clock::now();
        let services = self.services.lock();
        let Ok(index) = find(&services, &endpoint.service) else {
            return Route::Direct;
        };
        services[index].1.route(key(endpoint), now)
    }

    /// Whether the direct paths to all endpoints of a service count as cut.
    pub fn is_cut(&self, service: &str) -> bool {
        let services = self.services.lock();
        find(&services, service).is_ok_and(|index| services[index].1.is_cut())
    }

    /// Records a direct connection.
    pub fn record_direct(&self, endpoint: &Registration) {
        let now = clock::now();
        let record = |paths: &mut Paths| paths.record_direct(key(endpoint), now);
        if self.update(&endpoint.service, record) {
            emit!(
                info,
                event::ENDPOINT_DIRECT,
                service = &*endpoint.service,
                endpoint = &*endpoint.name,
            );
        }
    }

    /// Records that another instance has connected to an endpoint to which the direct path failed.
    pub fn record_relayed(&self, endpoint: &Registration) {
        let now = clock::now();
        let mut is_cut = false;
        let is_new = self.update(&endpoint.service, |paths| {
            let is_new = paths.record_relayed(key(endpoint), now);
            is_cut = paths.is_cut();
            is_new
        });
        if is_new {
            emit!(
                warn,
                event::ENDPOINT_RELAYED,
                service = &*endpoint.service,
                endpoint = &*endpoint.name,
                service_cut = is_cut,
            );
            self.has_failed.notify_one();
        }
    }

    /// Records that neither this instance nor another one could connect to an endpoint.
    pub fn record_unreachable(&self, endpoint: &Registration) {
        let now = clock::now();
        let record = |paths: &mut Paths| paths.record_unreachable(key(endpoint), now);
        if self.update(&endpoint.service, record) {
            emit!(
                warn,
                event::ENDPOINT_UNREACHABLE,
                service = &*endpoint.service,
                endpoint = &*endpoint.name,
            );
            self.has_failed.notify_one();
        }
    }

    /// Services with endpoints whose direct path has failed.
    pub(super) fn failed_services(&self) -> Vec<Arc<str>> {
        let services = self.services.lock();
        let failed = services
            .iter()
            .filter(|(_, paths)| paths.failed().next().is_some());
        failed.map(|(service, _)| service.clone()).collect()
    }

    /// Endpoints of a service whose direct path has failed.
    pub(super) fn failed(&self, service: &str) -> Vec<(u64, Route)> {
        let services = self.services.lock();
        let paths = find(&services, service).map(|index| &services[index].1);
        paths.map_or_else(|_| Vec::new(), |paths| paths.failed().collect())
    }

    /// Forgets an endpoint that is gone.
    pub(super) fn forget(&self, service: &Arc<str>, endpoint: u64) {
        self.update(service, |paths| paths.forget(endpoint));
    }

    /// Number of this round of probes.
    pub(super) fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    fn update<T>(&self, service: &Arc<str>, update: impl FnOnce(&mut Paths) -> T) -> T {
        let mut services = self.services.lock();
        let index = find(&services, service).unwrap_or_else(|index| {
            services.insert(index, (service.clone(), Paths::default()));
            index
        });
        update(&mut services[index].1)
    }
}

fn find(services: &[(Arc<str>, Paths)], service: &str) -> Result<usize, usize> {
    services.binary_search_by(|(known, _)| (**known).cmp(service))
}
