//! Planners that do not answer.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use parking_lot::Mutex;

use super::ANSWER_TIMEOUT;

/// Consecutive missing answers after which a planner is not asked for a while. More than one, since a
/// single datagram may be lost.
const MAX_MISSES: u32 = 2;
/// Time for which a planner that does not answer is not asked again.
const SILENCE_BACKOFF: Duration = Duration::from_millis(700);
/// Time after which a planner that was not asked again is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// Planners that did not answer lately.
#[derive(Debug, Default)]
pub(super) struct Silences(Mutex<Vec<Silence>>);

#[derive(Debug)]
struct Silence {
    planner: SocketAddr,
    /// Consecutive missing answers.
    misses: u32,
    first_miss_at: Duration,
    /// When the planner may be asked again, once there are enough misses.
    retry_at: Duration,
}

impl Silences {
    /// Whether the planner may be asked at `now`. Of those that ask a silent planner again, only one is
    /// let through: the others would wait for it in vain.
    pub(super) fn allows(&self, planner: SocketAddr, now: Duration) -> bool {
        let mut silences = self.0.lock();
        let silent = silences.iter_mut().find(|s| s.planner == planner);
        let Some(silence) = silent.filter(|s| s.misses >= MAX_MISSES) else {
            return true;
        };
        if silence.retry_at > now {
            return false;
        }
        silence.retry_at = now + ANSWER_TIMEOUT;
        true
    }

    /// Records an answer; returns for how long the planner was silent, if it was.
    pub(super) fn record_answer(&self, planner: SocketAddr, now: Duration) -> Option<Duration> {
        let mut silences = self.0.lock();
        let index = silences.iter().position(|s| s.planner == planner)?;
        let silence = silences.swap_remove(index);
        (silence.misses >= MAX_MISSES).then(|| now.saturating_sub(silence.first_miss_at))
    }

    /// Records a missing answer and returns whether the planner counts as silent from now on.
    pub(super) fn record_miss(&self, planner: SocketAddr, now: Duration) -> bool {
        let mut silences = self.0.lock();
        silences.retain(|s| s.planner == planner || s.retry_at + RETENTION > now);
        let known = silences.iter().position(|s| s.planner == planner);
        let index = known.unwrap_or_else(|| {
            silences.push(Silence {
                planner,
                misses: 0,
                first_miss_at: now,
                retry_at: now,
            });
            silences.len() - 1
        });
        let silence = &mut silences[index];
        silence.misses += 1;
        if silence.misses >= MAX_MISSES {
            silence.retry_at = now + SILENCE_BACKOFF;
        }
        silence.misses == MAX_MISSES
    }
}
