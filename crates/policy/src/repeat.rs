//! One instance's part of a budget for repeats that all instances share.

/// Part of the shared allowance that instances use, so that requests which end elsewhere than they
/// were counted do not break it.
const USED_PART: f64 = 0.8;

/// What all instances together may repeat at one service in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
}

/// What this instance may repeat.
///
/// # Invariants
///
/// Never above the instance's part of the slack, so that repeats in any window number at most that
/// and the ratio of the first attempts within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    spent: f64,
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self, allowance: Allowance) {
        self.spent = (self.spent - allowance.ratio * USED_PART).max(0.0);
    }

    /// Takes one repeat, if this one of `instances` has one left.
    pub fn spend(&mut self, allowance: Allowance, instances: usize) -> bool {
        let part = allowance.slack * USED_PART / instances.max(1) as f64;
        if self.spent + 1.0 > part.max(1.0) {
            return false;
        }
        self.spent += 1.0;
        true
    }
}
