//! Which prefixes are saved to a store.
//!
//! The link of a store carries far less than engines compute, so that a store
//! that had to save everything would have no time for fetches.

/// Computed blocks above which a prefix is saved; fewer cost less to compute again than to
/// transfer.
const MIN_BLOCKS: f32 = 1.5;
/// Longest wait at the store's link for a prefix that was requested before, in seconds.
const MAX_WAIT_SECONDS: f32 = 0.3;
/// Longest wait for a prefix that is requested for the first time, in seconds; most are not
/// requested again soon.
const MAX_FIRST_WAIT_SECONDS: f32 = 0.05;

/// Whether to save a prefix, of which `blocks` are computed now, to a store whose link is busy for
/// `link_wait` seconds.
pub fn should_save(blocks: f32, link_wait: f32, requested_before: bool) -> bool {
    let max_wait = if requested_before {
        MAX_WAIT_SECONDS
    } else {
        MAX_FIRST_WAIT_SECONDS
    };
    blocks > MIN_BLOCKS && link_wait <= max_wait
}
