//! Prompt prefixes as chains of hashes.

use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

/// Prompt bytes in one cache block: about two thousand tokens of four bytes.
pub const BLOCK_BYTES: usize = 8192;

/// Tokens in one block, the unit of prompt lengths and of the work that engines have.
pub const BLOCK_TOKENS: u64 = 2048;

/// Longest prompt that is counted, in tokens; callers may state any number.
pub const MAX_PROMPT_TOKENS: u64 = 1 << 22;

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

/// A part of a prompt that can be cached on its own, provided that all parts before it are cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Hash of the part and of all parts before it.
    pub hash: u64,
    /// Length of the part, in blocks.
    pub blocks: f32,
}

/// Prompt as a chain of levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chain {
    /// Levels, shallowest first.
    pub levels: Vec<Level>,
    /// Length of the remainder after the last level, in blocks.
    pub tail: f32,
}

/// Hashes the name of an endpoint.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

impl Chain {
    /// Hashes the whole blocks of `prompt`, chained to the hash of `root`.
    pub fn new(root: &Root<'_>, prompt: &[u8]) -> Self {
        let mut previous = root.hash();
        let levels = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                let mut hasher = Xxh3::with_seed(previous);
                hasher.update(block);
                previous = hasher.digest();
                Level {
                    hash: previous,
                    blocks: 1.0,
                }
            })
            .collect();
        let tail = (prompt.len() % BLOCK_BYTES) as f32 / BLOCK_BYTES as f32;
        Self { levels, tail }
    }

    /// Hashes the segments of a prompt, each an id with its length in tokens, chained to `salt`.
    /// Each segment is a level, except for the last one, which is specific to the request and is
    /// not shared.
    pub fn from_segments(salt: u64, segments: impl ExactSizeIterator<Item = (u64, u64)>) -> Self {
        let mut previous = salt;
        let mut chain = Self::default();
        let last = segments.len().saturating_sub(1);
        for (index, (id, tokens)) in segments.enumerate() {
            let blocks = tokens as f32 / BLOCK_TOKENS as f32;
            if index == last {
                chain.tail = blocks;
                break;
            }
            let mut hasher = Xxh3::with_seed(previous);
            hasher.update(&id.to_le_bytes());
            hasher.update(&tokens.to_le_bytes());
            previous = hasher.digest();
            chain.levels.push(Level {
                hash: previous,
                blocks,
            });
        }
        chain
    }

    /// Shortens the prompt to at most `blocks`; the hashes stay.
    pub fn truncate(&mut self, blocks: f32) {
        let mut left = blocks;
        let lengths = self.levels.iter_mut().map(|level| &mut level.blocks);
        for length in lengths.chain([&mut self.tail]) {
            // A length that is not a number counts as none.
            *length = length.clamp(0.0, left).max(0.0);
            left -= *length;
        }
    }

    /// Hashes of the levels, shallowest first.
    pub fn hashes(&self) -> Vec<u64> {
        self.levels.iter().map(|level| level.hash).collect()
    }

    /// Length of the levels together, in blocks.
    pub fn prefix_blocks(&self) -> f32 {
        total_blocks(&self.levels)
    }

    /// Length of the prompt, in blocks.
    pub fn total_blocks(&self) -> f32 {
        self.prefix_blocks() + self.tail
    }
}

/// Length of `levels` together, in blocks.
pub fn total_blocks(levels: &[Level]) -> f32 {
    levels.iter().map(|level| level.blocks).sum()
}

/// Number of leading levels that are cached if the first `hits` blocks of the prompt are; a level
/// counts if more than half of it is.
pub fn cached_levels(levels: &[Level], hits: f32) -> usize {
    let mut end = 0.0;
    let is_cached = |level: &&Level| {
        end += level.blocks;
        end - level.blocks / 2.0 < hits
    };
    levels.iter().take_while(is_cached).count()
}
