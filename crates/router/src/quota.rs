//! What workspaces may spend, over all instances together.
//!
//! Each workspace's limit is owned by one instance, the first in the order that
//! rendezvous hashing gives. The others ask it for what a request needs, by a
//! datagram and its answer; small requests are covered by what was granted
//! ahead. While an owner gives no answer, an instance spends an even part of
//! the limit.

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
    protocol::Protocol, //
};

/// Longest time for the answer of an owner: many round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an owner that gave no answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(700);
/// Time after which what was granted ahead is dropped: it may have been granted anew meanwhile.
const CREDIT_TIME: Duration = Duration::from_secs(3);
/// Requests of the same size that are asked for ahead.
const REQUESTS_AHEAD: f64 = 3.0;
/// Largest request for which more is asked ahead, in units.
const MAX_SMALL: f64 = 2_000.0;

/// What is known of one workspace.
#[derive(Debug)]
struct Entry {
    workspace: Arc<str>,
    /// Units that were granted to this instance and not spent yet.
    credit: f64,
    credit_until: Duration,
    /// What the workspace may spend, if this instance owns its limit.
    owned: Option<Bucket>,
    /// What this instance may spend while the owner is silent.
    alone: Option<Bucket>,
    silent_until: Duration,
}

/// What workspaces may spend.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by workspace.
    entries: Mutex<Vec<Entry>>,
}

/// Units that a request has taken; dropping it gives them back unless it was spent.
#[derive(Debug)]
pub struct Charge {
    table: Arc<Table>,
    workspace: Arc<str>,
    units: f64,
    spent: bool,
}

impl Charge {
    /// Notes that the request reached an endpoint, which may have run it.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            let now = clock::now();
            self.table.add_credit(&self.workspace, self.units, now);
        }
    }
}

impl Table {
    /// Spends what was granted before, if that is enough.
    fn spend_credit(&self, workspace: &Arc<str>, units: f64, now: Duration) -> bool {
        self.with(workspace, now, |entry| {
            if entry.credit_until < now {
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
        self.with(workspace, now, |entry| {
            if entry.credit_until < now {
                entry.credit = 0.0;
            }
            entry.credit += units;
            entry.credit_until = now + CREDIT_TIME;
        });
    }

    /// Takes units of a limit that this instance owns: those needed, and some ahead.
    fn take_owned(
        &self,
        workspace: &Arc<str>,
        share: Share,
        ask: &GrantRequest,
        since: Duration,
        now: Duration,
    ) -> Result<f64, Duration> {
        self.with(workspace, now, |entry| {
            // What an owner before gave out is not known.
            let bucket = entry.owned.get_or_insert_with(|| {
                let age_ms = u64::try_from((now - since).as_millis()).unwrap_or(u64::MAX);
                emit!(
                    info,
                    event::LIMIT_OWNED,
                    workspace = &**workspace,
                    age_ms = age_ms,
                );
                Bucket::new(since, share)
            });
            bucket.charge(now, share, f64::from(ask.units), ask.urgent)?;
            Ok(bucket.charge_ahead(share, f64::from(ask.ahead)))
        })
    }

    /// Takes units of this instance's own part of a limit whose owner is silent.
    fn take_alone(
        &self,
        workspace: &Arc<str>,
        share: Share,
        ask: &GrantRequest,
        now: Duration,
    ) -> Result<(), Duration> {
        self.with(workspace, now, |entry| {
            let units = f64::from(ask.units);
            let bucket = entry.alone.get_or_insert_with(|| Bucket::new(now, share));
            bucket.charge(now, share, units, ask.urgent)
        })
    }

    fn with<T>(
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
                    credit_until: now,
                    owned: None,
                    alone: None,
                    silent_until: Duration::ZERO,
                };
                entries.insert(index, entry);
                index
            }
        };
        change(&mut entries[index])
    }
}

/// The limit of a workspace is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exceeded {
    /// When to come back.
    pub wait: Duration,
    /// Who said so.
    pub by: By,
}

/// Who decided on units of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum By {
    /// This instance, which owns the limit.
    Own,
    /// The owner at this address.
    Owner(SocketAddr),
    /// This instance, for its even part, since the owner at this address is silent.
    EvenPart(SocketAddr),
}

impl fmt::Display for By {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            By::Own => f.write_str("this instance"),
            By::Owner(owner) => write!(f, "its owner {owner}"),
            By::EvenPart(owner) => write!(
                f,
                "this instance for its even part, since the owner {owner} is silent"
            ),
        }
    }
}

/// Takes `units` of what `workspace` may spend.
///
/// # Errors
///
/// If the limit is used up.
pub async fn charge<P: Protocol>(
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
        spent: false,
    };
    let now = clock::now();
    if node.quotas.spend_credit(name, units as f64, now) {
        return Ok(Some(charge()));
    }
    let small = units as f64 <= MAX_SMALL;
    let ask = GrantRequest {
        id: 0,
        workspace: name.to_string(),
        units: units as f32,
        ahead: if small {
            (units as f64 * REQUESTS_AHEAD) as f32
        } else {
            0.0
        },
        urgent,
    };
    let ahead = take(node, name, limit, ask, now).await?;
    if ahead > 0.0 {
        node.quotas.add_credit(name, ahead, clock::now());
    }
    Ok(Some(charge()))
}

async fn take<P: Protocol>(
    node: &Node<P>,
    workspace: &Arc<str>,
    limit: Limit,
    ask: GrantRequest,
    now: Duration,
) -> Result<f64, Exceeded> {
    let exceeded = |by| move |wait| Exceeded { wait, by };
    let Some(owner) = owner(node, workspace, now) else {
        let share = whole(node, limit);
        let since = node.members.stable_since(now);
        let taken = node.quotas.take_owned(workspace, share, &ask, since, now);
        return taken.map_err(exceeded(By::Own));
    };
    let silent = node.quotas.with(workspace, now, |entry| entry.silent_until);
    if silent <= now {
        let question = |id| Message::GrantRequest(GrantRequest { id, ..ask.clone() });
        let answer = exchange::ask(node, owner, question);
        if let Ok(Some(Message::Grant(grant))) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await
        {
            return granted(&grant).map_err(exceeded(By::Owner(owner)));
        }
        emit!(
            info,
            event::LIMIT_OWNER_SILENT,
            workspace = &**workspace,
            owner = %owner,
        );
        let pause = clock::now() + SILENT_PAUSE;
        node.quotas
            .with(workspace, now, |entry| entry.silent_until = pause);
    }
    let (rate, burst) = (limit.rate as f64, limit.burst as f64);
    let share = Share::equal(rate, burst, node.sharers());
    let taken = node.quotas.take_alone(workspace, share, &ask, clock::now());
    taken.map(|()| 0.0).map_err(exceeded(By::EvenPart(owner)))
}

fn granted(grant: &Grant) -> Result<f64, Duration> {
    match grant.wait_ms {
        None => Ok(f64::from(grant.ahead)),
        Some(wait) => Err(Duration::from_millis(u64::from(wait))),
    }
}

/// Answers an instance that asks for units of a limit that this one owns.
pub fn grant<P: Protocol>(node: &Node<P>, ask: &GrantRequest) -> Option<Grant> {
    let catalog = node.catalog.load_full()?;
    let workspace = catalog
        .workspaces()
        .find(|workspace| *workspace.name == *ask.workspace)?;
    let share = whole(node, workspace.limit?);
    let now = clock::now();
    let since = node.members.stable_since(now);
    let taken = node
        .quotas
        .take_owned(&workspace.name, share, ask, since, now);
    Some(Grant {
        id: ask.id,
        ahead: taken.map_or(0.0, |ahead| ahead as f32),
        wait_ms: taken
            .err()
            .map(|wait| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    })
}

fn whole<P: Protocol>(node: &Node<P>, limit: Limit) -> Share {
    let bounds = &node.config.bounds;
    let tolerance = Tolerance {
        window: bounds.quota_window.as_secs_f64(),
        over: bounds.quota_over,
        slack: bounds.quota_slack,
    };
    Share::whole(limit.rate as f64, limit.burst as f64, tolerance)
}

/// The instance that owns the limit of `workspace`; `None` if this one does.
fn owner<P: Protocol>(node: &Node<P>, workspace: &str, now: Duration) -> Option<SocketAddr> {
    node.members.with_heard(now, |members| {
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                leaving: member.is_leaving(),
            })
            .collect();
        let first = rank::first(workspace, &candidates)?;
        let owner = members[first];
        (*owner.name != *node.config.name).then_some(owner.row.exchange)
    })
}
