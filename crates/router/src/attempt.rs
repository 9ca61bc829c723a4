//! Sends a request to endpoints, with retries at others as long as a retry is safe.

mod ahead;
mod connection;
mod moving;
mod progress;
mod refusal;

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Answer,
    Failure,
    Fault,
    Verdict,
    attempt::Record, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use connection::options;
pub use progress::Progress;
use progress::Stage;

use crate::{
    bulkhead,
    choose::{
        self,
        Selection, //
    },
    exposure,
    incarnation,
    node::Node,
    partition,
    protocol::{
        Attempt,
        EngineOptions,
        Protocol,
        Rejection, //
        Reply,
    },
    quarantine::{
        self,
        Trial, //
    },
    quota::Charge,
    refusal::Refusal,
    request::Call,
    stop, //
};

/// Pause before a stream is placed again that has left an endpoint which may still serve it.
const PLACE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before a stream whose brittle endpoint fell over is placed again if no other has room, which
/// new requests take, too.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of these pauses.
const MAX_ROOM_WAITS: u32 = 30;
/// Maximum number of attempts per request, including those that did not run it.
const MAX_ATTEMPTS: u32 = 5;
/// Time left before the deadline below which a request is not sent to an endpoint.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    /// Charge against the workspace's limit.
    charge: Option<Charge>,
    /// Set if the request is the trial of quarantined segments.
    trial: Option<Trial>,
    record: Record,
    /// Where the next attempt goes, if it was placed ahead of it.
    placed: Option<Placed>,
    /// Id of the room that the endpoint of the next attempt has reserved.
    reservation: Option<String>,
    /// Whether the stream has left an endpoint that may still serve it, and none has gone on with it.
    is_moving: bool,
    /// Names of the endpoints that have run the request.
    ran: Vec<Arc<str>>,
    /// Attempts of such a stream that are allowed without a retry left: the next endpoint may reject it.
    free_retries: u32,
    /// How often a stream whose brittle endpoint fell over still waits while no other can take it.
    waits: u32,
    /// What the request is doing.
    pub progress: Progress,
}

/// An endpoint chosen for an attempt that has not begun.
#[derive(Debug)]
struct Placed {
    selection: Selection,
    trial: Option<Trial>,
    /// Id of the room that the endpoint has reserved.
    reservation: Option<String>,
}

/// An answer whose head has been received.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The endpoint that sends the answer.
    pub selection: Selection,
    /// Head, body and connection.
    pub answer: Answer,
    /// Fields of the answer's head.
    pub reply: Reply,
}

impl Attempts {
    /// Starts with no attempts.
    pub fn new(charge: Option<Charge>) -> Self {
        Self {
            charge,
            trial: None,
            record: Record::default(),
            placed: None,
            reservation: None,
            is_moving: false,
            ran: Vec::new(),
            free_retries: 0,
            waits: 0,
            progress: Progress::default(),
        }
    }

    /// Sends the request to endpoints, one at a time, until one answers or no retry is allowed.
    ///
    /// # Errors
    ///
    /// The refusal that is sent to the caller, with the combined verdict of all attempts.
    pub async fn send<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        last_event: Option<u64>,
    ) -> Result<EndpointAnswer, Refusal> {
        loop {
            if call.time_left() < MIN_TIME_LEFT {
                return Err(self.deadline_refusal());
            }
            // A stream that has begun here goes on for as long as it can.
            let has_begun = self.record.runs() > 0 && last_event.is_some();
            if !has_begun && let Err(refusal) = stop::check(node, call) {
                return Err(self.with_verdict(refusal));
            }
            let selection = match self.placed.take() {
                Some(placed) => {
                    self.trial = placed.trial;
                    self.reservation = placed.reservation;
                    placed.selection
                }
                None => match self.place(node, call, last_event).await {
                    Ok(selection) => selection,
                    Err(_) if self.is_moving => {
                        self.record.allow_all();
                        tokio::time::sleep(PLACE_INTERVAL).await;
                        continue;
                    }
                    Err(_) if self.waits > 0 => {
                        self.waits -= 1;
                        tokio::time::sleep(ROOM_INTERVAL).await;
                        continue;
                    }
                    Err(refusal) => return Err(self.with_verdict(refusal)),
                },
            };
            self.record_send(node, call, &selection);
            match self.try_endpoint(node, call, &selection, last_event).await {
                Ok((answer, reply)) => {
                    self.waits = 0;
                    self.count_outcome(node, call, "answered");
                    return Ok(EndpointAnswer {
                        selection,
                        answer,
                        reply,
                    });
                }
                Err(failure) => self.add_failure(node, call, &selection, failure),
            }
            if !self.may_go_on(node, call).await {
                return Err(self.final_refusal(call));
            }
        }
    }

    async fn place<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        last_event: Option<u64>,
    ) -> Result<Selection, Refusal> {
        if self.trial.as_ref().is_none_or(Trial::is_spent) {
            self.trial = quarantine::check(node, call).await?;
        }
        let must_place = last_event.is_some()
            || self.record.verdict() != Verdict::NotRun
            || self.trial.is_some();
        let excluded = self.excluded(node, call);
        choose::choose(node, call, &excluded, must_place).await
    }

    fn count_outcome<P: Protocol>(&self, node: &Node<P>, call: &Call, outcome: &'static str) {
        let is_repeat = self.record.attempts() > 1;
        node.metrics
            .count_attempt(&call.service, is_repeat, outcome);
    }

    fn record_send<P: Protocol>(&mut self, node: &Node<P>, call: &Call, selection: &Selection) {
        let endpoint = &selection.endpoint.registration.name;
        self.progress.enter(Stage::Sent, Some(endpoint));
        if self.record.begin() == 1 {
            node.record_first_attempt(&call.service);
            exposure::record_request(node, &call.service);
        }
        if let Some(trial) = &mut self.trial {
            trial.set_spent(true);
        }
    }

    async fn try_endpoint<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        last_event: Option<u64>,
    ) -> Result<(Answer, Reply), Failure> {
        let registration = &selection.endpoint.registration;
        let target = selection.target();
        let time_left = call.time_left();
        let reservation = self.reservation.take();
        // The configuration may have changed since the endpoint was chosen.
        let partition = partition::of_call(node, call);
        let is_same = partition == selection.partition;
        let attempt = Attempt {
            endpoint: &registration.name,
            time_left,
            workspace: call.workspace.as_ref().map(|w| &*w.name),
            engine: (selection.version > 0).then(|| EngineOptions {
                cache_salt: call.cache_salt(partition, selection.version, &registration.build),
                version: selection.version,
                priority: call.priority(),
                fetch_from: selection.source.filter(|_| is_same),
                save_to: selection.save_to,
            }),
            last_event,
            reservation: reservation.as_deref(),
        };
        let request = call.build_request::<P>(target, &attempt)?;
        if last_event.is_some() {
            incarnation::check(node, &selection.endpoint, options(node, call)).await?;
        }
        let sent_at = node.beliefs.now();
        let dialer = selection.dialer(node);
        let answer = tokio::select! {
            answer = node.pool.send(target, request, options(node, call), &dialer) => answer?,
            expired = selection.weights_expired(node) => return Err(expired),
        };
        let reply = P::read_reply(&answer.head, &registration.name);
        if let Some(statement) = P::read_statement(&answer.head, &registration.name) {
            node.record_statement(registration, statement, sent_at);
            // Other answers may not come from the endpoint itself.
            if reply.authentic || reply.rejection.is_some() || statement.limit.is_some() {
                node.record_limit(registration, statement.limit);
            }
            if reply.authentic || reply.rejection.is_some() || statement.brittle.is_some() {
                bulkhead::record_statement(node, registration, statement.brittle);
            }
        }
        let failure = |verdict| Failure {
            address: target.address,
            verdict,
            fault: Fault::ErrorStatus(answer.head.status.as_u16()),
        };
        if let Some(rejection) = reply.rejection {
            self.record_rejection(node, selection, rejection);
            return Err(failure(Verdict::NotRun));
        }
        if !reply.authentic {
            return Err(failure(Verdict::MayHaveRun));
        }
        if let Some(version) = reply.version {
            selection.endpoint.record_version(version);
        }
        self.progress.enter(Stage::Answered, None);
        self.record.add_run();
        self.ran.push(registration.name.clone());
        self.spend_charge();
        Ok((answer, reply))
    }

    fn record_rejection<P: Protocol>(
        &self,
        node: &Node<P>,
        selection: &Selection,
        rejection: Rejection,
    ) {
        match rejection {
            Rejection::Busy => {
                selection.record_full(node);
                selection.record_rejection(node);
            }
            Rejection::Malformed => selection.record_rejection(node),
            Rejection::WeightsMismatch => selection.record_weights_mismatch(node),
            Rejection::EndpointMismatch => selection.record_failure(node),
        }
    }

    /// Makes the charge final, once an endpoint may be running the request.
    fn spend_charge(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.commit();
        }
    }

    fn add_failure<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        failure: Failure,
    ) {
        self.report_failure(node, call, selection, &failure);
        let name = &selection.endpoint.registration.name;
        self.progress.enter(Stage::Placing, None);
        self.record.add_failure(name, failure);
    }

    fn report_failure<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        failure: &Failure,
    ) {
        self.count_outcome(node, call, failure.verdict.as_str());
        if let Some(track) = &selection.track {
            track.record_failure(failure);
        }
        let name = &selection.endpoint.registration.name;
        emit!(
            warn,
            event::ENDPOINT_FAULT,
            request = call.head.id.to_str().unwrap_or_default(),
            endpoint = &**name,
            verdict = failure.verdict.as_str(),
            version = selection.version,
            segments = is_break(&failure.fault).then(|| call.shared_segments_text()),
            fingerprint = is_break(&failure.fault).then(|| format!("{:x}", call.fingerprint)),
            reason = %failure.fault,
        );
        let may_have_run = failure.verdict != Verdict::NotRun;
        if may_have_run && is_break(&failure.fault) && !selection.proof.is_given() {
            quarantine::record_break(node, call, selection);
        }
        if may_have_run {
            self.spend_charge();
        } else if let Some(trial) = &mut self.trial
            && failure.fault.is_unconnected()
        {
            trial.set_spent(false);
        }
        if matches!(failure.fault, Fault::WeightsExpired | Fault::LoadOverdue) {
            selection.record_rejection(node);
        } else if may_have_run {
            selection.record_failure(node);
        } else if failure.fault.is_unconnected() {
            selection.record_unreachable(node, &failure.fault);
        }
    }

    /// Records an answer that was truncated after its head.
    pub fn add_truncation<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        selection: &Selection,
        failure: Failure,
    ) {
        self.report_failure(node, call, selection, &failure);
        let name = &selection.endpoint.registration.name;
        self.progress.enter(Stage::Placing, None);
        self.record.add_truncation(name, failure);
        if node.bulkheads.is_brittle(&call.service, clock::now()) {
            // The others may have no room until a request of theirs ends.
            self.waits = MAX_ROOM_WAITS;
        }
    }

    /// Whether another attempt cannot run the request twice, or may. A stream that is moving may return
    /// to an endpoint that has run it.
    fn is_safe(&self, call: &Call) -> bool {
        let has_run_left = self.record.runs() < call.route.max_runs || self.is_moving;
        self.record.verdict() == Verdict::NotRun || (call.is_repeatable() && has_run_left)
    }

    /// Whether another attempt is allowed.
    pub fn may_retry<P: Protocol>(&mut self, node: &Node<P>, call: &Call) -> bool {
        let record = &self.record;
        if !self.is_safe(call)
            || record.attempts() >= MAX_ATTEMPTS
            || call.time_left() < MIN_TIME_LEFT
        {
            return false;
        }
        !record.has_reached_endpoint() || node.try_charge_retry(&call.service)
    }
}

/// Whether the connection ended before the answer was complete, as when an endpoint crashes. An
/// answer that ends with its connection may look complete, but empty.
fn is_break(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::NoAnswer(_) | Fault::Truncated(_) | Fault::Empty
    )
}

impl Attempts {
    /// Records a complete answer with an error status; the endpoint is not tried again.
    pub fn add_error_answer(&mut self, selection: &Selection, fault: Fault) {
        let registration = &selection.endpoint.registration;
        self.progress.enter(Stage::Placing, None);
        let failure = Failure {
            address: registration.address,
            verdict: Verdict::Ran,
            fault,
        };
        self.record.add_error_answer(&registration.name, failure);
    }
}
