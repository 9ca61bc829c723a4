//! Order of queued requests: strict priority between classes, weighted fair queueing within a class.
//!
//! Each workspace with queued requests has a virtual time, which advances by cost over weight
//! with each request that starts; the workspace with the lowest virtual time is next. A
//! workspace that joins the queue starts no lower than the workspace served last, so that it
//! earns no credit while idle.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Number of classes; class 0 is the most urgent.
pub const CLASSES: usize = 3;
/// The class that is refused first and leaves a reserve to the others.
pub const MAY_WAIT: usize = 2;

/// Virtual time of one token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u128 = 1 << 20;

/// A queued request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter<T> {
    /// Index of its class, 0 for the most urgent.
    pub class: usize,
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    /// Weight of the workspace among those of its class.
    pub weight: u32,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Payload, such as the channel that tells the request to start.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    class: usize,
    workspace: Arc<str>,
    virtual_time: u128,
    waiters: VecDeque<Waiter<T>>,
}

/// Queued requests, by class and workspace.
///
/// # Invariants
///
/// `flows` is sorted by class and workspace. An empty flow stays until the virtual time of
/// its class has caught up with it, so that a workspace gains nothing by leaving the queue
/// and joining it again.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    flows: Vec<Flow<T>>,
    /// Virtual time of the workspace served last, by class.
    class_times: [u128; CLASSES],
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            flows: Vec::new(),
            class_times: [0; CLASSES],
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request behind those of its workspace and class.
    pub fn push(&mut self, waiter: Waiter<T>) {
        let (class, workspace) = (waiter.class, waiter.workspace.clone());
        let index = match self.index(class, &workspace) {
            Ok(index) => index,
            Err(index) => {
                let flow = Flow {
                    class,
                    workspace,
                    virtual_time: self.class_times[class],
                    waiters: VecDeque::new(),
                };
                self.flows.insert(index, flow);
                index
            }
        };
        let flow = &mut self.flows[index];
        flow.virtual_time = flow.virtual_time.max(self.class_times[class]);
        flow.waiters.push_back(waiter);
    }

    /// Removes and returns the next request of a class for which `may_start` holds.
    pub fn pop(&mut self, may_start: impl Fn(usize) -> bool) -> Option<Waiter<T>> {
        let flows = self.flows.iter().enumerate();
        let ready = flows.filter(|(_, flow)| !flow.waiters.is_empty() && may_start(flow.class));
        let (index, _) = ready.min_by_key(|(_, flow)| (flow.class, flow.virtual_time))?;
        let flow = &mut self.flows[index];
        let waiter = flow.waiters.pop_front()?;
        self.class_times[flow.class] = flow.virtual_time;
        flow.virtual_time +=
            u128::from(waiter.cost) * VIRTUAL_TIME_PER_TOKEN / u128::from(waiter.weight.max(1));
        self.prune();
        Some(waiter)
    }

    /// Drops the empty flows whose virtual time no longer matters.
    fn prune(&mut self) {
        let mut has_waiters = [false; CLASSES];
        for flow in &self.flows {
            has_waiters[flow.class] |= !flow.waiters.is_empty();
        }
        let class_times = self.class_times;
        self.flows.retain(|flow| {
            let is_ahead = flow.virtual_time > class_times[flow.class];
            !flow.waiters.is_empty() || (has_waiters[flow.class] && is_ahead)
        });
    }

    /// Removes and returns the newest request of the least urgent class below `class`, from the
    /// workspace with the most queued requests.
    pub fn shed(&mut self, class: usize) -> Option<Waiter<T>> {
        let flows = self.flows.iter().enumerate();
        let lower = flows.filter(|(_, flow)| flow.class > class && !flow.waiters.is_empty());
        let (index, _) = lower.max_by_key(|(_, flow)| (flow.class, flow.waiters.len()))?;
        let waiter = self.flows[index].waiters.pop_back();
        self.prune();
        waiter
    }

    /// Drops the requests for whose item `is_waiting` is false.
    pub fn retain(&mut self, mut is_waiting: impl FnMut(&T) -> bool) {
        for flow in &mut self.flows {
            flow.waiters.retain(|waiter| is_waiting(&waiter.item));
        }
        self.prune();
    }

    /// Estimated number of requests that start before another one of this class and workspace.
    ///
    /// Another workspace of the same class counts with at most one request more than this
    /// workspace has queued.
    pub fn ahead(&self, class: usize, workspace: &str) -> usize {
        let own_index = self.index(class, workspace);
        let own_count = own_index.map_or(0, |index| self.flows[index].waiters.len());
        let count = |flow: &Flow<T>| match flow.class.cmp(&class) {
            std::cmp::Ordering::Less => flow.waiters.len(),
            std::cmp::Ordering::Equal => flow.waiters.len().min(own_count + 1),
            std::cmp::Ordering::Greater => 0,
        };
        self.flows.iter().map(count).sum()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.flows.iter().map(|flow| flow.waiters.len()).sum()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn index(&self, class: usize, workspace: &str) -> Result<usize, usize> {
        let order = |flow: &Flow<T>| (flow.class, &*flow.workspace).cmp(&(class, workspace));
        self.flows.binary_search_by(order)
    }
}
