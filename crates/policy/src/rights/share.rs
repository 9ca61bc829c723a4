//! How many parts of a workspace's limit each holder has: the row in the table, and how
//! many parts an instance should hold.

use super::{
    Limit,
    TOTAL_PARTS, //
};

/// Fewest parts that justify a write to the table.
pub const MIN_PARTS: u32 = TOTAL_PARTS / 256;

/// Parts that an instance with any traffic wants, as a reserve for an outage of the table.
pub const BASE_PARTS: u32 = TOTAL_PARTS / 16;

/// Parts of a workspace without traffic that its home instance holds.
pub const HOME_PARTS: u32 = TOTAL_PARTS / 64;

/// Identifies one holder for as long as its row exists; never reused.
pub type Holder = u64;

/// The parts of one holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// The holder of the parts.
    pub holder: Holder,
    /// Number of parts.
    pub parts: u32,
}

/// How one workspace's limit is divided among holders.
///
/// # Invariants
///
/// The parts of all shares together are at most [`TOTAL_PARTS`]. `free_tokens`
/// belong to the free parts and never exceed their burst.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Tokens that are granted with free parts, as far as they fit.
    pub free_tokens: u64,
    /// Shares, sorted by holder.
    pub shares: Vec<Share>,
}

/// Parts and tokens granted to a holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// Additional parts.
    pub parts: u32,
    /// Tokens that come with them.
    pub tokens: u64,
}

impl Row {
    /// The row before any part is held: all parts are free and the burst is full.
    pub fn unheld(limit: Limit) -> Self {
        Self {
            free_tokens: limit.burst,
            shares: Vec::new(),
        }
    }

    /// Number of parts without a holder.
    pub fn free_parts(&self) -> u32 {
        let held_parts: u32 = self.shares.iter().map(|share| share.parts).sum();
        TOTAL_PARTS.saturating_sub(held_parts)
    }

    /// Number of parts that `holder` has.
    pub fn parts(&self, holder: Holder) -> u32 {
        match self.index(holder) {
            Ok(index) => self.shares[index].parts,
            Err(_) => 0,
        }
    }

    /// Grants up to `parts` free parts, with as many of the free tokens as fit their burst.
    pub fn acquire(&mut self, holder: Holder, parts: u32, limit: Limit) -> Grant {
        let parts = parts.min(self.free_parts());
        if parts == 0 {
            return Grant::default();
        }
        let tokens = self
            .free_tokens
            .min(limit.cap(parts) / super::MICRO_PER_TOKEN);
        match self.index(holder) {
            Ok(index) => self.shares[index].parts += parts,
            Err(index) => self.shares.insert(index, Share { holder, parts }),
        }
        self.free_tokens -= tokens;
        self.clamp_tokens(limit);
        Grant { parts, tokens }
    }

    /// Frees `parts` of `holder`, with the tokens that it returns.
    pub fn release(&mut self, holder: Holder, parts: u32, tokens: u64, limit: Limit) {
        let Ok(index) = self.index(holder) else {
            return;
        };
        let share = &mut self.shares[index];
        share.parts = share.parts.saturating_sub(parts);
        if share.parts == 0 {
            self.shares.remove(index);
        }
        self.free_tokens = self.free_tokens.saturating_add(tokens);
        self.clamp_tokens(limit);
    }

    /// Frees all parts of a holder whose row is gone; their tokens are lost.
    pub fn remove_holder(&mut self, holder: Holder) {
        self.shares.retain(|share| share.holder != holder);
    }

    fn index(&self, holder: Holder) -> Result<usize, usize> {
        self.shares.binary_search_by_key(&holder, |s| s.holder)
    }

    fn clamp_tokens(&mut self, limit: Limit) {
        let cap = limit.cap(self.free_parts()) / super::MICRO_PER_TOKEN;
        self.free_tokens = self.free_tokens.min(cap);
    }
}

/// A workspace's recent traffic at one instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Tokens per second requested, whether admitted or not.
    pub rate: u64,
    /// Tokens of the largest request.
    pub largest: u64,
}

/// Rate that an instance wants beyond its demand, in percent of the demand.
const WANTED_MARGIN_PERCENT: u64 = 50;
/// Rate beyond its demand that an instance keeps when peers need parts, in percent of the demand.
const RETAINED_MARGIN_PERCENT: u64 = 20;
/// How many requests of the largest size the burst of an instance should hold.
const LARGEST_REQUESTS_IN_BURST: u64 = 2;

/// Number of parts that an instance with this demand should hold.
pub fn wanted_parts(demand: Demand, limit: Limit) -> u32 {
    let rate = demand.rate.saturating_mul(100 + WANTED_MARGIN_PERCENT) / 100;
    let burst = demand.largest.saturating_mul(LARGEST_REQUESTS_IN_BURST);
    limit
        .parts_for_rate(rate)
        .max(limit.parts_for_burst(burst))
        .max(BASE_PARTS)
}

/// Number of the `held` parts that an instance can release for peers that need more.
///
/// The parts it retains cover its rate; burst for large requests can be borrowed. Below
/// [`MIN_PARTS`] the result is 0.
pub fn spare_parts(demand: Demand, limit: Limit, held: u32) -> u32 {
    let rate = demand.rate.saturating_mul(100 + RETAINED_MARGIN_PERCENT) / 100;
    let retained = limit.parts_for_rate(rate).max(MIN_PARTS);
    let spare = held.saturating_sub(retained);
    if spare < MIN_PARTS { 0 } else { spare }
}
