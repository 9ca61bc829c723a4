//! Simulates instances that divide the limits of workspaces among them.

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

/// Interval over which demand is counted and at which parts are acquired or released, as in the
/// daemon.
const TICK: Duration = Duration::from_secs(1);
/// Time after a failed acquisition before the next attempt for the same workspace, as in the
/// daemon.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of rounds of loan requests for one request, as in the daemon.
const MAX_ROUNDS: usize = 4;
/// How long after a peer's shortage an instance releases the parts that it can spare, as in the
/// daemon.
const SHORTAGE_WINDOW: Duration = Duration::from_secs(5);
/// Weight of the newest second in the moving average of demand, in tenths, as in the daemon.
const NEWEST_SECOND_TENTHS: u64 = 3;

/// One instance's rights of one workspace.
#[derive(Clone, Debug, Default)]
struct Entry {
    bucket: Bucket,
    loans: Balance,
    demand: Demand,
    /// Tokens requested since the last [`Entry::tick`].
    requested: u64,
    /// Tokens of the largest request since the last [`Entry::tick`].
    largest: u64,
    /// When a peer last asked for more tokens than could be lent.
    peers_short_at: Option<Duration>,
    /// When the last failed acquisition ended.
    failed_at: Option<Duration>,
}

impl Entry {
    /// The demand: the larger of the average and what was requested since the last tick.
    fn demand(&self) -> Demand {
        Demand {
            rate: self.demand.rate.max(self.requested),
            largest: self.demand.largest.max(self.largest),
        }
    }

    /// Adds the demand of the last second to the moving average.
    fn tick(&mut self) {
        let old = self.demand.rate * (10 - NEWEST_SECOND_TENTHS);
        self.demand = Demand {
            rate: (old + self.requested * NEWEST_SECOND_TENTHS) / 10,
            largest: (self.demand.largest / 8 * 7).max(self.largest),
        };
        (self.requested, self.largest) = (0, 0);
    }
}

/// One instance; its replacement after a kill is another holder.
#[derive(Clone, Debug)]
struct Instance {
    holder: u64,
    live: bool,
    /// End of the term of its rights, which each renewal extends.
    term_end: Duration,
    /// Rights by index of workspace.
    entries: Vec<Entry>,
}

/// The kill of an instance, recorded until its parts are freed in the table.
#[derive(Clone, Copy, Debug)]
struct Kill {
    index: usize,
    holder: u64,
    /// When another holder replaces it.
    replaced_at: Duration,
    /// When other holders can free its parts.
    expires_at: Duration,
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
    kills: Vec<Kill>,
    /// Rows of the table by index of workspace.
    rows: Vec<Row>,
    next_holder: u64,
    /// Whether the table answers.
    pub table_up: bool,
    /// Whether [`Fleet::kill`] was called.
    pub kill_applied: bool,
    /// Write transactions of the table.
    pub writes: u64,
    /// Loan requests to peers.
    pub loan_requests: u64,
}

impl Fleet {
    /// Creates a fleet of live instances without demand.
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
            kills: Vec::new(),
            next_holder: 1,
            table_up: true,
            kill_applied: false,
            writes: 0,
            loan_requests: 0,
        };
        for _ in 0..INSTANCES {
            let instance = fleet.create_instance(true);
            fleet.instances.push(instance);
        }
        fleet
    }

    /// Creates an instance without demand.
    ///
    /// In the baselines it holds its parts at once. Their buckets are full at the start of the run;
    /// after a kill they are empty, except in [`Division::FullEach`].
    fn create_instance(&mut self, full_buckets: bool) -> Instance {
        let holder = self.next_holder;
        self.next_holder += 1;
        let parts = match self.division {
            Division::Rights => 0,
            Division::EqualSplit => TOTAL_PARTS / INSTANCES as u32,
            Division::FullEach => TOTAL_PARTS,
        };
        let create_entry = |limit: &Limit| {
            let mut bucket = Bucket::new(*limit, self.now);
            let amount = if full_buckets { limit.cap(parts) } else { 0 };
            bucket.grow(parts, amount, self.now);
            Entry {
                bucket,
                ..Entry::default()
            }
        };
        Instance {
            holder,
            live: true,
            term_end: match self.division {
                Division::Rights => term::holder_deadline(self.now, self.term),
                _ => Duration::MAX,
            },
            entries: self.limits.iter().map(create_entry).collect(),
        }
    }

    /// Indexes of the live instances.
    pub fn live_instances(&self) -> Vec<usize> {
        let is_live = |index: &usize| self.instances[*index].live;
        (0..self.instances.len()).filter(is_live).collect()
    }

    /// Kills instances; each is replaced at `replaced_at`, at the same address or another.
    ///
    /// A replacement at the same address ends the rights of the killed holder; otherwise they end
    /// with their term.
    pub fn kill(&mut self, indexes: &[usize], replaced_at: Duration, same_address: bool) {
        self.kill_applied = true;
        for index in indexes {
            self.instances[*index].live = false;
            // Other holders count the term from the last renewal that they saw, at the latest from
            // now, plus 2 percent for clock drift.
            let term_end = self.now + self.term * 102 / 100;
            self.kills.push(Kill {
                index: *index,
                holder: self.instances[*index].holder,
                replaced_at,
                expires_at: if same_address { replaced_at } else { term_end },
            });
        }
    }

    /// Advances the simulated time to `now` and does the work that is due until then.
    pub fn advance(&mut self, now: Duration) {
        while self.next_tick <= now {
            self.now = self.next_tick;
            self.next_tick += TICK;
            self.tick();
        }
        self.now = now;
        self.process_kills();
    }

    /// Replaces killed instances and frees the parts of expired holders, as far as due.
    fn process_kills(&mut self) {
        for kill in self.kills.clone() {
            if !self.instances[kill.index].live && self.now >= kill.replaced_at {
                self.instances[kill.index] =
                    self.create_instance(self.division == Division::FullEach);
            }
            if self.now >= kill.expires_at && self.table_up {
                self.rows
                    .iter_mut()
                    .for_each(|row| row.remove_holder(kill.holder));
                self.kills.retain(|other| other.holder != kill.holder);
            }
        }
    }

    /// Renews rights, and acquires and releases parts; called once per second.
    fn tick(&mut self) {
        let renewal_s = term::renewal_interval(self.term).as_secs().max(1);
        if self.division != Division::Rights {
            return;
        }
        for index in self.live_instances() {
            if self.table_up && self.now.as_secs() % renewal_s == index as u64 % renewal_s {
                self.writes += 1;
                self.instances[index].term_end = term::holder_deadline(self.now, self.term);
            }
            let mut changed = false;
            for workspace in 0..self.limits.len() {
                self.instances[index].entries[workspace].tick();
                changed |= self.acquire_parts(index, workspace) || self.release(index, workspace);
            }
            // The changes of an instance's workspaces in one tick share a transaction.
            self.writes += u64::from(changed);
        }
    }

    /// Acquires from the table the parts that the instance wants beyond those held; returns whether
    /// any were granted.
    fn acquire_parts(&mut self, index: usize, workspace: usize) -> bool {
        let limit = self.limits[workspace];
        let instance = &mut self.instances[index];
        let entry = &mut instance.entries[workspace];
        let demand = entry.demand();
        let missing_parts = share::wanted_parts(demand, limit).saturating_sub(entry.bucket.parts());
        if !self.table_up || demand.rate == 0 || missing_parts == 0 {
            return false;
        }
        let grant = self.rows[workspace].acquire(instance.holder, missing_parts, limit);
        entry
            .bucket
            .grow(grant.parts, micro_tokens(grant.tokens), self.now);
        grant.parts > 0
    }

    /// Releases spare parts if a peer was short recently; returns whether any were released.
    fn release(&mut self, index: usize, workspace: usize) -> bool {
        let limit = self.limits[workspace];
        let instance = &mut self.instances[index];
        let entry = &mut instance.entries[workspace];
        let is_recent = |at: Duration| self.now.saturating_sub(at) <= SHORTAGE_WINDOW;
        if !self.table_up || !entry.peers_short_at.is_some_and(is_recent) {
            return false;
        }
        let spare_parts = share::spare_parts(entry.demand(), limit, entry.bucket.parts());
        let (parts, amount) = entry.bucket.shrink(spare_parts, self.now);
        self.rows[workspace].release(instance.holder, parts, amount / MICRO_PER_TOKEN, limit);
        parts > 0
    }

    /// Counts a request of `tokens` as demand of instance `index` and returns whether the instance
    /// admits it.
    pub fn admit(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        let entry = &mut self.instances[index].entries[workspace];
        entry.requested += tokens;
        entry.largest = entry.largest.max(tokens);
        if self.charge(index, workspace, tokens) {
            return true;
        }
        if self.division != Division::Rights || self.is_in_retry_pause(index, workspace) {
            return false;
        }
        let admitted = self.acquire(index, workspace, tokens);
        if !admitted {
            let entry = &mut self.instances[index].entries[workspace];
            entry.failed_at = Some(self.now);
        }
        admitted
    }

    /// Acquires parts from the table, then borrows from peers, until `tokens` can be charged;
    /// returns whether they were.
    fn acquire(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        self.writes += u64::from(self.acquire_parts(index, workspace));
        if self.charge(index, workspace, tokens) {
            return true;
        }
        self.borrow(index, workspace, tokens);
        self.charge(index, workspace, tokens)
    }

    fn is_in_retry_pause(&self, index: usize, workspace: usize) -> bool {
        let failed_at = self.instances[index].entries[workspace].failed_at;
        failed_at.is_some_and(|at| self.now.saturating_sub(at) < RETRY_PAUSE)
    }

    /// Charges `tokens`, from loans first since they end first; returns whether there were enough.
    fn charge(&mut self, index: usize, workspace: usize, tokens: u64) -> bool {
        let instance = &mut self.instances[index];
        let entry = &mut instance.entries[workspace];
        let from_loans = entry.loans.level(self.now).min(micro_tokens(tokens));
        if from_loans < micro_tokens(tokens) && self.now >= instance.term_end {
            return false;
        }
        let receipt = entry
            .bucket
            .charge(micro_tokens(tokens) - from_loans, self.now);
        if receipt.is_some() {
            entry.loans.spend(from_loans, self.now);
        }
        receipt.is_some()
    }

    /// Requests an equal amount from each peer, then more from those that lent all of it, as the
    /// daemon does.
    fn borrow(&mut self, index: usize, workspace: usize, tokens: u64) {
        let entry = &mut self.instances[index].entries[workspace];
        let level = entry.bucket.level(self.now) + entry.loans.level(self.now);
        let mut missing = micro_tokens(tokens)
            .saturating_sub(level)
            .div_ceil(MICRO_PER_TOKEN);
        let mut peers = self.live_instances();
        peers.retain(|peer| *peer != index);
        for _ in 0..MAX_ROUNDS {
            if missing == 0 || peers.is_empty() {
                return;
            }
            let tokens_per_peer = missing.div_ceil(peers.len() as u64);
            let mut borrowed = 0;
            peers.retain(|peer| {
                let lent = self.lend(*peer, index, workspace, tokens_per_peer);
                borrowed += lent;
                lent == tokens_per_peer
            });
            missing = missing.saturating_sub(borrowed);
        }
    }

    /// Lends up to `tokens` from one instance to another; returns the number lent.
    fn lend(&mut self, lender: usize, borrower: usize, workspace: usize, tokens: u64) -> u64 {
        self.loan_requests += 1;
        let now = self.now;
        let instance = &mut self.instances[lender];
        if now + HOLD_TERM > instance.term_end {
            return 0;
        }
        let entry = &mut instance.entries[workspace];
        let available = entry.bucket.level(now) / MICRO_PER_TOKEN;
        let amount = entry
            .bucket
            .lend(micro_tokens(tokens.min(available)), now, now + HOLD_TERM);
        if amount < micro_tokens(tokens) {
            entry.peers_short_at = Some(now);
        }
        let entry = &mut self.instances[borrower].entries[workspace];
        entry.loans.receive(amount, now);
        amount / MICRO_PER_TOKEN
    }
}
