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
}

/// A stop that has begun.
#[derive(Debug)]
struct Begun {
    at: Instant,
    /// Time at which running requests must have ended, by the local clock.
    drained_at: Duration,
}

impl State {
    /// Begins a stop.
    pub fn begin(&self, schedule: &Schedule) {
        // A second signal changes nothing.
        let _ = self.begun.set(Begun {
            at: Instant::now(),
            drained_at: clock::now() + schedule.drain,
        });
    }

    /// Whether a stop has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Ends all requests that still run.
    pub fn end_requests(&self) {
        self.is_over.send_replace(true);
    }

    /// Waits until requests that still run must be answered as they are.
    pub async fn over(&self) {
        let mut is_over = self.is_over.subscribe();
        // Fails only if the sender is gone, which `self` holds.
        is_over.wait_for(|is_over| *is_over).await.ok();
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
