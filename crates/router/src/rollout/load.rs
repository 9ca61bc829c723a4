//! Load of new weights at one engine.

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Verdict,
    order, //
};
use http::response::Parts;
use parking_lot::Mutex;
use policy::{
    belief::Millis,
    rollout::{
        LoadTimes,
        Mode,
        answer_timeout, //
    }, //
};
use state::{
    clock,
    lease::Grant, //
};
use telemetry::{
    emit,
    event, //
};
use tokio::time::Instant;

use crate::{
    fleet::Endpoint,
    node::Node,
    protocol::{
        Order,
        OrderOutcome, //
        Protocol,
    }, //
};

/// Interval between polls of an engine that loads.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Delay before a load, so that the other instances learn that the engine is about to load.
pub(super) const ANNOUNCE_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one load, after which the load counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of the load at one engine.
#[derive(Debug)]
pub(super) struct Outcome {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) end: End,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The engine serves the version.
    Loaded,
    /// The engine does not answer or rejects the order.
    Failed,
    /// This instance may give no order now.
    Withheld,
}

/// A load to be run at one engine.
pub(super) struct Load<P> {
    pub(super) node: Arc<Node<P>>,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) load_times: Arc<Mutex<LoadTimes>>,
    pub(super) model: String,
    /// Mode planned for its order.
    pub(super) mode: Mode,
    /// Number of the engine's latest loads that failed.
    pub(super) failures: u32,
}

impl<P: Protocol> Load<P> {
    /// Waits until the other instances avoid the engine, and runs the load.
    pub(super) async fn run(self) -> Outcome {
        let began_at = Instant::now();
        tokio::time::sleep(ANNOUNCE_DELAY).await;
        let end = tokio::time::timeout(LOAD_TIMEOUT, self.load(began_at)).await;
        Outcome {
            end: end.unwrap_or(End::Failed),
            endpoint: self.endpoint,
        }
    }

    /// Newest version of the model's weights; a newer one may have been named since the load began.
    fn wanted_version(&self) -> u64 {
        let rollouts = self.node.rollouts.load();
        let rollout = rollouts.iter().find(|rollout| rollout.model == self.model);
        rollout.map_or(0, |rollout| rollout.version)
    }

    /// Polls and orders the engine until it serves the version that it has accepted to load, or
    /// else the newest one.
    async fn load(&self, began_at: Instant) -> End {
        let mut accepted: Option<(u64, Instant, Mode)> = None;
        loop {
            self.wait_for_end_of_rest().await;
            let Some(report) = self.report().await else {
                return End::Failed;
            };
            let wanted = self.wanted_version();
            let version = accepted.map_or(wanted, |(version, ..)| version);
            let mut versions = report.versions.iter();
            let served = versions.find(|(model, _)| *model == self.model);
            if let Some((_, served)) = served.filter(|(_, served)| *served >= version) {
                self.endpoint.record_version(*served);
                if let Some((_, at, mode)) = accepted {
                    let mut load_times = self.load_times.lock();
                    load_times.record(mode, began_at.elapsed(), at.elapsed());
                }
                emit!(
                    info,
                    event::WEIGHTS_LOADED,
                    endpoint = &*self.endpoint.registration.name,
                    version = *served,
                );
                return End::Loaded;
            }
            if report.loading {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let Some(grant) = self.grant() else {
                return End::Withheld;
            };
            let mode = self.load_times.lock().mode(self.mode, self.time_left());
            match self.send_order(wanted, mode, report.accepted, grant).await {
                Some(OrderOutcome::Accepted) => {
                    let at = accepted.map_or_else(Instant::now, |(_, at, _)| at);
                    accepted = Some((wanted, at, mode));
                    let first_poll_delay = self.load_times.lock().first_poll_delay();
                    tokio::time::sleep(first_poll_delay).await;
                }
                Some(OrderOutcome::Busy) => tokio::time::sleep(POLL_INTERVAL).await,
                Some(OrderOutcome::Fenced | OrderOutcome::Rejected) | None => return End::Failed,
            }
        }
    }

    async fn report(&self) -> Option<crate::protocol::Report> {
        let registration = &self.endpoint.registration;
        let sent_at = self.node.beliefs.now();
        let request = P::report_request(&registration.name, registration.address);
        let answer = order::query(registration.address, request);
        let answer = tokio::time::timeout(self.answer_timeout(), answer).await;
        let (head, body) = answer.ok()?.ok()?;
        self.record_statement(&head, sent_at);
        if !head.status.is_success() {
            return None;
        }
        P::read_report(&body).ok()
    }

    /// Waits while the engine wants no requests.
    async fn wait_for_end_of_rest(&self) {
        loop {
            let now = self.node.beliefs.now();
            let rest = self.node.estimate_of(&self.endpoint).rest.remaining(now);
            if rest.is_zero() {
                return;
            }
            tokio::time::sleep(rest.max(POLL_INTERVAL)).await;
        }
    }

    fn record_statement(&self, head: &Parts, sent_at: Millis) {
        let registration = &self.endpoint.registration;
        if let Some(statement) = P::read_statement(head, &registration.name) {
            self.node.record_statement(registration, statement, sent_at);
        }
    }

    /// Sends the order if the lease lasts long enough for its delivery; `None` if it was not
    /// delivered.
    async fn send_order(
        &self,
        version: u64,
        mode: Mode,
        accepted_before: u64,
        grant: Grant,
    ) -> Option<OrderOutcome> {
        let registration = &self.endpoint.registration;
        let order = Order {
            endpoint: &registration.name,
            model: &self.model,
            version,
            mode,
            holder: &self.node.config.name,
            fence: grant.number,
            accepted_before,
        };
        let request = P::order_request(&order, registration.address);
        // Called again just before the last byte is sent.
        let node = self.node.clone();
        let is_lease_valid = move || {
            let current = node.lease.check(order::MAX_DELIVERY_TIME);
            current.is_some_and(|current| current.number == grant.number)
        };
        let (endpoint, fence) = (&*registration.name, grant.number);
        let sent_at = self.node.beliefs.now();
        let answer = order::send_request(registration.address, request, is_lease_valid);
        let Ok(answer) = tokio::time::timeout(self.answer_timeout(), answer).await else {
            emit!(
                info,
                event::ORDER_REFUSED,
                endpoint,
                version,
                fence,
                reason = "no answer in time",
            );
            return Some(OrderOutcome::Busy);
        };
        match answer {
            Ok(head) => {
                self.record_statement(&head, sent_at);
                let outcome = P::order_outcome(head.status);
                if outcome == OrderOutcome::Accepted {
                    emit!(info, event::ORDER_GIVEN, endpoint, version, fence);
                } else {
                    let status = head.status.as_u16();
                    emit!(info, event::ORDER_REFUSED, endpoint, version, fence, status);
                }
                Some(outcome)
            }
            Err(failure) => {
                emit!(
                    info,
                    event::ORDER_REFUSED,
                    endpoint,
                    version,
                    fence,
                    reason = %failure.fault,
                );
                // The engine may still carry out the order late; the next poll shows it.
                (failure.verdict != Verdict::NotRun).then_some(OrderOutcome::Busy)
            }
        }
    }

    fn answer_timeout(&self) -> Duration {
        answer_timeout(self.time_left(), self.failures)
    }

    /// Time until the engine must have loaded the wanted version.
    fn time_left(&self) -> Duration {
        self.node.time_left_to_load(&self.endpoint, clock::now())
    }

    /// The grant under which an order may be sent now.
    fn grant(&self) -> Option<Grant> {
        order_grant(&self.node, Duration::ZERO)
    }
}

/// The grant under which an order may be sent after `delay`.
///
/// Orders to engines that do not check fencing numbers wait until no order of the previous
/// holder can arrive any more.
pub(super) fn order_grant<P: Protocol>(node: &Node<P>, delay: Duration) -> Option<Grant> {
    let grant = node.lease.check(order::MAX_DELIVERY_TIME)?;
    if node.is_stopping() {
        return None;
    }
    let is_quiet = clock::now() + delay >= grant.quiet_until;
    (node.config.bounds.engines_check_fences || is_quiet).then_some(grant)
}
