//! Bounded-memory index of which endpoints are believed to cache which prefix levels.
//!
//! A belief is an estimate with an age: the endpoint held the level when a
//! request with that prefix was last sent to it or answered by it. Nothing
//! beyond that is inferred, so a missing belief costs a recomputation and a
//! wrong one costs no more than that.

/// Milliseconds since the table was created, or a duration in milliseconds.
pub type Millis = u64;

/// Entries per bucket; a new belief replaces the oldest one of a full bucket.
const BUCKET_ENTRIES: usize = 64;
/// Resolution of ages, in milliseconds.
const TICK_MS: Millis = 10;
/// Value of [`Entry::seen_tick`] in a vacant entry.
const VACANT: u32 = 0;

/// One incarnation of an endpoint with one version of weights.
///
/// Once the incarnation or the version changes, its holder is never used again, so that its beliefs
/// end with it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// Index of the endpoint within this instance.
    pub slot: u16,
    /// Count of the incarnations and versions of the endpoint that this instance has seen.
    pub epoch: u16,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    level: u64,
    holder: Holder,
    /// Time of the last use in ticks, from 1; [`VACANT`] if the entry holds no belief.
    seen_tick: u32,
}

/// A belief that one holder caches one prefix level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Belief {
    /// The prefix level.
    pub level: u64,
    /// Holder that is believed to cache the level.
    pub holder: Holder,
    /// Time since the level was last seen at the holder, in milliseconds.
    pub age: Millis,
}

/// Set-associative table of beliefs by prefix level.
///
/// # Invariants
///
/// Each bucket has exactly [`BUCKET_ENTRIES`] entries; the number of buckets is a power of two and
/// never changes.
/// All beliefs of one level are in one bucket, and no two of them have the same holder.
#[derive(Debug)]
pub struct Table {
    entries: Box<[Entry]>,
    mask: usize,
}

impl Table {
    /// Creates a table for up to `capacity` beliefs, rounded down to a power of two of buckets, at
    /// least one.
    pub fn new(capacity: usize) -> Self {
        let buckets = (capacity / BUCKET_ENTRIES).max(1);
        // Rounds down to a power of two, so that a mask selects the bucket.
        let buckets = 1_usize << buckets.ilog2();
        let vacant = Entry {
            level: 0,
            holder: Holder { slot: 0, epoch: 0 },
            seen_tick: VACANT,
        };
        Self {
            entries: vec![vacant; buckets * BUCKET_ENTRIES].into_boxed_slice(),
            mask: buckets - 1,
        }
    }

    /// Records that `holder` caches `level` at time `now`; returns the age of the previous record,
    /// if any.
    pub fn insert(&mut self, level: u64, holder: Holder, now: Millis) -> Option<Millis> {
        let seen_tick = to_ticks(now);
        let bucket = self.bucket_mut(level);
        let mut target = 0;
        let mut age = None;
        for index in 0..bucket.len() {
            let entry = &bucket[index];
            if entry.seen_tick != VACANT && entry.level == level && entry.holder.slot == holder.slot
            {
                let same = entry.holder == holder;
                age = same.then(|| belief(entry, seen_tick).age);
                target = index;
                break;
            }
            if entry.seen_tick < bucket[target].seen_tick {
                target = index;
            }
        }
        bucket[target] = Entry {
            level,
            holder,
            seen_tick,
        };
        age
    }

    /// Removes the belief that `holder` caches `level`.
    pub fn remove(&mut self, level: u64, holder: Holder) {
        for entry in self.bucket_mut(level) {
            if entry.level == level && entry.holder == holder {
                entry.seen_tick = VACANT;
            }
        }
    }

    /// All beliefs about `level`.
    pub fn holders(&self, level: u64, now: Millis) -> impl Iterator<Item = Belief> {
        let now = to_ticks(now);
        let entries = self.bucket(level).iter();
        entries
            .filter(move |entry| entry.level == level && entry.seen_tick != VACANT)
            .map(move |entry| belief(entry, now))
    }

    /// All beliefs, in unspecified order.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = Belief> {
        let now = to_ticks(now);
        let occupied = self
            .entries
            .iter()
            .filter(|entry| entry.seen_tick != VACANT);
        occupied.map(move |entry| belief(entry, now))
    }

    /// Maximum number of beliefs.
    pub fn capacity(&self) -> usize {
        self.entries.len()
    }

    /// Size of one entry, in bytes.
    pub const fn entry_bytes() -> usize {
        size_of::<Entry>()
    }

    fn bucket(&self, level: u64) -> &[Entry] {
        let start = self.bucket_start(level);
        &self.entries[start..start + BUCKET_ENTRIES]
    }

    fn bucket_mut(&mut self, level: u64) -> &mut [Entry] {
        let start = self.bucket_start(level);
        &mut self.entries[start..start + BUCKET_ENTRIES]
    }

    /// Index of the first entry of the bucket of `level`. Levels are hashes, so their low bits are
    /// evenly distributed.
    fn bucket_start(&self, level: u64) -> usize {
        (level as usize & self.mask) * BUCKET_ENTRIES
    }
}

fn belief(entry: &Entry, now: u32) -> Belief {
    Belief {
        level: entry.level,
        holder: entry.holder,
        age: Millis::from(now.saturating_sub(entry.seen_tick)) * TICK_MS,
    }
}

fn to_ticks(now: Millis) -> u32 {
    u32::try_from(now / TICK_MS + 1).unwrap_or(u32::MAX)
}

/// Probability that a level last used `age` ago is still cached, if half of the levels are evicted
/// after `eviction_age`.
///
/// An engine evicts the least recently used blocks, so eviction ages lie close together. The fourth
/// power gives the curve the matching steepness.
pub fn survival(age: Millis, eviction_age: Millis) -> f32 {
    let ratio = age as f32 / eviction_age.max(1) as f32;
    let square = ratio * ratio;
    1.0 / (1.0 + square * square)
}
