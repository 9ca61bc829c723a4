//! A planned stop of this instance, as requests in progress see it.

use std::{
    sync::OnceLock,
    time::{
        Duration,
        Instant, //
    }, //
};

use policy::stop::{
    self,
    Schedule, //
};
use state::clock;
use tokio::sync::watch;

use crate::{
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

    /// Time that running requests have left; `None` while no stop has begun.
    fn time_left(&self) -> Option<Duration> {
        let begun = self.begun.get()?;
        Some(begun.drained_at.saturating_sub(clock::now()))
    }

    /// How long after the begin of the stop a request arrived; `None` if it arrived before.
    pub fn time_since(&self, arrived_at: Instant) -> Option<Duration> {
        arrived_at.checked_duration_since(self.begun.get()?.at)
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
    let Some(time_left) = node.stop.time_left() else {
        return Ok(());
    };
    let taken = node.observed.run_time(&call.service, call.class());
    if call.time_left() <= time_left || stop::may_begin(time_left, &taken, call.is_repeatable()) {
        return Ok(());
    }
    Err(refusal())
}

/// The refusal of a request that has not begun.
pub fn refusal() -> Refusal {
    let message = "this instance stops; use another one that the directory names";
    Refusal::not_run(Reason::Stopping, message).retry_after(Duration::ZERO)
}
