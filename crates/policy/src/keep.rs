//! Which prefixes a store is told to keep.
//!
//! The link of a store carries far less than engines compute, so that a store
//! told to keep everything has no time to give anything back.

/// Least blocks computed for which a prefix is worth keeping.
const MIN_BLOCKS: f32 = 1.5;
/// Longest wait at the store's link for a prefix that was asked for before, in seconds.
const MAX_WAIT_SECONDS: f32 = 0.3;
/// The same for a prefix that was asked for the first time; most are not asked for again soon.
const MAX_FIRST_WAIT_SECONDS: f32 = 0.05;

/// Whether a store whose link is busy for `link_wait` seconds is to keep a prefix of which `blocks`
/// are computed now.
pub fn is_worth(blocks: f32, link_wait: f32, asked_before: bool) -> bool {
    let longest = if asked_before {
        MAX_WAIT_SECONDS
    } else {
        MAX_FIRST_WAIT_SECONDS
    };
    blocks > MIN_BLOCKS && link_wait <= longest
}
