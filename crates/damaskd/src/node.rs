//! What the planes of one instance share.

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

/// Members not heard of for this long are taken for gone.
pub const MEMBER_HORIZON: Duration = Duration::from_secs(10);

/// Instances that read the table at their full rate; more share the same reads.
const READERS: usize = 32;

/// Endpoints not said to be leaving for this long may get new work again.
pub const LEAVING_HORIZON: Duration = Duration::from_secs(60);

/// Addresses that this instance listens at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Caller plane.
    pub caller: SocketAddr,
    /// Operator plane.
    pub operator: SocketAddr,
    /// Peer plane, as others reach it.
    pub peer: SocketAddr,
    /// Peer plane, as it is listened at.
    pub peer_bound: SocketAddr,
}

/// What the planes of one instance share.
#[derive(Debug)]
pub struct Node {
    /// Settings of this instance.
    pub config: Config,
    /// Addresses that it listens at.
    pub addresses: Addresses,
    /// Chosen at start; tells this life of the instance from earlier ones.
    pub incarnation: u64,
    /// How endpoints are chosen.
    pub strategy: Strategy,
    /// Settings in force.
    pub settings: Current,
    /// Settings that peers offer at start.
    pub offers: Offers,
    /// Keys withdrawn in an emergency.
    pub withdrawals: withdrawal::Set,
    /// Known instances.
    pub members: member::Table,
    /// Connections to endpoints.
    pub pool: Arc<Pool>,
    /// Claims of requests that may run at most once.
    pub claims: Arc<Claims>,
    /// Requests that run or wait for room.
    pub queues: Arc<queue::Table>,
    /// Token rights.
    pub rights: Rights,
    /// As of when the settings are known to be current.
    pub freshness: freshness::Table,
    /// Endpoints known to be leaving.
    pub leaving: leaving::Table,
    /// The latest changes of the settings.
    pub deltas: delta::Log,
    /// The lease for control work.
    pub lease: Arc<lease::Lease>,
    /// Work for the peer plane.
    pub peers: Jobs,
    /// Prefix levels that endpoints are believed to cache.
    pub beliefs: belief::Table,
    /// What is learnt of endpoints, and requests that run there.
    pub health: health::Table,
    /// Histograms.
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
    stop: Notify,
    requests: AtomicU64,
}

impl Node {
    /// Puts together a node that has yet to hear of any settings; needs a runtime.
    ///
    /// # Errors
    ///
    /// If metrics cannot be set up.
    pub fn new(config: Config, addresses: Addresses, strategy: Strategy) -> anyhow::Result<Self> {
        let client = platform::http::Client::new(config.limits.platform_timeout);
        let table = table::Remote::new(config.platform.table, client.clone());
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
            stop: Notify::new(),
            requests: AtomicU64::new(0),
            config,
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop.notify_one();
    }

    /// Waits until a planned stop begins; for one waiter.
    pub async fn stop_begun(&self) {
        self.stop.notified().await;
    }

    /// Whether a request would be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.settings.load().tree.revision > 0 && !self.is_stale()
    }

    /// A request id that no other life of any instance gives.
    pub fn request_id(&self) -> String {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{count}", self.config.name, self.incarnation)
    }

    /// This instance as others see it.
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
            seen: Instant::now(),
        }
    }

    /// Whether the settings are too old to serve requests with a key; the clock is read now.
    pub fn is_stale(&self) -> bool {
        self.freshness.age() > self.config.limits.stale_after
    }

    /// By how much this instance reads the table less often, since all of them read it.
    pub fn reader_share(&self) -> u32 {
        let members = self.live_members().len();
        u32::try_from(members / READERS).unwrap_or(u32::MAX).max(1)
    }

    /// Whether an endpoint is known to be leaving.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        let now = Instant::now();
        self.leaving.contains(endpoint, now, LEAVING_HORIZON)
    }

    /// The members whose majority counts; `None` before the instance list has ever answered.
    pub fn electorate(&self) -> Option<Vec<member::Listing>> {
        self.members.record(self.own_member());
        self.members.electorate(Instant::now(), MEMBER_HORIZON)
    }

    /// This instance and all others heard of lately, in order of names.
    pub fn live_members(&self) -> Vec<member::Member> {
        self.members.record(self.own_member());
        self.members.live(Instant::now(), MEMBER_HORIZON)
    }
}
