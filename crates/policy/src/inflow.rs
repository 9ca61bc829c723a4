//! How long an engine or a store keeps what it was given.
//!
//! Both drop what was used least recently, so that an entry lives for as long as
//! it takes to be given as much as fits.

use crate::belief::Millis;

/// Time over which tokens are counted: shorter than entries live.
const MEMORY_MS: f32 = 4_000.0;
/// Part of the memory that holds entries; requests that run take the rest.
const ENTRY_PART: f32 = 0.7;
/// Longest time for which an entry is taken to be kept.
const MAX_HORIZON_MS: f32 = 120_000.0;

/// Tokens that one engine or store is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inflow {
    /// Tokens of late, which fade.
    tokens: f32,
    at: Millis,
}

impl Inflow {
    /// Takes in tokens that are given now.
    pub fn add(&mut self, now: Millis, tokens: f32) {
        self.tokens = self.left(now) + tokens;
        self.at = now.max(self.at);
    }

    /// Age at which half of the entries are gone, where `capacity` tokens fit.
    pub fn horizon(&self, now: Millis, capacity: f32) -> Millis {
        let per_ms = self.left(now) / MEMORY_MS;
        let horizon = capacity * ENTRY_PART / per_ms.max(f32::MIN_POSITIVE);
        horizon.min(MAX_HORIZON_MS) as Millis
    }

    fn left(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.at) as f32;
        self.tokens * (-age / MEMORY_MS).exp()
    }
}
