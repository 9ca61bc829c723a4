//! Claims of requests that may run at most once.
//!
//! [`Claims::take`] writes a claim before the first byte of its request goes
//! out. Whoever holds the [`Guard`] says what became of the request; a guard
//! that is dropped says that nobody knows.

mod batch;
pub mod sweep;

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::Remote, //
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

/// Changes that wait for a transaction; beyond that, senders wait.
const QUEUED_ITEMS: usize = 4096;
/// Transactions that run at once.
const WORKERS: usize = 4;
/// Times that the outcome of a request is tried to be written.
const SETTLE_TRIES: u32 = 20;
/// First wait between two tries; each further one is twice as long.
const SETTLE_WAIT: Duration = Duration::from_millis(100);
/// Longest wait between two tries.
const MAX_SETTLE_WAIT: Duration = Duration::from_secs(5);

/// Writes claims and their outcomes, several in one transaction.
#[derive(Debug)]
pub struct Claims {
    queue: mpsc::Sender<Item>,
    /// Guards and outcomes that are not written yet.
    unsettled: watch::Sender<usize>,
}

/// What stands under a key.
#[derive(Debug)]
pub enum Take {
    /// The claim of this request, made just now.
    Mine(Guard),
    /// The claim of an earlier request.
    Held(Row),
}

/// A claim that this instance made.
#[derive(Debug)]
pub struct Guard {
    claims: Arc<Claims>,
    key: String,
    row: Row,
    revision: u64,
    /// `None` once the outcome is on its way.
    unsettled: Option<Unsettled>,
}

/// Counts what a planned stop waits for.
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
    /// Starts the workers; each transaction holds at most `batch` changes.
    pub fn start(table: &Remote, batch: usize) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUED_ITEMS);
        let receiver = Arc::new(tokio::sync::Mutex::new(receiver));
        for _ in 0..WORKERS {
            tokio::spawn(batch::run(receiver.clone(), table.clone(), batch));
        }
        let unsettled = watch::Sender::new(0);
        Self { queue, unsettled }
    }

    /// Writes the claim `row` under `name`, unless one stands there already.
    ///
    /// # Errors
    ///
    /// If the table does not answer. The claim may then be written all the same, and blocks
    /// its key for as long as claims are kept; the request itself has not been sent.
    pub async fn take(self: &Arc<Self>, name: &str, row: Row) -> Result<Take, Fault> {
        let key = format!("{ROW_PREFIX}{name}");
        let unsettled = Some(Unsettled::new(self.clone()));
        match self.submit(&key, 0, Change::Take(row.clone())).await? {
            Reply::Done(revision) => Ok(Take::Mine(Guard {
                claims: self.clone(),
                key,
                row,
                revision,
                unsettled,
            })),
            Reply::Held(row) => Ok(Take::Held(row)),
        }
    }

    /// Waits until every outcome is written or given up.
    pub async fn settled(&self) {
        let mut unsettled = self.unsettled.subscribe();
        // Fails only if the sender is gone, which `self` holds.
        unsettled.wait_for(|count| *count == 0).await.ok();
    }

    async fn submit(&self, key: &str, revision: u64, change: Change) -> Result<Reply, Fault> {
        let (reply, answer) = oneshot::channel();
        let item = Item {
            key: key.to_owned(),
            revision,
            change,
            reply,
        };
        // Both fail only when the runtime shuts down.
        self.queue.send(item).await.map_err(|_| batch::stopped())?;
        answer.await.map_err(|_| batch::stopped())?
    }

    async fn settle(&self, key: String, revision: u64, change: Change) {
        let mut wait = SETTLE_WAIT;
        for _ in 0..SETTLE_TRIES {
            let result = self.submit(&key, revision, change.clone()).await;
            match result {
                Err(fault) if !matches!(fault, Fault::Refused { .. }) => {}
                _ => return,
            }
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(MAX_SETTLE_WAIT);
        }
        emit!(warn, event::CLAIM_UNSETTLED, key = key);
    }
}

impl Guard {
    /// Keeps the answer for replays.
    pub fn ran(mut self, answer: Answer) {
        self.settle(Some(Outcome::ran(answer)));
    }

    /// Gives the key free, since nothing was sent.
    pub fn release(mut self) {
        self.settle(None);
    }

    fn settle(&mut self, outcome: Option<Outcome>) {
        let unsettled = self.unsettled.take();
        let change = match outcome {
            Some(outcome) => {
                self.row.outcome = outcome;
                Change::Write(self.row.clone())
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
