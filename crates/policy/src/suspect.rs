//! Prompt segments that crash engines, found from the crashes that all instances saw.
//!
//! A crash counts for a segment if a request with the segment was running on the engine and no
//! request with the segment has been answered since. The smallest set of segments that accounts
//! for the crashes is looked for greedily: the segment with the most crashes is a culprit, its
//! crashes are accounted for, and the others are judged by the remaining ones. A segment that was
//! only ever present together with a culprit is therefore never one itself.
//!
//! Segments without any known answer are considered first, the others only for the crashes that
//! remain, and with stricter conditions: those are in use by sound requests.

use std::time::Duration;

/// Number of crashes from which a segment may be a culprit.
const MIN_CRASHES: usize = 3;
/// Number of crashes from which other instances are asked for their last answer.
const MIN_OPEN_CRASHES: usize = 2;
/// Crashes closer together than this may have one common cause outside of the requests.
const MOMENT: Duration = Duration::from_millis(500);
/// Number of moments over which the crashes of a segment must be spread that was answered before.
const MIN_ANSWERED_MOMENTS: usize = 3;
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
/// Largest number of segments that one evaluation finds.
const MAX_CULPRITS: usize = 32;
/// Largest number of segments of which answers are asked.
const MAX_OPEN: usize = 32;
/// Number of sets in the table of answers.
const ANSWER_SETS: usize = 1024;
/// Number of entries in a set of the table of answers.
const ANSWER_WAYS: usize = 4;

/// A segment that crashes engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Culprit {
    /// Id of the segment.
    pub segment: u64,
    /// Number of crashes that it accounts for.
    pub crashes: u32,
    /// Whether other segments were present in exactly the same crashes.
    pub is_ambiguous: bool,
}

/// Result of [`Evidence::evaluate`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evaluation {
    /// Segments to quarantine, including those found by earlier evaluations that have not been
    /// answered since.
    pub culprits: Vec<Culprit>,
    /// Other segments under suspicion, of which other instances should tell their last answer,
    /// most crashes first.
    pub open: Vec<u64>,
    /// When to evaluate again although nothing new arrives.
    pub evaluate_at: Option<Duration>,
}

/// Last answers by segment: a set-associative table in which a new segment replaces the one of
/// its set that was answered least recently.
#[derive(Clone, Debug)]
struct Answers {
    sets: Vec<[Option<(u64, Duration)>; ANSWER_WAYS]>,
}

impl Answers {
    fn set_index(segment: u64) -> usize {
        crate::mix::mix(segment) as usize % ANSWER_SETS
    }

    fn record(&mut self, segment: u64, at: Duration) {
        let set = &mut self.sets[Self::set_index(segment)];
        if let Some((_, last)) = set.iter_mut().flatten().find(|entry| entry.0 == segment) {
            *last = at.max(*last);
            return;
        }
        if let Some(oldest) = set.iter_mut().min_by_key(|entry| entry.map(|(_, at)| at))
            && oldest.is_none_or(|(_, oldest_at)| oldest_at <= at)
        {
            *oldest = Some((segment, at));
        }
    }

    fn last(&self, segment: u64) -> Option<Duration> {
        let set = &self.sets[Self::set_index(segment)];
        let entry = set.iter().flatten().find(|entry| entry.0 == segment)?;
        Some(entry.1)
    }
}

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
}

impl Crash {
    /// Adds what another report says about the same crash.
    fn merge(&mut self, other: Self) {
        self.first = self.first.min(other.first);
        self.last = self.last.max(other.last);
        self.segments.extend(other.segments);
        self.limit_segments();
    }

    /// Sorts the segments and drops those above the limit. Which are dropped depends on the
    /// endpoint, so that no segment is dropped from every crash.
    fn limit_segments(&mut self) {
        self.segments.sort_unstable();
        self.segments.dedup();
        if self.segments.len() > MAX_SEGMENTS {
            let endpoint = self.endpoint;
            let rank = |segment: &u64| crate::mix::mix(*segment ^ endpoint);
            self.segments.sort_unstable_by_key(rank);
            self.segments.truncate(MAX_SEGMENTS);
            self.segments.sort_unstable();
        }
    }
}

/// A segment present in a crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Presence {
    segment: u64,
    /// Index of the crash.
    crash: usize,
}

/// A segment with the crashes that count for it.
#[derive(Clone, Copy, Debug)]
struct Suspect<'a> {
    segment: u64,
    was_answered: bool,
    /// In order of time.
    presences: &'a [Presence],
}

impl Suspect<'_> {
    /// Indices of the crashes that no culprit accounts for.
    fn remaining(&self, explained: &[bool]) -> impl Iterator<Item = usize> {
        let crashes = self.presences.iter().map(|presence| presence.crash);
        crashes.filter(|crash| !explained[*crash])
    }
}

/// Crashes and answers that the instances reported.
///
/// # Invariants
///
/// `crashes` is sorted by the time of the first report and the endpoint, and holds no more than
/// [`MAX_CRASHES`] crashes with [`MAX_TOTAL_SEGMENTS`] segments together.
#[derive(Clone, Debug)]
pub struct Evidence {
    crashes: Vec<Crash>,
    answers: Answers,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            answers: Answers {
                sets: vec![[None; ANSWER_WAYS]; ANSWER_SETS],
            },
        }
    }
}

impl Evidence {
    /// Records that `endpoint` (hash of its name) crashed at `at` while requests with `segments`
    /// had not shown that they are harmless.
    ///
    /// Reports of one crash by several instances are merged; they may be repeated and come in any
    /// order.
    pub fn record_crash(&mut self, endpoint: u64, at: Duration, segments: &[u64]) {
        let mut crash = Crash {
            endpoint,
            first: at,
            last: at,
            segments: segments.to_vec(),
        };
        crash.limit_segments();
        let is_same = |old: &mut Crash| {
            old.endpoint == endpoint
                && at + MERGE_WINDOW >= old.first
                && at <= old.last + MERGE_WINDOW
        };
        for old in self.crashes.extract_if(.., is_same) {
            crash.merge(old);
        }
        let key = |crash: &Crash| (crash.first, crash.endpoint);
        let index = self.crashes.partition_point(|old| key(old) < key(&crash));
        self.crashes.insert(index, crash);
        self.drop_oldest();
    }

    /// Records that a request with `segment` was answered at `at`; the latest time counts.
    pub fn record_answer(&mut self, segment: u64, at: Duration) {
        self.answers.record(segment, at);
    }

    /// Time of the last known answer to a request with `segment`.
    pub fn last_answer(&self, segment: u64) -> Option<Duration> {
        self.answers.last(segment)
    }

    /// Finds the segments that crash engines.
    pub fn evaluate(&self, now: Duration) -> Evaluation {
        let presences = self.presences(now);
        let mut suspects: Vec<Suspect<'_>> = presences
            .chunk_by(|one, next| one.segment == next.segment)
            .map(|presences| self.suspect(presences))
            .filter(|suspect| suspect.presences.len() >= MIN_OPEN_CRASHES)
            .collect();
        let mut evaluation = Evaluation::default();
        let mut explained = vec![false; self.crashes.len()];
        for was_answered in [false, true] {
            self.explain(
                now,
                was_answered,
                &mut suspects,
                &mut explained,
                &mut evaluation,
            );
        }
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.presences.len()));
        let open = suspects.iter().map(|suspect| suspect.segment);
        evaluation.open = open.take(MAX_OPEN).collect();
        evaluation
    }

    /// Moves the segments with most crashes from `suspects` to the culprits, as long as there are
    /// any with enough crashes that are not `explained`.
    fn explain(
        &self,
        now: Duration,
        was_answered: bool,
        suspects: &mut Vec<Suspect<'_>>,
        explained: &mut [bool],
        evaluation: &mut Evaluation,
    ) {
        for _ in 0..MAX_CULPRITS {
            let eligible = suspects
                .iter()
                .filter(|suspect| suspect.was_answered == was_answered);
            let best = eligible
                .map(|suspect| (suspect.remaining(explained).count(), *suspect))
                .max_by_key(|(count, suspect)| (*count, suspect.segment));
            let Some((count, best)) = best.filter(|(count, _)| *count >= MIN_CRASHES) else {
                break;
            };
            let crashes: Vec<usize> = best.remaining(explained).collect();
            let due = self.conviction_time(was_answered, &crashes);
            if due.is_some_and(|due| due <= now) {
                let is_equal = |suspect: &mut Suspect<'_>| {
                    suspect.was_answered == was_answered
                        && suspect.remaining(explained).eq(crashes.iter().copied())
                };
                let equals: Vec<u64> = suspects
                    .extract_if(.., is_equal)
                    .map(|suspect| suspect.segment)
                    .collect();
                evaluation
                    .culprits
                    .extend(equals.iter().map(|segment| Culprit {
                        segment: *segment,
                        crashes: u32::try_from(count).unwrap_or(u32::MAX),
                        is_ambiguous: equals.len() > 1,
                    }));
            } else if let Some(due) = due {
                let earlier = evaluation.evaluate_at.map_or(due, |at| at.min(due));
                evaluation.evaluate_at = Some(earlier);
            }
            for crash in crashes {
                explained[crash] = true;
            }
        }
    }

    /// From when a segment with these crashes is a culprit, if nothing changes.
    fn conviction_time(&self, was_answered: bool, crashes: &[usize]) -> Option<Duration> {
        let times = crashes.iter().map(|crash| self.crashes[*crash].first);
        let mut moments: Vec<Duration> = Vec::new();
        for time in times {
            if moments.last().is_none_or(|last| time >= *last + MOMENT) {
                moments.push(time);
            }
        }
        if was_answered {
            return moments.get(MIN_ANSWERED_MOMENTS - 1).copied();
        }
        let third = self.crashes[*crashes.get(MIN_CRASHES - 1)?].first;
        let second_moment = moments.get(1).map(|moment| third.max(*moment));
        Some(second_moment.map_or(third + MOMENT, |moment| moment.min(third + MOMENT)))
    }

    /// Segments of the crashes within the horizon, sorted.
    fn presences(&self, now: Duration) -> Vec<Presence> {
        let oldest = now.saturating_sub(HORIZON);
        let start = self.crashes.partition_point(|crash| crash.first < oldest);
        let recent = self.crashes.iter().enumerate().skip(start);
        let mut presences: Vec<Presence> = recent
            .flat_map(|(crash, entry)| {
                let segments = entry.segments.iter();
                segments.map(move |&segment| Presence { segment, crash })
            })
            .collect();
        presences.sort_unstable();
        presences
    }

    /// The segment of `presences` with the crashes since its last answer.
    fn suspect<'a>(&self, presences: &'a [Presence]) -> Suspect<'a> {
        let segment = presences[0].segment;
        let answer = self.last_answer(segment);
        let is_cleared =
            |presence: &Presence| answer.is_some_and(|at| at > self.crashes[presence.crash].first);
        let start = presences.partition_point(is_cleared);
        Suspect {
            segment,
            was_answered: answer.is_some(),
            presences: &presences[start..],
        }
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
