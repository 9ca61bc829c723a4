//! Token rights held by this instance, by workspace.

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
        Balance, //
        HOLD_TERM,
    },
    micro_tokens,
    share::Demand, //
};

use crate::clock;

/// Weight of the newest second in the moving average of demand, in tenths.
const NEWEST_SECOND_TENTHS: u64 = 3;

/// Rights by workspace, and the term common to all of them.
#[derive(Debug, Default)]
pub struct Table {
    /// End of the term, in microseconds.
    term_end_us: AtomicU64,
    /// # Invariants
    ///
    /// Sorted by workspace, each once.
    entries: RwLock<Vec<Arc<Entry>>>,
}

/// Rights of one workspace.
#[derive(Debug)]
pub struct Entry {
    /// `<team>/<workspace>`.
    pub workspace: Arc<str>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    bucket: Bucket,
    loans: Balance,
    demand: Demand,
    /// Tokens requested since the last [`Entry::tick`].
    requested: u64,
    /// Tokens of the largest request since the last [`Entry::tick`].
    largest: u64,
    /// When a peer last asked for more tokens than could be lent.
    peers_short_at: Option<Duration>,
}

/// Why a charge failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortfall {
    /// Number of missing tokens.
    pub missing: u64,
    /// Time until the held parts accrue the missing tokens; `None` if they cannot or the
    /// term has ended.
    pub wait: Option<Duration>,
    /// Whether the term of the rights has ended.
    pub expired: bool,
}

/// Tokens charged for one request; [`Charge::settle`] returns the unused ones.
#[derive(Debug)]
pub struct Charge {
    table: Arc<Table>,
    entry: Arc<Entry>,
    tokens: u64,
    receipt: Receipt,
}

impl Table {
    /// Current time of the clock that all rights use.
    pub fn now(&self) -> Duration {
        clock::now()
    }

    /// End of the current term.
    pub fn term_end(&self) -> Duration {
        Duration::from_micros(self.term_end_us.load(Ordering::Acquire))
    }

    /// Sets the end of the term after an accepted renewal; zero ends the term.
    pub fn set_term_end(&self, end: Duration) {
        let micros = u64::try_from(end.as_micros()).unwrap_or(u64::MAX);
        self.term_end_us.store(micros, Ordering::Release);
    }

    /// Ends the term and removes all parts, after the rights were lost.
    pub fn clear(&self) {
        self.set_term_end(Duration::ZERO);
        for entry in self.entries() {
            let mut state = entry.state.lock();
            state.bucket.clear(self.now());
        }
    }

    /// All entries, sorted by workspace.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.read().clone()
    }

    /// Number of workspaces of which this instance holds parts.
    pub fn held_workspaces(&self) -> usize {
        let entries = self.entries();
        entries.iter().filter(|entry| entry.parts() > 0).count()
    }

    /// The entry of `workspace`, if [`Table::entry`] has created one.
    pub fn find(&self, workspace: &str) -> Option<Arc<Entry>> {
        let entries = self.entries.read();
        let index = entries.binary_search_by(|e| (*e.workspace).cmp(workspace));
        Some(entries[index.ok()?].clone())
    }

    /// The entry of `workspace`, created if absent.
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
                    state: Mutex::default(),
                });
                entries.insert(index, entry.clone());
                entry
            }
        }
    }

    /// Counts `tokens` as demand, whether they are admitted or not, and applies `limit`.
    pub fn record_demand(&self, entry: &Entry, limit: Limit, tokens: u64) {
        let mut state = entry.state.lock();
        state.bucket.set_limit(limit, self.now());
        state.requested = state.requested.saturating_add(tokens);
        state.largest = state.largest.max(tokens);
    }

    /// Charges `tokens`, from loans first since they end first.
    ///
    /// # Errors
    ///
    /// Returns the shortfall if too few tokens are available.
    pub fn charge(self: &Arc<Self>, entry: &Arc<Entry>, tokens: u64) -> Result<Charge, Shortfall> {
        let mut state = entry.state.lock();
        // Read the clock under the lock for each charge, so that a process that
        // was frozen for long sees that its term has ended.
        let now = self.now();
        let expired = now >= self.term_end();
        let amount = micro_tokens(tokens);
        let from_loans = state.loans.level(now).min(amount);
        let from_bucket = amount - from_loans;
        let receipt = if from_bucket == 0 {
            Some(Receipt::default())
        } else if expired {
            None
        } else {
            state.bucket.charge(from_bucket, now)
        };
        let Some(receipt) = receipt else {
            let level = if expired { 0 } else { state.bucket.level(now) };
            return Err(Shortfall {
                missing: from_bucket.saturating_sub(level).div_ceil(MICRO_PER_TOKEN),
                wait: state.bucket.wait(from_bucket, now).filter(|_| !expired),
                expired,
            });
        };
        state.loans.spend(from_loans, now);
        Ok(Charge {
            table: self.clone(),
            entry: entry.clone(),
            tokens,
            receipt,
        })
    }

    /// Lends up to `tokens` to a peer with a request that waits for them; returns the
    /// number lent.
    pub fn lend(&self, workspace: &str, tokens: u64) -> u64 {
        let Some(entry) = self.find(workspace) else {
            return 0;
        };
        let mut state = entry.state.lock();
        let now = self.now();
        let expires_at = now + HOLD_TERM;
        if expires_at > self.term_end() {
            return 0;
        }
        let available = state.bucket.level(now) / MICRO_PER_TOKEN;
        let lent = state
            .bucket
            .lend(micro_tokens(tokens.min(available)), now, expires_at);
        if lent < micro_tokens(tokens) {
            state.peers_short_at = Some(now);
        }
        lent / MICRO_PER_TOKEN
    }

    /// Adds tokens that a peer lent in answer to a request sent at `requested_at`.
    pub fn receive(&self, entry: &Entry, tokens: u64, requested_at: Duration) {
        if tokens > 0 {
            let mut state = entry.state.lock();
            state.loans.receive(micro_tokens(tokens), requested_at);
        }
    }
}

impl Entry {
    /// Adds the demand of the last second to the moving average and applies `limit`.
    ///
    /// Called once per second.
    pub fn tick(&self, limit: Limit, now: Duration) {
        let mut state = self.state.lock();
        state.bucket.set_limit(limit, now);
        let old = state.demand.rate.saturating_mul(10 - NEWEST_SECOND_TENTHS);
        let new = state.requested.saturating_mul(NEWEST_SECOND_TENTHS);
        state.demand = Demand {
            rate: old.saturating_add(new) / 10,
            largest: (state.demand.largest / 8 * 7).max(state.largest),
        };
        state.requested = 0;
        state.largest = 0;
    }

    /// The demand: the larger of the average and what was requested since the last tick.
    pub fn demand(&self) -> Demand {
        let state = self.state.lock();
        Demand {
            rate: state.demand.rate.max(state.requested),
            largest: state.demand.largest.max(state.largest),
        }
    }

    /// When a peer last asked for more tokens than could be lent.
    pub fn peers_short_at(&self) -> Option<Duration> {
        self.state.lock().peers_short_at
    }

    /// Number of parts held.
    pub fn parts(&self) -> u32 {
        self.state.lock().bucket.parts()
    }

    /// Adds granted parts with their tokens.
    pub fn grow(&self, parts: u32, tokens: u64, now: Duration) {
        let mut state = self.state.lock();
        state.bucket.grow(parts, micro_tokens(tokens), now);
    }

    /// Removes up to `parts` parts to return them to the table; returns the number
    /// removed and their tokens.
    pub fn shrink(&self, parts: u32, now: Duration) -> (u32, u64) {
        let mut state = self.state.lock();
        let (parts, amount) = state.bucket.shrink(parts, now);
        (parts, amount / MICRO_PER_TOKEN)
    }

    /// Whether peers still hold loans out of the burst.
    pub fn has_outstanding_loans(&self, now: Duration) -> bool {
        self.state.lock().bucket.is_lent(now)
    }
}

impl Charge {
    /// Number of tokens charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the unused tokens, or charges those used in excess.
    ///
    /// Tokens lent by peers are not returned.
    pub fn settle(self, used: u64) {
        let now = self.table.now();
        let mut state = self.entry.state.lock();
        if used > self.tokens {
            state.bucket.overdraw(micro_tokens(used - self.tokens), now);
        } else {
            let unused = micro_tokens(self.tokens - used);
            state.bucket.refund(self.receipt, unused, now);
        }
    }
}
