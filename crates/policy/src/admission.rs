//! Whether a request may start at its endpoints now, and how long it would wait.

use std::time::Duration;

use crate::fair::{
    CLASSES,
    MAY_WAIT, //
};

/// Percentage of the slots that requests of class [`MAY_WAIT`] leave to the other classes.
pub const RESERVE_PERCENT: u32 = 30;
/// Weight of the newest sample in the moving average, in eighths.
const NEWEST_EIGHTHS: u32 = 1;

/// Slots of a set of endpoints, and how many requests of this instance run there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Requests that the endpoints run at once.
    pub slots: u32,
    /// Instances that share the endpoints.
    pub instances: u32,
    /// Requests of this instance that run there, by class.
    pub running: [u32; CLASSES],
}

impl Capacity {
    /// Whether a request of `class` may start.
    ///
    /// Class [`MAY_WAIT`] is limited to this instance's share of the slots outside the
    /// reserve, so that all instances together leave the reserve free. The other classes
    /// may use all slots from any instance; the endpoints' own queues honour priorities.
    pub fn may_start(&self, class: usize) -> bool {
        let running: u64 = self.running.iter().map(|count| u64::from(*count)).sum();
        running < u64::from(self.limit(class))
    }

    fn limit(&self, class: usize) -> u32 {
        if class < MAY_WAIT {
            return self.slots.max(1);
        }
        let unreserved = u64::from(self.slots) * u64::from(100 - RESERVE_PERCENT) / 100;
        let share = unreserved / u64::from(self.instances.max(1));
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }

    /// Expected time until a request of `class` starts behind `ahead` others.
    pub fn wait(&self, class: usize, ahead: usize, mean_duration: Duration) -> Duration {
        let requests = u32::try_from(ahead.saturating_add(1)).unwrap_or(u32::MAX);
        mean_duration.saturating_mul(requests) / self.limit(class)
    }
}

/// The moving average of request durations after the sample `newest`.
pub fn average_duration(old: Duration, newest: Duration) -> Duration {
    if old.is_zero() {
        return newest;
    }
    let old = old.saturating_mul(8 - NEWEST_EIGHTHS);
    old.saturating_add(newest.saturating_mul(NEWEST_EIGHTHS)) / 8
}
