//! Which way an instance connects to the endpoints of one service: directly, through another
//! instance, or not at all for now.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Endpoints that must prove that the direct path is cut before it counts for their whole service.
const MIN_PROOFS: usize = 2;
/// Time for which an endpoint that nobody reaches is not tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of instances that are asked to relay one connection.
const MAX_PEERS: usize = 8;
/// Maximum number of these in the own failure domain that are asked before any other: the domain may be
/// cut as a whole.
const MAX_NEAR_PEERS: usize = 3;

/// An instance that may relay a connection.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is in the same failure domain.
    pub is_near: bool,
    /// Whether it has lately not relayed a connection to the service.
    pub is_avoided: bool,
}

/// Instances to ask for a connection, best first, as indexes into `peers`. Some of the own failure domain
/// come first, since bytes between domains are dear; `seed` spreads the rest.
pub fn rank_peers(peers: &[Peer<'_>], seed: u64) -> Vec<usize> {
    let score = |index: &usize| xxh3_64_with_seed(peers[*index].name.as_bytes(), seed);
    let mut order: Vec<usize> = (0..peers.len()).collect();
    order.sort_by_cached_key(score);
    let is_first = |index: &usize| peers[*index].is_near && !peers[*index].is_avoided;
    let mut ranked: Vec<usize> = order.iter().copied().filter(is_first).collect();
    ranked.truncate(MAX_NEAR_PEERS);
    order.retain(|index| !ranked.contains(index));
    order.sort_by_key(|index| peers[*index].is_avoided);
    ranked.extend(order);
    ranked.truncate(MAX_PEERS);
    ranked
}

/// How to connect to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Directly; through another instance if that fails.
    Direct,
    /// Through another instance, since the direct path is cut.
    Relayed,
    /// Not now: neither this instance nor another one has reached the endpoint.
    Unreachable,
}

/// What was found out about the path to one endpoint.
#[derive(Clone, Copy, Debug)]
struct Fault {
    endpoint: u64,
    route: Route,
    at: Duration,
}

/// Paths to the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    /// Endpoints whose direct path has failed.
    ///
    /// # Invariants
    ///
    /// Sorted by endpoint, each once; none has [`Route::Direct`].
    faults: Vec<Fault>,
    /// Time of the latest direct connection to any endpoint.
    direct_at: Option<Duration>,
    /// Time of the latest connection to any endpoint, direct or not.
    reached_at: Option<Duration>,
}

impl Paths {
    /// How to connect to an endpoint.
    pub fn route(&self, endpoint: u64, now: Duration) -> Route {
        let fault = self.find(endpoint).map(|index| self.faults[index]);
        match fault {
            Ok(fault) if fault.route == Route::Unreachable && self.holds(&fault, now) => {
                Route::Unreachable
            }
            Ok(fault) if fault.route == Route::Relayed => Route::Relayed,
            _ if self.is_cut() => Route::Relayed,
            _ => Route::Direct,
        }
    }

    /// Whether the direct paths to all endpoints count as cut.
    pub fn is_cut(&self) -> bool {
        let is_proof = |fault: &&Fault| {
            fault.route == Route::Relayed && self.direct_at.is_none_or(|at| at < fault.at)
        };
        self.faults.iter().filter(is_proof).count() >= MIN_PROOFS
    }

    /// Records a direct connection; returns whether the path counted as cut.
    pub fn record_direct(&mut self, endpoint: u64, now: Duration) -> bool {
        self.direct_at = Some(now);
        self.reached_at = Some(now);
        let found = self.find(endpoint);
        found.map(|index| self.faults.remove(index)).is_ok()
    }

    /// Records that another instance has connected to an endpoint to which the direct path failed;
    /// returns whether that is new.
    pub fn record_relayed(&mut self, endpoint: u64, now: Duration) -> bool {
        self.reached_at = Some(now);
        self.record(endpoint, Route::Relayed, now)
    }

    /// Records that neither this instance nor another one could connect to an endpoint; returns
    /// whether that is new.
    pub fn record_unreachable(&mut self, endpoint: u64, now: Duration) -> bool {
        self.record(endpoint, Route::Unreachable, now)
    }

    /// Endpoints whose direct path has failed.
    pub fn failed(&self) -> impl Iterator<Item = (u64, Route)> {
        self.faults
            .iter()
            .map(|fault| (fault.endpoint, fault.route))
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.faults.retain(|fault| fault.endpoint != endpoint);
    }

    /// Whether an unreachable endpoint is still not to be tried. While no endpoint of the service is
    /// reached, requests do not try any.
    fn holds(&self, fault: &Fault, now: Duration) -> bool {
        let is_recent = now.saturating_sub(fault.at) < RETRY_INTERVAL;
        is_recent || self.reached_at.is_none_or(|at| at < fault.at)
    }

    fn record(&mut self, endpoint: u64, route: Route, now: Duration) -> bool {
        let fault = Fault {
            endpoint,
            route,
            at: now,
        };
        match self.find(endpoint) {
            Ok(index) => {
                let is_new = self.faults[index].route != route;
                if is_new || route == Route::Unreachable {
                    self.faults[index] = fault;
                }
                is_new
            }
            Err(index) => {
                self.faults.insert(index, fault);
                true
            }
        }
    }

    fn find(&self, endpoint: u64) -> Result<usize, usize> {
        self.faults
            .binary_search_by_key(&endpoint, |fault| fault.endpoint)
    }
}
