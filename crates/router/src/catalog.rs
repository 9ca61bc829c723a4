//! The configuration in force: routes, workspaces with their keys, and services.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use policy::prefix::{
    BLOCK_TOKENS,
    MAX_PROMPT_TOKENS, //
};
use settings::Digest;

use crate::{
    http::MAX_HEAD_BYTES,
    partition::Partition, //
};

/// Whether a request is retried when the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The request may run again.
    Allowed,
    /// The request may run at most once.
    Forbidden,
}

/// A service that receives a fraction of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service among the targets of the route.
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
    /// Services that receive the requests; never empty.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether responses are event streams.
    pub streams: bool,
    /// Largest number of endpoints on which one request may run.
    pub max_runs: u32,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Objective for the time to the first byte or event; a later answer is not worth its full
    /// price.
    pub objective: Duration,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
}

/// Rate limit of a workspace, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// Unit in which the limit of a workspace is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Each request is one unit.
    Requests,
    /// Tokens of prompt and answer together.
    Tokens {
        /// Tokens counted for a request that does not state its size.
        default: u64,
    },
}

/// A workspace: a customer whose requests are identified by its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, as passed to endpoints.
    pub name: Arc<str>,
    /// Priority rank; overrides the route's.
    pub priority: Option<u8>,
    /// Rate limit; `None` if the workspace has none.
    pub limit: Option<Limit>,
    /// Unit in which the limit is counted.
    pub unit: Unit,
}

/// Properties shared by all engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of the cache of one engine, in tokens.
    pub cache_tokens: u64,
    /// Cache memory per token, in bytes.
    pub token_bytes: u64,
    /// Longest time for which engines reserve room for a request; `None` if they reserve none.
    pub max_reservation: Option<Duration>,
}

/// A store of cached prefixes for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixStore {
    /// IP address and port of the store.
    pub address: SocketAddr,
    /// Failure domain; transfers to engines of other domains take twice as long.
    pub domain: Box<str>,
    /// Capacity, in tokens.
    pub cache_tokens: u64,
    /// Bandwidth of the store's link, in megabits per second.
    pub link_mbps: f64,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, as endpoints give it when they register.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: usize,
    /// Properties of the model engines; `None` for plain services.
    pub engine: Option<Engine>,
    /// Set if the service is a prefix store.
    pub prefix_store: Option<PrefixStore>,
}

/// Limits for the connections and requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            idle_timeout: Duration::from_secs(15),
            max_header_bytes: MAX_HEAD_BYTES,
            header_timeout: Duration::from_secs(15),
        }
    }
}

/// One accepted configuration, complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; increases with each accepted configuration.
    pub version: u64,
    /// # Invariants
    ///
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    /// # Invariants
    ///
    /// Sorted by digest; digests are unique.
    keys: Vec<(Digest, Arc<Workspace>)>,
    /// Names of the workspaces that must not share cached prefixes with others. Some of them may have
    /// no key.
    ///
    /// # Invariants
    ///
    /// Sorted; names are unique.
    isolated: Vec<Arc<str>>,
    /// Partition of the workspaces that are not isolated.
    ///
    /// # Invariants
    ///
    /// That of `isolated`.
    shared: Partition,
    /// # Invariants
    ///
    /// Sorted by name.
    services: Vec<Service>,
    /// Limits for the connections and requests of callers.
    pub limits: Limits,
    /// Whether routes that are not open require a key, also while no key is in force.
    pub requires_keys: bool,
}

impl Catalog {
    /// Sorts the entries; if two workspaces have the same key, the later one keeps it. `keys` is
    /// `None` if the configuration has no workspaces, so that no route requires a key; `isolated` names
    /// the isolated ones, also those without a key.
    pub fn new(
        version: u64,
        mut routes: Vec<Arc<Route>>,
        keys: Option<Vec<(Digest, Arc<Workspace>)>>,
        mut isolated: Vec<Arc<str>>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let requires_keys = keys.is_some();
        let mut keys = keys.unwrap_or_default();
        keys.reverse();
        keys.sort_by_key(|entry| entry.0);
        keys.dedup_by_key(|entry| entry.0);
        isolated.sort();
        isolated.dedup();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version,
            routes,
            requires_keys,
            keys,
            shared: Partition::shared(&isolated),
            isolated,
            services,
            limits,
        }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|route| *route.host < *host);
        let candidates = self.routes[first..]
            .iter()
            .take_while(|route| *route.host == *host);
        candidates
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// All routes, sorted by host, then by prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// The workspace to which a key belongs.
    pub fn workspace(&self, key: &Digest) -> Option<&Arc<Workspace>> {
        let index = self.keys.binary_search_by_key(key, |entry| entry.0).ok()?;
        Some(&self.keys[index].1)
    }

    /// Whether a workspace must not share cached prefixes with others.
    pub fn is_isolated(&self, workspace: &str) -> bool {
        let found = self
            .isolated
            .binary_search_by(|name| (**name).cmp(workspace));
        found.is_ok()
    }

    /// Number of isolated workspaces.
    pub fn isolated_count(&self) -> usize {
        self.isolated.len()
    }

    /// Partition of the engines' caches for requests of a workspace, or for those without one.
    pub fn partition(&self, workspace: Option<&str>) -> Partition {
        match workspace {
            Some(name) if self.is_isolated(name) => Partition::own(name),
            _ => self.shared,
        }
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| (*s.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The prefix store for engines of `domain`, with its name; a store of the same domain is
    /// preferred.
    pub fn prefix_store(&self, domain: &str) -> Option<(&Arc<str>, &PrefixStore)> {
        let stores = self.services.iter();
        let stores = stores.filter_map(|s| Some((&s.name, s.prefix_store.as_ref()?)));
        stores.min_by_key(|(_, store)| *store.domain != *domain)
    }

    /// The workspaces of all keys; a workspace repeats for each of its keys.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.keys.iter().map(|entry| &entry.1)
    }
}

impl Service {
    /// Longest prompt that an endpoint can run, in blocks; engines reject longer ones at once.
    pub fn max_prompt_blocks(&self) -> f32 {
        let tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let tokens = match tokens {
            0 => MAX_PROMPT_TOKENS,
            _ => tokens.min(MAX_PROMPT_TOKENS),
        };
        tokens as f32 / BLOCK_TOKENS as f32
    }
}

impl Route {
    /// Whether callers may take up its streams.
    pub fn is_resumable(&self) -> bool {
        self.streams && self.repeat == Repeat::Allowed
    }

    /// Picks a service by weight; `random` may be any number.
    pub fn service(&self, random: u64) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut offset = random % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return &target.service;
            }
            offset -= weight;
        }
        // Reached only if all weights are 0.
        &self.targets[0].service
    }
}
