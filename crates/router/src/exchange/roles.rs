//! Which instances are hubs, and which read the table for the others: the hubs, and others in place of
//! those that do not see it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::hub::{
    self,
    Candidate, //
};
use telemetry::{
    emit,
    event, //
};

use super::{
    Exchange,
    HUB_HORIZON, //
};
use crate::{
    instance::Member,
    node::Node,
    protocol::Protocol, //
};

/// What this instance does as a reader of the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reader {
    /// Number of readers before it that may see the table.
    rank: usize,
    /// Time since which it is a reader.
    since: Duration,
}

impl Exchange {
    /// Rank of this instance among the readers of the table; 0 is the first that sees it. `None` if it
    /// is not a reader.
    pub fn reader_rank(&self) -> Option<usize> {
        let reader = self.state.lock().reader?;
        Some(reader.rank)
    }

    /// Sets the rank of this instance among the readers of the table.
    fn set_reader_rank(&self, rank: Option<usize>, now: Duration) {
        let mut state = self.state.lock();
        let before = state.reader;
        state.reader = rank.map(|rank| Reader {
            rank,
            since: before.map_or(now, |reader| reader.since),
        });
        drop(state);
        if before.map(|reader| reader.rank) != rank {
            emit!(info, event::TABLE_READER, rank = rank);
            self.hubs_changed.notify_waiters();
        }
    }

    /// Names of the readers whose latest digests show no fresh view of the table, or that are silent.
    fn stale_readers(&self, now: Duration) -> Vec<String> {
        let state = self.state.lock();
        let stale = state.hubs.iter();
        let stale = stale.filter(|hub| !hub.observation(now).is_fresh());
        stale.map(|hub| hub.name.clone()).collect()
    }

    /// Whether this instance does not see the table although it reads it for the others, or was so a
    /// short time ago.
    fn is_stale_reader(&self, now: Duration) -> bool {
        let sees_table = self.sees_table(now);
        let mut state = self.state.lock();
        if sees_table {
            state.gave_way_at = None;
            return false;
        }
        let reads_for = state.reader.map(|reader| now.saturating_sub(reader.since));
        if reads_for.is_some_and(hub::gives_way) {
            state.gave_way_at = Some(now);
        }
        // The others forget it after the same time.
        let gave_way_at = state.gave_way_at;
        gave_way_at.is_some_and(|at| now.saturating_sub(at) <= HUB_HORIZON)
    }
}

fn candidates(members: &[Member]) -> Vec<Candidate<'_>> {
    let candidates = members.iter().map(|member| Candidate {
        name: &member.name,
        domain: &member.row.domain,
        has_fast_link: member.has_fast_link(),
    });
    candidates.collect()
}

/// Rank of this instance among the hubs, if it is one, and the addresses of all hubs.
pub(super) fn pick_hubs<P: Protocol>(
    node: &Node<P>,
    members: &[Member],
) -> (Option<usize>, Vec<SocketAddr>) {
    let picked = hub::pick(&candidates(members));
    let rank = picked
        .iter()
        .position(|&index| *members[index].name == *node.config.name);
    let addresses = picked.iter().map(|&index| members[index].row.exchange);
    (rank, addresses.collect())
}

/// Updates whether this instance, whose rank among the hubs is `hub_rank`, is a reader of the table.
pub(super) fn update_reader<P: Protocol>(
    node: &Node<P>,
    members: &[Member],
    hub_rank: Option<usize>,
    now: Duration,
) {
    let stale = node.exchange.stale_readers(now);
    let is_stale_reader = node.exchange.is_stale_reader(now);
    let own = members
        .iter()
        .position(|member| *member.name == *node.config.name);
    let rank = match own {
        Some(own) if !stale.is_empty() => {
            let is_stale = |index: usize| {
                let name = &*members[index].name;
                index == own && is_stale_reader || stale.iter().any(|stale| stale == name)
            };
            hub::reader_rank(&candidates(members), own, is_stale)
        }
        _ => hub_rank,
    };
    node.exchange.set_reader_rank(rank, now);
}
