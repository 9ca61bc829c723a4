//! Sends a request to one endpoint after another, as far as that is safe.

use std::time::Duration;

use endpoint::{
    Answer,
    Failure,
    Fault,
    Options,
    Target,
    Verdict,
    attempt::Record,
    pool::MAX_IDLE, //
};
use telemetry::{
    emit,
    event, //
};

use crate::{
    choose::{
        self,
        Chosen, //
    },
    node::Node,
    protocol::{
        Attempt,
        Engine,
        Protocol,
        Reply,
        Unrun, //
    },
    quota::Charge,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// Most endpoints that one request is sent to, those that did not run it included.
const MAX_SENDS: u32 = 5;
/// Longest time for a connection to an endpoint: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Least time left for which a request is sent to an endpoint.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Part of an endpoint's connections that may be idle, all instances together: one in so many.
const IDLE_PARTS: usize = 4;
/// When to come back after the request's time has run out.
const DEADLINE_RETRY: Duration = Duration::from_millis(500);

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    /// What the request has taken of its workspace's share.
    charge: Option<Charge>,
    record: Record,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Begun {
    /// The endpoint that answers.
    pub chosen: Chosen,
    /// Head, body and connection.
    pub answer: Answer,
    /// What the head says.
    pub reply: Reply,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(charge: Option<Charge>) -> Self {
        Self {
            charge,
            record: Record::default(),
        }
    }

    /// Sends the request to one endpoint after another until one answers, as far as that is safe.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets, with the verdict of all attempts together.
    pub async fn send<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        last_event: Option<u64>,
    ) -> Result<Begun, Refusal> {
        loop {
            if call.time_left() < MIN_TIME_LEFT {
                return Err(self.out_of_time());
            }
            let must_go = last_event.is_some() || self.record.verdict() != Verdict::NotRun;
            let chosen = match choose::choose(node, call, self.record.tried(), must_go).await {
                Ok(chosen) => chosen,
                Err(refusal) => return Err(self.refuse(refusal)),
            };
            self.begin(node, call);
            match self.attempt(node, call, &chosen, last_event).await {
                Ok((answer, reply)) => {
                    self.count_outcome(node, call, "answered");
                    return Ok(Begun {
                        chosen,
                        answer,
                        reply,
                    });
                }
                Err(failure) => self.fail(node, call, &chosen, failure),
            }
            if !self.may_go_on(node, call) {
                return Err(self.give_up(call));
            }
        }
    }

    fn count_outcome<P: Protocol>(&self, node: &Node<P>, call: &Call, outcome: &'static str) {
        let is_repeat = self.record.sends() > 1;
        node.metrics
            .count_attempt(&call.service, is_repeat, outcome);
    }

    fn begin<P: Protocol>(&mut self, node: &Node<P>, call: &Call) {
        if self.record.begin() == 1 {
            node.record_first_attempt(&call.service);
        }
    }

    async fn attempt<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        chosen: &Chosen,
        last_event: Option<u64>,
    ) -> Result<(Answer, Reply), Failure> {
        let registration = &chosen.endpoint.registration;
        let target = Target {
            address: registration.address,
            echoes_id: true,
        };
        let time_left = call.time_left();
        let attempt = Attempt {
            endpoint: &registration.name,
            time_left,
            workspace: call.workspace.as_ref().map(|w| &*w.name),
            engine: (chosen.version > 0).then(|| Engine {
                salt: call.salt(chosen.version),
                version: chosen.version,
                priority: call.rank(),
                fetch_from: chosen.source,
                save_to: chosen.save_to,
            }),
            last_event,
        };
        let options = Options {
            connect_timeout: CONNECT_TIMEOUT.min(time_left),
            head_timeout: time_left,
            reuse: call.is_repeatable(),
            max_idle: keep(node, call),
        };
        let request = call.outgoing::<P>(target, &attempt)?;
        let answer = node.pool.send(target, request, options).await?;
        let reply = P::reply(&answer.head, &registration.name);
        let failed = |verdict| Failure {
            address: target.address,
            verdict,
            fault: Fault::Refused(answer.head.status.as_u16()),
        };
        if let Some(unrun) = reply.unrun {
            self.learn_unrun(node, chosen, unrun);
            return Err(failed(Verdict::NotRun));
        }
        if !reply.authentic {
            return Err(failed(Verdict::MayHaveRun));
        }
        if let Some(version) = reply.version {
            chosen.endpoint.record_version(version);
        }
        self.record.add_run();
        self.spend();
        Ok((answer, reply))
    }

    fn learn_unrun<P: Protocol>(&self, node: &Node<P>, chosen: &Chosen, unrun: Unrun) {
        match unrun {
            Unrun::Busy | Unrun::Malformed => chosen.was_busy(node),
            Unrun::OtherWeights => chosen.has_other_weights(node),
            Unrun::Moved => chosen.failed(node),
        }
    }

    /// Keeps what was taken of the workspace's share, once an endpoint may work on the request.
    fn spend(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.commit();
        }
    }

    fn fail<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        chosen: &Chosen,
        failure: Failure,
    ) {
        self.learn_failure(node, call, chosen, &failure);
        let name = &chosen.endpoint.registration.name;
        self.record.add_failure(name, failure);
    }

    fn learn_failure<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        chosen: &Chosen,
        failure: &Failure,
    ) {
        self.count_outcome(node, call, failure.verdict.as_str());
        let name = &chosen.endpoint.registration.name;
        emit!(
            warn,
            event::ENDPOINT_FAULT,
            request = call.ask.id.to_str().unwrap_or_default(),
            endpoint = &**name,
            verdict = failure.verdict.as_str(),
            version = chosen.version,
            reason = %failure.fault,
        );
        let may_have_run = failure.verdict != Verdict::NotRun;
        if may_have_run {
            self.spend();
        }
        if may_have_run || matches!(failure.fault, Fault::Connect(_)) {
            chosen.failed(node);
        }
    }

    /// Notes that an answer that had begun broke off.
    pub fn broke_off<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        chosen: &Chosen,
        failure: Failure,
    ) {
        self.learn_failure(node, call, chosen, &failure);
        let name = &chosen.endpoint.registration.name;
        self.record.add_truncation(name, failure);
    }

    /// Whether another attempt may follow.
    pub fn may_go_on<P: Protocol>(&self, node: &Node<P>, call: &Call) -> bool {
        let record = &self.record;
        let harmless = record.verdict() == Verdict::NotRun
            || (call.is_repeatable() && record.runs() < call.route.max_runs);
        let in_time = record.sends() < MAX_SENDS && call.time_left() >= MIN_TIME_LEFT;
        harmless
            && in_time
            && (!record.has_reached_endpoint() || node.try_charge_retry(&call.service))
    }

    /// The refusal after the last failure.
    pub fn give_up(&self, call: &Call) -> Refusal {
        if call.time_left().is_zero() {
            return self.out_of_time();
        }
        let reason = match self.record.verdict() {
            Verdict::NotRun => Reason::NoEndpoint,
            Verdict::MayHaveRun | Verdict::Ran => Reason::EndpointFailed,
        };
        let message = match self.record.last_failure() {
            Some(failure) => failure.fault.to_string(),
            None => "nothing was tried".to_owned(),
        };
        self.refuse(Refusal::not_run(reason, message).retry_after(DEADLINE_RETRY))
    }

    fn out_of_time(&self) -> Refusal {
        let message = "the time for the request has run out";
        self.refuse(Refusal::not_run(Reason::DeadlineExceeded, message).retry_after(DEADLINE_RETRY))
    }

    /// A refusal with the verdict of all attempts together.
    fn refuse(&self, mut refusal: Refusal) -> Refusal {
        refusal.verdict = refusal.verdict.worst(self.record.verdict());
        refusal
    }
}

/// Idle connections to keep for each endpoint of the call's service. Requests that may not be
/// repeated never use one, so theirs are closed.
fn keep<P: Protocol>(node: &Node<P>, call: &Call) -> usize {
    if !call.is_repeatable() {
        return 0;
    }
    let service = call.catalog.service(&call.service);
    let most = service.map_or(0, |service| service.max_connections);
    (most / IDLE_PARTS / node.instance_count()).clamp(1, MAX_IDLE)
}

impl Attempts {
    /// Notes a whole answer that tells of an error; the endpoint is not asked again.
    pub fn note_error(&mut self, chosen: &Chosen, fault: Fault) {
        let registration = &chosen.endpoint.registration;
        let failure = Failure {
            address: registration.address,
            verdict: Verdict::Ran,
            fault,
        };
        self.record.add_error_answer(&registration.name, failure);
    }
}
