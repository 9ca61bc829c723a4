//! Requests and prompt segments that crash endpoints, found from the crashes that all instances saw.
//! All ids are those of [`id`]; what is said of segments holds for requests unless [`repeat`] says
//! otherwise.
//!
//! A crash counts for a segment if a request with the segment was on the engine and no request with
//! the segment has been answered since. The smallest set of segments that accounts for the crashes
//! is looked for greedily: the segment with the most crashes is a culprit, and the others are
//! judged by the crashes that remain. A segment that was only present together with a culprit is
//! therefore not found. Segments that account for nearly the same crashes cannot be told apart;
//! all of them are found, as ambiguous.
//!
//! Many engines may also crash at once for another reason, together with all requests on them.
//! Crashes count only in part as proof if they are close together, and a segment is found no sooner
//! than other instances had the time to tell that they got an answer to a request with it.
//!
//! An evaluation needs the reports of all instances: the crashes that one instance saw are no sign
//! of what the requests of the others held.

mod answers;
mod crash;
pub mod id;
mod inquiry;
mod repeat;

use std::{
    cmp::Reverse,
    ops::Range,
    time::Duration, //
};

pub use self::crash::{
    Report,
    limit, //
};
use self::{
    answers::Answers,
    crash::{
        Log,
        Presence, //
    },
    inquiry::Inquiry, //
};

/// Number of crashes from which a segment may be a culprit.
const MIN_CRASHES: usize = 3;
/// Number of crashes from which other instances are asked for their last answer.
const MIN_OPEN_CRASHES: usize = 2;
/// Crashes closer together than this may have one cause outside of the requests.
const MOMENT: Duration = Duration::from_millis(500);
/// Number of moments over which the crashes of a segment must be spread.
const MIN_MOMENTS: usize = 2;
/// The same for a segment that was answered before.
const MIN_ANSWERED_MOMENTS: usize = 3;
/// Crashes closer together than this may be one failure of several engines.
const SHORT_MOMENT: Duration = Duration::from_millis(50);
/// Number of short moments that suffice after a silence if hardly any other engine crashed.
const MIN_SHORT_MOMENTS: usize = 3;
/// Time without an answer after which fewer moments suffice.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time in which the reports of other instances arrive.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Time in which other instances tell the last answer to a request with a segment.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Age of a crash until which others are asked about its segments although none is about to be
/// found.
const OPEN_TIME: Duration = Duration::from_secs(10);
/// A crash counts for a segment if one in so many of the crashes around it hold the segment.
const MIN_SHARE: usize = 4;
/// Largest number of segments that one evaluation finds.
const MAX_CULPRITS: usize = 32;
/// Largest number of segments that one evaluation finds for the same crashes.
const MAX_GROUP: usize = 16;
/// Largest number of segments of which answers are asked.
const MAX_OPEN: usize = 32;

/// A segment that crashes engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Culprit {
    /// Id of the segment or request.
    pub segment: u64,
    /// Number of crashes that it accounts for.
    pub crashes: u32,
    /// Whether the segment may well be harmless: other segments were present in nearly the same
    /// crashes, or there were no answers but few crashes.
    pub is_ambiguous: bool,
    /// Number of trials in vain for which these crashes count.
    pub trials: u32,
}

/// Result of [`Evidence::evaluate`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evaluation {
    /// Segments to quarantine, including those found by earlier evaluations that have not been
    /// answered since.
    pub culprits: Vec<Culprit>,
    /// Other segments under suspicion, of which other instances should tell their last answer;
    /// first those that are about to be found, then those with most crashes.
    pub open: Vec<u64>,
    /// When to evaluate again although nothing new arrives.
    pub evaluate_at: Option<Duration>,
}

/// A segment with the crashes that count for it.
#[derive(Clone, Debug)]
struct Suspect {
    segment: u64,
    was_answered: bool,
    /// Indices of the crashes, in order of time.
    crashes: Vec<usize>,
}

impl Suspect {
    /// Indices of the crashes that no culprit accounts for.
    fn remaining(&self, explained: &[bool]) -> impl Iterator<Item = usize> {
        let crashes = self.crashes.iter().copied();
        crashes.filter(|crash| !explained[*crash])
    }
}

/// When crashes suffice to find a segment.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    /// Once they are spread over enough time.
    settled: Option<Duration>,
    /// Once there has been no answer for long.
    silent: Option<Duration>,
}

impl Due {
    fn earliest(self) -> Option<Duration> {
        self.settled.into_iter().chain(self.silent).min()
    }
}

/// Suspects that may be the cause of the same crashes.
#[derive(Clone, Debug)]
struct Group {
    segments: Vec<u64>,
    due: Due,
    /// Indices of the crashes for which they account.
    crashes: Vec<usize>,
    /// Whether a segment that was answered before may be the cause as well, but it is too early to
    /// tell.
    has_rival: bool,
}

/// Crashes and answers that the instances reported.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    log: Log,
    answers: Answers,
    /// Segments of the last evaluation, sorted.
    inquiries: Vec<Inquiry>,
}

impl Evidence {
    /// Records that `endpoint` (hash of its name) crashed at `at` while requests with `segments`
    /// had not shown that they are harmless.
    ///
    /// Reports of one crash by several instances are merged; they may be repeated and come in any
    /// order. Returns whether this one adds anything.
    pub fn record_crash(&mut self, endpoint: u64, at: Duration, segments: &[u64]) -> bool {
        self.log.record(endpoint, at, segments)
    }

    /// Up to `count` crashes that nothing accounts for yet, from number `first` on, with which an
    /// instance that has started since can go on.
    pub fn unexplained(
        &self,
        now: Duration,
        first: usize,
        count: usize,
    ) -> impl Iterator<Item = Report<'_>> {
        self.log.unexplained(now).skip(first).take(count)
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
    ///
    /// A segment is found by at least one crash that no segment found before accounts for: when a
    /// culprit is answered, its crashes must not count for those that were beside it.
    /// Segments without a known answer are considered first, the others for the crashes that
    /// remain, since sound requests use them.
    pub fn evaluate(&mut self, now: Duration) -> Evaluation {
        let presences = self.log.presences(now);
        let around = |crash| {
            let at = self.log.time(crash);
            let begin = at.saturating_sub(MOMENT / 2);
            self.log.between(begin, at + MOMENT / 2)
        };
        let nearby: Vec<Range<usize>> = (0..self.log.len()).map(around).collect();
        let mut suspects: Vec<Suspect> = presences
            .chunk_by(|one, next| one.segment == next.segment)
            .filter(|presences| presences.len() >= MIN_OPEN_CRASHES)
            .map(|presences| self.suspect(presences, &nearby))
            .filter(|suspect| suspect.crashes.len() >= MIN_OPEN_CRASHES)
            .collect();
        suspects.sort_by_key(|suspect| Reverse(suspect.crashes.len()));
        let mut explained = vec![false; self.log.len()];
        // Crashes that the other segments may account for as well.
        let mut shared = Vec::new();
        let mut evaluation = Evaluation::default();
        let watched = self.find_requests(now, &mut suspects, &mut evaluation);
        for was_answered in [false, true] {
            self.find(
                now,
                was_answered,
                &mut suspects,
                &mut explained,
                &mut shared,
                &mut evaluation,
            );
            for crash in shared.drain(..) {
                explained[crash] = false;
            }
        }
        for suspect in &suspects {
            if evaluation.open.len() >= MAX_OPEN {
                break;
            }
            let remaining = suspect.remaining(&explained);
            let is_recent = |crash: &usize| self.log.time(*crash) + OPEN_TIME >= now;
            let is_open = remaining
                .filter(is_recent)
                .nth(MIN_OPEN_CRASHES - 1)
                .is_some();
            if is_open && !evaluation.open.contains(&suspect.segment) {
                evaluation.open.push(suspect.segment);
            }
        }
        let others = evaluation.open.len();
        Self::watch(now, &watched, &explained, &mut evaluation);
        self.remember_asked(now, &evaluation, others);
        evaluation
    }

    /// Moves culprits from the suspects with or without an answer to the evaluation, and marks the
    /// crashes that they account for as explained.
    fn find(
        &mut self,
        now: Duration,
        was_answered: bool,
        suspects: &mut Vec<Suspect>,
        explained: &mut [bool],
        shared: &mut Vec<usize>,
        evaluation: &mut Evaluation,
    ) {
        // Segments of which it is too early to tell. They explain nothing, so that a segment that
        // accounts for fewer crashes can be found before them.
        let mut deferred: Vec<u64> = Vec::new();
        while evaluation.culprits.len() < MAX_CULPRITS && deferred.len() < MAX_OPEN {
            let eligible = suspects.iter().filter(|suspect| {
                suspect.was_answered == was_answered && !deferred.contains(&suspect.segment)
            });
            let Some(best) = self.best(eligible, explained) else {
                break;
            };
            let group = self.group(now, best, suspects, explained);
            let asked = group.segments.iter();
            let asked = asked.map(|segment| self.asked_at(now, *segment)).max();
            let told = asked.unwrap_or(now) + ANSWER_TIME;
            let due = group.due.earliest();
            let is_due = due.is_some_and(|due| due <= now);
            if is_due {
                for crash in &group.crashes {
                    explained[*crash] = true;
                }
            }
            if !is_due || told > now {
                deferred.push(best.segment);
                let due = due.map(|due| due.max(told));
                evaluation.evaluate_at = evaluation.evaluate_at.into_iter().chain(due).min();
                let open = &mut evaluation.open;
                open.retain(|segment| !group.segments.contains(segment));
                let index = if is_due { 0 } else { open.len() };
                open.splice(index..index, group.segments);
                open.truncate(MAX_OPEN);
                continue;
            }
            let is_settled = group.due.settled.is_some_and(|due| due <= now);
            let is_found = |suspect: &mut Suspect| group.segments.contains(&suspect.segment);
            let found: Vec<Suspect> = suspects.extract_if(.., is_found).collect();
            let is_ambiguous = found.len() > 1 || !is_settled || group.has_rival;
            let culprits = found.iter().map(|found| self.culprit(found, is_ambiguous));
            evaluation.culprits.extend(culprits);
            if group.has_rival {
                shared.extend(group.crashes);
            } else {
                for crash in group.crashes {
                    self.log.set_explained(crash);
                }
            }
        }
    }

    /// The suspect with most crashes that are not explained, if they are enough to find it sooner or
    /// later. The suspects come sorted by all their crashes, most first.
    fn best<'a>(
        &self,
        suspects: impl Iterator<Item = &'a Suspect>,
        explained: &[bool],
    ) -> Option<&'a Suspect> {
        let mut best = None;
        let mut best_count = MIN_CRASHES - 1;
        for suspect in suspects {
            if suspect.crashes.len() <= best_count {
                break;
            }
            let count = suspect.remaining(explained).count();
            if count <= best_count {
                continue;
            }
            let crashes: Vec<usize> = suspect.remaining(explained).collect();
            let is_new = self.is_new(&crashes);
            let due = self.due(suspect.was_answered, &crashes, explained);
            if due.earliest().is_some() && (is_new || self.is_found(suspect.segment)) {
                best = Some(suspect);
                best_count = count;
            }
        }
        best
    }

    /// The suspects that may be the cause of the crashes of `best`: those of its kind that account
    /// for three quarters of them, and those answered before that account for all. The suspects are
    /// sorted by all their crashes, most first.
    fn group(
        &self,
        now: Duration,
        best: &Suspect,
        suspects: &[Suspect],
        explained: &[bool],
    ) -> Group {
        let crashes: Vec<usize> = best.remaining(explained).collect();
        let mut is_own = vec![false; explained.len()];
        for crash in &crashes {
            is_own[*crash] = true;
        }
        let mut group = Group {
            segments: Vec::new(),
            due: self.due(best.was_answered, &crashes, explained),
            crashes: crashes.clone(),
            has_rival: false,
        };
        for suspect in suspects {
            let is_too_small = suspect.crashes.len() * 4 < crashes.len() * 3;
            if is_too_small || group.segments.len() >= MAX_GROUP {
                break;
            }
            let is_common = |crash: &usize| is_own[*crash];
            let common = suspect.remaining(explained).filter(is_common).count();
            if suspect.was_answered == best.was_answered {
                if common * 4 >= crashes.len() * 3 {
                    group.segments.push(suspect.segment);
                }
            } else if suspect.was_answered && common == crashes.len() {
                let remaining: Vec<usize> = suspect.remaining(explained).collect();
                let due = self.due(true, &remaining, explained);
                if due.earliest().is_none_or(|due| due > now) {
                    group.has_rival = true;
                    continue;
                }
                group.segments.push(suspect.segment);
                if remaining.len() > group.crashes.len() {
                    group.crashes = remaining;
                }
            }
        }
        group
    }

    /// When these crashes suffice to find a segment, if nothing changes.
    fn due(&self, was_answered: bool, crashes: &[usize], explained: &[bool]) -> Due {
        let mut due = Due::default();
        let Some(third) = crashes.get(MIN_CRASHES - 1) else {
            return due;
        };
        let third = self.log.time(*third);
        let moments = self.moments(crashes, MOMENT);
        let min_moments = if was_answered {
            MIN_ANSWERED_MOMENTS
        } else {
            MIN_MOMENTS
        };
        if let Some(moment) = moments.get(min_moments - 1) {
            due.settled = Some(third.max(*moment) + REPORT_TIME);
        }
        if let Some(second) = moments.get(1) {
            due.silent = Some(third.max(*second) + SILENCE);
        } else if self.are_most(crashes, explained) {
            let moments = self.moments(crashes, SHORT_MOMENT);
            let last = moments.get(MIN_SHORT_MOMENTS - 1);
            due.silent = last.map(|moment| third.max(*moment) + SILENCE);
        }
        due
    }

    /// Whether these are three quarters of the crashes of their time.
    fn are_most(&self, crashes: &[usize], explained: &[bool]) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return false;
        };
        let begin = self.log.time(*first).saturating_sub(SHORT_MOMENT);
        let end = self.log.time(*last) + SHORT_MOMENT;
        let all = &explained[self.log.between(begin, end)];
        let open = all.iter().filter(|is_explained| !**is_explained);
        crashes.len() * 4 >= open.count() * 3
    }

    /// Times of the crashes, without those within `length` after another.
    fn moments(&self, crashes: &[usize], length: Duration) -> Vec<Duration> {
        let mut moments: Vec<Duration> = Vec::new();
        for crash in crashes {
            let time = self.log.time(*crash);
            if moments.last().is_none_or(|last| time >= *last + length) {
                moments.push(time);
            }
        }
        moments
    }

    /// The segment of `presences` with the crashes that count for it. `nearby` has the crashes
    /// around each one.
    fn suspect(&self, presences: &[Presence], nearby: &[Range<usize>]) -> Suspect {
        let segment = presences[0].segment;
        let answer = self.last_answer(segment);
        let time = |presence: &Presence| self.log.time(presence.crash);
        let start =
            presences.partition_point(|presence| answer.is_some_and(|at| at > time(presence)));
        let since = &presences[start..];
        let is_frequent = |crash: &usize| {
            let around = &nearby[*crash];
            let own = since.partition_point(|presence| presence.crash < around.end)
                - since.partition_point(|presence| presence.crash < around.start);
            id::is_request(segment) || own * MIN_SHARE >= around.len()
        };
        let crashes = since.iter().map(|presence| presence.crash);
        Suspect {
            segment,
            was_answered: answer.is_some(),
            crashes: crashes.filter(is_frequent).collect(),
        }
    }
}
