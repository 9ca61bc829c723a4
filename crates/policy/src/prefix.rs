//! Prompt prefixes as chains of block hashes.

use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

/// Prompt bytes in one cache block: about two thousand tokens of four bytes.
pub const BLOCK_BYTES: usize = 8192;

/// Tokens in one cache block.
pub const BLOCK_TOKENS: u64 = 2048;

/// Cache isolation key: blocks are shared only between prompts with the same root.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Root<'a> {
    /// `<team>/<workspace>`.
    pub workspace: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Name of the adapter, or empty.
    pub adapter: &'a str,
    /// Version of the weights.
    pub version: &'a str,
}

impl Root<'_> {
    /// Hashes the root; each field is prefixed with its length, so that different roots do not
    /// collide by concatenation.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for field in [self.workspace, self.model, self.adapter, self.version] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.digest()
    }
}

/// Prefix levels of a prompt: a hash for each whole block, which also covers all blocks before it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chain {
    /// One hash per whole block, shallowest first.
    pub levels: Vec<u64>,
    /// Length of the remainder after the last whole block, in blocks.
    pub tail: f32,
}

/// Hashes the name of an endpoint.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Chain {
    /// Hashes the blocks of `prompt`, chained to the hash of `root`.
    pub fn new(root: &Root<'_>, prompt: &[u8]) -> Self {
        let mut previous = root.hash();
        let levels = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                let mut hasher = Xxh3::with_seed(previous);
                hasher.update(block);
                previous = hasher.digest();
                previous
            })
            .collect();
        let tail = (prompt.len() % BLOCK_BYTES) as f32 / BLOCK_BYTES as f32;
        Self { levels, tail }
    }

    /// Hashes the blocks of a prompt that is described by its segments, each an id with its length
    /// in tokens, chained to `salt`. The last segment is specific to the request and is not shared.
    ///
    /// A segment shorter than a block gets no level: recomputing it costs less than a lookup.
    pub fn from_segments(salt: u64, segments: impl ExactSizeIterator<Item = (u64, u64)>) -> Self {
        let mut previous = salt;
        let mut levels = Vec::new();
        let mut tail = 0;
        let last = segments.len().saturating_sub(1);
        for (index, (id, tokens)) in segments.enumerate() {
            let blocks = if index == last {
                0
            } else {
                tokens / BLOCK_TOKENS
            };
            for block in 0..blocks {
                let mut hasher = Xxh3::with_seed(previous);
                hasher.update(&id.to_le_bytes());
                hasher.update(&block.to_le_bytes());
                previous = hasher.digest();
                levels.push(previous);
            }
            tail += tokens - blocks * BLOCK_TOKENS;
        }
        Self {
            levels,
            tail: tail as f32 / BLOCK_TOKENS as f32,
        }
    }
}
