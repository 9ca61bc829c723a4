//! Requests that run or wait for room at their endpoints, by set of endpoints.

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

/// Most requests that wait for one set of endpoints.
const MAX_WAITING: usize = 4096;

/// Running and waiting requests by set of endpoints.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by key, each once.
    pools: Mutex<Vec<Pool>>,
}

/// One set of endpoints.
#[derive(Debug)]
struct Pool {
    key: u64,
    room: Capacity,
    time_each: Duration,
    queue: Queue<oneshot::Sender<Place>>,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the set of endpoints.
    pub key: u64,
    /// Requests that the endpoints run at once.
    pub slots: u32,
    /// Instances that share the endpoints.
    pub instances: u32,
    /// Index of its class, 0 for the most urgent.
    pub class: usize,
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    /// Share of the workspace among those of its class.
    pub weight: u32,
    /// What it costs, in tokens.
    pub cost: u64,
    /// Longest time that it may wait.
    pub patience: Duration,
}

/// Room for one running request; dropping it lets the next one start.
#[derive(Debug)]
pub struct Place {
    table: Arc<Table>,
    key: u64,
    class: usize,
    began: Duration,
}

/// How a request enters.
#[derive(Debug)]
pub enum Entry {
    /// It may start.
    Running(Place),
    /// It waits; dropping the receiver ends that. An error means that it was
    /// refused in favour of more urgent work.
    Waiting(oneshot::Receiver<Place>),
    /// It would have to wait for longer than it may.
    Refused(Duration),
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut pools = self.table.pools.lock();
        let Ok(index) = pools.binary_search_by_key(&self.key, |pool| pool.key) else {
            return;
        };
        let pool = &mut pools[index];
        pool.room.running[self.class] -= 1;
        let time = clock::now().saturating_sub(self.began);
        pool.time_each = admission::average_duration(pool.time_each, time);
        let started = pool.start(&self.table);
        drop(pools);
        // A request that has just left drops its place, which takes the lock anew.
        for (sender, place) in started {
            sender.send(place).ok();
        }
    }
}

impl Table {
    /// Lets a request start, wait, or be refused at once.
    pub fn enter(self: &Arc<Self>, request: &Request) -> Entry {
        let mut pools = self.pools.lock();
        let index = match pools.binary_search_by_key(&request.key, |pool| pool.key) {
            Ok(index) => index,
            Err(index) => {
                pools.insert(index, Pool::new(request.key));
                index
            }
        };
        let pool = &mut pools[index];
        pool.room.slots = request.slots;
        pool.room.instances = request.instances;
        pool.enter(self, request)
    }

    /// Requests that wait, over all sets of endpoints.
    pub fn waiting(&self) -> usize {
        self.pools.lock().iter().map(|pool| pool.queue.len()).sum()
    }
}

impl Pool {
    fn new(key: u64) -> Self {
        Self {
            key,
            room: Capacity::default(),
            time_each: Duration::ZERO,
            queue: Queue::default(),
        }
    }

    fn enter(&mut self, table: &Arc<Table>, request: &Request) -> Entry {
        let class = request.class;
        self.queue.retain(|sender| !sender.is_closed());
        let ahead = self.queue.ahead(class, &request.workspace);
        if ahead == 0 && self.room.may_start(class) {
            return Entry::Running(self.place(table, class));
        }
        let wait = self.room.wait(class, ahead, self.time_each);
        if wait > request.patience {
            return Entry::Refused(wait);
        }
        // Dropping the shed request's sender tells it.
        if self.queue.len() >= MAX_WAITING && self.queue.shed(class).is_none() {
            return Entry::Refused(wait);
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.push(Waiter {
            class,
            workspace: request.workspace.clone(),
            weight: request.weight,
            cost: request.cost,
            item: sender,
        });
        Entry::Waiting(receiver)
    }

    fn place(&mut self, table: &Arc<Table>, class: usize) -> Place {
        self.room.running[class] += 1;
        Place {
            table: table.clone(),
            key: self.key,
            class,
            began: clock::now(),
        }
    }

    /// Starts as many as there is room for, for the caller to tell without the lock.
    fn start(&mut self, table: &Arc<Table>) -> Vec<(oneshot::Sender<Place>, Place)> {
        let mut started = Vec::new();
        self.queue.retain(|sender| !sender.is_closed());
        let mut room = self.room;
        while let Some(next) = self.queue.pop(|class| room.may_start(class)) {
            started.push((next.item, self.place(table, next.class)));
            room = self.room;
        }
        started
    }
}
