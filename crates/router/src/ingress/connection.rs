//! The connections of one plane: which of them are closed when there are too many, and which when
//! they make no progress.
//!
//! One look at all connections each second takes the place of timers for each of them.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU8,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::Mutex;
use state::clock;
use tokio::sync::Notify;

/// Time in which a connection reads on after it has closed its own side. A close with unread bytes resets
/// it, and the caller loses what it has not read of its answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Time in which an idle connection that was asked to close does so by itself.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Connections over the limit that are still closing, as a share of the limit.
const CLOSING_DIVISOR: usize = 8;

/// Bounds for the connections of one plane.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time without a byte of a body, or without one taken of an answer.
    pub idle_time: Duration,
    /// Most connections.
    pub connections: usize,
}

impl Default for Bounds {
    /// The bounds of planes whose callers are known: as large as hyper's.
    fn default() -> Self {
        Self {
            head_bytes: 400 << 10,
            head_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(600),
            connections: usize::MAX,
        }
    }
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closure {
    /// There were too many; it was idle longest, or made no progress longest.
    Evicted,
    /// There were too many, and all others had requests in progress.
    Unaccepted,
    /// The head of a request took too long.
    HeadTimeout,
    /// The body of a request made no progress.
    BodyStalled,
    /// The caller did not take an answer.
    AnswerUnread,
    /// It ended here after bytes of a request had been read that got no answer.
    RequestUnanswered,
}

impl Closure {
    /// The name used in logs and labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Closure::Evicted => "evicted",
            Closure::Unaccepted => "unaccepted",
            Closure::HeadTimeout => "head_timeout",
            Closure::BodyStalled => "body_stalled",
            Closure::AnswerUnread => "answer_unread",
            Closure::RequestUnanswered => "request_unanswered",
        }
    }
}

/// No request has begun.
const IDLE: u8 = 0;
/// A head has begun.
const HEAD: u8 = 1;
/// A head was read, and the body has not arrived whole.
const BODY: u8 = 2;
/// A request was read whole and is in progress.
const WHOLE: u8 = 3;
/// A request was answered, and the rest of its body arrives, which nobody needs.
const REST: u8 = 4;

/// Bits of a state that hold the phase; the others number the request.
const PHASE_BITS: u32 = 8;

fn phase_of(state: u64) -> u8 {
    state.to_le_bytes()[0]
}

/// The connection stays open.
const OPEN: u8 = 0;
/// It closes once no request is in progress.
const CLOSING: u8 = 1;
/// It is closed at once, unless its state has changed since or it has an answer to write.
const CUT: u8 = 2;
/// It is closed at once if its answer is still not taken.
const UNREAD: u8 = 3;

/// How a connection is to close.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Nothing of a request is held.
    Close,
    /// At once.
    Cut,
}

/// What is known of one connection.
#[derive(Debug, Default)]
pub struct Connection {
    /// Number of the request and its phase, which may change in another task while the next request
    /// begins.
    state: AtomicU64,
    /// Start of the phase, or the last byte of a body, in milliseconds.
    since_ms: AtomicU64,
    /// Since when written bytes are not taken, in milliseconds; 0 if they are.
    blocked_ms: AtomicU64,
    /// Whether bytes were read that follow the request in progress.
    is_ahead: AtomicBool,
    /// Whether the body in progress is not read, since it waits for memory here.
    is_paused: AtomicBool,
    order: AtomicU8,
    ordered_ms: AtomicU64,
    /// State in which the connection was to be cut.
    cut_state: AtomicU64,
    /// Notified when the order changes, and when a discarded body has ended.
    wake: Notify,
}

impl Connection {
    fn state(&self) -> u64 {
        self.state.load(Ordering::Relaxed)
    }

    fn phase(&self) -> u8 {
        phase_of(self.state())
    }

    /// Enters a phase of the present request, if `next` gives one for its state.
    fn advance(&self, next: impl Fn(u64) -> Option<u8>) {
        let advanced =
            |state| next(state).map(|next| state >> PHASE_BITS << PHASE_BITS | u64::from(next));
        let (order, now) = (Ordering::Relaxed, now_ms());
        if self.state.fetch_update(order, order, advanced).is_ok() {
            self.since_ms.store(now, Ordering::Relaxed);
        }
    }

    fn enter(&self, phase: u8) {
        self.advance(|_| Some(phase));
    }

    /// Records bytes that were read. Empty lines before a request do not begin its head: HTTP allows
    /// them, and they count against the size of the head.
    pub fn record_read(&self, bytes: &[u8]) {
        let has_head = || bytes.iter().any(|byte| !b"\r\n".contains(byte));
        match self.phase() {
            IDLE if has_head() => self.enter(HEAD),
            BODY | REST => self.since_ms.store(now_ms(), Ordering::Relaxed),
            WHOLE if has_head() => self.is_ahead.store(true, Ordering::Relaxed),
            _ => {}
        }
    }

    /// Records whether the caller takes what is written.
    pub fn record_write(&self, is_blocked: bool) {
        let blocked = self.blocked_ms.load(Ordering::Relaxed);
        match (is_blocked, blocked) {
            (true, 0) => self.blocked_ms.store(now_ms().max(1), Ordering::Relaxed),
            (false, 1..) => {
                self.blocked_ms.store(0, Ordering::Relaxed);
                if self.phase() == IDLE {
                    self.since_ms.store(now_ms(), Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }

    /// Begins a request whose head was read.
    pub fn begin(&self, is_whole: bool) {
        self.is_ahead.store(false, Ordering::Relaxed);
        self.state.fetch_add(1 << PHASE_BITS, Ordering::Relaxed);
        self.enter(if is_whole { WHOLE } else { BODY });
    }

    /// Records that the request was read whole.
    pub fn set_whole(&self) {
        self.enter(WHOLE);
    }

    /// Records that the body in progress is not read until the pause is dropped.
    pub fn pause(&self) -> Pause<'_> {
        self.is_paused.store(true, Ordering::Relaxed);
        Pause(self)
    }

    /// Ends the answer of a request. While its body still arrives, the connection is not idle, nor with
    /// the start of a head that was read ahead.
    pub fn end(&self) {
        let is_ahead = self.is_ahead.load(Ordering::Relaxed);
        self.advance(|state| match phase_of(state) {
            WHOLE => Some(if is_ahead { HEAD } else { IDLE }),
            BODY => Some(REST),
            _ => None,
        });
    }

    /// The body that arrives and is dropped, whose end is to be recorded.
    pub fn arrival(self: &Arc<Self>) -> Arrival {
        self.advance(|state| (phase_of(state) == WHOLE).then_some(BODY));
        Arrival {
            connection: self.clone(),
            number: self.state() >> PHASE_BITS,
        }
    }

    /// Whether bytes of a request were read that has not begun.
    pub fn has_unbegun(&self) -> bool {
        self.phase() == HEAD || self.is_ahead.load(Ordering::Relaxed)
    }

    /// Whether the caller does not take what is written.
    fn is_blocked(&self) -> bool {
        self.blocked_ms.load(Ordering::Relaxed) > 0
    }

    /// Whether any part of a request or of its answer is held.
    pub fn is_in_use(&self) -> bool {
        self.phase() != IDLE || self.is_ahead.load(Ordering::Relaxed) || self.is_blocked()
    }

    /// How long the connection reads on after it has closed its own side. Who has been idle for long has
    /// nothing to lose.
    pub fn linger_time(&self) -> Duration {
        if self.phase() != IDLE {
            return LINGER_TIME;
        }
        let idle_ms = now_ms().saturating_sub(self.since_ms.load(Ordering::Relaxed));
        LINGER_TIME.saturating_sub(Duration::from_millis(idle_ms))
    }

    /// Whether the connection was asked to close.
    pub fn is_closing(&self) -> bool {
        self.order.load(Ordering::Relaxed) != OPEN
    }

    /// Waits until the connection is asked to close, or it was and a discarded body has ended.
    pub async fn ordered(&self) {
        self.wake.notified().await;
        while !self.is_closing() {
            self.wake.notified().await;
        }
    }

    /// How the connection is to close by now. What was to be cut and has changed its state closes like
    /// an idle one: a request that was read whole may have been passed on.
    pub fn due(&self) -> Option<Due> {
        let cut_state = self.cut_state.load(Ordering::Relaxed);
        match self.order.load(Ordering::Relaxed) {
            OPEN => return None,
            CUT if !self.is_blocked() && self.state() == cut_state => return Some(Due::Cut),
            UNREAD if self.is_blocked() => return Some(Due::Cut),
            _ => self.order.store(CLOSING, Ordering::Relaxed),
        }
        (!self.is_in_use()).then_some(Due::Close)
    }

    fn order(&self, order: u8) {
        self.cut_state.store(self.state(), Ordering::Relaxed);
        self.order.store(order, Ordering::Relaxed);
        self.ordered_ms.store(now_ms(), Ordering::Relaxed);
        self.wake.notify_one();
    }

    /// Why the connection is to be closed at `now`, if it is.
    fn overdue(&self, bounds: &Bounds, now: u64) -> Option<Closure> {
        let is_over = |since: &AtomicU64, time| {
            now.saturating_sub(since.load(Ordering::Relaxed)) >= millis(time)
        };
        let is_blocked = self.is_blocked();
        if is_blocked && is_over(&self.blocked_ms, bounds.idle_time) {
            return Some(Closure::AnswerUnread);
        }
        let is_paused = self.is_paused.load(Ordering::Relaxed);
        match self.phase() {
            HEAD if !is_blocked && is_over(&self.since_ms, bounds.head_time) => {
                Some(Closure::HeadTimeout)
            }
            BODY | REST if !is_paused && is_over(&self.since_ms, bounds.idle_time) => {
                Some(Closure::BodyStalled)
            }
            IDLE if !self.is_in_use()
                && self.is_closing()
                && is_over(&self.ordered_ms, CLOSE_TIME)
                && is_over(&self.since_ms, CLOSE_TIME) =>
            {
                Some(Closure::Evicted)
            }
            _ => None,
        }
    }
}

/// Time in which a body is not read.
#[derive(Debug)]
pub struct Pause<'a>(&'a Connection);

impl Drop for Pause<'_> {
    fn drop(&mut self) {
        self.0.since_ms.store(now_ms(), Ordering::Relaxed);
        self.0.is_paused.store(false, Ordering::Relaxed);
    }
}

/// A body that arrives and is dropped.
#[derive(Debug)]
pub struct Arrival {
    connection: Arc<Connection>,
    number: u64,
}

impl Arrival {
    /// Records that the body has ended. The connection may already have begun the next request.
    pub fn end(self) {
        self.connection.advance(|state| match phase_of(state) {
            _ if state >> PHASE_BITS != self.number => None,
            BODY => Some(WHOLE),
            REST => Some(IDLE),
            _ => None,
        });
        self.connection.wake.notify_one();
    }
}

/// Numbers of connections with requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Busy {
    /// Connections on which a request arrives.
    pub arriving: usize,
    /// Connections on which a request is in progress.
    pub running: usize,
}

/// All connections of a plane.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<Vec<Arc<Connection>>>,
}

/// Place of a connection among those of its plane; a drop frees it.
#[derive(Debug)]
pub struct Slot {
    connections: Arc<Connections>,
    /// The connection.
    pub connection: Arc<Connection>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut open = self.connections.open.lock();
        let index = open
            .iter()
            .position(|known| Arc::ptr_eq(known, &self.connection));
        if let Some(index) = index {
            open.swap_remove(index);
        }
    }
}

impl Connections {
    /// Admits a connection. If there are `max` already, the longest idle one is closed, else the one
    /// whose unfinished request made no progress longest; if all are in use, the new one.
    ///
    /// # Errors
    ///
    /// If the new one is not admitted.
    pub fn admit(self: &Arc<Self>, max: usize) -> Result<(Slot, Option<Closure>), Closure> {
        let mut open = self.open.lock();
        let mut closure = None;
        if open.len() >= max {
            let ordered = open
                .iter()
                .filter(|known| known.order.load(Ordering::Relaxed) != OPEN);
            // A configuration that lowers `max` leaves connections over it that are not closing.
            let closing = ordered.count().min(open.len() - max);
            let may_close = closing < (max / CLOSING_DIVISOR).max(1);
            let victim = find_victim(&open).filter(|_| may_close);
            let victim = victim.ok_or(Closure::Unaccepted)?;
            let is_idle = victim.phase() == IDLE;
            victim.order(if is_idle { CLOSING } else { CUT });
            closure = Some(Closure::Evicted);
        }
        let connection = Arc::new(Connection::default());
        connection.enter(IDLE);
        open.push(connection.clone());
        let slot = Slot {
            connections: self.clone(),
            connection,
        };
        Ok((slot, closure))
    }

    /// Asks all connections to close once they hold nothing of a request.
    pub fn close(&self) {
        for connection in &*self.open.lock() {
            if connection.order.load(Ordering::Relaxed) == OPEN {
                connection.order(CLOSING);
            }
        }
    }

    /// Counts the connections with requests.
    pub fn busy(&self) -> Busy {
        let mut busy = Busy::default();
        for connection in &*self.open.lock() {
            match connection.phase() {
                HEAD | BODY | REST => busy.arriving += 1,
                WHOLE => busy.running += 1,
                _ => {}
            }
        }
        busy
    }

    /// Closes the connections that have broken a bound; returns why, for each.
    pub fn sweep(&self, bounds: &Bounds) -> Vec<Closure> {
        let now = now_ms();
        let mut closures = Vec::new();
        for connection in &*self.open.lock() {
            let is_cut = connection.order.load(Ordering::Relaxed) >= CUT;
            if let Some(closure) = connection.overdue(bounds, now).filter(|_| !is_cut) {
                let is_unread = closure == Closure::AnswerUnread;
                connection.order(if is_unread { UNREAD } else { CUT });
                closures.push(closure);
            }
        }
        closures
    }
}

fn find_victim(open: &[Arc<Connection>]) -> Option<&Arc<Connection>> {
    let usable = open
        .iter()
        .filter(|known| known.phase() != WHOLE && known.order.load(Ordering::Relaxed) == OPEN);
    usable.min_by_key(|known| {
        let since = known.since_ms.load(Ordering::Relaxed);
        // An idle connection may still have an answer to write.
        (known.is_blocked(), known.phase() != IDLE, since)
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now_ms() -> u64 {
    millis(clock::now())
}
