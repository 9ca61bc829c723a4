//! Continuous batching: prompts are computed one block at a time in order of
//! priority, while other requests decode together.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Number of decoding requests at which each token takes twice its base time.
const DOUBLING_REQUESTS: f64 = 32.0;

/// Key by which waiting requests are ordered: priority, lower first, then arrival number.
pub type QueueKey = (i64, u64);

#[derive(Debug, Default)]
struct Queue {
    busy: bool,
    waiters: BTreeMap<QueueKey, oneshot::Sender<Permit>>,
}

/// The engine's prefill unit, which computes one block at a time, and the number of requests in
/// each stage.
#[derive(Debug, Default)]
pub struct Batch {
    queue: Mutex<Queue>,
    arrivals: AtomicU64,
    prefilling: AtomicU32,
    decoding: AtomicU32,
}

/// Permit to compute one block; dropping it hands it to the first waiter.
#[derive(Debug)]
pub struct Permit {
    batch: Option<Arc<Batch>>,
}

/// Stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Waits for the prefill unit or computes its prompt.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Counts a request in a stage until the guard is dropped.
#[derive(Debug)]
pub struct Guard {
    batch: Arc<Batch>,
    stage: Stage,
}

impl Batch {
    /// Returns the key of a new request with this priority.
    pub fn queue_key(&self, priority: i64) -> QueueKey {
        (priority, self.arrivals.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts a request in `stage` until the guard is dropped.
    pub fn enter(self: &Arc<Self>, stage: Stage) -> Guard {
        self.counter(stage).fetch_add(1, Ordering::Relaxed);
        Guard {
            batch: self.clone(),
            stage,
        }
    }

    /// Number of requests in `stage`.
    pub fn count(&self, stage: Stage) -> u32 {
        self.counter(stage).load(Ordering::Relaxed)
    }

    /// Waits for the permit to compute a block.
    pub async fn acquire(self: &Arc<Self>, key: QueueKey) -> Permit {
        let receiver = {
            let mut queue = self.queue.lock();
            if !queue.busy {
                queue.busy = true;
                return Permit {
                    batch: Some(self.clone()),
                };
            }
            let (sender, receiver) = oneshot::channel();
            queue.waiters.insert(key, sender);
            receiver
        };
        match receiver.await {
            Ok(permit) => permit,
            // Senders are dropped only together with the batch.
            Err(_) => std::future::pending().await,
        }
    }

    /// Time for one token: `base`, which grows in proportion to the number of decoding requests.
    pub fn token_time(&self, base: Duration) -> Duration {
        let decoding = f64::from(self.count(Stage::Decode));
        base.mul_f64(1.0 + decoding / DOUBLING_REQUESTS)
    }

    fn counter(&self, stage: Stage) -> &AtomicU32 {
        match stage {
            Stage::Prefill => &self.prefilling,
            Stage::Decode => &self.decoding,
        }
    }

    /// Removes the first waiter; the prefill unit is idle if there is none.
    fn pop_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut queue = self.queue.lock();
        let first = queue.waiters.pop_first();
        queue.busy = first.is_some();
        first.map(|(_, sender)| sender)
    }

    /// Hands the permit to the first waiter that still exists.
    fn hand_over(self: &Arc<Self>) {
        while let Some(sender) = self.pop_waiter() {
            let permit = Permit {
                batch: Some(self.clone()),
            };
            let Err(mut unused) = sender.send(permit) else {
                return;
            };
            // The waiter was cancelled. Without its batch, dropping the permit hands nothing over,
            // and the loop tries the next waiter.
            unused.batch = None;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.hand_over();
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.batch
            .counter(self.stage)
            .fetch_sub(1, Ordering::Relaxed);
    }
}
