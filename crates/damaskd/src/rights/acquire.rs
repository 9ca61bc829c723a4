//! Acquires rights from the table and from peers for requests that lack tokens.
//!
//! Each workspace has at most one acquisition in flight. Requests that arrive during it
//! wait for its end; those that arrive shortly after a failed one are refused.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use state::right::{
    Charge,
    Entry,
    Shortfall, //
};
use tokio::sync::oneshot;

use super::{
    Allocation,
    Borrow,
    Rights, //
};

/// Upper bound of the time that a request waits for rights.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed acquisition before the next attempt for the same workspace.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Acquisitions by workspace.
///
/// # Invariants
///
/// Sorted by workspace, each once.
#[derive(Debug, Default)]
pub struct Acquisitions(Mutex<Vec<Acquisition>>);

/// State of one workspace's acquisitions.
#[derive(Debug)]
struct Acquisition {
    workspace: Arc<str>,
    running: bool,
    /// When the last acquisition ended, if it did not obtain enough tokens.
    failed_at: Option<Duration>,
    waiters: Vec<oneshot::Sender<()>>,
}

/// What a request that lacks tokens does.
enum Role {
    /// Runs the acquisition.
    Lead,
    /// Waits for the end of the acquisition in flight.
    Follow(oneshot::Receiver<()>),
    /// Fails, since an acquisition failed just before.
    Refuse,
}

impl Acquisitions {
    fn join(&self, workspace: &Arc<str>, now: Duration) -> Role {
        let mut acquisitions = self.0.lock();
        let index = match acquisitions.binary_search_by(|a| a.workspace.cmp(workspace)) {
            Ok(index) => index,
            Err(index) => {
                let acquisition = Acquisition {
                    workspace: workspace.clone(),
                    running: false,
                    failed_at: None,
                    waiters: Vec::new(),
                };
                acquisitions.insert(index, acquisition);
                index
            }
        };
        let acquisition = &mut acquisitions[index];
        let failed_recently = acquisition
            .failed_at
            .is_some_and(|at| now.saturating_sub(at) < RETRY_BACKOFF);
        if acquisition.running {
            let (sender, receiver) = oneshot::channel();
            acquisition.waiters.push(sender);
            Role::Follow(receiver)
        } else if failed_recently {
            Role::Refuse
        } else {
            acquisition.running = true;
            Role::Lead
        }
    }

    fn end(&self, workspace: &Arc<str>, failed_at: Option<Duration>) {
        let mut acquisitions = self.0.lock();
        let Ok(index) = acquisitions.binary_search_by(|a| a.workspace.cmp(workspace)) else {
            return;
        };
        let acquisition = &mut acquisitions[index];
        acquisition.running = false;
        acquisition.failed_at = failed_at;
        for sender in acquisition.waiters.drain(..) {
            // Fails only if the request no longer waits.
            sender.send(()).ok();
        }
    }
}

/// Ends the acquisition when dropped, also if the request that leads it is cancelled.
struct Guard<'a> {
    rights: &'a Rights,
    workspace: &'a Arc<str>,
    failed_at: Option<Duration>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.rights.acquisitions.end(self.workspace, self.failed_at);
    }
}

/// Charges `tokens`, acquiring the missing ones first; waits at most `max_wait` or
/// `ACQUIRE_TIMEOUT`, whichever is shorter.
///
/// # Errors
///
/// Returns the remaining shortfall if too few tokens could be acquired.
pub async fn charge(
    rights: &Rights,
    entry: &Arc<Entry>,
    tokens: u64,
    max_wait: Duration,
) -> Result<Charge, Shortfall> {
    let deadline = rights.table.now() + max_wait.min(ACQUIRE_TIMEOUT);
    loop {
        let shortfall = match rights.table.charge(entry, tokens) {
            Ok(charge) => return Ok(charge),
            Err(shortfall) => shortfall,
        };
        let now = rights.table.now();
        let remaining = deadline.saturating_sub(now);
        if remaining.is_zero() {
            return Err(shortfall);
        }
        match rights.acquisitions.join(&entry.workspace, now) {
            Role::Refuse => return Err(shortfall),
            Role::Lead => {
                let mut guard = Guard {
                    rights,
                    workspace: &entry.workspace,
                    failed_at: None,
                };
                let result = acquire(rights, entry, tokens, shortfall.missing, remaining).await;
                if result.is_err() {
                    guard.failed_at = Some(rights.table.now());
                }
                return result;
            }
            Role::Follow(ended) => {
                // The loop charges again, after a timeout too.
                tokio::time::timeout(remaining, ended).await.ok();
            }
        }
    }
}

/// Requests parts from the table and loans from peers in parallel, and charges after each
/// answer: the table's parts alone often suffice.
async fn acquire(
    rights: &Rights,
    entry: &Arc<Entry>,
    tokens: u64,
    missing: u64,
    max_wait: Duration,
) -> Result<Charge, Shortfall> {
    let (done, mut allocation_done) = oneshot::channel();
    rights.allocations.push(Allocation {
        entry: entry.clone(),
        done,
    });
    let (done, mut borrow_done) = oneshot::channel();
    rights.borrows.push(Borrow {
        entry: entry.clone(),
        tokens: missing,
        done,
    });
    let timeout = tokio::time::sleep(max_wait);
    tokio::pin!(timeout);
    let (mut allocation_pending, mut borrow_pending) = (true, true);
    while allocation_pending || borrow_pending {
        tokio::select! {
            _ = &mut allocation_done, if allocation_pending => allocation_pending = false,
            _ = &mut borrow_done, if borrow_pending => borrow_pending = false,
            () = &mut timeout => break,
        }
        if let Ok(charge) = rights.table.charge(entry, tokens) {
            return Ok(charge);
        }
    }
    rights.table.charge(entry, tokens)
}
