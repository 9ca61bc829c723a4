//! Segments of prompts that crash engines, and the refusal of requests with them.
//!
//! A segment that [`policy::suspect`] finds is quarantined: each instance
//! refuses requests with it, except for trials. The quarantine is a row of the
//! table, so that it outlasts restarts, and its trials are claimed by
//! conditional writes of that row, so that the instances together send one
//! request for each. An answered request ends the quarantine of its segments.

mod detect;
mod rows;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use platform::table::Watch;
use policy::{
    quarantine::{
        self,
        Admission,
        Entry, //
    },
    suspect::{
        Culprit,
        Evidence, //
    }, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::sync::{
    Notify,
    oneshot, //
};

use crate::{
    choose::Selection,
    node::Node,
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

pub use detect::{
    handle_evidence,
    handle_suspects, //
};
pub use rows::apply_row;

/// Maximum number of quarantined segments; further ones are not quarantined.
const MAX_RECORDS: usize = 256;
/// Timeout of the claim of a trial, which delays the request.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after which a caller is told to return while the quarantined segments are unknown.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest delay after which a refused caller is told to return.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Delay after which a caller is told to return while another request is the trial.
const CLAIMED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a quarantine that only another instance has reported is kept; reports are
/// repeated until the row is in the table.
const REPORT_HORIZON: Duration = Duration::from_secs(3);

/// One quarantined segment.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    segment: u64,
    /// When it was quarantined, as far as this instance knows.
    since: Duration,
    /// Number of crashes for which it accounts, as far as this instance knows.
    crashes: u32,
    /// Number of trials that were claimed.
    trials: u32,
    /// Whether other segments were present in the same crashes.
    is_ambiguous: bool,
    /// From when the next trial may be claimed by a request without other quarantined segments.
    due: Duration,
    /// From when it may be claimed by any request.
    joint_due: Duration,
    /// Revision of its row; `None` while the row is not known to be in the table.
    revision: Option<u64>,
    source: Source,
}

/// From where this instance knows of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Its own evaluation of the evidence, or the table.
    Own,
    /// The report of another instance, received at this time.
    Report(Duration),
}

/// Request to claim a trial of these segments.
#[derive(Debug)]
struct Claim {
    segments: Vec<u64>,
    granted: oneshot::Sender<Trial>,
}

/// The trial of some segments. Dropping it unspent makes it available again.
#[derive(Debug)]
pub struct Trial {
    table: Arc<Table>,
    segments: Vec<u64>,
    spent: bool,
}

impl Trial {
    /// Sets whether an endpoint may have run the request.
    pub fn set_spent(&mut self, spent: bool) {
        self.spent = spent;
    }

    /// Whether an endpoint may have run the request.
    pub fn is_spent(&self) -> bool {
        self.spent
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.spent {
            let mut state = self.table.state.lock();
            let is_joint = self.segments.len() > 1;
            let segments = self.segments.iter();
            state
                .unspent
                .extend(segments.map(|segment| (*segment, is_joint)));
            drop(state);
            self.table.rows_outdated.notify_one();
        }
    }
}

#[derive(Debug, Default)]
struct State {
    evidence: Evidence,
    detect: detect::State,
    /// # Invariants
    ///
    /// Sorted by segment, each segment once.
    records: Vec<Record>,
    /// Claims that no task has taken yet.
    claims: Vec<Claim>,
    /// Segments of the claims without a result.
    claimed: Vec<u64>,
    /// Segments of trials that reached no endpoint, each with whether the request held others, too.
    unspent: Vec<(u64, bool)>,
    /// Segments whose rows are to be deleted.
    releases: Vec<u64>,
    /// Segments whose rows were deleted last, with the revisions of the deletions: earlier changes
    /// of these rows may still arrive.
    deleted: Vec<(u64, u64)>,
}

/// Evidence about segments, and the quarantined ones.
///
/// The lock is held for short computations only; the exchange's state may be locked under it.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
    /// Copy of the records for requests.
    entries: ArcSwap<Vec<Entry>>,
    /// Wakes the evaluation of the evidence.
    evidence_added: Notify,
    /// Wakes the task that writes rows.
    rows_outdated: Notify,
}

impl State {
    fn find(&self, segment: u64) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&segment, |record| record.segment)
    }
}

impl Table {
    /// Number of quarantined segments.
    pub fn len(&self) -> usize {
        self.entries.load().len()
    }

    /// Whether no segment is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Updates the copy of the records for requests.
    fn publish(&self, state: &State) {
        let entries = state.records.iter().map(|record| {
            // A trial is claimed by writing the row.
            let earliest = match record.revision {
                Some(_) => Duration::ZERO,
                None => Duration::MAX,
            };
            Entry {
                segment: record.segment,
                due: record.due.max(earliest),
                joint_due: record.joint_due.max(earliest),
            }
        });
        self.entries.store(Arc::new(entries.collect()));
    }

    /// Records that requests with this segment are answered, which ends its quarantine.
    fn record_answer(&self, segment: u64, at: Duration) {
        let mut state = self.state.lock();
        state.evidence.record_answer(segment, at);
        let Ok(index) = state.find(segment) else {
            return;
        };
        if state.records[index].since > at {
            return;
        }
        let record = state.records.remove(index);
        state.releases.push(segment);
        self.publish(&state);
        drop(state);
        self.rows_outdated.notify_one();
        self.evidence_added.notify_one();
        emit!(
            info,
            event::SEGMENT_RELEASED,
            segment = format!("{segment:x}"),
            trials = record.trials,
        );
    }

    /// Quarantines a segment, unless it is already.
    fn add(&self, culprit: &Culprit, source: Source) {
        let now = clock::now();
        let mut state = self.state.lock();
        let index = match state.find(culprit.segment) {
            Ok(index) => {
                let known = &mut state.records[index].source;
                if source == Source::Own || *known != Source::Own {
                    *known = source;
                }
                return;
            }
            Err(index) => index,
        };
        if state.records.len() >= MAX_RECORDS {
            return;
        }
        let due = now + quarantine::trial_delay(0, culprit.is_ambiguous);
        let record = Record {
            segment: culprit.segment,
            since: now,
            crashes: culprit.crashes,
            trials: 0,
            is_ambiguous: culprit.is_ambiguous,
            due,
            joint_due: quarantine::joint_due(due),
            revision: None,
            source,
        };
        state.records.insert(index, record);
        self.publish(&state);
        drop(state);
        self.rows_outdated.notify_one();
        emit!(
            warn,
            event::SEGMENT_QUARANTINED,
            segment = format!("{:x}", culprit.segment),
            crashes = culprit.crashes,
            ambiguous = culprit.is_ambiguous,
            reported = source != Source::Own,
        );
    }

    /// Claims a trial of these segments; `None` if another request has claimed it, or if the table
    /// does not answer.
    async fn claim(&self, segments: Vec<u64>) -> Option<Trial> {
        let (granted, answer) = oneshot::channel();
        if !self.push_claim(Claim { segments, granted }) {
            return None;
        }
        self.rows_outdated.notify_one();
        let answer = tokio::time::timeout(CLAIM_TIMEOUT, answer).await;
        answer.ok()?.ok()
    }

    /// Queues a claim; `false` if another one of this instance has no result yet.
    fn push_claim(&self, claim: Claim) -> bool {
        let mut state = self.state.lock();
        let mut segments = claim.segments.iter();
        if segments.any(|segment| state.claimed.contains(segment)) {
            return false;
        }
        state.claimed.extend(&claim.segments);
        state.claims.push(claim);
        true
    }
}

/// Checks whether a request may be sent to an endpoint; returns the trial if it may be sent as one.
///
/// # Errors
///
/// If one of its segments is quarantined and no trial is granted.
pub async fn check<P: Protocol>(node: &Node<P>, call: &Call) -> Result<Option<Trial>, Refusal> {
    let table = &node.quarantine;
    let entries = table.entries.load();
    if entries.is_empty() && node.knows_quarantine() {
        return Ok(None);
    }
    let segments: Vec<u64> = call.shared_segments().collect();
    if !segments.is_empty() && !node.knows_quarantine() {
        let message = "the quarantined segments are not known yet; come back";
        return Err(Refusal::not_run(Reason::NotReady, message).retry_after(UNKNOWN_RETRY_DELAY));
    }
    let retry_after = match quarantine::check(&entries, &segments, clock::now()) {
        Admission::Admit => return Ok(None),
        Admission::Try(tried) => {
            drop(entries);
            if let Some(trial) = table.claim(tried).await {
                return Ok(Some(trial));
            }
            CLAIMED_RETRY_DELAY
        }
        // Until its row is in the table, it is unknown when a trial is due.
        Admission::Refuse { retry_after } => retry_after.min(MAX_RETRY_DELAY),
    };
    let message = "a segment of the prompt crashes engines; no engine gets it for now";
    Err(Refusal::not_run(Reason::SegmentQuarantined, message).retry_after(retry_after))
}

/// Tracks one attempt until its answer has shown that its segments do not crash engines.
#[derive(Debug, Default)]
pub struct Proof(AtomicBool);

impl Proof {
    /// Records that the engine has outlasted the beginning of its answer.
    pub fn record<P: Protocol>(&self, node: &Node<P>, call: &Call) {
        if self.0.swap(true, Ordering::Relaxed) {
            return;
        }
        let now = clock::now();
        for segment in call.shared_segments() {
            node.quarantine.record_answer(segment, now);
        }
    }

    /// Whether the answer has shown that.
    pub fn is_given(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Records that the connection of an attempt broke before its proof was given.
pub fn record_break<P: Protocol>(node: &Node<P>, call: &Call, selection: &Selection) {
    let segments: Vec<u64> = call.shared_segments().collect();
    if segments.is_empty() {
        return;
    }
    let endpoint = selection.endpoint.clone();
    let mut state = node.quarantine.state.lock();
    state.detect.add_break(endpoint, segments, clock::now());
    drop(state);
    node.quarantine.evidence_added.notify_one();
}

/// Finds segments that crash engines and keeps the rows, until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    tokio::join!(detect::run(&node), rows::run(&node, &table));
}
