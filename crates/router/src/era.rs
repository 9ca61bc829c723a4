//! Eras of the platform's table, which begin when it is restored from an older copy.

use std::time::Duration;

use policy::rewrite::{
    self,
    Writer, //
};
use tokio::sync::watch;

use crate::{
    node::Node,
    protocol::Protocol, //
};

/// The latest era in which the table has answered.
#[derive(Clone, Copy, Debug)]
struct State {
    era: u64,
    /// When this instance learned of the era.
    since: Duration,
    /// Whether this instance has seen an earlier one.
    is_restore: bool,
}

/// The table's era, as far as this instance knows.
#[derive(Debug, Default)]
pub struct Era {
    state: watch::Sender<Option<State>>,
}

impl Era {
    /// Records that the table is in `era`; returns the era before if a new one has begun.
    pub fn enter(&self, era: u64, now: Duration) -> Option<u64> {
        let mut before = None;
        self.state.send_if_modified(|state| {
            let known = state.map(|state| state.era);
            if known.is_some_and(|known| era <= known) {
                return false;
            }
            *state = Some(State {
                era,
                since: now,
                is_restore: known.is_some(),
            });
            before = known;
            true
        });
        before
    }

    /// Whether no later era than this one is known.
    pub fn is_current(&self, era: u64) -> bool {
        self.state.borrow().is_none_or(|state| state.era <= era)
    }

    /// The era, and since when this instance knows of it; `None` before the table's first answer.
    pub fn current(&self) -> Option<(u64, Duration)> {
        let state = (*self.state.borrow())?;
        Some((state.era, state.since))
    }

    /// When this instance learned of the last restore; `None` if it knows of none.
    pub fn restored_at(&self) -> Option<Duration> {
        let state = self.state.borrow().filter(|state| state.is_restore)?;
        Some(state.since)
    }

    /// Notifies of eras that begin from now on.
    pub fn subscribe(&self) -> Restores {
        Restores(self.state.subscribe())
    }
}

/// Restores of the table since the subscription.
#[derive(Debug)]
pub struct Restores(watch::Receiver<Option<State>>);

impl Restores {
    /// Waits for the next restore.
    pub async fn next(&mut self) {
        let is_restored = |state: &Option<State>| state.is_some_and(|state| state.is_restore);
        loop {
            // Fails if the node is gone, and its tasks with it.
            if self.0.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if is_restored(&self.0.borrow_and_update()) {
                return;
            }
        }
    }
}

impl<P: Protocol> Node<P> {
    /// Delay after which this instance writes a row again that a restored table lacks and that all
    /// instances may know; `is_writer` if it wrote the row last.
    pub fn rewrite_delay(&self, is_writer: bool) -> Duration {
        let writer = match self.hub_rank() {
            _ if is_writer => Writer::Last,
            Some(rank) => Writer::Hub(rank),
            None => Writer::Other,
        };
        rewrite::shared_delay(writer, self.instance_count(), rand::random())
    }

    /// Delay after which this instance writes its own row again that a restored table lacks.
    pub fn own_rewrite_delay(&self) -> Duration {
        rewrite::own_delay(self.instance_count(), rand::random())
    }
}
