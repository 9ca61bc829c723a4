//! Idle connections to endpoints, and calls over them.
//!
//! A connection goes back to the pool only after its answer was read to the
//! end. A request that timed out, was answered late, or got another request's
//! answer takes its connection with it, so that nothing left on it can reach
//! another caller.

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
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::{
    Connection,
    Failure,
    Fault,
    REQUEST_ID,
    Target,
    Verdict,
    connection::SendError, //
};

/// Idle connections kept for one endpoint, unless an answer's options say otherwise.
pub const MAX_IDLE: usize = 256;
/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Idle connections by endpoint address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<Table>,
    id_header: HeaderName,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(HeaderName::from_static(REQUEST_ID))
    }
}

#[derive(Debug, Default)]
struct Table {
    /// # Invariants
    ///
    /// Sorted by address, each address once; the newest connection stands last.
    entries: Vec<(SocketAddr, Vec<Idle>)>,
    swept: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time for a connection to be made.
    pub connect: Duration,
    /// Longest time from sending to the head of the answer.
    pub answer: Duration,
    /// Whether an idle connection may be used. An endpoint may close an idle
    /// connection just as a request goes out, which leaves the request's fate
    /// unknown; requests that may not be repeated do without.
    pub reuse: bool,
    /// Idle connections to keep for the endpoint, this one among them. Endpoints bound the
    /// connections of all instances together.
    pub keep: usize,
}

/// Gives its connection back to the pool, or closes it when dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Connection,
    keep: usize,
}

impl Lease {
    /// Puts the connection back; only after its answer was read to the end.
    pub fn give_back(self) {
        // An endpoint without echo could not be told from one that answers late.
        if self.connection.target().echoes_id {
            self.pool.put(self.connection, self.keep);
        }
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body, read while the lease is held.
    pub body: Incoming,
    /// The connection that the body comes over.
    pub lease: Lease,
}

impl Answer {
    /// Reads the whole body, within `limit` bytes and `deadline`.
    ///
    /// # Errors
    ///
    /// With [`Verdict::MayHaveRun`] if the body does not arrive whole.
    pub async fn collect(
        self,
        limit: usize,
        deadline: Duration,
    ) -> Result<(Parts, Bytes), Failure> {
        let address = self.lease.connection.target().address;
        let broken = |fault| Failure {
            address,
            verdict: Verdict::MayHaveRun,
            fault,
        };
        let collected = Limited::new(self.body, limit).collect();
        let body = match tokio::time::timeout(deadline, collected).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) => return Err(broken(Fault::BrokenOff(error.to_string()))),
            Err(_) => return Err(broken(Fault::Timeout)),
        };
        self.lease.give_back();
        Ok((self.head, body))
    }
}

impl Pool {
    /// A pool for endpoints that identify requests by `id_header`.
    pub fn new(id_header: HeaderName) -> Self {
        Self {
            idle: Mutex::default(),
            id_header,
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// An idle connection that turns out to be closed before any byte was sent
    /// is passed over for the next one, and in the end for a new one.
    ///
    /// # Errors
    ///
    /// With [`Verdict::NotRun`] only if no byte was sent.
    pub async fn send(
        self: &Arc<Self>,
        target: Target,
        mut request: Request<Full<Bytes>>,
        options: Options,
    ) -> Result<Answer, Failure> {
        let reuse = options.reuse && target.echoes_id;
        let idle = || reuse.then(|| self.take(target.address)).flatten();
        while let Some(mut connection) = idle() {
            match connection.send(request, options.answer).await {
                Ok(response) => return Ok(self.answer(connection, response, options.keep)),
                Err(SendError::Unsent { request: back, .. }) => request = *back,
                Err(SendError::Failed(failure)) => return Err(failure),
            }
        }
        let connection = Connection::open(target, options.connect).await?;
        let mut connection = connection.identified_by(self.id_header.clone());
        let response = connection.send(request, options.answer).await?;
        Ok(self.answer(connection, response, options.keep))
    }

    fn answer(
        self: &Arc<Self>,
        connection: Connection,
        response: Response<Incoming>,
        keep: usize,
    ) -> Answer {
        let (head, body) = response.into_parts();
        let pool = self.clone();
        Answer {
            head,
            body,
            lease: Lease {
                pool,
                connection,
                keep,
            },
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut table = self.idle.lock();
        let index = table.find(address).ok()?;
        let idle = &mut table.entries[index].1;
        while let Some(Idle { connection, since }) = idle.pop() {
            if since.elapsed() < IDLE_TIME && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, connection: Connection, keep: usize) {
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
        if idle.len() < keep {
            idle.push(Idle { connection, since });
        }
    }
}

impl Table {
    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&address, |entry| entry.0)
    }

    /// Closes old connections of all endpoints, those that left included.
    fn sweep(&mut self, now: Instant) {
        if self.swept.is_some_and(|at| now - at < IDLE_TIME) {
            return;
        }
        self.swept = Some(now);
        for (_, idle) in &mut self.entries {
            idle.retain(|idle| now - idle.since < IDLE_TIME);
        }
        self.entries.retain(|(_, idle)| !idle.is_empty());
    }
}
