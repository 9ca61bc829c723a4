//! Admission: token rights and the queues of the classes.

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

/// When to come back while this instance cannot renew its rights.
const RENEWAL_RETRY: Duration = Duration::from_secs(5);

/// When to come back after a wait in vain.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// What a request asks of its workspace's share.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// `<team>/<workspace>`, or empty on open routes.
    pub workspace: Arc<str>,
    /// The route, whose endpoints are to have room.
    pub route: Arc<RouteEntry>,
    /// Urgency.
    pub class: Class,
    /// Prompt tokens plus the most tokens that the answer may have.
    pub tokens: u64,
    /// Longest time from arrival to the first token.
    pub deadline: Duration,
}

/// Leave to run one request; dropping it gives back what was not used.
///
/// All is given back unless the request has begun at an endpoint; then all is
/// kept until [`Permit::settle`] tells what was used.
#[derive(Debug)]
pub struct Permit {
    /// Time spent waiting for it.
    pub queued: Duration,
    charge: Option<Charge>,
    /// Dropped after the give-back, so that the next request finds the tokens.
    _place: Slot,
    begun: bool,
    used: Option<u64>,
}

impl Permit {
    /// Notes that an endpoint works on the request.
    pub fn begin(&mut self) {
        self.begun = true;
    }

    /// Notes a refusal: what may have run is not given back.
    pub fn hold(&mut self, verdict: Verdict) {
        self.begun |= verdict != Verdict::NotRun;
    }

    /// Notes how many tokens the request has used after all.
    pub fn settle(&mut self, used: u64) {
        self.used = Some(used);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(charge) = self.charge.take() else {
            return;
        };
        let unsettled = if self.begun { charge.tokens() } else { 0 };
        charge.settle(self.used.unwrap_or(unsettled));
    }
}

/// Waits for leave to run.
///
/// # Errors
///
/// At once when leave cannot be given before the deadline, with when to come back.
pub async fn admit(node: &Node, call: &Call, demand: Demand) -> Result<Permit, Refusal> {
    let charge = charge(node, call, &demand).await?;
    let waits_from = Instant::now();
    let place = place(node, call, &demand).await?;
    Ok(Permit {
        queued: waits_from.elapsed(),
        charge,
        _place: place,
        begun: false,
        used: None,
    })
}

/// Waits for room at the endpoints of the route.
async fn place(node: &Node, call: &Call, demand: &Demand) -> Result<Slot, Refusal> {
    let patience = demand.deadline.saturating_sub(call.arrived.elapsed());
    let request = request(node, call, demand, patience);
    let overloaded = |wait: Duration| {
        let message = format!(
            "the endpoints of route {} have no room before the deadline",
            demand.route.name
        );
        Refusal::not_run(Code::Overloaded, message).retry_after(wait)
    };
    match node.queues.enter(&request) {
        Admission::Running(place) => Ok(place),
        Admission::Refused(wait) => Err(overloaded(wait)),
        Admission::Waiting(turn) => match tokio::time::timeout(patience, turn).await {
            Ok(Ok(place)) => Ok(place),
            // Refused for more urgent work, or the estimate was too low.
            Ok(Err(_)) | Err(_) => Err(overloaded(OVERLOAD_RETRY)),
        },
    }
}

fn request(node: &Node, call: &Call, demand: &Demand, patience: Duration) -> queue::Request {
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
        max_wait: patience,
    }
}

/// Charges the workspace; open routes have none to charge.
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
    let patience = demand.deadline.saturating_sub(call.arrived.elapsed());
    match acquire::charge(&node.rights, &entry, demand.tokens, patience).await {
        Ok(charge) => Ok(Some(charge)),
        Err(shortfall) => Err(refuse(demand, limit, shortfall)),
    }
}

fn refuse(demand: &Demand, limit: Limit, shortfall: Shortfall) -> Refusal {
    let workspace = &demand.workspace;
    if shortfall.expired {
        let message = format!(
            "this instance cannot renew its rights to workspace {workspace}, \
             since the table does not answer; try again later or at another instance"
        );
        return Refusal::not_run(Code::RightsUnavailable, message).retry_after(RENEWAL_RETRY);
    }
    let message = format!(
        "workspace {workspace} has used its {} tokens a second and its burst of {}",
        limit.rate, limit.burst
    );
    let accrual = shortfall.missing.saturating_mul(1000) / limit.rate.max(1);
    let wait = shortfall.wait.unwrap_or(Duration::from_millis(accrual));
    Refusal::not_run(Code::RateExceeded, message).retry_after(wait)
}
