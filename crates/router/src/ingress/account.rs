//! The account of bytes that bodies of requests take.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::Mutex;
use state::clock;
use tokio::sync::Notify;

/// Size up to which a body may use the part of the budget that larger ones leave free, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// Share of the budget that only small bodies use, as a divisor.
const RESERVE_DIVISOR: usize = 4;
/// Most senders that wait for memory. What they send meanwhile fills the buffers of the system, which
/// are memory too.
const MAX_WAITING: usize = 64;
/// Time without more memory after which an unfinished sender counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two senders that are shed, so that the memory of the first one counts.
const SHED_INTERVAL: Duration = Duration::from_millis(20);

/// The bytes of all bodies of requests in progress, read whole or not.
#[derive(Debug)]
pub struct Account {
    budget: usize,
    held: AtomicUsize,
    /// Number of senders that wait for memory.
    waiting: AtomicUsize,
    /// Notified when memory is released while a sender waits.
    pub(super) released: Notify,
    /// Unfinished senders of bodies beyond the first buffer.
    senders: Mutex<Vec<Arc<Sender>>>,
    shed_at_ms: AtomicU64,
}

/// A caller that has not sent the whole of its body yet.
#[derive(Debug, Default)]
pub(super) struct Sender {
    held: AtomicUsize,
    /// When its memory last grew, in milliseconds.
    grown_at_ms: AtomicU64,
    /// Whether it waits for memory, and its caller for it.
    waits: AtomicBool,
    is_shed: AtomicBool,
    /// Notified when it is shed.
    pub(super) wake: Notify,
}

impl Sender {
    pub(super) fn is_shed(&self) -> bool {
        self.is_shed.load(Ordering::Relaxed)
    }

    fn shed(&self) {
        self.is_shed.store(true, Ordering::Relaxed);
        self.wake.notify_one();
    }
}

/// Entry of an unfinished sender; a drop removes it.
#[derive(Debug)]
pub(super) struct Registration {
    account: Arc<Account>,
    pub(super) sender: Arc<Sender>,
}

impl Registration {
    /// Records how much the sender holds now.
    pub(super) fn record(&self, held: usize) {
        self.sender.held.store(held, Ordering::Relaxed);
        self.sender.grown_at_ms.store(now_ms(), Ordering::Relaxed);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut senders = self.account.senders.lock();
        senders.retain(|sender| !Arc::ptr_eq(sender, &self.sender));
    }
}

/// Wait of a sender for memory; a drop ends it.
#[derive(Debug)]
pub(super) struct Wait<'a> {
    account: &'a Account,
    sender: Option<&'a Sender>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.account.waiting.fetch_sub(1, Ordering::Relaxed);
        if let Some(sender) = self.sender {
            sender.waits.store(false, Ordering::Relaxed);
        }
    }
}

/// Bytes that one body takes; a drop releases them.
#[derive(Debug)]
pub struct Hold {
    account: Arc<Account>,
    bytes: usize,
}

impl Hold {
    /// Extends or shrinks the hold to `total` bytes; `false` if the memory is used up.
    pub fn try_set(&mut self, total: usize) -> bool {
        let account = &self.account;
        if total <= self.bytes {
            let less = self.bytes - total;
            self.bytes = total;
            account.release(less);
            return true;
        }
        let budget = match total {
            ..=SMALL_BYTES => account.budget,
            _ => account.budget - account.budget / RESERVE_DIVISOR,
        };
        let more = total - self.bytes;
        let extend = |held: usize| {
            let extended = held + more;
            // A single body is taken however small the budget is.
            (extended <= budget || held == self.bytes).then_some(extended)
        };
        let order = Ordering::Relaxed;
        let is_extended = account.held.fetch_update(order, order, extend).is_ok();
        if is_extended {
            self.bytes = total;
        }
        is_extended
    }

    /// Number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}

impl Account {
    /// An account of at most `budget` bytes.
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            held: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            released: Notify::new(),
            senders: Mutex::default(),
            shed_at_ms: AtomicU64::new(0),
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// A hold of nothing yet.
    pub fn hold(self: &Arc<Self>) -> Hold {
        Hold {
            account: self.clone(),
            bytes: 0,
        }
    }

    fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.released.notify_waiters();
        }
    }

    pub(super) fn register(self: &Arc<Self>) -> Registration {
        let sender = Arc::new(Sender::default());
        self.senders.lock().push(sender.clone());
        Registration {
            account: self.clone(),
            sender,
        }
    }

    /// Begins a wait for memory, unless too many wait.
    pub(super) fn wait<'a>(&'a self, sender: Option<&'a Sender>) -> Option<Wait<'a>> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        if let Some(sender) = sender {
            sender.waits.store(true, Ordering::Relaxed);
        }
        Some(Wait {
            account: self,
            sender,
        })
    }

    /// Sheds the unfinished sender that keeps most memory from others: the stalled one with the largest
    /// product of bytes and time. If `sheds_waiting` and all wait for each other, the one that has sent
    /// least, so that the others are completed.
    pub(super) fn shed(&self, sheds_waiting: bool) {
        let now = now_ms();
        let shed_at = self.shed_at_ms.load(Ordering::Relaxed);
        if now.saturating_sub(shed_at) < millis(SHED_INTERVAL) {
            return;
        }
        let senders = self.senders.lock();
        let waits = |sender: &Sender| sender.waits.load(Ordering::Relaxed);
        let held = |sender: &Sender| sender.held.load(Ordering::Relaxed);
        let idle = |sender: &Sender| now.saturating_sub(sender.grown_at_ms.load(Ordering::Relaxed));
        let unshed = || senders.iter().filter(|sender| !sender.is_shed());
        let stalled = unshed()
            .filter(|sender| !waits(sender) && idle(sender) >= millis(STALL_TIME))
            .max_by_key(|sender| (held(sender) as u64).saturating_mul(idle(sender)));
        // One sender alone waits for requests that were read whole, and one that holds nothing frees
        // nothing.
        let holding = || unshed().filter(|sender| held(sender) > 0);
        let all_wait =
            || sheds_waiting && holding().count() > 1 && holding().all(|sender| waits(sender));
        let least = || holding().min_by_key(|sender| held(sender));
        if let Some(sender) = stalled.or_else(|| all_wait().then(least).flatten()) {
            sender.shed();
            self.shed_at_ms.store(now, Ordering::Relaxed);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now_ms() -> u64 {
    millis(clock::now())
}
