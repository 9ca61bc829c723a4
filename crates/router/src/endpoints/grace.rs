//! The grace period after an outage of the table.

use std::time::Duration;

use policy::outage::{
    GRACE_PERIOD,
    Outage, //
};

/// The grace period, in which a deleted row does not remove its endpoint.
#[derive(Debug, Default)]
pub(super) struct Grace {
    /// Outages as this instance knows them.
    pub(super) outage: Outage,
    /// End of the grace period as other instances report it, whether they see the table or not.
    pub(super) reported_end: Duration,
    /// Earliest end of the grace period among the instances that see the table, this one included;
    /// `None` if none is known to.
    pub(super) witnessed_end: Option<Duration>,
}

impl Grace {
    /// Rest of the grace period, at most the whole of it.
    pub(super) fn remaining(&self, now: Duration) -> Duration {
        let end = self.witnessed_end.unwrap_or_else(|| {
            let own_end = self.outage.grace_end().unwrap_or(Duration::MAX);
            own_end.max(self.reported_end)
        });
        end.saturating_sub(now).min(GRACE_PERIOD)
    }
}
