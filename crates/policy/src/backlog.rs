//! Work that one instance has placed at an endpoint for all instances.
//!
//! Nobody tells when each piece of it is done; what is left is estimated from
//! the endpoint's pace.

use crate::belief::Millis;

/// Blocks to be computed at one endpoint, falling at the endpoint's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Blocks that were left at `at`.
    blocks: f32,
    at: Millis,
}

impl Backlog {
    /// Blocks that are left at an endpoint that takes `block_seconds` for each.
    pub fn left(&self, now: Millis, block_seconds: f32) -> f32 {
        let elapsed = now.saturating_sub(self.at) as f32 / 1_000.0;
        (self.blocks - elapsed / block_seconds.max(f32::MIN_POSITIVE)).max(0.0)
    }

    /// Takes in blocks that are placed there now.
    pub fn place(&mut self, now: Millis, block_seconds: f32, blocks: f32) {
        self.blocks = self.left(now, block_seconds) + blocks.max(0.0);
        self.at = now.max(self.at);
    }
}
