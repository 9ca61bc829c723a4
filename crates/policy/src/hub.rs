//! Which instances read the platform's table for the others.
//!
//! If every instance followed the table, its load would grow with the fleet. A
//! few hubs follow it and pass on what changes; the others read it themselves
//! only while they hear of no hub whose view is fresh.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Instances that follow the table: one may be frozen while another restarts.
pub const HUBS: usize = 3;
/// Longest silence of the hubs after which an instance reads the table itself. With the time of
/// one read it stays well below the time in which configurations must be in force.
const SILENCE: Duration = Duration::from_millis(900);
/// Oldest view of the table that a hub may have; longer than one wait for changes.
const STALE: Duration = Duration::from_millis(1_100);

/// An instance that may be a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Whether its link is wide enough to serve the others.
    pub is_wide: bool,
}

/// The hubs among `candidates`, by index: those with wide links if there are any, first one of each
/// failure domain, in an order of the names that all instances agree on.
pub fn pick(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let any_wide = candidates.iter().any(|candidate| candidate.is_wide);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.retain(|&index| !any_wide || candidates[index].is_wide);
    order.sort_by_key(|&index| xxh3_64(candidates[index].name.as_bytes()));
    let mut domains: Vec<&str> = Vec::new();
    let (mut first, mut others) = (Vec::new(), Vec::new());
    for index in order {
        let domain = candidates[index].domain;
        if domains.contains(&domain) {
            others.push(index);
        } else {
            domains.push(domain);
            first.push(index);
        }
    }
    first.extend(others);
    first.truncate(HUBS);
    first
}

/// What was last heard of a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// Time since it was heard.
    pub ago: Duration,
    /// How old its view of the table was then.
    pub view_age: Duration,
}

/// Whether an instance that has heard this of the hubs may leave the table to them.
pub fn covers(heard: &[Heard]) -> bool {
    heard
        .iter()
        .any(|hub| hub.ago <= SILENCE && hub.view_age <= STALE)
}
