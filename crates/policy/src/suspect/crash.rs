//! Crashes of endpoints, as several instances report them.

use std::{
    ops::Range,
    time::Duration, //
};

use super::id;

/// Reports of an endpoint's crash no further apart than this are about the same crash.
const MERGE_WINDOW: Duration = Duration::from_secs(1);
/// Age at which a crash is dropped.
const HORIZON: Duration = Duration::from_secs(600);
/// Largest number of crashes kept.
const MAX_CRASHES: usize = 1024;
/// Largest number of segments kept of one crash.
const MAX_SEGMENTS: usize = 256;
/// Largest number of segments kept of all crashes together.
const MAX_TOTAL_SEGMENTS: usize = 65_536;

/// Crash of one endpoint.
///
/// # Invariants
///
/// `segments` is sorted, without duplicates, and no longer than [`MAX_SEGMENTS`].
#[derive(Clone, Debug)]
struct Crash {
    endpoint: u64,
    /// Time of the earliest report.
    first: Duration,
    /// Time of the latest report.
    last: Duration,
    segments: Vec<u64>,
    /// Whether a segment was found that accounts for it.
    is_explained: bool,
    /// A request that was found and accounts for it.
    request: Option<u64>,
}

impl Crash {
    /// Adds what another report says about the same crash.
    fn merge(&mut self, other: Self) {
        self.first = self.first.min(other.first);
        self.last = self.last.max(other.last);
        self.is_explained |= other.is_explained;
        self.request = self.request.or(other.request);
        self.segments.extend(other.segments);
        limit(&mut self.segments, self.endpoint);
        self.segments.sort_unstable();
    }
}

/// Drops duplicates and the ids above the limit of one crash. Which are dropped depends on the
/// seed, so that none is dropped from every crash. Requests come first, since there are fewer of
/// them in a crash; they get up to half of the room.
pub fn limit(ids: &mut Vec<u64>, seed: u64) {
    ids.sort_unstable();
    ids.dedup();
    let rank = |id: &u64| (!id::is_request(*id), crate::mix::mix(*id ^ seed));
    ids.sort_unstable_by_key(rank);
    if ids.len() > MAX_SEGMENTS {
        let requests = ids.partition_point(|id| id::is_request(*id));
        let segments = ids.len() - requests;
        let kept = requests.min((MAX_SEGMENTS - segments.min(MAX_SEGMENTS)).max(MAX_SEGMENTS / 2));
        ids.drain(kept..requests);
        ids.truncate(MAX_SEGMENTS);
    }
}

/// What is known of one crash.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Time of the earliest report.
    pub at: Duration,
    /// Ids of what was on the endpoint.
    pub segments: &'a [u64],
}

/// A segment that was present in a crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Presence {
    pub(super) segment: u64,
    /// Index of the crash.
    pub(super) crash: usize,
}

/// Crashes in order of time; they are referred to by index.
///
/// # Invariants
///
/// `crashes` is sorted by the time of the first report and the endpoint, and holds no more than
/// [`MAX_CRASHES`] crashes with [`MAX_TOTAL_SEGMENTS`] segments together.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    crashes: Vec<Crash>,
}

impl Log {
    /// Adds a report of a crash; returns whether it adds a crash or segments.
    pub(super) fn record(&mut self, endpoint: u64, at: Duration, segments: &[u64]) -> bool {
        let mut crash = Crash {
            endpoint,
            first: at,
            last: at,
            segments: segments.to_vec(),
            is_explained: false,
            request: None,
        };
        limit(&mut crash.segments, endpoint);
        crash.segments.sort_unstable();
        let is_same = |old: &mut Crash| {
            old.endpoint == endpoint
                && at + MERGE_WINDOW >= old.first
                && at <= old.last + MERGE_WINDOW
        };
        let mut known = 0;
        for old in self.crashes.extract_if(.., is_same) {
            known = known.max(old.segments.len());
            crash.merge(old);
        }
        let is_new = crash.segments.len() > known;
        let key = |crash: &Crash| (crash.first, crash.endpoint);
        let index = self.crashes.partition_point(|old| key(old) < key(&crash));
        self.crashes.insert(index, crash);
        self.drop_oldest();
        is_new
    }

    /// The crashes within the horizon for which nothing accounts, in order of time.
    pub(super) fn unexplained(&self, now: Duration) -> impl Iterator<Item = Report<'_>> {
        let recent = &self.crashes[self.between(now.saturating_sub(HORIZON), Duration::MAX)];
        let open = recent
            .iter()
            .filter(|crash| !crash.is_explained && crash.request.is_none());
        open.map(|crash| Report {
            endpoint: crash.endpoint,
            at: crash.first,
            segments: &crash.segments,
        })
    }

    /// Number of crashes.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Time of a crash.
    pub(super) fn time(&self, index: usize) -> Duration {
        self.crashes[index].first
    }

    /// Whether a segment has been found that accounts for a crash, even if it was answered later.
    pub(super) fn is_explained(&self, index: usize) -> bool {
        self.crashes[index].is_explained
    }

    /// The same for a request.
    pub(super) fn request(&self, index: usize) -> Option<u64> {
        self.crashes[index].request
    }

    /// Records that a segment was found that accounts for a crash.
    pub(super) fn set_explained(&mut self, index: usize) {
        self.crashes[index].is_explained = true;
    }

    /// The same for a request, unless there is another one.
    pub(super) fn set_request(&mut self, index: usize, request: u64) {
        self.crashes[index].request.get_or_insert(request);
    }

    /// Indices of the crashes from `begin` to `end`.
    pub(super) fn between(&self, begin: Duration, end: Duration) -> Range<usize> {
        let start = self.crashes.partition_point(|crash| crash.first < begin);
        start..self.crashes.partition_point(|crash| crash.first <= end)
    }

    /// Segments of the crashes within the horizon, sorted.
    pub(super) fn presences(&self, now: Duration) -> Vec<Presence> {
        let recent = self.between(now.saturating_sub(HORIZON), Duration::MAX);
        let mut presences: Vec<Presence> = recent
            .flat_map(|crash| {
                let segments = self.crashes[crash].segments.iter();
                segments.map(move |&segment| Presence { segment, crash })
            })
            .collect();
        presences.sort_unstable();
        presences
    }

    /// Drops crashes beyond the horizon or the limits.
    fn drop_oldest(&mut self) {
        let latest = self
            .crashes
            .last()
            .map_or(Duration::ZERO, |last| last.first);
        let oldest = latest.saturating_sub(HORIZON);
        let mut total: usize = self.crashes.iter().map(|crash| crash.segments.len()).sum();
        let mut dropped = 0;
        for crash in &self.crashes {
            let is_within_limits =
                self.crashes.len() - dropped <= MAX_CRASHES && total <= MAX_TOTAL_SEGMENTS;
            if crash.first >= oldest && is_within_limits {
                break;
            }
            total -= crash.segments.len();
            dropped += 1;
        }
        self.crashes.drain(..dropped);
    }
}
