//! Streams that have left an endpoint which may still serve them, until another one goes on with them.

use std::sync::Arc;

use endpoint::Failure;

use super::{
    Attempts,
    MAX_ATTEMPTS,
    MIN_TIME_LEFT,
    PLACE_INTERVAL, //
};
use crate::{
    choose::Selection,
    node::Node,
    protocol::Protocol,
    request::Call, //
};

/// Attempts of a stream that are allowed beyond its limits after it has left an endpoint that may still
/// serve it.
const FREE_RETRIES: u32 = 2;

impl Attempts {
    /// Records that a stream leaves an endpoint which may still serve it; it is placed for as long as
    /// its caller waits, also there.
    pub fn add_departure<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        failure: Failure,
    ) {
        self.add_truncation(node, call, selection, failure);
        self.is_moving = true;
        self.free_retries = FREE_RETRIES;
    }

    /// Whether the stream has left an endpoint that may still serve it, and none has gone on with it.
    pub fn is_moving(&self) -> bool {
        self.is_moving
    }

    /// Whether a stream that an endpoint answers may continue at another one, and return if that one
    /// rejects it.
    pub fn may_move(&self, call: &Call) -> bool {
        call.is_repeatable()
            && self.record.runs() < call.route.max_runs
            && self.record.attempts() + 1 < MAX_ATTEMPTS
    }

    /// Names of the endpoints that the next attempt may not go to.
    pub(super) fn excluded<P: Protocol>(&self, node: &Node<P>, call: &Call) -> Vec<Arc<str>> {
        let mut excluded = self.record.tried().to_vec();
        if self.is_moving && self.record.runs() >= call.route.max_runs {
            // One more run at an endpoint that has run the stream involves no further endpoint.
            let fleet = node.endpoints.fleet();
            let names = fleet.of_service(&call.service).iter();
            let names = names.map(|endpoint| &endpoint.registration.name);
            excluded.extend(names.filter(|name| !self.ran.contains(name)).cloned());
        }
        excluded
    }

    /// Whether another attempt is allowed; a stream that is moving waits for it.
    pub async fn may_go_on<P: Protocol>(&mut self, node: &Node<P>, call: &Call) -> bool {
        self.may_retry(node, call) || self.wait_for_retry(node, call).await
    }

    /// Waits until a stream that has left an endpoint which may still serve it may be sent again;
    /// `false` if it ends instead. Retries are earned by new requests, so that there may be none for long:
    /// one beyond them is taken for an endpoint that has reserved room.
    async fn wait_for_retry<P: Protocol>(&mut self, node: &Node<P>, call: &Call) -> bool {
        if !self.is_moving || !self.is_safe(call) {
            return false;
        }
        if self.free_retries > 0 {
            self.free_retries -= 1;
            node.overcharge_retry(&call.service);
            return true;
        }
        self.record.allow_all();
        loop {
            tokio::time::sleep(PLACE_INTERVAL).await;
            if call.time_left() < MIN_TIME_LEFT {
                return false;
            }
            if node.try_charge_retry(&call.service) {
                return true;
            }
            let placed = self.find_room(node, call, Vec::new()).await;
            if let Ok(placed) = placed
                && placed.reservation.is_some()
            {
                node.overcharge_retry(&call.service);
                self.placed = Some(placed);
                return true;
            }
        }
    }

    /// Records that an endpoint has gone on with the stream.
    pub fn settle(&mut self) {
        self.is_moving = false;
    }
}
