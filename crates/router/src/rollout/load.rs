//! One engine that is ordered to load weights.

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
    Verdict,
    order, //
};
use parking_lot::Mutex;
use state::{
    clock,
    lease::Grant, //
};
use telemetry::{
    emit,
    event, //
};
use tokio::{
    sync::Semaphore,
    time::Instant, //
};

use crate::{
    fleet::Endpoint,
    node::Node,
    protocol::{
        Order,
        OrderOutcome, //
        Protocol,
    }, //
};

/// Time that a load is expected to take before any was timed.
pub(super) const START_LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Part of the expected time after which a loading engine is looked at, and after which the next
/// engine is freed of requests.
const FIRST_LOOK_PART: f64 = 0.75;
/// Weight of a new sample of the time that a load takes.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// Time between looks at an engine that loads.
const LOOK_INTERVAL: Duration = Duration::from_millis(120);
/// Time for the other instances to hear that an engine is about to load.
const HEARD_TIME: Duration = Duration::from_millis(200);
/// Longest time for one engine to load before it is left alone for a while.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// How one engine's load ended.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) loaded: bool,
}

/// What the loads of one model's engines share.
#[derive(Debug)]
pub(super) struct Pace {
    /// Engines that load at the same time.
    permits: Semaphore,
    /// How many those may be.
    pub(super) most: usize,
    /// Time that a load takes.
    pub(super) load_time: Mutex<Duration>,
}

impl Pace {
    pub(super) fn new(most: usize, load_time: Duration) -> Self {
        Self {
            permits: Semaphore::new(most),
            most,
            load_time: Mutex::new(load_time),
        }
    }

    fn first_look(&self) -> Duration {
        self.load_time.lock().mul_f64(FIRST_LOOK_PART)
    }

    fn learn(&self, sample: Duration) {
        let mut time = self.load_time.lock();
        *time = time.mul_f64(1.0 - LOAD_TIME_WEIGHT) + sample.mul_f64(LOAD_TIME_WEIGHT);
    }
}

/// One engine that is to load.
pub(super) struct Load<P> {
    pub(super) node: Arc<Node<P>>,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) pace: Arc<Pace>,
    pub(super) is_ending: Arc<AtomicBool>,
    pub(super) model: String,
    pub(super) version: u64,
}

impl<P: Protocol> Load<P> {
    /// Frees the engine of requests, waits for its turn and has it load.
    pub(super) async fn run(self) -> Ended {
        tokio::time::sleep(HEARD_TIME).await;
        // Never closed.
        let _permit = self.pace.permits.acquire().await.ok();
        let loaded = tokio::time::timeout(LOAD_TIMEOUT, self.load()).await;
        Ended {
            loaded: loaded.unwrap_or(false),
            endpoint: self.endpoint,
        }
    }

    /// Looks and orders until the engine serves the version; `false` if that is not to be had.
    async fn load(&self) -> bool {
        let mut ordered: Option<Instant> = None;
        loop {
            let Some(report) = self.report().await else {
                return false;
            };
            let mut versions = report.versions.iter();
            let served = versions.find(|(model, _)| *model == self.model);
            if served.is_some_and(|(_, version)| *version >= self.version) {
                self.endpoint.hear_version(self.version);
                if let Some(at) = ordered {
                    self.pace.learn(at.elapsed());
                }
                emit!(
                    info,
                    event::WEIGHTS_LOADED,
                    endpoint = &*self.endpoint.registration.name,
                    version = self.version,
                );
                return true;
            }
            if report.loading {
                tokio::time::sleep(LOOK_INTERVAL).await;
                continue;
            }
            match self.give(report.accepted).await {
                Some(OrderOutcome::Accepted) => {
                    ordered.get_or_insert_with(Instant::now);
                    tokio::time::sleep(self.pace.first_look()).await;
                    self.is_ending.store(true, Ordering::Relaxed);
                    self.node.rollout.notify_one();
                }
                Some(OrderOutcome::Busy) => tokio::time::sleep(LOOK_INTERVAL).await,
                Some(OrderOutcome::Fenced | OrderOutcome::Rejected) | None => return false,
            }
        }
    }

    async fn report(&self) -> Option<crate::protocol::Report> {
        let registration = &self.endpoint.registration;
        let question = P::report_request(&registration.name, registration.address);
        let (status, body) = order::query(registration.address, question).await.ok()?;
        if !status.is_success() {
            return None;
        }
        P::read_report(&body).ok()
    }

    /// Gives the order if the lease lasts long enough for it.
    async fn give(&self, accepted_before: u64) -> Option<OrderOutcome> {
        let grant = self.grant()?;
        let registration = &self.endpoint.registration;
        let order = Order {
            endpoint: &registration.name,
            model: &self.model,
            version: self.version,
            holder: &self.node.config.name,
            fence: grant.number,
            accepted_before,
        };
        let request = P::order_request(&order, registration.address);
        // Asked again when the last byte is about to go out.
        let node = self.node.clone();
        let in_time = move || {
            let now = node.lease.check(order::MAX_DELIVERY_TIME);
            now.is_some_and(|now| now.number == grant.number)
        };
        let (endpoint, version, fence) = (&*registration.name, self.version, grant.number);
        match order::send_request(registration.address, request, in_time).await {
            Ok(status) => {
                let taken = P::order_outcome(status);
                if taken == OrderOutcome::Accepted {
                    emit!(info, event::ORDER_GIVEN, endpoint, version, fence);
                } else {
                    let status = status.as_u16();
                    emit!(info, event::ORDER_REFUSED, endpoint, version, fence, status);
                }
                Some(taken)
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
                // It may be carried out late; the next look tells.
                (failure.verdict != Verdict::NotRun).then_some(OrderOutcome::Busy)
            }
        }
    }

    /// Orders to engines that obey any fencing number wait until those of the holder before
    /// cannot arrive any more.
    fn grant(&self) -> Option<Grant> {
        let grant = self.node.lease.check(order::MAX_DELIVERY_TIME)?;
        if self.node.is_stopping() {
            return None;
        }
        let quiet = clock::now() >= grant.quiet_until;
        (self.node.config.bounds.engines_check_fences || quiet).then_some(grant)
    }
}
