//! Accepts the connections of a plane and drives them.

use std::{
    convert::Infallible,
    future::poll_fn,
    panic::AssertUnwindSafe,
    pin::{
        Pin,
        pin, //
    },
    sync::Arc,
    task::{
        Poll,
        ready, //
    },
    time::Duration, //
};

use futures::FutureExt;
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::{
    body::{
        Body as HttpBody,
        Incoming, //
    },
    server::conn::http1::{
        self,
        UpgradeableConnection, //
    },
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        Interval,
        MissedTickBehavior,
        interval,
        sleep, //
    }, //
};

use super::{
    Body,
    LAST_READ_TIME,
    Observed,
    Service,
    Tracked,
    idle, //
};
use crate::ingress::{
    Bounds,
    Closure,
    Connection,
    Connections,
    Due,
    Slot, //
};

/// Interval at which connections without progress are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of late looks in a row that are left out; more of them come from load.
const MAX_LATE_TICKS: u32 = 2;
/// Shortest time between two lines of the log about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a connection that is to be closed reads on. The runtime notices what has arrived before it
/// ends a timer, so that any time is enough, also for a process that was held up.
const READ_TIME: Duration = Duration::from_millis(10);
/// Smallest buffer of a connection, in bytes; hyper takes no smaller one.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves a plane until `stop` turns true, then waits until all running requests have ended.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    mut stop: watch::Receiver<bool>,
) {
    let (running, mut ended) = mpsc::channel(1);
    let mut plane = Plane {
        connections: service.connections(),
        service,
        running: Some(running),
        logged_at: None,
    };
    let mut sweep = Sweep::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            () = sweep.next() => {
                plane.sweep(&plane.service.bounds());
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => plane.spawn(stream),
            Err(error) => {
                emit!(warn, event::CONNECTION_FAULT, reason = %error);
                // Accepting fails when file descriptors run out; the delay lets some be freed.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    for stream in accept_established(listener) {
        plane.spawn(stream);
    }
    // Otherwise connections would be closed on which requests have arrived that are not read yet.
    tokio::time::sleep(LAST_READ_TIME).await;
    if !S::UPGRADES {
        plane.connections.close();
    }
    plane.running = None;
    loop {
        tokio::select! {
            // Returns when the last connection has ended.
            _ = ended.recv() => return,
            () = sweep.next() => plane.sweep(&plane.stop_bounds()),
        }
    }
}

/// When connections without progress are looked for.
struct Sweep {
    interval: Interval,
    last_at: Instant,
    late_ticks: u32,
}

impl Sweep {
    fn new() -> Self {
        let mut interval = interval(SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            interval,
            last_at: Instant::now(),
            late_ticks: 0,
        }
    }

    /// Waits for the next time. One that comes late is left out: what has arrived is not read yet if this
    /// process was held up.
    async fn next(&mut self) {
        loop {
            self.interval.tick().await;
            let is_late = self.last_at.elapsed() >= SWEEP_INTERVAL * 3 / 2;
            self.late_ticks = if is_late { self.late_ticks + 1 } else { 0 };
            self.last_at = Instant::now();
            if !is_late || self.late_ticks > MAX_LATE_TICKS {
                return;
            }
        }
    }
}

/// Closes the listener and returns the connections that the kernel has already established, which
/// it would reset. The listener itself is asked, since the runtime may not have noticed them yet.
fn accept_established(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let streams = accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

/// What the connections of a plane share.
struct Plane<S> {
    service: Arc<S>,
    connections: Arc<Connections>,
    /// Kept by each connection that a stop waits for; `None` once the plane accepts none.
    running: Option<mpsc::Sender<Infallible>>,
    /// When a closure was last logged.
    logged_at: Option<Instant>,
}

impl<S: Service> Plane<S> {
    fn sweep(&mut self, bounds: &Bounds) {
        for closure in self.connections.sweep(bounds) {
            self.report(closure);
        }
    }

    /// Bounds once no connection is accepted. A slow head takes no place of others, and is answered if it
    /// ends within the stop.
    fn stop_bounds(&self) -> Bounds {
        let bounds = self.service.bounds();
        Bounds {
            head_time: bounds.head_time.max(bounds.idle_time),
            ..bounds
        }
    }

    /// Counts a closure, and logs it unless one was logged just before: callers that break the bounds
    /// must not displace other lines.
    fn report(&mut self, closure: Closure) {
        self.service.count_closure(closure);
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(Instant::now());
            emit!(info, event::CONNECTION_CLOSED, reason = closure.as_str());
        }
    }

    fn spawn(&mut self, stream: TcpStream) {
        let bounds = self.service.bounds();
        let slot = match self.connections.admit(bounds.connections) {
            Ok((slot, None)) => slot,
            Ok((slot, Some(closure))) => {
                self.report(closure);
                slot
            }
            Err(closure) => return self.report(closure),
        };
        // Failing to set the option costs only latency.
        stream.set_nodelay(true).ok();
        let service = self.service.clone();
        let owner = self.service.clone();
        let connection = slot.connection.clone();
        let answer =
            service_fn(move |request| answer(service.clone(), connection.clone(), request));
        let buffer_bytes = bounds.head_bytes.max(MIN_BUFFER_BYTES);
        let stream = TokioIo::new(Observed::new(stream, slot.connection.clone()));
        let timer = idle::Timer {
            service: self.service.clone(),
            connection: slot.connection.clone(),
        };
        let connection = http1::Builder::new()
            .timer(timer)
            .header_read_timeout(self.service.head_timeout())
            .max_header_size(bounds.head_bytes)
            .max_buf_size(buffer_bytes)
            .serve_connection(stream, answer);
        if S::UPGRADES {
            let connection = connection.with_upgrades();
            let close =
                |connection: Pin<&mut _>| UpgradeableConnection::graceful_shutdown(connection);
            tokio::spawn(drive(connection, close, owner, slot, None));
        } else {
            let running = self.running.clone();
            let close = |connection: Pin<&mut _>| http1::Connection::graceful_shutdown(connection);
            tokio::spawn(drive(connection, close, owner, slot, running));
        }
    }
}

async fn answer<S: Service>(
    service: Arc<S>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<Tracked>, Infallible> {
    connection.begin(request.body().is_end_stream());
    // The panic is logged where it happens.
    let answered = AssertUnwindSafe(service.answer_on(request, &connection));
    let mut response = answered.catch_unwind().await.unwrap_or_else(|_| {
        let mut response = Response::new(Body::full(""));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    });
    if service.closes_connections() || connection.is_closing() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|body| Tracked::new(body, connection)))
}

/// Drives a connection until it ends or is cut; `close` ends it once nothing of a request is held, after
/// what had arrived before was read. A stop waits for the end of those with `_running`.
///
/// # Invariants
///
/// hyper is asked to close only an idle connection. It would end any other one behind the answer in
/// progress, whose head may have promised to keep it, and drop what it has read ahead.
async fn drive<S: Service, C: Future<Output = hyper::Result<()>>>(
    connection: C,
    close: impl Fn(Pin<&mut C>),
    owner: Arc<S>,
    slot: Slot,
    _running: Option<mpsc::Sender<Infallible>>,
) {
    let mut connection = pin!(connection);
    let mut read_time = pin!(sleep(READ_TIME));
    let mut is_closed = false;
    loop {
        let due = poll_fn(|cx| {
            if !slot.connection.is_closing() {
                return Poll::Pending;
            }
            ready!(read_time.as_mut().poll(cx));
            let due = slot.connection.due();
            let due = due.filter(|due| *due == Due::Cut || !is_closed);
            due.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                let is_own_end = ended
                    .as_ref()
                    .map_or_else(|error| error.is_timeout() || error.is_user(), |()| true);
                if is_own_end && slot.connection.has_unbegun() {
                    let closure = Closure::RequestUnanswered;
                    owner.count_closure(closure);
                    emit!(warn, event::CONNECTION_CLOSED, reason = closure.as_str());
                }
                if let Err(error) = ended {
                    emit!(debug, event::CONNECTION_FAULT, reason = %error);
                }
                return;
            }
            () = slot.connection.ordered() => {
                read_time.as_mut().reset(Instant::now() + READ_TIME);
            }
            due = due => {
                if due == Due::Cut {
                    return;
                }
                is_closed = true;
                close(connection.as_mut());
            }
        }
    }
}
