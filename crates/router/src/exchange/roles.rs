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

use super::Exchange;
use crate::{
    instance::Member,
    node::Node,
    protocol::Protocol, //
};

impl Exchange {
    /// Rank of this instance among the readers of the table; 0 is the first that sees it. `None` if it
    /// is not a reader.
    pub fn reader_rank(&self) -> Option<usize> {
        self.state.lock().reader_rank
    }

    /// Sets the rank of this instance among the readers of the table.
    fn set_reader_rank(&self, rank: Option<usize>) {
        let before = std::mem::replace(&mut self.state.lock().reader_rank, rank);
        if before == rank {
            return;
        }
        emit!(info, event::TABLE_READER, rank = rank);
        self.hubs_changed.notify_waiters();
    }

    /// Names of the readers whose latest digests show no fresh view of the table, or that are silent.
    fn stale_readers(&self, now: Duration) -> Vec<String> {
        let state = self.state.lock();
        let stale = state.hubs.iter();
        let stale = stale.filter(|hub| !hub.observation(now).is_fresh());
        stale.map(|hub| hub.name.clone()).collect()
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
    let own = members
        .iter()
        .position(|member| *member.name == *node.config.name);
    let rank = match own {
        Some(own) if !stale.is_empty() => {
            let is_stale = |index: usize| {
                let name = &*members[index].name;
                stale.iter().any(|stale| stale == name)
            };
            hub::reader_rank(&candidates(members), own, is_stale)
        }
        _ => hub_rank,
    };
    node.exchange.set_reader_rank(rank);
}
