//! Admission: charges token rights and waits for a slot in the queue of the class.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use endpoint::Verdict;
use policy::rights::Limit;
use settings::{
    Class,
    RouteEntry, //
};
use state::{
    queue::{
        self,
        Admission,
        Slot, //
    },
    right::{
        Charge,
        Shortfall, //
    }, //
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    Call,
    Code,
    Refusal, //
};
use crate::{
    node::Node,
    rights::{
        self,
        acquire, //
    }, //
};

/// Retry delay while this instance cannot renew its rights.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Retry delay after a wait in the queue that ended without a slot.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a request needs before it may run: tokens of its workspace and a slot of its route.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// `<team>/<workspace>`, or empty on open routes.
    pub workspace: Arc<str>,
    /// Route whose endpoints must have a free slot.
    pub route: Arc<RouteEntry>,
    /// Urgency class.
    pub class: Class,
    /// Prompt tokens plus the maximum number of answer tokens.
    pub tokens: u64,
    /// Maximum time from arrival to the first token.
    pub timeout: Duration,
}

/// Permission to run one request; dropping it refunds the unused tokens.
///
/// Without [`Permit::settle`], all tokens are refunded if the request did not
/// run at any endpoint, and none if it may have run.
#[derive(Debug)]
pub struct Permit {
    /// Time spent waiting for the slot.
    pub queue_time: Duration,
    charge: Option<Charge>,
    /// Dropped after the refund, so that the next request finds the tokens.
    _slot: Slot,
    may_have_run: bool,
    used_tokens: Option<u64>,
}

impl Permit {
    /// Records that an endpoint is running the request.
    pub fn record_start(&mut self) {
        self.may_have_run = true;
    }

    /// Records a refusal; the tokens of a request that may have run are not refunded.
    pub fn record_refusal(&mut self, verdict: Verdict) {
        self.may_have_run |= verdict != Verdict::NotRun;
    }

    /// Sets the number of tokens that the request used in the end.
    pub fn settle(&mut self, used_tokens: u64) {
        self.used_tokens = Some(used_tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(charge) = self.charge.take() else {
            return;
        };
        let unsettled = if self.may_have_run {
            charge.tokens()
        } else {
            0
        };
        charge.settle(self.used_tokens.unwrap_or(unsettled));
    }
}

/// Charges the workspace and waits for a slot.
///
/// # Errors
///
/// If the workspace lacks the tokens, or no slot becomes free before the deadline; immediately if
/// the estimated wait for the slot is longer. Only a request that exceeds the burst gets no retry
/// delay.
pub async fn admit(node: &Node, call: &Call, demand: Demand) -> Result<Permit, Refusal> {
    let charge = charge(node, call, &demand).await?;
    let queued_at = Instant::now();
    let slot = acquire_slot(node, call, &demand).await?;
    Ok(Permit {
        queue_time: queued_at.elapsed(),
        charge,
        _slot: slot,
        may_have_run: false,
        used_tokens: None,
    })
}

/// Waits for a free slot at the endpoints of the route.
async fn acquire_slot(node: &Node, call: &Call, demand: &Demand) -> Result<Slot, Refusal> {
    let remaining = demand.timeout.saturating_sub(call.arrived_at.elapsed());
    let request = queue_request(node, call, demand, remaining);
    let overloaded = |delay: Duration| {
        let message = format!(
            "the endpoints of route {} have no room before the deadline",
            demand.route.name
        );
        Refusal::not_run(Code::Overloaded, message).retry_after(delay)
    };
    match node.queues.enter(&request) {
        Admission::Running(slot) => Ok(slot),
        Admission::Refused(estimated_wait) => Err(overloaded(estimated_wait)),
        Admission::Waiting(receiver) => match tokio::time::timeout(remaining, receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            // Shed in favour of more urgent work, or the estimated wait was too short.
            Ok(Err(_)) | Err(_) => Err(overloaded(OVERLOAD_RETRY_DELAY)),
        },
    }
}

fn queue_request(node: &Node, call: &Call, demand: &Demand, remaining: Duration) -> queue::Request {
    let mut key = Xxh3::new();
    let mut slots: u32 = 0;
    for name in &demand.route.route.endpoints {
        key.update(name.as_bytes());
        key.update(b"\n");
        if let Some(entry) = call.snapshot().endpoint(name) {
            slots = slots.saturating_add(entry.endpoint.slots);
        }
    }
    let workspace = call.snapshot().workspace(&demand.workspace);
    queue::Request {
        key: key.digest(),
        slots,
        instances: node.rights.instances.load(Ordering::Relaxed),
        class: demand.class as usize,
        workspace: demand.workspace.clone(),
        weight: workspace.map_or(1, |entry| entry.workspace.weight),
        cost: demand.tokens,
        max_wait: remaining,
    }
}

/// Charges the workspace; requests to open routes have no workspace and are not charged.
async fn charge(node: &Node, call: &Call, demand: &Demand) -> Result<Option<Charge>, Refusal> {
    if demand.workspace.is_empty() {
        return Ok(None);
    }
    let limit = rights::limit(call.snapshot(), &demand.workspace);
    if demand.tokens > limit.burst {
        let message = format!(
            "the request may use {} tokens, the burst of workspace {} is {}; \
             send a shorter prompt or a lower max_tokens",
            demand.tokens, demand.workspace, limit.burst
        );
        return Err(Refusal::not_run(Code::ExceedsBurst, message));
    }
    let entry = node.rights.table.entry(&demand.workspace);
    node.rights
        .table
        .record_demand(&entry, limit, demand.tokens);
    let remaining = demand.timeout.saturating_sub(call.arrived_at.elapsed());
    match acquire::charge(&node.rights, &entry, demand.tokens, remaining).await {
        Ok(charge) => Ok(Some(charge)),
        Err(shortfall) => Err(shortfall_refusal(demand, limit, shortfall)),
    }
}

fn shortfall_refusal(demand: &Demand, limit: Limit, shortfall: Shortfall) -> Refusal {
    let workspace = &demand.workspace;
    if shortfall.expired {
        let message = format!(
            "this instance cannot renew its rights to workspace {workspace}, \
             since the table does not answer; try again later or at another instance"
        );
        return Refusal::not_run(Code::RightsUnavailable, message).retry_after(RENEWAL_RETRY_DELAY);
    }
    let message = format!(
        "workspace {workspace} has used its {} tokens a second and its burst of {}",
        limit.rate, limit.burst
    );
    let accrual_ms = shortfall.missing.saturating_mul(1000) / limit.rate.max(1);
    let delay = shortfall.wait.unwrap_or(Duration::from_millis(accrual_ms));
    Refusal::not_run(Code::RateExceeded, message).retry_after(delay)
}
