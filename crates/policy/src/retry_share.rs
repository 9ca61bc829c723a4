//! One instance's share of the retries that all instances together may send to a service.
//!
//! The deployment sets the bound, an [`Allowance`], which each instance divides by the number of
//! instances. [`retry`](crate::retry) has a budget that does not depend on other instances.

/// Fraction of the common allowance that instances use, so that requests that are counted at one
/// instance and end at another do not exceed it.
const USABLE_FRACTION: f64 = 0.8;

/// Retries that all instances together may send to one service in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries beyond that ratio.
    pub slack: f64,
}

/// The instance's use of its share of the allowance.
///
/// # Invariants
///
/// But for [`Budget::overspend`], `spent` is never above the instance's share of the slack (at least
/// one retry), so that the retries in any window number at most that share plus the ratio of the first
/// attempts within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    spent: f64,
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self, allowance: Allowance) {
        self.spent = (self.spent - allowance.ratio * USABLE_FRACTION).max(0.0);
    }

    /// Whether this instance, one of `instances`, has a retry left.
    pub fn has_left(&self, allowance: Allowance, instances: usize) -> bool {
        let share = allowance.slack * USABLE_FRACTION / instances.max(1) as f64;
        self.spent + 1.0 <= share.max(1.0)
    }

    /// Spends one retry if this instance, one of `instances`, has one left.
    pub fn spend(&mut self, allowance: Allowance, instances: usize) -> bool {
        let has_left = self.has_left(allowance, instances);
        if has_left {
            self.spent += 1.0;
        }
        has_left
    }

    /// Spends one retry, from those to come if none is left. The unusable fraction covers a few.
    pub fn overspend(&mut self) {
        self.spent += 1.0;
    }
}
