//! Counts what endpoints of both versions answer while an order is on trial.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use endpoint::{
    Failure,
    Fault,
    Verdict, //
};
use http::StatusCode;
use policy::exposure::Side;
use state::clock;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Reservation,
    state::{
        Counts,
        Rollout, //
    }, //
};
use crate::{
    fleet::Endpoint,
    node::Node,
    protocol::Protocol,
    request::Call, //
};

/// One attempt that counts for or against a version.
#[derive(Debug)]
pub struct Track {
    rollout: Arc<Rollout>,
    /// Version that the order names.
    to: Arc<str>,
    side: Side,
    route: Arc<str>,
    /// Hash of the endpoint's name.
    endpoint: u64,
    sent_at: Duration,
    /// Whether the outcome is recorded, or does not count.
    is_settled: AtomicBool,
}

impl Track {
    /// Counts an attempt as sent to an endpoint; `None` if no order is on trial.
    pub fn begin<P: Protocol>(
        node: &Node<P>,
        call: &Call,
        endpoint: &Endpoint,
        reservation: Option<&Reservation>,
    ) -> Option<Self> {
        let rollout = node.exposure.find(&call.service)?;
        let mut state = rollout.state.lock();
        let build = &endpoint.registration.build;
        let row = state.row()?;
        if row.is_decided() || row.is_denied(build) {
            return None;
        }
        let to = row.to.clone();
        let side = if *build == to { Side::New } else { Side::Old };
        let counts = &mut state.counts;
        if side == Side::New && reservation.is_none() {
            counts.ration.record_sent(rand::random());
        }
        let route = call.route.name.clone();
        counts.evidence.route(&route).side(side).record_sent();
        drop(state);
        Some(Self {
            rollout,
            to,
            side,
            route,
            endpoint: xxh3_64(endpoint.registration.name.as_bytes()),
            sent_at: clock::now(),
            is_settled: AtomicBool::new(false),
        })
    }

    /// Records the status of an answer whose first byte or event has arrived.
    pub fn record_answer(&self, status: StatusCode) {
        if self.settle() {
            return;
        }
        if status.is_server_error() {
            return self.record_error();
        }
        let time = self.elapsed();
        self.with_counts(|counts| {
            counts.hold.record_answer(self.endpoint);
            let pair = counts.evidence.route(&self.route);
            pair.side(self.side).record_answer(time);
        });
    }

    /// Records that the attempt has failed, also after its answer began.
    pub fn record_failure(&self, failure: &Failure) {
        let was_settled = self.settle();
        match &failure.fault {
            Fault::Connect(_)
            | Fault::Unreachable
            | Fault::NoAnswer(_)
            | Fault::Truncated(_)
            | Fault::Empty => self.record_broken(),
            Fault::Timeout if !was_settled => self.record_given_up(),
            Fault::ErrorStatus(status)
                if failure.verdict != Verdict::NotRun
                    && !was_settled
                    && is_server_error(*status) =>
            {
                self.record_error();
            }
            Fault::Unreadable(_) | Fault::RequestIdMismatch { .. } if !was_settled => {
                self.record_error();
            }
            _ => {}
        }
    }

    /// Marks the outcome as recorded; returns whether it was.
    fn settle(&self) -> bool {
        self.is_settled.swap(true, Ordering::Relaxed)
    }

    fn record_error(&self) {
        let now = clock::now();
        self.with_counts(|counts| {
            let (endpoint, route, side) = (self.endpoint, &self.route, self.side);
            counts.hold.record_failure(now, endpoint, route, side);
        });
    }

    fn record_broken(&self) {
        let now = clock::now();
        self.with_counts(|counts| {
            counts.hold.record_broken(now, self.endpoint);
            let pair = counts.evidence.route(&self.route);
            pair.side(self.side).record_broken();
        });
    }

    fn record_given_up(&self) {
        let time = self.elapsed();
        self.with_counts(|counts| {
            let pair = counts.evidence.route(&self.route);
            pair.side(self.side).record_given_up(time);
        });
    }

    fn elapsed(&self) -> Duration {
        clock::now().saturating_sub(self.sent_at)
    }

    /// Changes the counts, unless another order was given in the meantime.
    fn with_counts(&self, change: impl FnOnce(&mut Counts)) {
        let mut state = self.rollout.state.lock();
        if state
            .order
            .as_ref()
            .is_some_and(|order| order.order.to == self.to)
        {
            change(&mut state.counts);
        }
    }
}

fn is_server_error(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_server_error())
}

impl Drop for Track {
    /// An attempt without an outcome was given up by its caller.
    fn drop(&mut self) {
        if !self.settle() {
            self.record_given_up();
        }
    }
}
