//! State shared by the planes of one instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use endpoint::Pool;
use platform::{
    instances,
    objects,
    table, //
};
use policy::choice::Strategy;
use router::{
    http::MAX_HEAD_BYTES,
    ingress::{
        Bounds,
        Ingress,
        Machine, //
    }, //
};
use state::{
    belief,
    delta,
    freshness,
    health,
    lease,
    leaving,
    member,
    queue,
    settings::{
        Current,
        Offers, //
    },
    withdrawal, //
};
use telemetry::metrics::Metrics;
use tokio::sync::Notify;

use crate::{
    claim::Claims,
    config::Config,
    peer::Jobs,
    rights::Rights, //
};

/// Time since a member was last seen after which it is considered down.
pub const MEMBER_HORIZON: Duration = Duration::from_secs(10);

/// Number of instances that can all read the table at their full rate. In a larger fleet each
/// reads it less often, so that the total rate stays about the same.
const FULL_RATE_READERS: usize = 32;

/// Time since the last report that an endpoint is leaving after which it may get new requests.
pub const LEAVING_HORIZON: Duration = Duration::from_secs(60);

/// Addresses of this instance's planes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Listening address of the caller plane.
    pub caller: SocketAddr,
    /// Listening address of the operator plane.
    pub operator: SocketAddr,
    /// Address at which other instances reach the peer plane.
    pub peer: SocketAddr,
    /// Listening address of the peer plane.
    pub peer_bound: SocketAddr,
}

/// State shared by the planes of one instance.
#[derive(Debug)]
pub struct Node {
    /// The settings file of this instance.
    pub config: Config,
    /// Addresses of its planes.
    pub addresses: Addresses,
    /// Random number chosen at each start, which distinguishes the incarnations of the instance.
    pub incarnation: u64,
    /// Strategy for choosing endpoints.
    pub strategy: Strategy,
    /// Settings tree in force.
    pub settings: Current,
    /// Settings trees that peers offer before the first read of the table has ended.
    pub offers: Offers,
    /// Keys withdrawn in an emergency.
    pub withdrawals: withdrawal::Set,
    /// Known instances.
    pub members: member::Table,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// What callers may make this instance hold.
    pub ingress: Ingress,
    /// Claims of requests that may run at most once.
    pub claims: Arc<Claims>,
    /// Requests that run or wait for capacity.
    pub queues: Arc<queue::Table>,
    /// Token rights.
    pub rights: Rights,
    /// Time as of which the settings are known to be current.
    pub freshness: freshness::Table,
    /// Endpoints known to be leaving.
    pub leaving: leaving::Table,
    /// The latest changes of the settings.
    pub deltas: delta::Log,
    /// The lease for control work.
    pub lease: Arc<lease::Lease>,
    /// Queue of jobs for the peer plane.
    pub peers: Jobs,
    /// Prefix levels that endpoints are believed to cache.
    pub beliefs: belief::Table,
    /// Estimates about endpoints, and requests that run there.
    pub health: health::Table,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// The platform's table.
    pub table: table::Remote,
    /// The platform's object store.
    pub objects: objects::Remote,
    /// The platform's instance list.
    pub instances: instances::Remote,
    /// Wakes the table reader before its interval ends.
    pub refresh: Notify,
    stopping: AtomicBool,
    stop_signal: Notify,
    request_count: AtomicU64,
}

impl Node {
    /// Creates a node without settings in force; must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If metrics cannot be registered.
    pub fn new(config: Config, addresses: Addresses, strategy: Strategy) -> anyhow::Result<Self> {
        let client = platform::http::Client::new(config.limits.platform_timeout);
        let table = table::Remote::new(config.platform.table, client.clone());
        let machine = Machine::new(config.limits.memory_mb, config.limits.max_fds);
        Ok(Self {
            claims: Arc::new(Claims::start(&table, config.limits.claim_batch)),
            addresses,
            incarnation: rand::random(),
            strategy,
            settings: Current::default(),
            offers: Offers::default(),
            withdrawals: withdrawal::Set::default(),
            members: member::Table::default(),
            pool: Arc::default(),
            ingress: Ingress::new(machine),
            queues: Arc::default(),
            rights: Rights::default(),
            freshness: freshness::Table::default(),
            leaving: leaving::Table::default(),
            deltas: delta::Log::default(),
            lease: Arc::default(),
            peers: Jobs::default(),
            beliefs: belief::Table::new(config.limits.max_beliefs),
            health: health::Table::default(),
            metrics: Metrics::new()?,
            table,
            objects: objects::Remote::new(config.platform.objects, "damask", client.clone()),
            instances: instances::Remote::new(config.platform.instances, client),
            refresh: Notify::new(),
            stopping: AtomicBool::new(false),
            stop_signal: Notify::new(),
            request_count: AtomicU64::new(0),
            config,
        })
    }

    /// Bounds for the connections of a plane that may have this many.
    pub fn bounds(&self, connections: usize) -> Bounds {
        let limits = &self.config.limits;
        Bounds {
            head_bytes: MAX_HEAD_BYTES,
            head_time: limits.head_timeout,
            idle_time: limits.body_timeout,
            connections,
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_signal.notify_one();
    }

    /// Waits until a planned stop begins. Only one task may wait, since only one is woken.
    pub async fn wait_for_stop(&self) {
        self.stop_signal.notified().await;
    }

    /// Whether this instance serves requests: it has settings that are not stale, and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.settings.load().tree.revision > 0 && !self.is_stale()
    }

    /// A new request id, unique among all instances and their incarnations.
    pub fn request_id(&self) -> String {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{count}", self.config.name, self.incarnation)
    }

    /// This instance as a member, as described to its peers.
    pub fn own_member(&self) -> member::Member {
        member::Member {
            name: self.config.name.clone(),
            incarnation: self.incarnation,
            domain: self.config.domain.clone(),
            caller: self.addresses.caller,
            operator: self.addresses.operator,
            peer: self.addresses.peer,
            leaving: self.is_stopping(),
            revision: self.settings.load().tree.revision,
            seen_at: Instant::now(),
        }
    }

    /// Whether the view of the settings is too old to serve requests with a key, by a new reading
    /// of the clock.
    pub fn is_stale(&self) -> bool {
        self.freshness.age() > self.config.limits.stale_after
    }

    /// Factor for the interval at which this instance reads the table, at least 1. It grows with
    /// the number of instances, to bound their total rate.
    pub fn table_interval_factor(&self) -> u32 {
        let members = self.live_members().len();
        u32::try_from(members / FULL_RATE_READERS)
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// Whether an endpoint is known to be leaving.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        let now = Instant::now();
        self.leaving.contains(endpoint, now, LEAVING_HORIZON)
    }

    /// The voting members; `None` until the instance list has named an instance.
    pub fn electorate(&self) -> Option<Vec<member::Listing>> {
        self.members.record(self.own_member());
        self.members.electorate(Instant::now(), MEMBER_HORIZON)
    }

    /// This instance and all others seen within [`MEMBER_HORIZON`], sorted by name.
    pub fn live_members(&self) -> Vec<member::Member> {
        self.members.record(self.own_member());
        self.members.live(Instant::now(), MEMBER_HORIZON)
    }
}
