//! Rate limits of workspaces, enforced across all instances.
//!
//! Each workspace's limit is owned by one instance, the first in rendezvous hash
//! order. The other instances request units from the owner by datagram and
//! cover small requests from units that were granted ahead. While the owner
//! does not answer, an instance enforces its part of the limit on its own. An owner leaves their
//! parts to the instances that it does not hear, which may do that.

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    rank::{
        self,
        Candidate, //
    },
    share::{
        Bucket,
        Part,
        Share,
        Tolerance, //
    }, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::{
    catalog::{
        Limit,
        Workspace, //
    },
    exchange,
    message::{
        Grant,
        GrantRequest,
        Message, //
    },
    node::Node,
    peer,
    protocol::Protocol,
    stream::millis, //
};

/// Timeout for the answer of an owner: many round trips within a region.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an owner that does not answer is not asked again.
const OWNER_BACKOFF: Duration = Duration::from_millis(700);
/// Lifetime of units that were granted ahead; the owner may have granted them again after it.
const CREDIT_LIFETIME: Duration = Duration::from_secs(3);
/// Number of further requests of the same size for which units are requested ahead.
const REQUESTS_AHEAD: f64 = 3.0;
/// Largest request, in units, for which units are requested ahead.
const MAX_SMALL_UNITS: f64 = 2_000.0;

/// Quota state of one workspace.
#[derive(Debug)]
struct Entry {
    workspace: Arc<str>,
    /// Units granted to this instance that are not spent yet.
    credit: f64,
    credit_expires_at: Duration,
    /// Bucket over the whole limit, if this instance owns the limit.
    owner_bucket: Option<Bucket>,
    /// What may be spent in periods in which the owner does not answer.
    part: Part,
    /// Start of the present period without answers of the owner.
    silent_since: Option<Duration>,
    /// Time until which the owner is not asked, since it did not answer.
    owner_retry_at: Duration,
}

/// Quota state of all workspaces.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by workspace.
    entries: Mutex<Vec<Entry>>,
}

/// Units charged for one request; returned on drop unless [`Charge::commit`] was called.
#[derive(Debug)]
pub struct Charge {
    table: Arc<Table>,
    workspace: Arc<str>,
    units: f64,
    committed: bool,
}

impl Charge {
    /// Makes the charge final, since the request reached an endpoint and may have run there.
    pub fn commit(&mut self) {
        self.committed = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.committed {
            let now = clock::now();
            self.table.add_credit(&self.workspace, self.units, now);
        }
    }
}

impl Table {
    /// Charges `units` to the credit; returns `false` if the credit is too small.
    fn spend_credit(&self, workspace: &Arc<str>, units: f64, now: Duration) -> bool {
        self.with_entry(workspace, now, |entry| {
            if entry.credit_expires_at < now {
                entry.credit = 0.0;
            }
            let enough = entry.credit >= units;
            if enough {
                entry.credit -= units;
            }
            enough
        })
    }

    fn add_credit(&self, workspace: &Arc<str>, units: f64, now: Duration) {
        self.with_entry(workspace, now, |entry| {
            if entry.credit_expires_at < now {
                entry.credit = 0.0;
            }
            entry.credit += units;
            entry.credit_expires_at = now + CREDIT_LIFETIME;
        });
    }

    /// Charges a limit that this instance owns; returns the units granted ahead.
    ///
    /// # Errors
    ///
    /// The delay after which to retry.
    fn charge_owned(
        &self,
        workspace: &Arc<str>,
        share: Share,
        request: &GrantRequest,
        since: Duration,
        now: Duration,
    ) -> Result<f64, Duration> {
        self.with_entry(workspace, now, |entry| {
            // The units that a previous owner granted are unknown, so a new bucket starts nearly
            // empty at `since`, when this instance became the owner.
            let bucket = entry.owner_bucket.get_or_insert_with(|| {
                let age_ms = millis(now.saturating_sub(since));
                emit!(
                    info,
                    event::LIMIT_OWNED,
                    workspace = &**workspace,
                    age_ms = age_ms,
                );
                Bucket::new(since, share)
            });
            if entry.silent_since.take().is_some() {
                bucket.restart(now, share);
                bucket.limit(entry.part.rest());
            }
            bucket.charge(now, share, f64::from(request.units), request.urgent)?;
            Ok(bucket.charge_ahead(share, f64::from(request.ahead)))
        })
    }

    /// Records that another instance owns the limit and grants units that this one does not know.
    fn record_other_owner(&self, workspace: &Arc<str>, share: Share, now: Duration) {
        self.with_entry(workspace, now, |entry| {
            entry.silent_since = None;
            if let Some(bucket) = &mut entry.owner_bucket {
                bucket.restart(now, share);
            }
        });
    }

    /// Charges this instance's part of a limit whose owner does not answer.
    ///
    /// # Errors
    ///
    /// The delay after which to retry.
    fn charge_part<P: Protocol>(
        &self,
        node: &Node<P>,
        workspace: &Arc<str>,
        limit: Limit,
        request: &GrantRequest,
        now: Duration,
    ) -> Result<(), Duration> {
        let instances = node.instance_count();
        let (rate, burst) = (limit.rate, limit.burst);
        let whole = full_share(node, limit, now);
        let hub_saw_table_at = node.exchange.hub_saw_table_at();
        self.with_entry(workspace, now, |entry| {
            let since = *entry.silent_since.get_or_insert_with(|| {
                let tolerance = tolerance(node);
                let advance = tolerance.advance(rate, burst, instances);
                entry.part.begin(now, advance, tolerance.window);
                if let Some(bucket) = &mut entry.owner_bucket {
                    bucket.restart(now, whole);
                    entry.part.limit(bucket.debt());
                }
                now
            });
            if hub_saw_table_at > since {
                entry.part.resume(now);
            }
            let share = Share::equal(rate, burst, instances);
            let units = f64::from(request.units);
            entry.part.charge(now, share, units, request.urgent)
        })
    }

    /// Applies `change` to the entry of `workspace`, which is created if absent.
    fn with_entry<T>(
        &self,
        workspace: &Arc<str>,
        now: Duration,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> T {
        let mut entries = self.entries.lock();
        let index = match entries.binary_search_by(|entry| entry.workspace.cmp(workspace)) {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry {
                    workspace: workspace.clone(),
                    credit: 0.0,
                    credit_expires_at: now,
                    owner_bucket: None,
                    part: Part::default(),
                    silent_since: None,
                    owner_retry_at: Duration::ZERO,
                };
                entries.insert(index, entry);
                index
            }
        };
        change(&mut entries[index])
    }
}

/// Error: the limit of a workspace is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exceeded {
    /// Delay after which to retry.
    pub wait: Duration,
    /// Bucket that refused the charge.
    pub decided_by: Decider,
}

/// The bucket that decided on a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decider {
    /// The bucket of this instance, which owns the limit.
    Local,
    /// The bucket of the owner at this address.
    Owner(SocketAddr),
    /// This instance's part, since the owner at this address does not answer.
    Part(SocketAddr),
}

impl fmt::Display for Decider {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Decider::Local => f.write_str("this instance"),
            Decider::Owner(owner) => write!(f, "its owner {owner}"),
            Decider::Part(owner) => write!(
                f,
                "this instance for its even part, since the owner {owner} is silent"
            ),
        }
    }
}

/// Charges `units` to the limit of `workspace`, if need be after a wait of `patience` at most; `None`
/// if it has no limit.
///
/// # Errors
///
/// If the limit is used up.
pub async fn charge<P: Protocol>(
    node: &Node<P>,
    workspace: &Workspace,
    units: u64,
    urgent: bool,
    patience: Duration,
) -> Result<Option<Charge>, Exceeded> {
    let end = clock::now() + patience;
    loop {
        match try_charge(node, workspace, units, urgent).await {
            Err(exceeded) if exceeded.wait < end.saturating_sub(clock::now()) => {
                tokio::time::sleep(exceeded.wait).await;
            }
            charged => return charged,
        }
    }
}

async fn try_charge<P: Protocol>(
    node: &Node<P>,
    workspace: &Workspace,
    units: u64,
    urgent: bool,
) -> Result<Option<Charge>, Exceeded> {
    let Some(limit) = workspace.limit else {
        return Ok(None);
    };
    let name = &workspace.name;
    let charge = || Charge {
        table: node.quotas.clone(),
        workspace: name.clone(),
        units: units as f64,
        committed: false,
    };
    let now = clock::now();
    if node.quotas.spend_credit(name, units as f64, now) {
        return Ok(Some(charge()));
    }
    let is_small = units as f64 <= MAX_SMALL_UNITS;
    let request = GrantRequest {
        id: 0,
        workspace: name.to_string(),
        units: units as f32,
        ahead: if is_small {
            (units as f64 * REQUESTS_AHEAD) as f32
        } else {
            0.0
        },
        urgent,
    };
    let ahead = acquire(node, name, limit, request).await?;
    if ahead > 0.0 {
        node.quotas.add_credit(name, ahead, clock::now());
    }
    Ok(Some(charge()))
}

/// Charges the request to the owner of the limit, or to this instance's part if the owner does not
/// answer; returns the units granted ahead.
async fn acquire<P: Protocol>(
    node: &Node<P>,
    workspace: &Arc<str>,
    limit: Limit,
    req: GrantRequest,
) -> Result<f64, Exceeded> {
    let exceeded = |decided_by| move |wait| Exceeded { wait, decided_by };
    let owner = loop {
        let now = clock::now();
        let Some(owner) = remote_owner(node, workspace, now) else {
            let share = full_share(node, limit, now);
            let since = node.members.stable_since(now);
            let result = node.quotas.charge_owned(workspace, share, &req, since, now);
            return result.map_err(exceeded(Decider::Local));
        };
        let retry_at = node
            .quotas
            .with_entry(workspace, now, |entry| entry.owner_retry_at);
        if retry_at > now {
            break owner;
        }
        let message = |id| Message::GrantRequest(GrantRequest { id, ..req.clone() });
        let answer = exchange::query(node, owner, message);
        if let Ok(Some(Message::Grant(grant))) = tokio::time::timeout(OWNER_TIMEOUT, answer).await {
            let now = clock::now();
            let share = full_share(node, limit, now);
            node.quotas.record_other_owner(workspace, share, now);
            return units_ahead(&grant).map_err(exceeded(Decider::Owner(owner)));
        }
        emit!(
            info,
            event::LIMIT_OWNER_SILENT,
            workspace = &**workspace,
            owner = %owner,
        );
        if peer::is_gone(node, owner).await && node.record_gone(owner) {
            continue;
        }
        let retry_at = clock::now() + OWNER_BACKOFF;
        node.quotas
            .with_entry(workspace, now, |entry| entry.owner_retry_at = retry_at);
        break owner;
    };
    let quotas = &node.quotas;
    let result = quotas.charge_part(node, workspace, limit, &req, clock::now());
    result.map(|()| 0.0).map_err(exceeded(Decider::Part(owner)))
}

/// Units granted ahead, or the delay after which to retry.
fn units_ahead(grant: &Grant) -> Result<f64, Duration> {
    match grant.wait_ms {
        None => Ok(f64::from(grant.ahead)),
        Some(wait) => Err(Duration::from_millis(u64::from(wait))),
    }
}

/// Handles a request of another instance for units of a limit that this one owns; `None` if the
/// workspace is unknown or has no limit.
pub fn grant<P: Protocol>(node: &Node<P>, request: &GrantRequest) -> Option<Grant> {
    let catalog = node.catalog.load_full()?;
    let workspace = catalog
        .workspaces()
        .find(|workspace| *workspace.name == *request.workspace)?;
    let now = clock::now();
    let share = full_share(node, workspace.limit?, now);
    let since = match remote_owner(node, &workspace.name, now) {
        None => node.members.stable_since(now),
        // The requesting instance has learned of a change of members before this one.
        Some(_) => now,
    };
    let result = node
        .quotas
        .charge_owned(&workspace.name, share, request, since, now);
    Some(Grant {
        id: request.id,
        ahead: result.map_or(0.0, |ahead| ahead as f32),
        wait_ms: result
            .err()
            .map(|wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    })
}

/// The limit of a workspace, as its owner enforces it, less the parts of silent instances.
fn full_share<P: Protocol>(node: &Node<P>, limit: Limit, now: Duration) -> Share {
    let whole = Share::whole(limit.rate, limit.burst, tolerance(node));
    let fraction = node.members.heard_fraction(&node.config.name, now);
    let share = whole.scaled(fraction);
    if node.members.is_calm(node.config.bounds.quota_window, now) {
        share
    } else {
        share.of_later_owner()
    }
}

fn tolerance<P>(node: &Node<P>) -> Tolerance {
    let bounds = &node.config.bounds;
    Tolerance {
        window: bounds.quota_window.as_secs_f64(),
        over: bounds.quota_over,
        slack: bounds.quota_slack,
    }
}

/// Address of the instance that owns the limit of `workspace`; `None` if this instance does.
fn remote_owner<P: Protocol>(node: &Node<P>, workspace: &str, now: Duration) -> Option<SocketAddr> {
    node.members.with_live(now, |members| {
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                leaving: false,
            })
            .collect();
        let index = rank::first(workspace, &candidates)?;
        let owner = members[index];
        (*owner.name != *node.config.name).then_some(owner.row.exchange)
    })
}
