//! Rate at which tokens enter the cache of an engine or a store, and how long entries stay there.
//!
//! Both evict the least recently used entry first, so that an entry stays for as
//! long as it takes to add as many tokens as fit.

use crate::belief::Millis;

/// Time constant of the decaying token count: shorter than entries stay cached.
const DECAY_MS: f32 = 4_000.0;
/// Fraction of the capacity that holds cached entries; running requests use the rest.
const CACHE_FRACTION: f32 = 0.7;
/// Maximum estimate of the eviction age.
const MAX_EVICTION_AGE_MS: f32 = 120_000.0;

/// Tokens added to one engine or store recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inflow {
    /// Tokens added, decayed exponentially up to `updated_at`.
    tokens: f32,
    updated_at: Millis,
}

impl Inflow {
    /// Counts tokens that are added at `now`.
    pub fn add(&mut self, now: Millis, tokens: f32) {
        self.tokens = self.decayed_tokens(now) + tokens;
        self.updated_at = now.max(self.updated_at);
    }

    /// Age in milliseconds at which half of the entries are evicted from a cache that holds
    /// `capacity` tokens.
    pub fn eviction_age(&self, now: Millis, capacity: f32) -> Millis {
        let tokens_per_ms = self.decayed_tokens(now) / DECAY_MS;
        let eviction_age = capacity * CACHE_FRACTION / tokens_per_ms.max(f32::MIN_POSITIVE);
        eviction_age.min(MAX_EVICTION_AGE_MS) as Millis
    }

    fn decayed_tokens(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.updated_at) as f32;
        self.tokens * (-age / DECAY_MS).exp()
    }
}
