//! The engine's prompt cache: an LRU cache of whole blocks.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Size of a prompt block, in bytes.
pub const BLOCK_BYTES: usize = 8192;

/// Change of the cache's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The block with this hash was computed and added.
    Stored(u64),
    /// The block with this hash was evicted.
    Removed(u64),
    /// All blocks were removed.
    Cleared,
}

/// Hashes of the cached blocks with the order of their last use.
///
/// # Invariants
///
/// `last_use` maps each block to the tick of its last use, and `by_last_use` is its inverse.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    tick: u64,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

/// Hashes of the whole blocks of a prompt. Each hash also covers `salt` and all blocks before it.
pub fn prefix_hashes(salt: &str, prompt: &[u8]) -> Vec<u64> {
    let mut previous = xxh3_64(salt.as_bytes());
    let hash = |block| {
        previous = xxh3_64_with_seed(block, previous);
        previous
    };
    prompt.chunks_exact(BLOCK_BYTES).map(hash).collect()
}

impl Cache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tick: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Marks a block as used now if it is cached, and returns whether it is.
    pub fn touch(&mut self, block: u64) -> bool {
        let Some(last_tick) = self.last_use.get_mut(&block) else {
            return false;
        };
        self.tick += 1;
        self.by_last_use.remove(last_tick);
        *last_tick = self.tick;
        self.by_last_use.insert(self.tick, block);
        true
    }

    /// Adds a computed block and returns the changes, including evictions.
    pub fn insert(&mut self, block: u64) -> Vec<Change> {
        if self.touch(block) {
            return Vec::new();
        }
        self.tick += 1;
        self.last_use.insert(block, self.tick);
        self.by_last_use.insert(self.tick, block);
        let mut changes = vec![Change::Stored(block)];
        while self.last_use.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_use.remove(&oldest);
            changes.push(Change::Removed(oldest));
        }
        changes
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_last_use.clear();
    }

    /// Fraction of the capacity in use, from 0 to 1.
    pub fn usage(&self) -> f64 {
        self.last_use.len() as f64 / self.capacity.max(1) as f64
    }
}
