//! Rest of an endpoint: a time for which it wants no requests of this instance.

use std::time::Duration;

use crate::belief::Millis;

/// Pause between the requests that follow a rest, until one of them is answered.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// The rest for which an endpoint has asked this instance.
///
/// # Invariants
///
/// After a rest one request per [`TRIAL_PAUSE`] is sent, until the endpoint has answered one without
/// asking for a rest: all that were refused meanwhile would come at once otherwise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rest {
    ends_at: Millis,
    /// When the next request after the rest may be sent; `None` once one was answered.
    next_trial_at: Option<Millis>,
}

impl Rest {
    /// Begins a rest; one that goes on is not shortened.
    pub fn begin(&mut self, now: Millis, rest: Duration) {
        self.ends_at = self.ends_at.max(now.saturating_add(millis(rest)));
        self.next_trial_at = Some(self.ends_at);
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: Millis) {
        if let Some(next_trial_at) = &mut self.next_trial_at {
            *next_trial_at = now.saturating_add(millis(TRIAL_PAUSE));
        }
    }

    /// Records an answer that asks for no rest, to a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Millis) {
        if sent_at >= self.ends_at {
            self.next_trial_at = None;
        }
    }

    /// Time for which nothing may be sent; zero if a request may be sent now.
    pub fn remaining(&self, now: Millis) -> Duration {
        let next_at = self.ends_at.max(self.next_trial_at.unwrap_or_default());
        Duration::from_millis(next_at.saturating_sub(now))
    }
}

fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
