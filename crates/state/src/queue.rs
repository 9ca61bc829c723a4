//! Requests that run or wait for a slot at their endpoints, by set of endpoints.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    admission::{
        self,
        Capacity, //
    },
    fair::{
        Queue,
        Waiter, //
    }, //
};
use tokio::sync::oneshot;

use crate::clock;

/// Maximum number of requests that wait for one set of endpoints.
const MAX_WAITING_REQUESTS: usize = 4096;

/// Running and waiting requests by set of endpoints.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by key, each once.
    pools: Mutex<Vec<Pool>>,
}

/// Running and waiting requests of one set of endpoints.
#[derive(Debug)]
struct Pool {
    key: u64,
    capacity: Capacity,
    mean_run_time: Duration,
    queue: Queue<oneshot::Sender<Slot>>,
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the set of endpoints.
    pub key: u64,
    /// Number of requests that the endpoints run concurrently.
    pub slots: u32,
    /// Number of instances that share the endpoints.
    pub instances: u32,
    /// Index of the class, 0 for the most urgent.
    pub class: usize,
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    /// Weight of the workspace in fair queueing within the class.
    pub weight: u32,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Maximum time in the queue.
    pub max_wait: Duration,
}

/// Slot of one running request; dropping it starts the next one.
#[derive(Debug)]
pub struct Slot {
    table: Arc<Table>,
    key: u64,
    class: usize,
    started_at: Duration,
}

/// Result of [`Table::enter`].
#[derive(Debug)]
pub enum Admission {
    /// The request may start.
    Running(Slot),
    /// The request waits until its receiver is dropped. A receive error means that
    /// it was shed in favour of more urgent work.
    Waiting(oneshot::Receiver<Slot>),
    /// The estimated wait, which exceeds the maximum wait, or the queue is full.
    Refused(Duration),
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut pools = self.table.pools.lock();
        let Ok(index) = pools.binary_search_by_key(&self.key, |pool| pool.key) else {
            return;
        };
        let pool = &mut pools[index];
        pool.capacity.running[self.class] -= 1;
        let run_time = clock::now().saturating_sub(self.started_at);
        pool.mean_run_time = admission::average_duration(pool.mean_run_time, run_time);
        let started = pool.start(&self.table);
        drop(pools);
        // Sent without the lock: if the request has just left, its slot is dropped
        // here, which takes the lock again.
        for (sender, slot) in started {
            sender.send(slot).ok();
        }
    }
}

impl Table {
    /// Starts, queues or refuses a request.
    pub fn enter(self: &Arc<Self>, request: &Request) -> Admission {
        let mut pools = self.pools.lock();
        let index = match pools.binary_search_by_key(&request.key, |pool| pool.key) {
            Ok(index) => index,
            Err(index) => {
                pools.insert(index, Pool::new(request.key));
                index
            }
        };
        let pool = &mut pools[index];
        pool.capacity.slots = request.slots;
        pool.capacity.instances = request.instances;
        pool.enter(self, request)
    }

    /// Number of waiting requests over all sets of endpoints.
    pub fn waiting(&self) -> usize {
        self.pools.lock().iter().map(|pool| pool.queue.len()).sum()
    }
}

impl Pool {
    fn new(key: u64) -> Self {
        Self {
            key,
            capacity: Capacity::default(),
            mean_run_time: Duration::ZERO,
            queue: Queue::default(),
        }
    }

    fn enter(&mut self, table: &Arc<Table>, request: &Request) -> Admission {
        let class = request.class;
        self.queue.retain(|sender| !sender.is_closed());
        let ahead = self.queue.ahead(class, &request.workspace);
        if ahead == 0 && self.capacity.may_start(class) {
            return Admission::Running(self.slot(table, class));
        }
        let wait = self.capacity.wait(class, ahead, self.mean_run_time);
        if wait > request.max_wait {
            return Admission::Refused(wait);
        }
        // Shedding drops the sender of the shed request, which ends its wait with an error.
        if self.queue.len() >= MAX_WAITING_REQUESTS && self.queue.shed(class).is_none() {
            return Admission::Refused(wait);
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.push(Waiter {
            class,
            workspace: request.workspace.clone(),
            weight: request.weight,
            cost: request.cost,
            item: sender,
        });
        Admission::Waiting(receiver)
    }

    fn slot(&mut self, table: &Arc<Table>, class: usize) -> Slot {
        self.capacity.running[class] += 1;
        Slot {
            table: table.clone(),
            key: self.key,
            class,
            started_at: clock::now(),
        }
    }

    /// Starts as many waiting requests as there are free slots for.
    ///
    /// The slots are returned, so that they are sent after the lock is released.
    fn start(&mut self, table: &Arc<Table>) -> Vec<(oneshot::Sender<Slot>, Slot)> {
        let mut started = Vec::new();
        self.queue.retain(|sender| !sender.is_closed());
        let mut capacity = self.capacity;
        while let Some(next) = self.queue.pop(|class| capacity.may_start(class)) {
            started.push((next.item, self.slot(table, next.class)));
            capacity = self.capacity;
        }
        started
    }
}
