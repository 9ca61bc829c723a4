//! What is served: routes, workspaces with their keys, and services.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use settings::Digest;

/// What may follow when the fate of an attempt is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The request may run again.
    Allowed,
    /// The request may run at most once.
    Forbidden,
}

/// A share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// How requests to one host and path prefix are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Value of the `Host` header, without a port.
    pub host: Box<str>,
    /// Begins and ends with a slash.
    pub prefix: Box<str>,
    /// Where requests go; never empty.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Most endpoints on which one request may run.
    pub max_runs: u32,
    /// Longest time from arrival to the end of the answer.
    pub timeout: Duration,
    /// Time to the first byte or event within which an answer is worth its whole price.
    pub objective: Duration,
    /// Rank, 0 before all others.
    pub priority: u8,
    /// Whether no key is needed.
    pub open: bool,
}

/// What a workspace may use, over all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: u64,
    /// Units at once beyond the rate.
    pub burst: u64,
}

/// What the limit of a workspace counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Each request is one unit.
    Requests,
    /// Tokens of prompt and answer; a request that names none counts as `plain`.
    Tokens {
        /// Tokens of a request that names none.
        plain: u64,
    },
}

/// A workspace: whose requests they are, and what it may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name, as endpoints get to see it.
    pub name: Arc<str>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether no cached prefix may be shared with another workspace.
    pub isolated: bool,
    /// What it may use, if there is a limit.
    pub limit: Option<Limit>,
    /// What the limit counts.
    pub unit: Unit,
}

/// What the engines of a service have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub cache_tokens: u64,
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
}

/// A store that keeps prefixes for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixStore {
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain; transfers to engines of others take twice as long.
    pub domain: Box<str>,
    /// Tokens that fit into its memory.
    pub cache_tokens: u64,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
}

/// Endpoints that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, as endpoints give it when they register.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: usize,
    /// What model engines have in common; `None` for plain services.
    pub engine: Option<Engine>,
    /// Set if the service is a store of prefixes.
    pub prefix_store: Option<PrefixStore>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One accepted configuration in full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Rises with each accepted configuration.
    pub version: u64,
    /// # Invariants
    ///
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    /// # Invariants
    ///
    /// Sorted by digest, each once.
    keys: Vec<(Digest, Arc<Workspace>)>,
    /// # Invariants
    ///
    /// Sorted by name.
    services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Whether any workspace is known, so that routes that are not open need a key.
    pub keyed: bool,
}

impl Catalog {
    /// Puts the parts in order; of two workspaces with one key, the later has it.
    pub fn new(
        version: u64,
        mut routes: Vec<Arc<Route>>,
        mut keys: Vec<(Digest, Arc<Workspace>)>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        keys.reverse();
        keys.sort_by_key(|entry| entry.0);
        keys.dedup_by_key(|entry| entry.0);
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            routes,
            keyed: !keys.is_empty(),
            keys,
            services,
            limits,
        }
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes[first..]
            .iter()
            .take_while(|route| *route.host == *host);
        of_host
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// The workspace that a key opens.
    pub fn workspace(&self, key: &Digest) -> Option<&Arc<Workspace>> {
        let index = self.keys.binary_search_by_key(key, |entry| entry.0).ok()?;
        Some(&self.keys[index].1)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.services.binary_search_by(|s| (*s.name).cmp(name));
        place.ok().map(|index| &self.services[index])
    }

    /// The store that keeps prefixes for engines of `domain`, with its name: one of the same
    /// domain, if there is one.
    pub fn prefix_store(&self, domain: &str) -> Option<(&Arc<str>, &PrefixStore)> {
        let stores = self.services.iter();
        let stores = stores.filter_map(|s| Some((&s.name, s.prefix_store.as_ref()?)));
        stores.min_by_key(|(_, store)| *store.domain != *domain)
    }

    /// All workspaces that have a key, each at least once.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.keys.iter().map(|entry| &entry.1)
    }
}

impl Route {
    /// The service for a request that drew `dice`, any number.
    pub fn service(&self, dice: u64) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut place = dice % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return &target.service;
            }
            place -= weight;
        }
        // Reached only if all weights are 0.
        &self.targets[0].service
    }
}
