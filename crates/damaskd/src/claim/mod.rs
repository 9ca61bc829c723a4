//! Claims of requests that may run at most once.
//!
//! [`Claims::acquire`] writes a claim before the first byte of its request is
//! sent. The holder of the [`Guard`] records the outcome of the request; a guard
//! that is dropped without one records an unknown outcome.

mod batch;
pub mod sweep;

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Remote,
        Revision, //
    }, //
};
use state::claim::{
    Answer,
    Outcome,
    ROW_PREFIX,
    Row, //
};
use telemetry::{
    emit,
    event, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use batch::{
    Change,
    Item,
    Reply, //
};

/// Maximum number of changes in the queue; senders wait while it is full.
const QUEUE_CAPACITY: usize = 4096;
/// Number of workers, each of which runs one transaction at a time.
const WORKERS: usize = 4;
/// Maximum number of attempts to write the outcome of a request.
const MAX_SETTLE_ATTEMPTS: u32 = 20;
/// Backoff after the first failed attempt; it doubles with each further one.
const MIN_SETTLE_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff between two attempts.
const MAX_SETTLE_BACKOFF: Duration = Duration::from_secs(5);

/// Writes claims and their outcomes, several in one transaction.
#[derive(Debug)]
pub struct Claims {
    queue: mpsc::Sender<Item>,
    /// Number of claims whose outcome is not written yet.
    unsettled: watch::Sender<usize>,
}

/// Result of [`Claims::acquire`].
#[derive(Debug)]
pub enum Acquisition {
    /// The new claim of this request.
    Acquired(Guard),
    /// The existing claim of an earlier request under the same key.
    Existing(Row),
}

/// A claim that this instance holds.
#[derive(Debug)]
pub struct Guard {
    claims: Arc<Claims>,
    key: String,
    row: Row,
    revision: Revision,
    /// `None` once the write of the outcome has started.
    unsettled: Option<Unsettled>,
}

/// Counts one claim as unsettled until dropped; a planned stop waits for all of them.
#[derive(Debug)]
struct Unsettled(Arc<Claims>);

impl Unsettled {
    fn new(claims: Arc<Claims>) -> Self {
        claims.unsettled.send_modify(|count| *count += 1);
        Self(claims)
    }
}

impl Drop for Unsettled {
    fn drop(&mut self) {
        self.0.unsettled.send_modify(|count| *count -= 1);
    }
}

impl Claims {
    /// Starts the workers; each transaction contains at most `max_items` changes.
    pub fn start(table: &Remote, max_items: usize) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let receiver = Arc::new(tokio::sync::Mutex::new(receiver));
        for _ in 0..WORKERS {
            tokio::spawn(batch::run(receiver.clone(), table.clone(), max_items));
        }
        let unsettled = watch::Sender::new(0);
        Self { queue, unsettled }
    }

    /// Writes the claim `row` under `name`, unless there already is one.
    ///
    /// # Errors
    ///
    /// If the table does not answer. The claim may have been written nevertheless, and then blocks
    /// its key for the retention period of claims; the request itself has not been sent.
    pub async fn acquire(self: &Arc<Self>, name: &str, row: Row) -> Result<Acquisition, Fault> {
        let key = format!("{ROW_PREFIX}{name}");
        let unsettled = Some(Unsettled::new(self.clone()));
        match self
            .submit(&key, Revision::ABSENT, Change::Create(row.clone()))
            .await?
        {
            Reply::Committed(revision) => Ok(Acquisition::Acquired(Guard {
                claims: self.clone(),
                key,
                row,
                revision,
                unsettled,
            })),
            Reply::Existing(row) => Ok(Acquisition::Existing(row)),
        }
    }

    /// Waits until every outcome is written, or its attempts are exhausted.
    pub async fn wait_settled(&self) {
        let mut unsettled = self.unsettled.subscribe();
        // Fails only if the sender has been dropped, and `self` holds it.
        unsettled.wait_for(|count| *count == 0).await.ok();
    }

    async fn submit(&self, key: &str, revision: Revision, change: Change) -> Result<Reply, Fault> {
        let (reply, receiver) = oneshot::channel();
        let item = Item {
            key: key.to_owned(),
            revision,
            change,
            reply,
        };
        // Both fail only when the runtime shuts down.
        self.queue.send(item).await.map_err(|_| batch::stopping())?;
        receiver.await.map_err(|_| batch::stopping())?
    }

    async fn settle(&self, key: String, revision: Revision, change: Change) {
        let mut backoff = MIN_SETTLE_BACKOFF;
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let result = self.submit(&key, revision, change.clone()).await;
            match result {
                Err(fault) if !matches!(fault, Fault::Refused { .. }) => {}
                _ => return,
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_SETTLE_BACKOFF);
        }
        emit!(warn, event::CLAIM_UNSETTLED, key = key);
    }
}

impl Guard {
    /// Stores the answer for replays.
    pub fn complete(mut self, answer: Answer) {
        self.settle(Some(Outcome::ran(answer)));
    }

    /// Deletes the claim, so that the key can be used again; only for requests that have not run.
    pub fn release(mut self) {
        self.settle(None);
    }

    fn settle(&mut self, outcome: Option<Outcome>) {
        let unsettled = self.unsettled.take();
        let change = match outcome {
            Some(outcome) => {
                self.row.outcome = outcome;
                Change::Settle(self.row.clone())
            }
            None => Change::Release,
        };
        let claims = self.claims.clone();
        let (key, revision) = (self.key.clone(), self.revision);
        tokio::spawn(async move {
            claims.settle(key, revision, change).await;
            drop(unsettled);
        });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.unsettled.is_some() {
            self.settle(Some(Outcome::Unknown));
        }
    }
}
