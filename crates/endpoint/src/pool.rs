//! Idle connections to endpoints, and calls over them.
//!
//! A connection returns to the pool only after its answer was read to the end.
//! It is closed if a request timed out, was answered late or got the answer to
//! another request, so that no leftover bytes can reach another caller.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use http::{
    HeaderName,
    Request,
    Response,
    response::Parts, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use platform::body::{
    self,
    Collector, //
};
use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

use crate::{
    Connection,
    Failure,
    Fault,
    REQUEST_ID,
    Target,
    Verdict,
    connection::SendError,
    keep_alive, //
};

/// Usual limit of idle connections to one endpoint, for [`Options::max_idle`].
pub const MAX_IDLE: usize = 256;
/// Idle time after which a connection is closed, unless its endpoint states a short one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size up to which answers are collected without regard to others, in bytes.
const SMALL_ANSWER_BYTES: usize = 64 << 10;
/// Usual memory that larger answers share, in bytes; more than the limit of any of them.
const SHARED_BYTES: usize = 16 << 20;
/// Number of answers that may grow to their limit while the shared memory is used up.
const MAX_GROWING_ANSWERS: usize = 2;

/// Idle connections by endpoint address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<Table>,
    id_header: HeaderName,
    memory: Memory,
}

/// Memory of answers beyond [`SMALL_ANSWER_BYTES`].
#[derive(Debug)]
struct Memory {
    /// One permit for each KiB. An answer holds as many as it has received, so that one that arrives
    /// slowly leaves the rest to others.
    shared: Semaphore,
    /// One permit for each answer that needs none of the shared memory, so that some answers go on
    /// when it is used up.
    growing: Semaphore,
}

/// Memory that one answer holds.
#[derive(Debug, Default)]
struct Hold<'a> {
    shared: Option<SemaphorePermit<'a>>,
    growing: Option<SemaphorePermit<'a>>,
}

impl<'a> Hold<'a> {
    /// Waits until there is memory for an answer of which `length` bytes have arrived.
    async fn extend(&mut self, memory: &'a Memory, length: usize) {
        let kib = length.saturating_sub(SMALL_ANSWER_BYTES).div_ceil(1 << 10);
        let held = self.shared.as_ref().map_or(0, SemaphorePermit::num_permits);
        let lacking = kib.saturating_sub(held);
        if self.growing.is_some() || lacking == 0 {
            return;
        }
        let lacking = u32::try_from(lacking).unwrap_or(u32::MAX);
        // Acquiring fails only if a semaphore is closed, which neither ever is.
        tokio::select! {
            biased;
            Ok(permit) = memory.shared.acquire_many(lacking) => match &mut self.shared {
                Some(shared) => shared.merge(permit),
                None => self.shared = Some(permit),
            },
            Ok(permit) = memory.growing.acquire() => {
                self.growing = Some(permit);
                self.shared = None;
            }
            else => {}
        }
    }
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(HeaderName::from_static(REQUEST_ID), SHARED_BYTES)
    }
}

#[derive(Debug, Default)]
struct Table {
    /// # Invariants
    ///
    /// Sorted by address, each address once; the newest connection of an address is last.
    entries: Vec<(SocketAddr, Vec<Idle>)>,
    last_sweep: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    /// Idle time after which it is closed.
    timeout: Duration,
}

impl Idle {
    fn is_ready(&self) -> bool {
        !self.has_expired(Instant::now()) && self.connection.is_ready()
    }

    fn has_expired(&self, now: Instant) -> bool {
        now - self.since >= self.timeout
    }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for making a connection.
    pub connect_timeout: Duration,
    /// Timeout from sending the request to the head of the answer.
    pub head_timeout: Duration,
    /// Whether an idle connection may be used. An endpoint may close an idle
    /// connection while a request is being sent, which leaves the outcome
    /// unknown; requests that must not be repeated use a new connection.
    pub reuse: bool,
    /// Most idle connections to keep to the endpoint, this one included. Endpoints limit the
    /// total number of connections from all instances.
    pub max_idle: usize,
}

/// Opens connections to one endpoint.
pub trait Dial: Sync {
    /// Connects within `timeout`.
    ///
    /// # Errors
    ///
    /// Always with [`Verdict::NotRun`], since nothing was sent.
    fn open(
        &self,
        target: Target,
        timeout: Duration,
    ) -> impl Future<Output = Result<Connection, Failure>> + Send;

    /// Whether idle connections may be used.
    fn may_reuse(&self) -> bool;
}

/// Opens connections from this host.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Dial for Direct {
    async fn open(&self, target: Target, timeout: Duration) -> Result<Connection, Failure> {
        Connection::open(target, timeout).await
    }

    fn may_reuse(&self) -> bool {
        true
    }
}

/// Exclusive use of a connection: [`Lease::release`] returns it to the pool, a drop closes it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Connection,
    max_idle: usize,
    idle_timeout: Duration,
}

impl Lease {
    /// Returns the connection to the pool; only after its answer was read to the end.
    pub fn release(self) {
        // Without an echoed request id, a late answer to an earlier request goes undetected. A relayed
        // connection would bind later requests to the instance that relays it.
        if self.connection.target().echoes_id && !self.connection.is_relayed() {
            let timeout = self.idle_timeout;
            self.pool.push_idle(self.connection, self.max_idle, timeout);
        }
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body; keep the lease until it is read.
    pub body: Incoming,
    /// Lease of the connection that carries the body.
    pub lease: Lease,
}

impl Answer {
    /// Reads the whole body, at most `limit_bytes`, within `timeout`. A large body may have to wait
    /// until others are complete.
    ///
    /// # Errors
    ///
    /// With [`Verdict::MayHaveRun`] if the body is not received completely.
    pub async fn collect(
        self,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<(Parts, Bytes), Failure> {
        let expired = std::future::pending();
        self.collect_begun(limit_bytes, timeout, expired).await
    }

    /// Like [`Answer::collect`], unless `expired` completes before the body begins.
    ///
    /// # Errors
    ///
    /// As for [`Answer::collect`], and the failure that `expired` returns.
    pub async fn collect_begun(
        self,
        limit_bytes: usize,
        timeout: Duration,
        expired: impl Future<Output = Failure>,
    ) -> Result<(Parts, Bytes), Failure> {
        let address = self.lease.connection.target().address;
        let failed = |fault| Failure {
            address,
            verdict: Verdict::MayHaveRun,
            fault,
        };
        let memory = &self.lease.pool.memory;
        let collected = async {
            let mut collector = Collector::new(self.body, limit_bytes);
            let begun = tokio::select! {
                begun = collector.next() => begun.map_err(broken).map_err(failed)?,
                failure = expired => return Err(failure),
            };
            let mut hold = Hold::default();
            if begun.is_some() {
                let rest = collect_rest(&mut collector, memory, &mut hold);
                rest.await.map_err(failed)?;
            }
            Ok(collector.join())
        };
        let collected = tokio::time::timeout(timeout, collected).await;
        let body = collected.unwrap_or_else(|_| Err(failed(Fault::Timeout)))?;
        self.lease.release();
        Ok((self.head, body))
    }
}

fn broken(fault: body::Fault<hyper::Error>) -> Fault {
    Fault::Truncated(fault.to_string())
}

/// Reads the rest of a body, as there is memory for it.
async fn collect_rest<'a>(
    collector: &mut Collector<Incoming>,
    memory: &'a Memory,
    hold: &mut Hold<'a>,
) -> Result<(), Fault> {
    while let Some(length) = collector.next().await.map_err(broken)? {
        hold.extend(memory, length).await;
    }
    Ok(())
}

impl Pool {
    /// Creates an empty pool for endpoints that identify requests by `id_header`. Large answers share
    /// `shared_bytes`, more than the limit of any of them.
    pub fn new(id_header: HeaderName, shared_bytes: usize) -> Self {
        Self {
            idle: Mutex::default(),
            id_header,
            memory: Memory {
                shared: Semaphore::new(shared_bytes >> 10),
                growing: Semaphore::new(MAX_GROWING_ANSWERS),
            },
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// If an idle connection proves closed before any byte was sent, the next idle
    /// one is tried, and a new one when none is left.
    ///
    /// # Errors
    ///
    /// With [`Verdict::NotRun`] only if no byte was sent.
    pub async fn send(
        self: &Arc<Self>,
        target: Target,
        request: Request<Full<Bytes>>,
        options: Options,
        dial: &impl Dial,
    ) -> Result<Answer, Failure> {
        let sent_at = Instant::now();
        let sent = self.send_on_any(target, request, options, dial).await;
        if let Err(failure) = &sent
            && matches!(failure.fault, Fault::Timeout | Fault::NoAnswer(_))
        {
            // Connections that were open before may be silent for the same reason.
            self.close_idle(target.address, sent_at);
        }
        sent
    }

    async fn send_on_any(
        self: &Arc<Self>,
        target: Target,
        mut request: Request<Full<Bytes>>,
        options: Options,
        dial: &impl Dial,
    ) -> Result<Answer, Failure> {
        let reuse = options.reuse && target.echoes_id && dial.may_reuse();
        let idle = || reuse.then(|| self.pop_idle(target.address)).flatten();
        while let Some(mut connection) = idle() {
            match connection.send(request, options.head_timeout).await {
                Ok(response) => return Ok(self.answer(connection, response, options.max_idle)),
                Err(SendError::Unsent {
                    request: unsent, ..
                }) => request = *unsent,
                Err(SendError::Failed(failure)) => return Err(failure),
            }
        }
        let connection = dial.open(target, options.connect_timeout).await?;
        self.send_on(connection, request, options).await
    }

    async fn send_on(
        self: &Arc<Self>,
        connection: Connection,
        request: Request<Full<Bytes>>,
        options: Options,
    ) -> Result<Answer, Failure> {
        let mut connection = connection.with_id_header(self.id_header.clone());
        let response = connection.send(request, options.head_timeout).await?;
        Ok(self.answer(connection, response, options.max_idle))
    }

    /// Connects to the target and keeps the connection for the next request. Idle connections do
    /// not show that the target can be reached.
    ///
    /// # Errors
    ///
    /// Always with [`Verdict::NotRun`], since nothing was sent.
    pub async fn connect(
        &self,
        target: Target,
        options: Options,
        dial: &impl Dial,
    ) -> Result<(), Failure> {
        let connection = dial.open(target, options.connect_timeout).await?;
        let connection = connection.with_id_header(self.id_header.clone());
        self.push_idle(connection, options.max_idle, IDLE_TIMEOUT);
        Ok(())
    }

    fn answer(
        self: &Arc<Self>,
        connection: Connection,
        response: Response<Incoming>,
        max_idle: usize,
    ) -> Answer {
        let (head, body) = response.into_parts();
        let pool = self.clone();
        let usable = keep_alive::usable(&head.headers);
        Answer {
            head,
            body,
            lease: Lease {
                pool,
                connection,
                max_idle,
                idle_timeout: usable.map_or(IDLE_TIMEOUT, |usable| usable.min(IDLE_TIMEOUT)),
            },
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut table = self.idle.lock();
        let index = table.find(address).ok()?;
        let idle = &mut table.entries[index].1;
        while let Some(idle) = idle.pop() {
            if idle.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Closes the connections to an address that have been idle since before `instant`.
    fn close_idle(&self, address: SocketAddr, instant: Instant) {
        let mut table = self.idle.lock();
        if let Ok(index) = table.find(address) {
            let idle = &mut table.entries[index].1;
            idle.retain(|idle| idle.since > instant);
        }
    }

    /// Keeps a connection in place of the oldest ones if there are too many.
    fn push_idle(&self, connection: Connection, max_idle: usize, timeout: Duration) {
        if max_idle == 0 || timeout.is_zero() {
            return;
        }
        let address = connection.target().address;
        let since = Instant::now();
        let mut table = self.idle.lock();
        table.sweep(since);
        let index = match table.find(address) {
            Ok(index) => index,
            Err(index) => {
                table.entries.insert(index, (address, Vec::new()));
                index
            }
        };
        let idle = &mut table.entries[index].1;
        if idle.len() >= max_idle {
            idle.drain(..=idle.len() - max_idle);
        }
        idle.push(Idle {
            connection,
            since,
            timeout,
        });
    }
}

impl Table {
    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&address, |entry| entry.0)
    }

    /// Closes expired connections to all endpoints, removed endpoints included.
    fn sweep(&mut self, now: Instant) {
        if self
            .last_sweep
            .is_some_and(|last| now - last < IDLE_TIMEOUT)
        {
            return;
        }
        self.last_sweep = Some(now);
        for (_, idle) in &mut self.entries {
            idle.retain(|idle| !idle.has_expired(now));
        }
        self.entries.retain(|(_, idle)| !idle.is_empty());
    }
}
