//! Requests that crash endpoints each time they come again.
//!
//! A sound request is hardly ever in several crashes by chance, unless it comes often, and then an
//! answer or a trial clears it soon. So a request is found from fewer crashes than a segment and
//! however close together they are, and goes before the segments that it holds.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use super::{
    ANSWER_TIME,
    Culprit,
    Evaluation,
    Evidence,
    MAX_CULPRITS,
    MAX_OPEN,
    MIN_CRASHES,
    MOMENT,
    OPEN_TIME,
    REPORT_TIME,
    Suspect,
    id, //
};

/// Number of crashes from which a segment may be a culprit although one request accounts for all of
/// them but a few.
const MIN_MIXED_CRASHES: usize = 5;
/// Largest number of requests that one evaluation considers.
const MAX_REQUESTS: usize = 64;
/// Time in which a segment is found after its last crash that it needs.
const FOUND_TIME: Duration = Duration::from_secs(3);
/// Interval at which others are asked about segments that one more crash would find: between the
/// time that they need to answer and the age at which an answer is too old.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Number of trials for which later crashes count: each may be of a request with several attempts.
const LATE_TRIALS: u32 = 3;

impl Evidence {
    /// Moves the requests that crash endpoints from the suspects to the evaluation, and drops all
    /// other requests and the segments for whose crashes such a request accounts. Returns those of
    /// these segments that one more crash would find.
    pub(super) fn find_requests(
        &mut self,
        now: Duration,
        suspects: &mut Vec<Suspect>,
        evaluation: &mut Evaluation,
    ) -> Vec<Suspect> {
        let is_request = |suspect: &mut Suspect| id::is_request(suspect.segment);
        let mut requests: Vec<Suspect> = suspects.extract_if(.., is_request).collect();
        requests.sort_by_key(|request| {
            let is_found = self.is_found(request.segment);
            (is_found, Reverse(request.crashes.len()))
        });
        requests.truncate(MAX_REQUESTS);
        let mut found = Vec::new();
        for request in requests.iter().filter(|request| self.may_be_found(request)) {
            let due = self.log.time(request.crashes[MIN_CRASHES - 1]) + REPORT_TIME;
            let told = self.asked_at(now, request.segment) + ANSWER_TIME;
            let at = due.max(told);
            if at > now {
                evaluation.evaluate_at = evaluation.evaluate_at.into_iter().chain([at]).min();
                evaluation.open.push(request.segment);
            } else if evaluation.culprits.len() < MAX_CULPRITS / 2 {
                let is_ambiguous = self.is_ambiguous(request, &requests);
                let culprit = self.culprit(request, is_ambiguous);
                evaluation.culprits.push(culprit);
                let crashes = request.crashes.iter();
                found.extend(crashes.map(|crash| (*crash, request.segment)));
            }
        }
        for (crash, request) in found {
            self.log.set_request(crash, request);
        }
        let is_recent = |crash: &&usize| self.log.time(**crash) + OPEN_TIME >= now;
        let others = requests.iter().filter(|request| {
            let recent = request.crashes.iter().filter(is_recent).count();
            recent >= 2 && request.crashes.len() < MIN_CRASHES
        });
        evaluation
            .open
            .extend(others.map(|request| request.segment));
        evaluation.open.truncate(MAX_OPEN / 2);
        requests.retain(|request| request.crashes.len() >= MIN_CRASHES);
        let dropped = suspects.extract_if(.., |segment| {
            requests.iter().any(|request| accounts(request, segment))
        });
        dropped
            .filter(|segment| segment.crashes.len() >= MIN_MIXED_CRASHES)
            .collect()
    }

    /// Asks about those of these segments whose crashes no segment explains again and again, so that
    /// the crash that finds one of them need not wait for the answers.
    pub(super) fn watch(
        now: Duration,
        segments: &[Suspect],
        explained: &[bool],
        evaluation: &mut Evaluation,
    ) {
        let room = MAX_OPEN.saturating_sub(evaluation.open.len());
        let watched = segments
            .iter()
            .filter(|segment| segment.remaining(explained).count() >= MIN_MIXED_CRASHES)
            .take(room);
        let count = evaluation.open.len();
        evaluation
            .open
            .extend(watched.map(|segment| segment.segment));
        if evaluation.open.len() > count {
            let next = now + WATCH_INTERVAL;
            evaluation.evaluate_at = evaluation.evaluate_at.into_iter().chain([next]).min();
        }
    }

    /// Whether enough crashes count for the request, one of them not explained before.
    fn may_be_found(&self, request: &Suspect) -> bool {
        let mut crashes = request.crashes.iter();
        let is_new = crashes
            .any(|crash| !self.log.is_explained(*crash) && self.log.request(*crash).is_none());
        request.crashes.len() >= MIN_CRASHES && (is_new || self.is_found(request.segment))
    }

    /// Whether a segment may be the cause of these crashes that was not found by them: no segment
    /// accounts for some of them, and no single request for these.
    pub(super) fn is_new(&self, crashes: &[usize]) -> bool {
        let open = crashes
            .iter()
            .filter(|crash| !self.log.is_explained(**crash));
        let mut requests = open.map(|crash| self.log.request(*crash));
        let Some(first) = requests.next() else {
            return false;
        };
        first.is_none() || requests.any(|request| request != first)
    }

    /// A suspect that is found. Crashes long after the first few, for which something else seemed to
    /// account, count as trials.
    pub(super) fn culprit(&self, suspect: &Suspect, is_ambiguous: bool) -> Culprit {
        let crashes = &suspect.crashes;
        let is_late = |crash: &&usize| {
            let last = crashes.get(MIN_MIXED_CRASHES - 1);
            last.is_some_and(|last| self.log.time(**crash) > self.log.time(*last) + FOUND_TIME)
        };
        Culprit {
            segment: suspect.segment,
            crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
            is_ambiguous,
            trials: match (crashes.iter().any(|crash| is_late(&crash)), is_ambiguous) {
                (true, false) => LATE_TRIALS,
                (true, true) if !suspect.was_answered => LATE_TRIALS - 1,
                _ => 0,
            },
        }
    }

    /// Whether the request may well be sound: it was answered before, or its crashes may be one
    /// failure of several endpoints, or those of another request.
    fn is_ambiguous(&self, request: &Suspect, requests: &[Suspect]) -> bool {
        let holds_all = |other: &&Suspect| difference(request, other) == 0;
        request.was_answered
            || self.moments(&request.crashes, MOMENT).len() < 2
            || requests.iter().filter(holds_all).count() > 1
    }
}

/// Number of crashes that count for `one` and not for `other`.
fn difference(one: &Suspect, other: &Suspect) -> usize {
    let is_own = |crash: &&usize| other.crashes.binary_search(crash).is_err();
    one.crashes.iter().filter(is_own).count()
}

/// Whether the request accounts for the crashes of the segment.
fn accounts(request: &Suspect, segment: &Suspect) -> bool {
    let all = segment.crashes.len();
    let outside = difference(segment, request);
    outside == 0 || outside < MIN_CRASHES.min(all) && all < MIN_MIXED_CRASHES
}
