//! Versions of the weights of one model, and how long superseded ones may still be used.

use std::time::Duration;

/// Time before the end of the term at which a request that has not begun is cancelled. It covers the
/// time until instances see a new version and until a cancellation arrives.
const TERM_SLACK: Duration = Duration::from_millis(250);
/// Fraction of the term that is left for a request to begin while no delay has been observed.
const INITIAL_MARGIN_FRACTION: f64 = 0.25;

/// How the time at which a version was first seen is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence<R> {
    /// This instance saw operators name the version.
    Seen,
    /// This instance found the version when it started, as of this revision of the table.
    Found(R),
    /// No instance saw operators name the version; they did so at that time or later.
    Estimated,
    /// The time is recorded where all instances find it.
    Recorded,
}

/// A version that operators have named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry<R> {
    version: u64,
    /// When an instance first saw the version; 0 if that may have been at any time.
    first_seen: Duration,
    evidence: Evidence<R>,
}

/// Versions of the weights of one model, each with the time at which it was first seen. `R` is a
/// revision of the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Versions<R> {
    /// # Invariants
    ///
    /// Sorted by version, without duplicates.
    entries: Vec<Entry<R>>,
}

impl<R: Copy> Versions<R> {
    /// Adds a version that this instance sees at `now`; no effect if it is known.
    pub fn add(&mut self, version: u64, now: Duration) {
        self.insert(version, now, Evidence::Seen);
    }

    /// Adds a version that this instance found when it started, in a row that was last changed at
    /// `revision`; no effect if it is known. Until more is known, its predecessors count as
    /// superseded long ago.
    pub fn add_found(&mut self, version: u64, revision: R) {
        self.insert(version, Duration::ZERO, Evidence::Found(revision));
    }

    /// Versions that were found and not yet dated, each with the revision of its row.
    pub fn found(&self) -> impl Iterator<Item = (u64, R)> {
        self.entries
            .iter()
            .filter_map(|entry| match entry.evidence {
                Evidence::Found(revision) => Some((entry.version, revision)),
                _ => None,
            })
    }

    /// Dates a version that was found by the latest time that is known to precede its naming; 0 if
    /// none is known.
    pub fn estimate(&mut self, version: u64, no_earlier_than: Duration) {
        if let Ok(index) = self.find(version)
            && let entry = &mut self.entries[index]
            && matches!(entry.evidence, Evidence::Found(_))
        {
            entry.first_seen = no_earlier_than;
            entry.evidence = Evidence::Estimated;
        }
    }

    /// Adds the record that a version was first seen at `first_seen`. An instance that has just
    /// started learns of the versions before the newest one only from such records.
    ///
    /// In a table that `is_restored` from an older copy, the record may be of a sighting after the
    /// restore: a later one does not replace what is known.
    pub fn record(&mut self, version: u64, first_seen: Duration, is_restored: bool) {
        self.add(version, first_seen);
        if let Ok(index) = self.find(version) {
            let entry = &mut self.entries[index];
            entry.first_seen = match entry.evidence {
                Evidence::Seen | Evidence::Recorded => entry.first_seen.min(first_seen),
                Evidence::Estimated if is_restored => entry.first_seen.min(first_seen),
                Evidence::Found(_) | Evidence::Estimated => first_seen,
            };
            entry.evidence = Evidence::Recorded;
        }
    }

    /// Versions without a record, each with the time to record.
    pub fn unrecorded(&self) -> impl Iterator<Item = (u64, Duration)> {
        let entries = self.entries.iter().filter(|entry| match entry.evidence {
            Evidence::Seen => true,
            Evidence::Estimated => !entry.first_seen.is_zero(),
            Evidence::Found(_) | Evidence::Recorded => false,
        });
        entries.map(|entry| (entry.version, entry.first_seen))
    }

    /// Versions whose dates are known, each with its date.
    pub fn dated(&self) -> impl Iterator<Item = (u64, Duration)> {
        let is_dated = |entry: &&Entry<R>| {
            !matches!(entry.evidence, Evidence::Found(_)) && !entry.first_seen.is_zero()
        };
        let entries = self.entries.iter().filter(is_dated);
        entries.map(|entry| (entry.version, entry.first_seen))
    }

    /// When the version after `version` was first seen; `None` if `version` is the newest.
    pub fn superseded_at(&self, version: u64) -> Option<Duration> {
        let newer = self.entries.partition_point(|e| e.version <= version);
        self.entries.get(newer).map(|entry| entry.first_seen)
    }

    fn insert(&mut self, version: u64, first_seen: Duration, evidence: Evidence<R>) {
        if let Err(index) = self.find(version) {
            let entry = Entry {
                version,
                first_seen,
                evidence,
            };
            self.entries.insert(index, entry);
        }
    }

    fn find(&self, version: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&version, |e| e.version)
    }
}

/// Time by which an answer from weights that were superseded at `superseded_at` must have begun.
pub fn begin_by(superseded_at: Duration, term: Duration) -> Duration {
    superseded_at + term.saturating_sub(TERM_SLACK)
}

/// Fraction of the time that engines have to load a version after which requests are moved away from
/// engines that still finish their requests.
const MOVE_FRACTION: f64 = 0.75;
/// Fraction of that time for which an engine may finish its requests or load in any case.
const MIN_ABSENCE_FRACTION: f64 = 0.25;

/// Time from which requests that run on weights superseded at `superseded_at` are moved away from an
/// engine that has been finishing its requests, or loading, since `loading_since`. The engines have
/// to load the newer weights within `bound`.
pub fn move_at(superseded_at: Duration, loading_since: Duration, bound: Duration) -> Duration {
    let is_short = superseded_at + bound.mul_f64(MOVE_FRACTION);
    is_short.max(loading_since + bound.mul_f64(MIN_ABSENCE_FRACTION))
}

/// Whether a request that is sent at `now` to weights superseded at `superseded_at` is expected to
/// begin in time; `delay` is a high estimate of the time until answers begin, if any was observed.
pub fn may_send(
    superseded_at: Duration,
    now: Duration,
    term: Duration,
    delay: Option<Duration>,
) -> bool {
    let margin = delay.unwrap_or_else(|| term.mul_f64(INITIAL_MARGIN_FRACTION));
    now + margin < begin_by(superseded_at, term)
}
