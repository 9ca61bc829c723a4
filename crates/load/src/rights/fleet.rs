//! Instances that divide shares, in simulated time.

use std::time::Duration;

use policy::rights::{
    Limit,
    MICRO_PER_TOKEN,
    TOTAL_PARTS,
    bucket::Bucket,
    loan::{
        Balance,
        HOLD_TERM, //
    },
    micro_tokens,
    share::{
        self,
        Demand,
        Row, //
    },
    term, //
};

use super::{
    Division,
    INSTANCES,
    limits, //
};

/// Time between looks at demand and parts, as in the daemon.
const TICK: Duration = Duration::from_secs(1);
/// Time after a vain round before another one, as in the daemon.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Times that peers are asked for one request, as in the daemon.
const WAVES: usize = 4;
/// How long a peer's shortage is remembered, as in the daemon.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(5);
/// Weight of the newest second in the average demand, in parts of ten, as in the daemon.
const NEWEST_TENTHS: u64 = 3;

/// One instance's rights to one workspace.
#[derive(Clone, Debug, Default)]
struct Book {
    bucket: Bucket,
    purse: Balance,
    demand: Demand,
    asked: u64,
    largest: u64,
    short_at: Option<Duration>,
    vain_at: Option<Duration>,
}

impl Book {
    fn demand(&self) -> Demand {
        Demand {
            rate: self.demand.rate.max(self.asked),
            largest: self.demand.largest.max(self.largest),
        }
    }

    fn tick(&mut self) {
        let old = self.demand.rate * (10 - NEWEST_TENTHS);
        self.demand = Demand {
            rate: (old + self.asked * NEWEST_TENTHS) / 10,
            largest: (self.demand.largest / 8 * 7).max(self.largest),
        };
        (self.asked, self.largest) = (0, 0);
    }
}

#[derive(Clone, Debug)]
struct Instance {
    holder: u64,
    live: bool,
    /// End of its rights, which each renewal moves on.
    until: Duration,
    books: Vec<Book>,
}

/// A holder that is gone; its parts come back later.
#[derive(Clone, Copy, Debug)]
struct Gone {
    index: usize,
    holder: u64,
    replaced_at: Duration,
    ended_at: Duration,
}

/// All instances and the table.
#[derive(Debug)]
pub struct Fleet {
    division: Division,
    term: Duration,
    limits: Vec<Limit>,
    now: Duration,
    next_tick: Duration,
    instances: Vec<Instance>,
    gone: Vec<Gone>,
    rows: Vec<Row>,
    next_holder: u64,
    /// Whether the table answers.
    pub table_is_up: bool,
    /// Whether instances were killed.
    pub was_disturbed: bool,
    /// Transactions.
    pub writes: u64,
    /// Loans asked for.
    pub loans: u64,
}

impl Fleet {
    /// Makes a fleet that has yet to see a request.
    pub fn new(division: Division, term: Duration) -> Self {
        let limits = limits();
        let mut fleet = Self {
            division,
            term,
            rows: limits.iter().map(|limit| Row::unheld(*limit)).collect(),
            limits,
            now: Duration::ZERO,
            next_tick: TICK,
            instances: Vec::new(),
            gone: Vec::new(),
            next_holder: 1,
            table_is_up: true,
            was_disturbed: false,
            writes: 0,
            loans: 0,
        };
        for _ in 0..INSTANCES {
            let instance = fleet.instance(true);
            fleet.instances.push(instance);
        }
        fleet
    }

    /// An instance at its start; the baselines have their buckets at once, full only at the
    /// very beginning.
    fn instance(&mut self, full: bool) -> Instance {
        let holder = self.next_holder;
        self.next_holder += 1;
        let parts = match self.division {
            Division::Rights => 0,
            Division::EqualSplit => TOTAL_PARTS / INSTANCES as u32,
            Division::FullEach => TOTAL_PARTS,
        };
        let book = |limit: &Limit| {
            let mut bucket = Bucket::new(*limit, self.now);
            let tokens = if full { limit.cap(parts) } else { 0 };
            bucket.grow(parts, tokens, self.now);
            Book {
                bucket,
                ..Book::default()
            }
        };
        Instance {
            holder,
            live: true,
            until: match self.division {
                Division::Rights => term::holder_deadline(self.now, self.term),
                _ => Duration::MAX,
            },
            books: self.limits.iter().map(book).collect(),
        }
    }

    /// Indexes of the live instances.
    pub fn live(&self) -> Vec<usize> {
        let live = |index: &usize| self.instances[*index].live;
        (0..self.instances.len()).filter(live).collect()
    }

    /// Kills instances; each comes back at `replaced_at`, at the same address or another.
    pub fn kill(&mut self, indexes: &[usize], replaced_at: Duration, same_address: bool) {
        self.was_disturbed = true;
        for index in indexes {
            self.instances[*index].live = false;
            // Others count the term from the last renewal that they saw.
            let term_ends = self.now + self.term * 102 / 100;
            self.gone.push(Gone {
                index: *index,
                holder: self.instances[*index].holder,
                replaced_at,
                ended_at: if same_address { replaced_at } else { term_ends },
            });
        }
    }

    /// Does all that is due until `now`.
    pub fn advance(&mut self, now: Duration) {
        while self.next_tick <= now {
            self.now = self.next_tick;
            self.next_tick += TICK;
            self.tick();
        }
        self.now = now;
        self.replace();
    }

    fn replace(&mut self) {
        for gone in self.gone.clone() {
            if !self.instances[gone.index].live && self.now >= gone.replaced_at {
                self.instances[gone.index] = self.instance(self.division == Division::FullEach);
            }
            if self.now >= gone.ended_at && self.table_is_up {
                self.rows
                    .iter_mut()
                    .for_each(|row| row.remove_holder(gone.holder));
                self.gone.retain(|other| other.holder != gone.holder);
            }
        }
    }

    fn tick(&mut self) {
        let renewal = term::renewal_interval(self.term).as_secs().max(1);
        if self.division != Division::Rights {
            return;
        }
        for index in self.live() {
            if self.table_is_up && self.now.as_secs() % renewal == index as u64 % renewal {
                self.writes += 1;
                self.instances[index].until = term::holder_deadline(self.now, self.term);
            }
            let mut changed = false;
            for workspace in 0..self.limits.len() {
                self.instances[index].books[workspace].tick();
                changed |= self.claim(index, workspace) || self.release(index, workspace);
            }
            // All changes of one look share a transaction.
            self.writes += u64::from(changed);
        }
    }

    fn claim(&mut self, index: usize, workspace: usize) -> bool {
        let limit = self.limits[workspace];
        let instance = &mut self.instances[index];
        let book = &mut instance.books[workspace];
        let demand = book.demand();
        let wanted = share::wanted_parts(demand, limit).saturating_sub(book.bucket.parts());
        if !self.table_is_up || demand.rate == 0 || wanted == 0 {
            return false;
        }
        let grant = self.rows[workspace].acquire(instance.holder, wanted, limit);
        book.bucket
            .grow(grant.parts, micro_tokens(grant.tokens), self.now);
        grant.parts > 0
    }

    fn release(&mut self, index: usize, workspace: usize) -> bool {
        let limit = self.limits[workspace];
        let instance = &mut self.instances[index];
        let book = &mut instance.books[workspace];
        let recent = |at: Duration| self.now.saturating_sub(at) <= SHORTAGE_MEMORY;
        if !self.table_is_up || !book.short_at.is_some_and(recent) {
            return false;
        }
        let spare = share::spare_parts(book.demand(), limit, book.bucket.parts());
        let (parts, amount) = book.bucket.shrink(spare, self.now);
        self.rows[workspace].release(instance.holder, parts, amount / MICRO_PER_TOKEN, limit);
        parts > 0
    }

    /// Asks instance `index` to admit a request.
    pub fn admit(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        let book = &mut self.instances[index].books[workspace];
        book.asked += tokens;
        book.largest = book.largest.max(tokens);
        if self.charge(index, workspace, tokens) {
            return true;
        }
        if self.division != Division::Rights || self.is_pausing(index, workspace) {
            return false;
        }
        let admitted = self.round(index, workspace, tokens);
        if !admitted {
            let book = &mut self.instances[index].books[workspace];
            book.vain_at = Some(self.now);
        }
        admitted
    }

    /// Asks the table, then the peers.
    fn round(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        self.writes += u64::from(self.claim(index, workspace));
        if self.charge(index, workspace, tokens) {
            return true;
        }
        self.borrow(index, workspace, tokens);
        self.charge(index, workspace, tokens)
    }

    fn is_pausing(&self, index: usize, workspace: usize) -> bool {
        let vain_at = self.instances[index].books[workspace].vain_at;
        vain_at.is_some_and(|at| self.now.saturating_sub(at) < ROUND_PAUSE)
    }

    fn charge(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        let instance = &mut self.instances[index];
        let book = &mut instance.books[workspace];
        let lent = book.purse.level(self.now).min(micro_tokens(tokens));
        if lent < micro_tokens(tokens) && self.now >= instance.until {
            return false;
        }
        let own = book.bucket.charge(micro_tokens(tokens) - lent, self.now);
        if own.is_some() {
            book.purse.spend(lent, self.now);
        }
        own.is_some()
    }

    /// Asks the peers for a part each, and again those that had it, as the daemon does.
    fn borrow(&mut self, index: usize, workspace: usize, tokens: u64) {
        let book = &mut self.instances[index].books[workspace];
        let level = book.bucket.level(self.now) + book.purse.level(self.now);
        let mut missing = micro_tokens(tokens)
            .saturating_sub(level)
            .div_ceil(MICRO_PER_TOKEN);
        let mut peers = self.live();
        peers.retain(|peer| *peer != index);
        for _ in 0..WAVES {
            if missing == 0 || peers.is_empty() {
                return;
            }
            let part = missing.div_ceil(peers.len() as u64);
            let mut got = 0;
            peers.retain(|peer| {
                let lent = self.lend(*peer, index, workspace, part);
                got += lent;
                lent == part
            });
            missing = missing.saturating_sub(got);
        }
    }

    fn lend(&mut self, from: usize, to: usize, workspace: usize, tokens: u64) -> u64 {
        self.loans += 1;
        let now = self.now;
        let instance = &mut self.instances[from];
        if now + HOLD_TERM > instance.until {
            return 0;
        }
        let book = &mut instance.books[workspace];
        let whole = book.bucket.level(now) / MICRO_PER_TOKEN;
        let amount = book
            .bucket
            .lend(micro_tokens(tokens.min(whole)), now, now + HOLD_TERM);
        if amount < micro_tokens(tokens) {
            book.short_at = Some(now);
        }
        let book = &mut self.instances[to].books[workspace];
        book.purse.receive(amount, now);
        amount / MICRO_PER_TOKEN
    }
}
