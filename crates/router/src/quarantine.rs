//! Requests and segments of prompts that crash endpoints, and the refusal of
//! what holds them.
//!
//! A request or segment that [`policy::suspect`] finds is quarantined: each
//! instance refuses requests with it, except for trials. The quarantine is a row of the
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
use platform::table::{
    Revision,
    Watch, //
};
use policy::{
    quarantine::{
        self,
        Admission,
        Entry, //
    },
    suspect::{
        Culprit,
        Evidence,
        id::is_request, //
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
pub use rows::{
    apply_row,
    restore_rows, //
};

/// Maximum number of quarantined segments and requests; further ones are quarantined only if a
/// request that has had its trials makes room.
const MAX_RECORDS: usize = 256;
/// Timeout of the claim of a trial, which delays the request.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a request asks whether the rows are known, for a short time after the start.
const UNKNOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest delay after which a refused caller is told to return.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Delay after which a caller is told to return while another request is the trial.
const CLAIMED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a quarantine that only another instance has reported is kept; reports are
/// repeated until the row is in the table.
const REPORT_HORIZON: Duration = Duration::from_secs(3);

/// Difference between times of a trial that clock readings explain.
const DUE_TOLERANCE: Duration = Duration::from_secs(1);

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
    revision: Option<Revision>,
    source: Source,
    /// From when this instance writes the row again, which a restored table lacks or has with older
    /// values; `None` if the table has it.
    rewrite_at: Option<Duration>,
    /// Whether this instance wrote the row last.
    is_writer: bool,
}

impl Record {
    /// Whether a trial may be claimed at some time, which is done by writing the row.
    fn may_be_tried(&self) -> bool {
        self.revision.is_some()
            && self.rewrite_at.is_none()
            && !quarantine::is_exhausted(self.segment, self.trials)
    }

    /// Keeps what `known` holds beyond this record, whose row is from a restored table; `true` if the
    /// row is the older one.
    fn keep(&mut self, known: &Self) -> bool {
        let is_due_earlier = self.due + DUE_TOLERANCE < known.due;
        let is_older = self.trials < known.trials || self.trials == known.trials && is_due_earlier;
        self.trials = self.trials.max(known.trials);
        self.due = self.due.max(known.due);
        self.joint_due = self.joint_due.max(known.joint_due);
        is_older
    }
}

/// From where this instance knows of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Its own evaluation of the evidence, or the table.
    Own,
    /// The report of another instance, received at this time.
    Report(Duration),
}

/// Id of a segment or request, for logs.
#[derive(Debug)]
struct LoggedId {
    segment: Option<String>,
    request: Option<String>,
}

impl LoggedId {
    fn of(id: u64) -> Self {
        let text = format!("{id:x}");
        let (segment, request) = if is_request(id) {
            (None, Some(text))
        } else {
            (Some(text), None)
        };
        Self { segment, request }
    }

    /// The first of a pair for a segment, the second for a request.
    fn pick<T>(&self, of_segment: T, of_request: T) -> T {
        if self.segment.is_some() {
            of_segment
        } else {
            of_request
        }
    }
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
            let is_joint = quarantine::is_joint(&self.segments);
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
    /// Segments whose rows are to be deleted, each with the time from which this instance does it.
    releases: Vec<(u64, Duration)>,
    /// Rows that were deleted last: earlier changes of them may still arrive.
    deleted: Vec<Deletion>,
}

/// Deletion of the row of a segment.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deletion {
    segment: u64,
    revision: Revision,
    /// Whether this instance has deleted it.
    is_writer: bool,
}

impl Deletion {
    /// Whether a row at this revision is from a copy that is older than the deletion.
    fn is_undone_by(&self, revision: Revision) -> bool {
        revision.era > self.revision.era && revision.number <= self.revision.number
    }
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

    /// Makes room by ending the quarantine of the request that has been tried in vain for the
    /// longest time; `false` if there is none.
    fn evict(&mut self) -> bool {
        let records = self.records.iter().enumerate();
        let exhausted =
            records.filter(|(_, record)| quarantine::is_exhausted(record.segment, record.trials));
        let Some((index, _)) = exhausted.min_by_key(|(_, record)| (record.due, record.segment))
        else {
            return false;
        };
        let record = self.records.remove(index);
        self.releases.push((record.segment, Duration::ZERO));
        true
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
            let earliest = if record.may_be_tried() {
                Duration::ZERO
            } else {
                Duration::MAX
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
        state.releases.push((segment, Duration::ZERO));
        self.publish(&state);
        drop(state);
        self.rows_outdated.notify_one();
        self.evidence_added.notify_one();
        let id = LoggedId::of(segment);
        emit!(
            info,
            id.pick(event::SEGMENT_RELEASED, event::REQUEST_RELEASED),
            segment = id.segment,
            fingerprint = id.request,
            trials = record.trials,
        );
    }

    /// Quarantines a segment, unless it is already.
    fn add(&self, culprit: &Culprit, source: Source) {
        let now = clock::now();
        let mut state = self.state.lock();
        if let Ok(index) = state.find(culprit.segment) {
            let known = &mut state.records[index].source;
            if source == Source::Own || *known != Source::Own {
                *known = source;
            }
            return;
        }
        let is_full = state.records.len() >= MAX_RECORDS;
        // Only an instance that creates rows deletes others for them.
        if is_full && !(source == Source::Own && state.evict()) {
            return;
        }
        let index = state.find(culprit.segment).unwrap_or_else(|index| index);
        let due = now + quarantine::trial_delay(culprit.trials, culprit.is_ambiguous);
        let record = Record {
            segment: culprit.segment,
            since: now,
            crashes: culprit.crashes,
            trials: culprit.trials,
            is_ambiguous: culprit.is_ambiguous,
            due,
            joint_due: quarantine::joint_due(due),
            revision: None,
            source,
            rewrite_at: None,
            is_writer: false,
        };
        state.records.insert(index, record);
        self.publish(&state);
        drop(state);
        self.rows_outdated.notify_one();
        let id = LoggedId::of(culprit.segment);
        emit!(
            warn,
            id.pick(event::SEGMENT_QUARANTINED, event::REQUEST_QUARANTINED),
            segment = id.segment,
            fingerprint = id.request,
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
    while !node.knows_quarantine() {
        tokio::time::sleep(UNKNOWN_POLL_INTERVAL).await;
    }
    let table = &node.quarantine;
    let entries = table.entries.load();
    if entries.is_empty() {
        return Ok(None);
    }
    let suspects: Vec<u64> = call.suspects().collect();
    let is_own = |entry: &Entry| entry.segment == call.fingerprint;
    let is_request = entries.iter().any(is_own);
    let retry_after = match quarantine::check(&entries, &suspects, clock::now()) {
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
    let (reason, message) = if is_request {
        let message = "this request crashes endpoints; none gets it, however often it comes";
        (Reason::RequestQuarantined, message)
    } else {
        let message = "a segment of the prompt crashes engines; no engine gets it for now";
        (Reason::SegmentQuarantined, message)
    };
    Err(Refusal::not_run(reason, message).retry_after(retry_after))
}

/// Tracks one attempt until its answer has shown that neither the request nor its segments crash
/// endpoints.
#[derive(Debug, Default)]
pub struct Proof(AtomicBool);

impl Proof {
    /// Records that the endpoint has outlasted the beginning of its answer.
    pub fn record<P: Protocol>(&self, node: &Node<P>, call: &Call) {
        if self.0.swap(true, Ordering::Relaxed) {
            return;
        }
        let now = clock::now();
        for suspect in call.suspects() {
            node.quarantine.record_answer(suspect, now);
        }
    }

    /// Records that the endpoint has outlasted the request, although it refused to do what it asks
    /// for and has perhaps read no prompt.
    pub fn record_rejection<P: Protocol>(&self, node: &Node<P>, call: &Call) {
        if !self.is_given() {
            node.quarantine
                .record_answer(call.fingerprint, clock::now());
        }
    }

    /// Whether the answer has shown that.
    pub fn is_given(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Records that the connection of an attempt broke before its proof was given.
pub fn record_break<P: Protocol>(node: &Node<P>, call: &Call, selection: &Selection) {
    let endpoint = selection.endpoint.clone();
    let mut state = node.quarantine.state.lock();
    let now = clock::now();
    state.detect.add_break(endpoint, call.suspects(), now);
    drop(state);
    node.quarantine.evidence_added.notify_one();
}

/// Finds requests and segments that crash endpoints and keeps the rows, until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    tokio::join!(detect::run(&node), rows::run(&node, &table));
}
