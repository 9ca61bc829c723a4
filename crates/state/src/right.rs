//! The token rights that this instance holds, by workspace.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::{
    Mutex,
    RwLock, //
};
use policy::rights::{
    Limit,
    MICRO_PER_TOKEN,
    bucket::{
        Bucket,
        Receipt, //
    },
    loan::{
        Balance,
        HOLD_TERM, //
    },
    micro_tokens,
    share::Demand, //
};

use crate::clock;

/// Weight of the newest second in the average demand, in parts of ten.
const NEWEST_TENTHS: u64 = 3;

/// Rights by workspace, and the term that all of them share.
#[derive(Debug, Default)]
pub struct Table {
    /// End of the term, in microseconds.
    until_us: AtomicU64,
    /// # Invariants
    ///
    /// Sorted by workspace, each once.
    entries: RwLock<Vec<Arc<Entry>>>,
}

/// The rights to one workspace.
#[derive(Debug)]
pub struct Entry {
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    book: Mutex<Book>,
}

#[derive(Debug, Default)]
struct Book {
    bucket: Bucket,
    purse: Balance,
    demand: Demand,
    /// Tokens asked for since the last [`Entry::tick`].
    asked: u64,
    /// Tokens of the largest request since the last [`Entry::tick`].
    largest: u64,
    /// When a peer last wanted more than there was to lend.
    peers_short_at: Option<Duration>,
}

/// What stands in the way of a charge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortfall {
    /// Tokens that are missing.
    pub missing: u64,
    /// Time until the parts held have accrued them, if they can.
    pub wait: Option<Duration>,
    /// Whether the term of the rights has ended.
    pub expired: bool,
}

/// Tokens charged for one request; settle it to get back what was not used.
#[derive(Debug)]
pub struct Charge {
    table: Arc<Table>,
    entry: Arc<Entry>,
    tokens: u64,
    ticket: Receipt,
}

impl Table {
    /// The clock of all rights.
    pub fn now(&self) -> Duration {
        clock::now()
    }

    /// End of the present term.
    pub fn until(&self) -> Duration {
        Duration::from_micros(self.until_us.load(Ordering::Acquire))
    }

    /// Sets the end of the term after an accepted renewal, or zero to end it.
    pub fn set_until(&self, until: Duration) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.until_us.store(micros, Ordering::Release);
    }

    /// Forgets all parts, after the grant was lost.
    pub fn clear(&self) {
        self.set_until(Duration::ZERO);
        for entry in self.entries() {
            let mut book = entry.book.lock();
            book.bucket.clear(self.now());
        }
    }

    /// All entries, in order of workspaces.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.read().clone()
    }

    /// Number of workspaces of which parts are held.
    pub fn held(&self) -> usize {
        let entries = self.entries();
        entries.iter().filter(|entry| entry.parts() > 0).count()
    }

    /// The entry of `workspace`, if a request has ever asked for it.
    pub fn find(&self, workspace: &str) -> Option<Arc<Entry>> {
        let entries = self.entries.read();
        let index = entries.binary_search_by(|e| (*e.workspace).cmp(workspace));
        Some(entries[index.ok()?].clone())
    }

    /// The entry of `workspace`, made if needed.
    pub fn entry(&self, workspace: &Arc<str>) -> Arc<Entry> {
        if let Some(entry) = self.find(workspace) {
            return entry;
        }
        let mut entries = self.entries.write();
        match entries.binary_search_by(|e| e.workspace.cmp(workspace)) {
            Ok(index) => entries[index].clone(),
            Err(index) => {
                let entry = Arc::new(Entry {
                    workspace: workspace.clone(),
                    book: Mutex::default(),
                });
                entries.insert(index, entry.clone());
                entry
            }
        }
    }

    /// Counts `tokens` as asked for, whether they are admitted or not.
    pub fn ask(&self, entry: &Entry, limit: Limit, tokens: u64) {
        let mut book = entry.book.lock();
        book.bucket.set_limit(limit, self.now());
        book.asked = book.asked.saturating_add(tokens);
        book.largest = book.largest.max(tokens);
    }

    /// Charges `tokens`, from loans first since they end first.
    ///
    /// # Errors
    ///
    /// What is missing, if there are too few.
    pub fn charge(self: &Arc<Self>, entry: &Arc<Entry>, tokens: u64) -> Result<Charge, Shortfall> {
        let mut book = entry.book.lock();
        // Read under the lock and for each charge: a process that was frozen
        // for long must find its term ended.
        let now = self.now();
        let expired = now >= self.until();
        let amount = micro_tokens(tokens);
        let lent = book.purse.level(now).min(amount);
        let own = amount - lent;
        let ticket = if own == 0 {
            Some(Receipt::default())
        } else if expired {
            None
        } else {
            book.bucket.charge(own, now)
        };
        let Some(ticket) = ticket else {
            let level = if expired { 0 } else { book.bucket.level(now) };
            return Err(Shortfall {
                missing: own.saturating_sub(level).div_ceil(MICRO_PER_TOKEN),
                wait: book.bucket.wait(own, now).filter(|_| !expired),
                expired,
            });
        };
        book.purse.spend(lent, now);
        Ok(Charge {
            table: self.clone(),
            entry: entry.clone(),
            tokens,
            ticket,
        })
    }

    /// Takes up to `tokens` out for a peer, whose request waits for them now.
    pub fn lend(&self, workspace: &str, tokens: u64) -> u64 {
        let Some(entry) = self.find(workspace) else {
            return 0;
        };
        let mut book = entry.book.lock();
        let now = self.now();
        let until = now + HOLD_TERM;
        if until > self.until() {
            return 0;
        }
        let whole = book.bucket.level(now) / MICRO_PER_TOKEN;
        let lent = book
            .bucket
            .lend(micro_tokens(tokens.min(whole)), now, until);
        if lent < micro_tokens(tokens) {
            book.peers_short_at = Some(now);
        }
        lent / MICRO_PER_TOKEN
    }

    /// Takes in tokens that a peer lent after it was asked at `asked_at`.
    pub fn receive(&self, entry: &Entry, tokens: u64, asked_at: Duration) {
        if tokens > 0 {
            let mut book = entry.book.lock();
            book.purse.receive(micro_tokens(tokens), asked_at);
        }
    }
}

impl Entry {
    /// Ends a second of counting, averages the demand, and puts `limit` in force.
    pub fn tick(&self, limit: Limit, now: Duration) {
        let mut book = self.book.lock();
        book.bucket.set_limit(limit, now);
        let old = book.demand.rate.saturating_mul(10 - NEWEST_TENTHS);
        let new = book.asked.saturating_mul(NEWEST_TENTHS);
        book.demand = Demand {
            rate: old.saturating_add(new) / 10,
            largest: (book.demand.largest / 8 * 7).max(book.largest),
        };
        book.asked = 0;
        book.largest = 0;
    }

    /// The demand, with what was asked for since the last tick.
    pub fn demand(&self) -> Demand {
        let book = self.book.lock();
        Demand {
            rate: book.demand.rate.max(book.asked),
            largest: book.demand.largest.max(book.largest),
        }
    }

    /// When a peer last wanted more than there was to lend.
    pub fn peers_short_at(&self) -> Option<Duration> {
        self.book.lock().peers_short_at
    }

    /// Parts held.
    pub fn parts(&self) -> u32 {
        self.book.lock().bucket.parts()
    }

    /// Adds granted parts with their tokens.
    pub fn grow(&self, parts: u32, tokens: u64, now: Duration) {
        let mut book = self.book.lock();
        book.bucket.grow(parts, micro_tokens(tokens), now);
    }

    /// Takes out parts that go back to the table; returns them with their tokens.
    pub fn shrink(&self, parts: u32, now: Duration) -> (u32, u64) {
        let mut book = self.book.lock();
        let (parts, amount) = book.bucket.shrink(parts, now);
        (parts, amount / MICRO_PER_TOKEN)
    }

    /// Whether burst is lent out to peers.
    pub fn is_lent(&self, now: Duration) -> bool {
        self.book.lock().bucket.is_lent(now)
    }
}

impl Charge {
    /// Tokens charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Gives back what was not used, or charges what was used beyond the charge.
    ///
    /// Tokens that peers had lent are not given back.
    pub fn settle(self, used: u64) {
        let now = self.table.now();
        let mut book = self.entry.book.lock();
        if used > self.tokens {
            book.bucket.overdraw(micro_tokens(used - self.tokens), now);
        } else {
            let unused = micro_tokens(self.tokens - used);
            book.bucket.refund(self.ticket, unused, now);
        }
    }
}
