//! How recent an instance's view of the settings is known to be.
//!
//! Only the table accepts changes, and an instance acknowledges a change to its
//! operator only once a majority of the members holds it. Any majority that
//! answers later therefore includes a member that holds every acknowledged
//! change. So a view is current as of the latest of
//!
//! - the start of the last read of the table that found nothing newer,
//! - the time as of which a peer's view was current, once this instance has
//!   adopted that view, and
//! - the time of the oldest of the latest answers of a majority, once this
//!   instance has adopted their views.
//!
//! A member that restarts loses its memory and may have lost changes that it
//! held. It is unsettled and counts in no majority until its view has been
//! current as of some time after its start. When every member answers, no other
//! member can hold a newer change, and unsettled members count too.

use std::time::Duration;

/// The latest answer of another member, timed by the local clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Time at which the query was sent; the answer is at least as recent.
    pub requested_at: Duration,
    /// Whether the member's view has been current since it started.
    pub settled: bool,
}

/// Number of members that form a majority.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Time as of which the reports prove the local view current, or `None` if they do not.
///
/// `members` includes this instance. `reports` holds at most one report of each
/// other member, and the local view is at least as new as each of theirs.
/// `settled` says whether this instance itself counts towards the majority; if
/// it does, it counts with the time `now`.
pub fn current_as_of(
    members: usize,
    now: Duration,
    settled: bool,
    reports: &[Report],
) -> Option<Duration> {
    let local = settled.then_some(now);
    let remote = reports.iter().filter(|r| r.settled).map(|r| r.requested_at);
    let mut times: Vec<Duration> = local.into_iter().chain(remote).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    let by_majority = times.get(majority(members) - 1).copied();
    let by_all = (reports.len() + 1 >= members)
        .then(|| reports.iter().map(|r| r.requested_at).min().unwrap_or(now));
    by_majority.max(by_all)
}
