//! Token bucket over the parts of a workspace's limit that one instance holds.

use std::time::Duration;

use super::{
    Limit,
    TOTAL_PARTS, //
};

/// Most deficit minima kept for refunds; older ones are merged, which makes refunds smaller.
const MAX_MINIMA: usize = 1024;

/// Added to wait times, since each accrual rounds down.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);

/// Identifies a charge, so that its unused tokens can be refunded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Receipt {
    seq: u64,
    /// Micro-tokens charged.
    pub charged: u64,
}

/// Tokens lent to a peer; they lower the bucket's cap until the loan has expired there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Hold {
    expires_at: Duration,
    amount: u64,
}

/// The lowest deficit between the operation `seq` and that of the next entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Minimum {
    seq: u64,
    deficit: u64,
}

/// A token bucket over a number of parts.
///
/// All times are of one monotonic clock; all amounts are micro-tokens.
///
/// # Invariants
///
/// `level + lent() ≤ limit.cap(parts)`. `minima` is sorted by `seq`, and its
/// deficits rise strictly.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bucket {
    limit: Limit,
    parts: u32,
    level: u64,
    /// Tokens used beyond their charge; accrual pays them off before it raises the level.
    debt: u64,
    accrued_at: Duration,
    holds: Vec<Hold>,
    minima: Vec<Minimum>,
    seq: u64,
}

impl Bucket {
    /// Makes an empty bucket without parts.
    pub fn new(limit: Limit, now: Duration) -> Self {
        Self {
            limit,
            accrued_at: now,
            ..Self::default()
        }
    }

    /// Number of parts held.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Micro-tokens that can be charged at `now`.
    pub fn level(&mut self, now: Duration) -> u64 {
        self.accrue(now);
        self.level
    }

    /// Time from `now` until `amount` can be charged, or `None` if it exceeds the cap or the
    /// bucket accrues nothing.
    pub fn wait(&mut self, amount: u64, now: Duration) -> Option<Duration> {
        self.accrue(now);
        if amount <= self.level {
            return Some(Duration::ZERO);
        }
        if amount > self.cap() {
            return None;
        }
        let accrual_per_second = self.limit.accrual(self.parts, 1_000_000);
        if accrual_per_second == 0 {
            return None;
        }
        let missing = u128::from(amount - self.level) + u128::from(self.debt);
        let micros = missing * 1_000_000 / u128::from(accrual_per_second);
        Some(Duration::from_micros(super::saturate(micros)) + ROUNDING_MARGIN)
    }

    /// Changes the limit; the level is cut to the new cap.
    pub fn set_limit(&mut self, limit: Limit, now: Duration) {
        if limit == self.limit {
            return;
        }
        self.accrue(now);
        self.accrued_at = self.accrued_at.max(now);
        self.limit = limit;
        self.clamp_level();
        self.record_deficit();
    }

    /// Adds parts that were acquired in the table, with the tokens granted with them.
    pub fn grow(&mut self, parts: u32, tokens: u64, now: Duration) {
        self.accrue(now);
        self.accrued_at = self.accrued_at.max(now);
        self.parts = (self.parts + parts).min(TOTAL_PARTS);
        self.level = self.level.saturating_add(tokens);
        self.clamp_level();
        self.record_deficit();
    }

    /// Removes parts to release them in the table, with the same fraction of the level.
    ///
    /// Returns the parts removed and their micro-tokens: none if the remaining parts would have
    /// less burst than is lent out.
    pub fn shrink(&mut self, parts: u32, now: Duration) -> (u32, u64) {
        self.accrue(now);
        self.accrued_at = self.accrued_at.max(now);
        let parts = parts.min(self.parts);
        let remaining = self.parts - parts;
        if parts == 0 || self.limit.cap(remaining) < self.lent() {
            return (0, 0);
        }
        let amount = u128::from(self.level) * u128::from(parts) / u128::from(self.parts);
        let amount = super::saturate(amount).min(self.limit.cap(parts));
        self.parts = remaining;
        self.level -= amount;
        self.clamp_level();
        self.record_deficit();
        (parts, amount)
    }

    /// Removes all parts and tokens, as when the rights were lost.
    ///
    /// Charges made before are not refunded.
    pub fn clear(&mut self, now: Duration) {
        self.accrue(now);
        self.accrued_at = self.accrued_at.max(now);
        self.parts = 0;
        self.level = 0;
        self.debt = 0;
        self.holds.clear();
        self.minima.clear();
        self.seq += 1;
        self.minima.push(Minimum {
            seq: self.seq,
            deficit: 0,
        });
    }

    /// Charges `amount`, or returns `None` if the level is lower.
    pub fn charge(&mut self, amount: u64, now: Duration) -> Option<Receipt> {
        self.accrue(now);
        if amount > self.level {
            return None;
        }
        self.level -= amount;
        self.seq += 1;
        self.record_deficit();
        Some(Receipt {
            seq: self.seq,
            charged: amount,
        })
    }

    /// Refunds the unused tokens of a charge and returns the amount refunded.
    ///
    /// It is at most the lowest deficit since the charge: the bucket must have had room for the
    /// tokens all the time since.
    pub fn refund(&mut self, receipt: Receipt, unused: u64, now: Duration) -> u64 {
        self.accrue(now);
        let amount = unused
            .min(receipt.charged)
            .min(self.min_deficit_since(receipt.seq));
        for minimum in &mut self.minima {
            minimum.deficit = minimum.deficit.saturating_sub(amount);
        }
        let zeros = self.minima.partition_point(|minimum| minimum.deficit == 0);
        self.minima.drain(..zeros.saturating_sub(1));
        self.level += amount;
        self.record_deficit();
        amount
    }

    /// Charges tokens used beyond a charge; what the level does not cover becomes debt.
    pub fn overdraw(&mut self, amount: u64, now: Duration) {
        self.accrue(now);
        let charged = amount.min(self.level);
        self.level -= charged;
        self.debt = self.debt.saturating_add(amount - charged);
        self.record_deficit();
    }

    /// Lends up to `amount` to a peer, whose loan must expire before `expires_at`; returns the
    /// amount lent. Its burst is out of use here until `expires_at`.
    pub fn lend(&mut self, amount: u64, now: Duration, expires_at: Duration) -> u64 {
        self.accrue(now);
        let amount = amount.min(self.level);
        if amount > 0 {
            self.level -= amount;
            self.holds.push(Hold { expires_at, amount });
        }
        amount
    }

    /// Whether burst of this bucket is lent out at `now`.
    pub fn is_lent(&mut self, now: Duration) -> bool {
        self.accrue(now);
        !self.holds.is_empty()
    }

    fn lent(&self) -> u64 {
        self.holds.iter().map(|hold| hold.amount).sum()
    }

    fn cap(&self) -> u64 {
        self.limit.cap(self.parts).saturating_sub(self.lent())
    }

    /// Difference between the cap and the level.
    fn deficit(&self) -> u64 {
        self.cap().saturating_sub(self.level)
    }

    /// Accrues tokens up to `now`.
    ///
    /// A hold that has just expired still lowers the cap for this accrual: its burst is usable
    /// only after the end of the loan.
    fn accrue(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.accrued_at).as_micros();
        let accrued = self.limit.accrual(self.parts, elapsed);
        // Otherwise the interval is too short to accrue anything and is added to the next one.
        if accrued > 0 || self.parts == 0 || self.level >= self.cap() {
            let paid = accrued.min(self.debt);
            self.debt -= paid;
            self.level = self.level.saturating_add(accrued - paid);
            self.accrued_at = self.accrued_at.max(now);
        }
        self.clamp_level();
        self.record_deficit();
        if self.holds.iter().any(|hold| hold.expires_at <= now) {
            self.holds.retain(|hold| hold.expires_at > now);
        }
    }

    fn clamp_level(&mut self) {
        self.level = self.level.min(self.cap());
    }

    /// Adds the present deficit to the minima.
    fn record_deficit(&mut self) {
        let deficit = self.deficit();
        while self
            .minima
            .last()
            .is_some_and(|last| last.deficit >= deficit)
        {
            self.minima.pop();
        }
        let seq = self.seq;
        match self.minima.last() {
            Some(last) if last.seq == seq => {}
            _ => self.minima.push(Minimum { seq, deficit }),
        }
        if self.minima.len() > MAX_MINIMA {
            let merged = self.minima.remove(1);
            self.minima[0].seq = merged.seq;
        }
    }

    /// The lowest deficit since the operation `seq`.
    fn min_deficit_since(&self, seq: u64) -> u64 {
        let first = self.minima.partition_point(|minimum| minimum.seq < seq);
        let deficit = self.minima.get(first).map(|minimum| minimum.deficit);
        deficit.unwrap_or(0).min(self.deficit())
    }
}
