//! Streams that leave an endpoint which may still serve them.
//!
//! A stream leaves only once another endpoint has reserved room for it, or is connected to if it reserves
//! none. Otherwise it stays, for as long as the caller waits: an endpoint that sends nothing for a while
//! may go on.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use endpoint::{
    Failure,
    Fault, //
};
use telemetry::{
    emit,
    event, //
};

use super::{
    Relay,
    millis, //
};
use crate::{
    attempt::Attempts,
    node::Node,
    protocol::Protocol,
    refusal::Refusal,
    request::Call, //
};

/// Time without an event after which a started stream is resumed at another endpoint, if there is
/// one. Pauses of engines that are only fully loaded are shorter.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a stream looks for another endpoint if there was none.
const PLACE_INTERVAL: Duration = Duration::from_secs(1);

/// What a stream waited for.
enum Next {
    /// The next events, or the end of the stream.
    Events(Result<Option<Bytes>, Failure>),
    /// Another endpoint, and why the stream leaves the present one.
    Placed(Failure),
}

impl<P: Protocol> Relay<P> {
    /// The next events, from the present endpoint or the one for which the stream leaves it.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let stalled_at = Instant::now() + STALL_TIMEOUT;
        match self.wait(stalled_at).await {
            Next::Events(next) => self.handle_next(next).await,
            Next::Placed(failure) => self.depart(failure).await,
        }
    }

    async fn wait(&mut self, stalled_at: Instant) -> Next {
        let Self {
            node,
            call,
            attempts,
            last_event,
            upstream: Some(upstream),
            place_at,
            ..
        } = self
        else {
            return Next::Events(Ok(None));
        };
        // Without the id of an event, another endpoint would begin anew.
        let may_move = last_event.is_some() && attempts.may_move(call);
        let stall = upstream.fail(Fault::Timeout);
        let overdue = upstream.selection.load_overdue(node);
        let present = upstream.name().clone();
        // The present endpoint is read all the while: it may send the rest.
        let placed = async {
            let overdue = async {
                tokio::time::sleep_until((*place_at).into()).await;
                overdue.await
            };
            let failure = tokio::select! {
                () = tokio::time::sleep_until(stalled_at.into()) => stall,
                failure = overdue => failure,
            };
            while !place_ahead(node, call, attempts, &present).await {
                *place_at = Instant::now() + PLACE_INTERVAL;
                tokio::time::sleep(PLACE_INTERVAL).await;
            }
            failure
        };
        tokio::select! {
            biased;
            next = upstream.next(last_event, call.deadline) => Next::Events(next),
            failure = placed, if may_move => Next::Placed(failure),
        }
    }

    /// Closes the connection to the endpoint, and goes on at the one that was chosen.
    async fn depart(&mut self, failure: Failure) -> Result<Option<Bytes>, Refusal> {
        if let Some(left) = self.upstream.take() {
            let (node, call) = (&self.node, &self.call);
            self.attempts
                .add_departure(node, call, &left.selection, failure);
        }
        self.reopen().await
    }
}

/// Chooses another endpoint while `present` still serves the stream; `false` if there is none now.
async fn place_ahead<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    attempts: &mut Attempts,
    present: &Arc<str>,
) -> bool {
    let placed = attempts.place_ahead(node, call, present).await;
    if let Err(reason) = &placed {
        emit!(
            info,
            event::STREAM_STAYS,
            request = call.head.id.to_str().unwrap_or_default(),
            endpoint = &**present,
            reason = reason,
            age_ms = millis(call.arrived_at.elapsed()),
        );
    }
    placed.is_ok()
}
