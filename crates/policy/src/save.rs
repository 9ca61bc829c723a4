//! Which prefixes are saved to a store.
//!
//! The link of a store carries far less than engines compute, so that a store
//! that had to save everything would have no time for fetches.

use crate::pace::Pace;

/// Longest wait at the store's link for a prefix that was requested before, in seconds.
const MAX_WAIT_SECONDS: f32 = 0.3;
/// Longest wait for a prefix that is requested for the first time, in seconds; most are not
/// requested again soon.
const MAX_FIRST_WAIT_SECONDS: f32 = 0.05;

/// Whether to save a prefix, of which `blocks` are computed now by engines with `pace`, to a store
/// whose link is busy for `link_wait` seconds. What is faster to compute again is not saved.
pub fn should_save(blocks: f32, pace: &Pace, link_wait: f32, requested_before: bool) -> bool {
    let max_wait = if requested_before {
        MAX_WAIT_SECONDS
    } else {
        MAX_FIRST_WAIT_SECONDS
    };
    pace.is_fetch_faster(blocks) && link_wait <= max_wait
}
