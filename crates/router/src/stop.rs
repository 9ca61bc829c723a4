//! A planned stop of this instance, as requests in progress see it.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant, //
    }, //
};

use policy::{
    delay::Delay,
    stop::{
        self,
        Schedule, //
    }, //
};
use state::clock;
use tokio::sync::watch;

use crate::{
    http::LAST_READ_TIME,
    node::Node,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub struct State {
    begun: OnceLock<Begun>,
    /// Whether the time of running requests has passed.
    is_over: watch::Sender<bool>,
    /// Whether the time in which the records of streams are written has passed, too.
    is_saved: watch::Sender<bool>,
}

/// A stop that has begun.
#[derive(Debug)]
struct Begun {
    at: Instant,
    /// When what has arrived by the end of the time for new connections is read.
    read_by: Instant,
    /// Time at which running requests must have ended, by the local clock.
    drained_at: Duration,
}

impl State {
    /// Begins a stop whose times count from `begun_at`.
    pub fn begin(&self, schedule: &Schedule, begun_at: Instant) {
        let left = schedule.drain.saturating_sub(begun_at.elapsed());
        // A second signal changes nothing.
        let _ = self.begun.set(Begun {
            at: begun_at,
            read_by: begun_at + schedule.accept + LAST_READ_TIME,
            drained_at: clock::now() + left,
        });
    }

    /// Whether a stop has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Ends all requests that still run but streams that have begun.
    pub fn end_requests(&self) {
        self.is_over.send_replace(true);
    }

    /// Ends the streams that have begun.
    pub fn end_streams(&self) {
        self.is_saved.send_replace(true);
    }

    /// Waits until requests that still run must be answered as they are.
    pub async fn over(&self) {
        wait(&self.is_over).await;
    }

    /// Waits until streams that have begun must break off; other instances find their records by then.
    pub async fn saved(&self) {
        wait(&self.is_saved).await;
    }

    /// How long after the begin of the stop a request arrived; `None` if it arrived before.
    pub fn time_since(&self, arrived_at: Instant) -> Option<Duration> {
        arrived_at.checked_duration_since(self.begun.get()?.at)
    }
}

impl Begun {
    /// Time that running requests have left.
    fn time_left(&self) -> Duration {
        self.drained_at.saturating_sub(clock::now())
    }

    /// Whether a request was read whole only after the time in which connections are accepted.
    fn is_late(&self, call: &Call) -> bool {
        call.whole_at > self.read_by
    }

    /// Whether a request is expected to end in time, if those of its kind have taken `taken`.
    fn may_begin(&self, call: &Call, taken: &Delay) -> bool {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return false;
        }
        let is_expected = if self.is_late(call) {
            stop::may_begin_late(time_left, taken)
        } else {
            stop::may_begin(time_left, taken, call.is_repeatable())
        };
        is_expected || call.time_left() <= time_left
    }
}

async fn wait(flag: &watch::Sender<bool>) {
    // Fails only if the sender is gone, which is borrowed.
    flag.subscribe().wait_for(|is_set| *is_set).await.ok();
}

/// Refuses a request that is not expected to end before this instance does.
///
/// # Errors
///
/// The refusal that is sent to the caller.
pub fn check<P: Protocol>(node: &Node<P>, call: &Call) -> Result<(), Refusal> {
    let Some(begun) = node.stop.begun.get() else {
        return Ok(());
    };
    let taken = node.observed.run_time(&call.service, call.class());
    if begun.may_begin(call, &taken) {
        return Ok(());
    }
    Err(refusal())
}

/// Same for a request that has just been read, also for one that takes up a stream, if it comes late or
/// the time of running requests has passed.
///
/// # Errors
///
/// The refusal that is sent to the caller.
pub fn check_late<P: Protocol>(node: &Node<P>, call: &Call) -> Result<(), Refusal> {
    let begun = node.stop.begun.get();
    if begun.is_some_and(|begun| begun.is_late(call) || begun.time_left().is_zero()) {
        return check(node, call);
    }
    Ok(())
}

/// The refusal of a request that has not begun.
pub fn refusal() -> Refusal {
    let message = "this instance stops; use another one that the directory names";
    Refusal::not_run(Reason::Stopping, message).retry_after(Duration::ZERO)
}
