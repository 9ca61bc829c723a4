//! Token rights of this instance: acquired from the table and lent between peers.
//!
//! [`allocator`] renews this instance's term, and acquires and releases parts in the
//! table; [`acquire`] obtains rights for a request that lacks tokens. `policy::rights`
//! has the rules, `state::right` the rights held in memory.

pub mod acquire;
pub mod allocator;
mod home;
mod registry;
mod store;

use std::sync::{
    Arc,
    atomic::AtomicU32, //
};

use parking_lot::Mutex;
use policy::rights::Limit;
use settings::Snapshot;
use state::right::{
    Entry,
    Table, //
};
use tokio::sync::{
    Notify,
    oneshot, //
};

/// A queue of items for a single consumer task.
#[derive(Debug)]
pub struct Inbox<T> {
    items: Mutex<Vec<T>>,
    not_empty: Notify,
}

impl<T> Default for Inbox<T> {
    fn default() -> Self {
        Self {
            items: Mutex::default(),
            not_empty: Notify::new(),
        }
    }
}

impl<T> Inbox<T> {
    /// Appends an item and wakes the consumer.
    pub fn push(&self, item: T) {
        self.items.lock().push(item);
        self.not_empty.notify_one();
    }

    /// Waits until the queue has items and removes all of them.
    pub async fn recv_all(&self) -> Vec<T> {
        loop {
            let items = std::mem::take(&mut *self.items.lock());
            if !items.is_empty() {
                return items;
            }
            self.not_empty.notified().await;
        }
    }
}

/// A request to the allocator for more parts.
#[derive(Debug)]
pub struct Allocation {
    /// Rights of the workspace that needs parts.
    pub entry: Arc<Entry>,
    /// Signalled after the attempt, whether or not it gained parts.
    pub done: oneshot::Sender<()>,
}

/// A request to the peer plane to borrow tokens from peers.
#[derive(Debug)]
pub struct Borrow {
    /// Rights of the workspace that needs tokens.
    pub entry: Arc<Entry>,
    /// Number of missing tokens.
    pub tokens: u64,
    /// Signalled once enough tokens are borrowed or no further peer is asked.
    pub done: oneshot::Sender<()>,
}

/// Token rights of this instance.
#[derive(Debug, Default)]
pub struct Rights {
    /// The rights held, by workspace.
    pub table: Arc<Table>,
    /// Requests for parts, served by the allocator.
    pub allocations: Inbox<Allocation>,
    /// Requests for loans, served by the peer plane.
    pub borrows: Inbox<Borrow>,
    /// Number of live instances, including this one, at the allocator's last update.
    pub instances: AtomicU32,
    acquisitions: acquire::Acquisitions,
    closing: Notify,
}

impl Rights {
    /// Tells the allocator to release all parts to the table, for a planned stop.
    pub fn close(&self) {
        self.closing.notify_one();
    }
}

/// The limit of a workspace by the settings in force; zero if they do not have the workspace.
pub fn limit(snapshot: &Snapshot, workspace: &str) -> Limit {
    let entry = snapshot.workspace(workspace);
    entry.map_or_else(Limit::default, |entry| Limit {
        rate: entry.workspace.rate,
        burst: entry.workspace.burst,
    })
}
