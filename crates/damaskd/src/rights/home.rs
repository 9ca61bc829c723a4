//! Workspaces whose home is this instance, which holds parts of them even without traffic.
//!
//! Otherwise a workspace that was idle when the table failed would have rights on no
//! instance, and its requests would be refused for the whole outage.

use std::sync::Arc;

use policy::rank::{
    Candidate,
    rank, //
};
use state::member::Member;

use crate::node::Node;

/// Number of instances that hold parts of a workspace without traffic.
const HOMES_PER_WORKSPACE: usize = 8;

/// The workspaces whose home is this instance; updated when settings or members change.
#[derive(Debug, Default)]
pub struct Workspaces {
    /// Settings revision of the last update.
    revision: u64,
    /// Names of the live members that are not leaving, at the last update.
    ///
    /// # Invariants
    ///
    /// Sorted.
    members: Vec<String>,
    /// # Invariants
    ///
    /// Sorted by name.
    workspaces: Vec<Arc<str>>,
}

impl Workspaces {
    /// Updates the list if the settings or the live members have changed.
    pub fn refresh(&mut self, node: &Node) {
        let settings = node.settings.load();
        let mut members = node.live_members();
        members.retain(|member| !member.leaving);
        let live_names = || members.iter().map(|member| &member.name);
        if self.revision == settings.tree.revision && self.members.iter().eq(live_names()) {
            return;
        }
        self.revision = settings.tree.revision;
        self.members = live_names().cloned().collect();
        let workspaces = settings.snapshot.workspaces().iter();
        self.workspaces = workspaces
            .map(|entry| entry.name.clone())
            .filter(|name| is_home(&node.config.name, name, &members))
            .collect();
    }

    /// Whether this instance is a home of `workspace`.
    pub fn contains(&self, workspace: &str) -> bool {
        let found = self
            .workspaces
            .binary_search_by(|name| (**name).cmp(workspace));
        found.is_ok()
    }

    /// The workspaces, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<str>> {
        self.workspaces.iter()
    }
}

/// Whether `instance` is among the first that callers of `workspace` are directed to.
fn is_home(instance: &str, workspace: &str, members: &[Member]) -> bool {
    if members.len() <= HOMES_PER_WORKSPACE {
        return true;
    }
    let candidates: Vec<Candidate<'_>> = members
        .iter()
        .map(|member| Candidate {
            name: &member.name,
            domain: &member.domain,
            leaving: false,
        })
        .collect();
    let homes = rank(workspace, &candidates);
    homes
        .iter()
        .take(HOMES_PER_WORKSPACE)
        .any(|index| members[*index].name == instance)
}
