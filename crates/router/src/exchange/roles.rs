//! Which instances are hubs, and which read the table for the others: the hubs, and others in place of
//! those that do not see it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::hub::{
    self,
    Candidate,
    View, //
};
use telemetry::{
    emit,
    event, //
};

use super::{
    Exchange,
    HUB_HORIZON,
    State, //
};
use crate::{
    instance::Member,
    node::Node,
    protocol::Protocol, //
};

/// What this instance does as a reader of the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Duty {
    /// Number of readers with a fresh view before it.
    rank: usize,
    /// Time since which it is a reader.
    since: Duration,
}

/// What is known of other instances as readers of the table, and of this one.
#[derive(Debug, Default)]
pub(super) struct Duties {
    /// What this instance does, if it is a reader.
    own: Option<Duty>,
    /// Time at which it last did not see the table as a reader.
    gave_way_at: Option<Duration>,
    /// Names of instances that should be readers and have sent no digest, and since when.
    expected: Vec<(String, Duration)>,
}

impl Exchange {
    /// Rank of this instance among the readers of the table; 0 is the first that sees it. `None` if it
    /// is not a reader.
    pub fn reader_rank(&self) -> Option<usize> {
        let duty = self.state.lock().duties.own?;
        Some(duty.rank)
    }

    /// Sets the rank of this instance among the readers of the table.
    fn set_reader_rank(&self, rank: Option<usize>, now: Duration) {
        let mut state = self.state.lock();
        let before = state.duties.own;
        state.duties.own = rank.map(|rank| Duty {
            rank,
            since: before.map_or(now, |duty| duty.since),
        });
        drop(state);
        if before.map(|duty| duty.rank) != rank {
            emit!(info, event::TABLE_READER, rank = rank);
            self.hubs_changed.notify_waiters();
        }
    }

    /// This instance's view of the table as the others learn of it.
    fn own_view(&self, now: Duration) -> View {
        let sees_table = self.sees_table(now);
        let duties = &mut self.state.lock().duties;
        if sees_table {
            duties.gave_way_at = None;
        } else if let Some(duty) = duties.own
            && hub::gives_way(now.saturating_sub(duty.since))
        {
            duties.gave_way_at = Some(now);
        }
        // The others forget its digests after the same time.
        let is_remembered = |at| now.saturating_sub(at) <= HUB_HORIZON;
        match duties.own {
            Some(_) if sees_table => View::Fresh,
            _ if duties.gave_way_at.is_some_and(is_remembered) => View::Stale,
            _ => View::Unknown,
        }
    }

    /// Records which instances should be readers and have sent no digest.
    fn record_expected<'a>(&self, names: impl Iterator<Item = &'a str>, now: Duration) {
        let expected = &mut self.state.lock().duties.expected;
        expected.retain(|(_, since)| now.saturating_sub(*since) <= HUB_HORIZON);
        for name in names {
            if !expected.iter().any(|(known, _)| known == name) {
                expected.push((name.to_owned(), now));
            }
        }
    }
}

impl State {
    /// View of another instance, by its latest digest.
    fn view(&self, name: &str, now: Duration) -> View {
        if let Some(hub) = self.hubs.iter().find(|hub| hub.name == name) {
            return if hub.observation(now).is_fresh() {
                View::Fresh
            } else {
                View::Stale
            };
        }
        let mut expected = self.duties.expected.iter();
        let is_late = expected
            .any(|(known, since)| known == name && hub::gives_way(now.saturating_sub(*since)));
        if is_late { View::Stale } else { View::Unknown }
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

/// Updates whether this instance is a reader of the table.
pub(super) fn update_reader<P: Protocol>(node: &Node<P>, members: &[Member], now: Duration) {
    let own_view = node.exchange.own_view(now);
    let is_own = |index: usize| *members[index].name == *node.config.name;
    let state = node.exchange.state.lock();
    let views = members.iter().map(|member| {
        if *member.name == *node.config.name {
            own_view
        } else {
            state.view(&member.name, now)
        }
    });
    let views: Vec<View> = views.collect();
    drop(state);
    let readers = hub::readers(&candidates(members), |index| views[index]);
    let own = readers.iter().find(|reader| is_own(reader.index));
    node.exchange.set_reader_rank(own.map(|own| own.rank), now);
    let silent = readers
        .iter()
        .filter(|reader| views[reader.index] == View::Unknown && !is_own(reader.index));
    let names = silent.map(|reader| &*members[reader.index].name);
    node.exchange.record_expected(names, now);
}
