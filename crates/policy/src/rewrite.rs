//! When instances write again what a table that was restored from an older copy lacks.
//!
//! All instances may know a row, but calls of the table are limited. The instance that wrote the row
//! last comes first, then the hubs, one after the other, then the others at random times over a
//! period that grows with their number. Each writes only if the row is still lacking by then, so
//! that most leave it to the first.

use std::time::Duration;

/// Delay of the first hub and from one hub to the next, in which a row that was written arrives at
/// the other instances.
const HUB_STEP: Duration = Duration::from_millis(700);
/// Delay after which the instances begin that are not hubs.
const OTHERS_DELAY: Duration = Duration::from_millis(2_800);
/// Time of the period for each instance, if all of them may write the row.
const SHARED_TIME: Duration = Duration::from_millis(50);
/// Bounds of that period.
const SHARED_PERIOD: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(30));
/// Time of the period for each instance, if each writes a row of its own.
const OWN_TIME: Duration = Duration::from_millis(10);
/// Bounds of that period.
const OWN_PERIOD: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));

/// Time for each instance between two writes of its own row in calm, so that the fleet writes at an
/// even pace whatever its size.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Shortest time between these writes.
const MIN_CALM_INTERVAL: Duration = Duration::from_secs(20);
/// First delay after a failed write of a row that the table lacks.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time of the longest such delay for each instance.
const RETRY_TIME: Duration = Duration::from_millis(10);
/// Bounds of the longest such delay.
const MAX_RETRY_DELAY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));

/// An instance that may write a row again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Writer {
    /// It wrote the row last.
    Last,
    /// It is the hub of this rank.
    Hub(usize),
    /// Any other.
    Other,
}

/// Delay after which one of `instances` writes a row again that all of them may know; `draw` is
/// random from 0 to 1.
pub fn shared_delay(writer: Writer, instances: usize, draw: f64) -> Duration {
    match writer {
        Writer::Last => Duration::ZERO,
        Writer::Hub(rank) => HUB_STEP.saturating_mul(count(rank).saturating_add(1)),
        Writer::Other => OTHERS_DELAY + draw_of(SHARED_TIME, SHARED_PERIOD, instances, draw),
    }
}

/// Delay after which one of `instances` writes its own row again; `draw` is random from 0 to 1.
pub fn own_delay(instances: usize, draw: f64) -> Duration {
    draw_of(OWN_TIME, OWN_PERIOD, instances, draw)
}

/// Time from an attempt of one of `instances` to write its own row to the next one. `failures` counts
/// the failed attempts since the table is known to lack the row; it is `None` if the table has it.
///
/// The row of an instance that runs seldom changes. It is written again so that the table holds a
/// recent time at which some instance ran, which needs no more writes in a larger fleet.
pub fn row_delay(instances: usize, failures: Option<u32>) -> Duration {
    let instances = count(instances);
    let Some(failures) = failures else {
        return CALM_TIME.saturating_mul(instances).max(MIN_CALM_INTERVAL);
    };
    let (shortest, longest) = MAX_RETRY_DELAY;
    let max_delay = RETRY_TIME
        .saturating_mul(instances)
        .clamp(shortest, longest);
    let delay = FIRST_RETRY_DELAY.saturating_mul(1 << failures.saturating_sub(1).min(8));
    delay.min(max_delay)
}

fn draw_of(
    time: Duration,
    (shortest, longest): (Duration, Duration),
    instances: usize,
    draw: f64,
) -> Duration {
    let period = time.saturating_mul(count(instances));
    period
        .clamp(shortest, longest)
        .mul_f64(draw.clamp(0.0, 1.0))
}

fn count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
