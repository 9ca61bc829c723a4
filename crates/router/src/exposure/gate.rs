//! Versions that have just appeared, and get nothing until an order for them would be known.
//!
//! An endpoint's row is written after the order that it belongs to. So once the rows of operators are
//! as new as the endpoint's row, the order is known, or there is none.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use platform::table::Revision;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::{
    fleet::Endpoint,
    node::Node,
    protocol::Protocol, //
};

/// Longest time for which a version waits. The rows of operators may not be known for as long as the
/// table is away, while the endpoints of other versions leave.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// A version that has just appeared.
#[derive(Clone, Debug)]
struct Pending {
    service: Arc<str>,
    version: Arc<str>,
    /// Revision of the endpoints' rows when it appeared.
    revision: Revision,
    /// When it appeared, by the table's clock, if that is known.
    appeared_at: Option<Duration>,
    /// When it appeared.
    since: Duration,
}

/// Versions of each service, and those among them that wait for the rows of operators.
#[derive(Debug, Default)]
pub(super) struct Gate {
    /// Versions that are or were pending, with their service.
    ///
    /// # Invariants
    ///
    /// Sorted.
    known: Mutex<Vec<(Arc<str>, Arc<str>)>>,
    pending: ArcSwap<Vec<Pending>>,
}

impl Gate {
    /// Whether a version may be used as far as the rows of operators are concerned.
    pub(super) fn is_open<P: Protocol>(
        &self,
        node: &Node<P>,
        service: &str,
        version: &str,
    ) -> bool {
        let pending = self.pending.load();
        let mut pending = pending.iter();
        let pending = pending.find(|p| *p.service == *service && *p.version == *version);
        pending.is_none_or(|pending| pending.is_covered(node))
    }

    /// Updates the versions to those of the registered endpoints.
    pub(super) fn refresh<P: Protocol>(&self, node: &Node<P>) {
        let fleet = node.endpoints.fleet();
        let revision = node.mirrors.endpoints.revision();
        let now = clock::now();
        let appeared_at = node.exchange.table_time(now);
        let mut known = self.known.lock();
        let mut next = Vec::with_capacity(known.len());
        let mut pending = Vec::new();
        let same_service =
            |a: &Arc<Endpoint>, b: &Arc<Endpoint>| a.registration.service == b.registration.service;
        for endpoints in fleet.all().chunk_by(same_service) {
            let service = &endpoints[0].registration.service;
            let mut versions: Vec<_> = endpoints
                .iter()
                .map(|e| e.registration.build.clone())
                .collect();
            versions.sort();
            versions.dedup();
            let first = known.partition_point(|(s, _)| s < service);
            let is_new_service = known.get(first).is_none_or(|(s, _)| s != service);
            let staying = || endpoints.iter().filter(|e| !e.registration.leaving);
            let oldest = staying().min_by_key(|e| e.registration.incarnation);
            for version in &versions {
                let entry = (service.clone(), version.clone());
                let is_known = known.binary_search(&entry).is_ok();
                // Of several versions that were there first, that of the oldest process is in use.
                let is_oldest = oldest.is_some_and(|e| e.registration.build == *version);
                let is_first = is_new_service && is_oldest;
                let has_others = staying().any(|e| e.registration.build != *version);
                if !is_known && !is_first && has_others {
                    pending.push(Pending {
                        service: service.clone(),
                        version: version.clone(),
                        revision,
                        appeared_at,
                        since: now,
                    });
                }
                next.push(entry);
            }
        }
        *known = next;
        let before = self.pending.load_full();
        if before.is_empty() && pending.is_empty() {
            return;
        }
        for pending in &pending {
            emit!(
                info,
                event::VERSION_APPEARED,
                service = &*pending.service,
                version = &*pending.version,
                revision = %pending.revision,
            );
        }
        let is_waiting = |p: &&Pending| {
            let entry = (p.service.clone(), p.version.clone());
            known.binary_search(&entry).is_ok() && !p.is_covered(node)
        };
        pending.extend(before.iter().filter(is_waiting).cloned());
        self.pending.store(Arc::new(pending));
    }
}

impl Pending {
    /// Whether the rows of operators are known up to the time at which the version appeared.
    fn is_covered<P: Protocol>(&self, node: &Node<P>) -> bool {
        let confirmed = node.exchange.confirmed();
        clock::now().saturating_sub(self.since) > MAX_WAIT
            || node.mirrors.operator.revision() >= self.revision
            || confirmed
                .zip(self.appeared_at)
                .is_some_and(|(confirmed, at)| confirmed >= at)
    }
}
