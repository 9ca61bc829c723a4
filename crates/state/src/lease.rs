//! The lease that permits an instance to do control work.

use std::time::Duration;

use parking_lot::Mutex;

use crate::clock;

/// One term of the lease, by the clock of the holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Fencing number; higher for each new holder.
    pub number: u64,
    /// End of the term by the local clock, less the allowance for clock drift.
    pub expires_at: Duration,
    /// Time until which orders of the previous holder may still arrive.
    pub quiet_until: Duration,
}

/// The lease for control work, whether held by this instance or not.
#[derive(Debug, Default)]
pub struct Lease {
    grant: Mutex<Option<Grant>>,
}

impl Lease {
    /// Records a granted or renewed term.
    pub fn set(&self, grant: Grant) {
        *self.grant.lock() = Some(grant);
    }

    /// Records that another instance holds the lease.
    pub fn clear(&self) {
        *self.grant.lock() = None;
    }

    /// The grant, if at least `margin` of its term is left by a new reading of the clock.
    pub fn check(&self, margin: Duration) -> Option<Grant> {
        let grant = (*self.grant.lock())?;
        (clock::now() + margin <= grant.expires_at).then_some(grant)
    }
}
