//! Token rights: leased quota for a workspace's rate and burst, divided among instances.
//!
//! A workspace's limit, its rate and burst, is divided into [`TOTAL_PARTS`] equal
//! parts. An instance spends only from a [`bucket::Bucket`] over the parts that it
//! holds and from the loans of peers ([`loan::Balance`]); a [`share::Row`] in the
//! table records which holder has how many parts. docs/design/token-rights.md proves
//! that however parts are granted, lent, lost and spent, the tokens admitted in every
//! window are at most rate × window + burst.

pub mod bucket;
pub mod loan;
pub mod share;
pub mod term;

/// Number of parts into which a workspace's limit is divided.
pub const TOTAL_PARTS: u32 = 1 << 16;

/// Micro-tokens in one token; buckets count in micro-tokens.
pub const MICRO_PER_TOKEN: u64 = 1_000_000;

/// How much slower than the rate tokens accrue, in thousandths, so that a clock
/// that runs fast adds no tokens beyond the rate.
pub const DRIFT_PER_MILLE: u64 = 1;

/// Rate and burst of a whole workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be spent at once.
    pub burst: u64,
}

impl Limit {
    /// The burst of `parts`, in micro-tokens, rounded down.
    pub fn cap(&self, parts: u32) -> u64 {
        let total = u128::from(self.burst) * u128::from(MICRO_PER_TOKEN);
        saturate(total * u128::from(parts) / u128::from(TOTAL_PARTS))
    }

    /// Micro-tokens that `parts` accrue in `micros` microseconds, rounded down.
    pub fn accrual(&self, parts: u32, micros: u128) -> u64 {
        let slowed_rate = u128::from(self.rate) * u128::from(1000 - DRIFT_PER_MILLE);
        let product = slowed_rate.saturating_mul(u128::from(parts));
        saturate(product.saturating_mul(micros) / (1000 * u128::from(TOTAL_PARTS)))
    }

    /// The fewest parts whose burst is at least `tokens`, or all parts if none suffice.
    pub fn parts_for_burst(&self, tokens: u64) -> u32 {
        parts_for(tokens, self.burst)
    }

    /// The fewest parts whose rate is at least `rate`, or all parts if none suffice.
    pub fn parts_for_rate(&self, rate: u64) -> u32 {
        parts_for(rate, self.rate)
    }
}

fn parts_for(wanted: u64, total: u64) -> u32 {
    if wanted >= total {
        return TOTAL_PARTS;
    }
    let parts = (u128::from(wanted) * u128::from(TOTAL_PARTS)).div_ceil(u128::from(total));
    u32::try_from(parts).unwrap_or(TOTAL_PARTS).min(TOTAL_PARTS)
}

/// Converts whole tokens to micro-tokens.
pub fn micro_tokens(tokens: u64) -> u64 {
    tokens.saturating_mul(MICRO_PER_TOKEN)
}

fn saturate(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
