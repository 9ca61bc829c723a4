//! Selection of the hubs, the instances that read the platform's table for the others.
//!
//! If every instance followed the table, the load on the table would grow with
//! the fleet. A few hubs follow the table and forward its changes, and others in
//! place of those that do not see the table. The other instances read the table
//! themselves only while no hub with a fresh view is heard from.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Number of instances that follow the table: one may be frozen while another restarts.
pub const HUBS: usize = 3;
/// Time without a message from a hub after which the hub counts as failed and an instance reads
/// the table itself. Together with the duration of one read it is well below the time within which
/// a configuration must be in force.
const HUB_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum age of a hub's view of the table; longer than one long poll for changes.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_100);
/// Time within which a fetch of changes from a hub usually ends; as long as the interval between digests.
const FETCH_TIME: Duration = Duration::from_millis(300);
/// Longest delay between calls to a table that gives no answer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for each instance, if others hear of the table's return for it.
const RETRY_TIME: Duration = Duration::from_millis(8);
/// Longest delay in that case.
const MAX_SPREAD_DELAY: Duration = Duration::from_secs(2);

/// An instance that may be a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Failure domain of the instance.
    pub domain: &'a str,
    /// Whether the link has enough bandwidth to serve the other instances.
    pub has_fast_link: bool,
}

/// Selects up to [`HUBS`] hubs, as indexes into `candidates`.
///
/// Only candidates with fast links are eligible if there are any. One of each
/// failure domain comes first. The order is that of the names' hashes, so all
/// instances agree on it.
pub fn pick(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut selected = order(candidates, true);
    if selected.is_empty() {
        selected = order(candidates, false);
    }
    selected.truncate(HUBS);
    selected
}

/// Candidates whose links are fast, or are not, in the order in which they are selected.
fn order(candidates: &[Candidate<'_>], has_fast_link: bool) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.retain(|&index| candidates[index].has_fast_link == has_fast_link);
    order.sort_by_cached_key(|&index| xxh3_64(candidates[index].name.as_bytes()));
    let mut domains: Vec<&str> = Vec::new();
    let (mut selected, mut others) = (Vec::new(), Vec::new());
    for index in order {
        let domain = candidates[index].domain;
        if domains.contains(&domain) {
            others.push(index);
        } else {
            domains.push(domain);
            selected.push(index);
        }
    }
    selected.extend(others);
    selected
}

/// What is known of a candidate's view of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// It has told of a fresh view.
    Fresh,
    /// It has not told of its view.
    Unknown,
    /// It has told that it does not see the table, or is silent although it should tell.
    Stale,
}

/// An instance that reads the table for the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reader {
    /// Index of the candidate.
    pub index: usize,
    /// Number of readers with a fresh view before it.
    pub rank: usize,
}

/// Selects the instances that read the table for the others: the hubs and, as long as fewer than those
/// have a fresh view, the next candidates in order of whose view nothing is known.
///
/// Hubs stay readers whatever their view is. Of the others, those with a fresh view stay until as many
/// before them have one.
pub fn readers(candidates: &[Candidate<'_>], view: impl Fn(usize) -> View) -> Vec<Reader> {
    let hubs = pick(candidates);
    let mut order = order(candidates, true);
    order.extend(self::order(candidates, false));
    let fresh = order.iter().filter(|&&index| view(index) == View::Fresh);
    let mut lacking = hubs.len().saturating_sub(fresh.count());
    let mut rank = 0;
    let mut readers = Vec::new();
    for index in order {
        let view = view(index);
        let is_wanted = match view {
            View::Fresh => rank < hubs.len(),
            View::Unknown => lacking > 0,
            View::Stale => false,
        };
        if is_wanted || hubs.contains(&index) {
            readers.push(Reader { index, rank });
        }
        match view {
            View::Fresh => rank += 1,
            View::Unknown => lacking = lacking.saturating_sub(1),
            View::Stale => {}
        }
    }
    readers
}

/// The latest message from a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Time since the message was received.
    pub age: Duration,
    /// Age of the hub's view of the table when it sent the message.
    pub view_age: Duration,
}

impl Observation {
    /// Whether the hub is alive and has a fresh view of the table.
    pub fn is_fresh(&self) -> bool {
        self.age <= HUB_TIMEOUT && self.view_age <= MAX_VIEW_AGE
    }
}

/// Whether a reader that has not shown a fresh view for `age` gives way to others.
pub fn gives_way(age: Duration) -> bool {
    age > MAX_VIEW_AGE
}

/// Whether to fetch the changes that the hub `from` has reported, besides the fetches in progress, given
/// as hubs and the times since they began: one that hangs must not hold up those from other hubs.
pub fn may_fetch<H: PartialEq>(from: &H, in_progress: &[(H, Duration)]) -> bool {
    in_progress
        .iter()
        .all(|(hub, age)| hub != from && *age >= FETCH_TIME)
}

/// Whether any hub is alive and has a fresh view, so that an instance need not read the table.
pub fn is_any_fresh(observations: &[Observation]) -> bool {
    observations.iter().any(Observation::is_fresh)
}

/// Whether an instance that has read the table `age` ago may still hear of a hub before a running
/// instance would count all hubs as failed. When a whole fleet starts, all instances have read the
/// table at the same time and know no hub yet.
pub fn may_hear_soon(age: Duration) -> bool {
    age <= HUB_TIMEOUT
}

/// Longest delay between calls of an instance to a table that gives no answer.
///
/// One that hears a hub learns from it when the table is back. It calls by itself only since the table
/// may refuse the hubs alone, and less often in a larger fleet.
pub fn max_retry_delay(hears_hub: bool, instances: usize) -> Duration {
    if !hears_hub {
        return MAX_RETRY_DELAY;
    }
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let spread = RETRY_TIME.saturating_mul(instances);
    spread.clamp(MAX_RETRY_DELAY, MAX_SPREAD_DELAY)
}
