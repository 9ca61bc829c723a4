//! Crashes of endpoints as this instance sees them, and their exchange with the hubs.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use policy::suspect::{
    Culprit,
    Evaluation,
    Report,
    limit, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use super::Source;
use crate::{
    exchange,
    fleet::{
        Endpoint,
        Registration, //
    },
    message::{
        Crash,
        Evidence,
        Message,
        Suspects, //
    },
    node::Node,
    protocol::Protocol,
    relay, //
};

/// Interval at which evidence is sent again, since datagrams may be lost and hubs may change.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which breaks are collected before they are evaluated: the connections to a crashed
/// endpoint end together.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Time for which a crash is sent again.
const SEND_HORIZON: Duration = Duration::from_secs(5);
/// Time within which the connections to a crashed endpoint break.
const CRASH_SPREAD: Duration = Duration::from_millis(500);
/// Maximum number of crashes in one message.
const MAX_SENT_CRASHES: usize = 8;
/// Maximum number of segments in one message.
const MAX_SENT_SEGMENTS: usize = 256;
/// Delays before the checks of whether an endpoint is gone after connections to it broke; one that
/// restarts quickly shows by its registration that it did.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(750),
    Duration::from_millis(2_000),
    Duration::from_millis(4_000),
];
/// Number of the checks that open a connection; the others look at the registration only.
const MAX_CONNECTIONS: usize = 2;
/// Timeout of the connection that checks an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Requests whose connections to one incarnation of an endpoint broke.
#[derive(Debug)]
struct Break {
    endpoint: Arc<Endpoint>,
    at: Duration,
    /// Ids of these requests and their segments, requests first.
    segments: Vec<u64>,
    /// Whether it is known that the endpoint crashed.
    confirmed: bool,
    /// Whether a check of the endpoint has begun.
    checked: bool,
    /// Whether `segments` has changed since the evidence was last updated.
    changed: bool,
}

/// Breaks of the last few seconds.
#[derive(Debug, Default)]
pub struct State {
    breaks: Vec<Break>,
    /// Number of the crash that this hub tells the other hubs next.
    next_told: usize,
}

impl State {
    /// Records that a request with these ids broke off.
    pub fn add_break(
        &mut self,
        endpoint: Arc<Endpoint>,
        ids: impl Iterator<Item = u64>,
        now: Duration,
    ) {
        self.breaks.retain(|known| now < known.at + SEND_HORIZON);
        // An endpoint may have closed a single connection some time before it crashes.
        let is_same = |known: &&mut Break| {
            is_same_incarnation(&known.endpoint, &endpoint) && now < known.at + CRASH_SPREAD
        };
        if let Some(known) = self.breaks.iter_mut().find(is_same) {
            known.segments.extend(ids);
            limit(&mut known.segments, known.at.as_nanos() as u64);
            known.changed = true;
            return;
        }
        let mut segments = ids.collect();
        limit(&mut segments, now.as_nanos() as u64);
        self.breaks.push(Break {
            endpoint,
            at: now,
            segments,
            confirmed: false,
            checked: false,
            changed: true,
        });
    }
}

fn is_same_incarnation(one: &Endpoint, other: &Endpoint) -> bool {
    let (one, other) = (&one.registration, &other.registration);
    one.name == other.name && one.incarnation == other.incarnation
}

/// Hash under which instances tell each other of an endpoint.
fn endpoint_hash(endpoint: &Endpoint) -> u64 {
    xxh3_64(endpoint.registration.name.as_bytes())
}

/// Evaluates the evidence until the task is aborted.
pub async fn run<P: Protocol>(node: &Arc<Node<P>>) {
    let mut evaluation = Evaluation::default();
    let mut sent_at = Duration::ZERO;
    loop {
        let woken = node.quarantine.evidence_added.notified();
        let now = clock::now();
        let until_due = evaluation.evaluate_at.map(|at| at.saturating_sub(now));
        let wait = until_due.map_or(SEND_INTERVAL, |due| due.clamp(BATCH_DELAY, SEND_INTERVAL));
        let is_woken = tokio::time::timeout(wait, woken).await.is_ok();
        if is_woken {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        start_checks(node);
        let has_new = record_crashes(node);
        let now = clock::now();
        let is_due = evaluation.evaluate_at.is_some_and(|at| at <= now);
        let repeats = sent_at + SEND_INTERVAL <= now;
        if is_woken || is_due {
            evaluation = evaluate(node, now);
        }
        if has_new || repeats {
            send_crashes(node, now).await;
        }
        if has_new || is_due || repeats {
            send_suspects(node, &evaluation).await;
        }
        if repeats {
            send_unexplained(node, now).await;
            sent_at = now;
        }
    }
}

/// Begins to check the endpoints to which connections broke.
fn start_checks<P: Protocol>(node: &Arc<Node<P>>) {
    let mut state = node.quarantine.state.lock();
    for known in state.detect.breaks.iter_mut().filter(|b| !b.checked) {
        known.checked = true;
        tokio::spawn(check(node.clone(), known.endpoint.clone(), known.at));
    }
}

/// Finds out whether an endpoint has crashed: it accepts no connection, or another incarnation
/// takes its place.
async fn check<P: Protocol>(node: Arc<Node<P>>, endpoint: Arc<Endpoint>, broken_at: Duration) {
    for (index, delay) in CHECK_DELAYS.into_iter().enumerate() {
        tokio::time::sleep(delay).await;
        let fleet = node.endpoints.fleet();
        let is_registered = fleet
            .of_service(&endpoint.registration.service)
            .iter()
            .any(|other| is_same_incarnation(other, &endpoint));
        let connects = index < MAX_CONNECTIONS;
        if !is_registered || connects && is_down(&node, &endpoint.registration).await {
            confirm(&node, &endpoint, broken_at);
            return;
        }
    }
}

/// Whether connections to an endpoint are refused, also those of another instance; a host that does
/// not answer may have been cut off and tells nothing about its processes.
async fn is_down<P: Protocol>(node: &Node<P>, endpoint: &Registration) -> bool {
    let connect = TcpStream::connect(endpoint.address);
    let connected = tokio::time::timeout(CHECK_TIMEOUT, connect).await;
    let is_refused =
        matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
    is_refused && !relay::is_reached(node, endpoint, CHECK_TIMEOUT).await
}

fn confirm<P: Protocol>(node: &Node<P>, endpoint: &Endpoint, broken_at: Duration) {
    let mut state = node.quarantine.state.lock();
    let breaks = &mut state.detect.breaks;
    for known in breaks
        .iter_mut()
        .filter(|known| is_same_incarnation(&known.endpoint, endpoint) && known.at == broken_at)
    {
        known.confirmed = true;
        known.changed = true;
    }
    drop(state);
    node.quarantine.evidence_added.notify_one();
}

/// Adds the crashes that this instance has confirmed to its evidence; `true` if there are new ones.
fn record_crashes<P: Protocol>(node: &Node<P>) -> bool {
    let mut state = node.quarantine.state.lock();
    let super::State {
        evidence, detect, ..
    } = &mut *state;
    let mut has_new = false;
    for known in detect
        .breaks
        .iter_mut()
        .filter(|b| b.confirmed && b.changed)
    {
        known.changed = false;
        has_new = true;
        evidence.record_crash(endpoint_hash(&known.endpoint), known.at, &known.segments);
        let segments: Vec<String> = known.segments.iter().map(|s| format!("{s:x}")).collect();
        emit!(
            warn,
            event::ENDPOINT_CRASHED,
            endpoint = &*known.endpoint.registration.name,
            segments = segments.join(","),
        );
    }
    has_new
}

/// Quarantines the segments that the evidence convicts. This is left to the hubs while any is
/// heard, since they have the evidence of all instances.
fn evaluate<P: Protocol>(node: &Node<P>, now: Duration) -> Evaluation {
    if node.hub_rank().is_none() && node.exchange.hears_hub(now) {
        return Evaluation::default();
    }
    let evaluation = node.quarantine.state.lock().evidence.evaluate(now);
    for culprit in &evaluation.culprits {
        node.quarantine.add(culprit, Source::Own);
    }
    evaluation
}

/// Sends the recent crashes that this instance has seen to the hubs.
async fn send_crashes<P: Protocol>(node: &Node<P>, now: Duration) {
    let evidence = recent_evidence(&node.quarantine.state.lock(), now);
    if !evidence.crashes.is_empty() {
        exchange::send_to_hubs(node, &Message::Evidence(evidence)).await;
    }
}

/// Recent crashes that this instance has seen, and its answers to requests with their segments.
fn recent_evidence(state: &super::State, now: Duration) -> Evidence {
    let recent = state.detect.breaks.iter().rev();
    let recent = recent.filter(|b| b.confirmed && now < b.at + SEND_HORIZON);
    let reports = recent.map(|known| Report {
        endpoint: endpoint_hash(&known.endpoint),
        at: known.at,
        segments: &known.segments,
    });
    let crashes = crashes(reports, now);
    let segments = crashes.iter().flat_map(|crash| &crash.segments);
    let answers = own_answers(state, segments, now);
    Evidence { crashes, answers }
}

/// The first crashes, as many as one message may hold.
fn crashes<'a>(reports: impl Iterator<Item = Report<'a>>, now: Duration) -> Vec<Crash> {
    let mut room = MAX_SENT_SEGMENTS;
    let crashes = reports.take(MAX_SENT_CRASHES).map(|report| {
        let count = report.segments.len().min(room);
        room -= count;
        Crash {
            endpoint: report.endpoint,
            age_ms: exchange::whole_millis(now.saturating_sub(report.at)),
            segments: report.segments[..count].to_vec(),
        }
    });
    crashes.collect()
}

/// Tells the other hubs, from a hub, of some older crashes in turn, since one that has started
/// knows none and the instances that saw them no longer send them.
async fn send_unexplained<P: Protocol>(node: &Node<P>, now: Duration) {
    if node.hub_rank().is_none() {
        return;
    }
    let evidence = next_unexplained(&mut node.quarantine.state.lock(), now);
    if !evidence.crashes.is_empty() {
        exchange::send_to_hubs(node, &Message::Evidence(evidence)).await;
    }
}

fn next_unexplained(state: &mut super::State, now: Duration) -> Evidence {
    let first = state.detect.next_told;
    let mut sent = 0;
    let mut size = 0;
    let reports = state.evidence.unexplained(now, first, MAX_SENT_CRASHES);
    let reports = reports.take_while(|report| {
        size += report.segments.len();
        sent += 1;
        sent == 1 || size <= MAX_SENT_SEGMENTS
    });
    let crashes = crashes(reports, now);
    state.detect.next_told = if crashes.is_empty() {
        0
    } else {
        first + crashes.len()
    };
    // Answers are asked for: passed on again and again, their ages would shrink by the time that
    // each message takes.
    let answers = Vec::new();
    Evidence { crashes, answers }
}

/// Last answers to requests with these segments, as age in milliseconds.
fn own_answers<'a>(
    state: &super::State,
    segments: impl Iterator<Item = &'a u64>,
    now: Duration,
) -> Vec<(u64, u32)> {
    let mut answers: Vec<(u64, u32)> = segments
        .filter_map(|segment| {
            let at = state.evidence.last_answer(*segment)?;
            let age = now.saturating_sub(at);
            Some((*segment, exchange::whole_millis(age)))
        })
        .collect();
    answers.sort_unstable();
    answers.dedup();
    answers
}

/// Tells all other instances, from a hub, which segments are suspects and which are quarantined
/// but not in the table.
async fn send_suspects<P: Protocol>(node: &Node<P>, evaluation: &Evaluation) {
    if node.hub_rank().is_none() {
        return;
    }
    let suspects = suspects(&node.quarantine.state.lock(), evaluation);
    if !suspects.open.is_empty() || !suspects.culprits.is_empty() {
        exchange::send_all(node, &Message::Suspects(suspects)).await;
    }
}

fn suspects(state: &super::State, evaluation: &Evaluation) -> Suspects {
    let unwritten = state
        .records
        .iter()
        .filter(|record| record.revision.is_none() && record.source == Source::Own);
    Suspects {
        open: evaluation.open.clone(),
        culprits: unwritten
            .map(|record| (record.segment, record.crashes, record.is_ambiguous))
            .collect(),
    }
}

/// Adds the evidence of another instance.
pub fn handle_evidence<P: Protocol>(node: &Node<P>, message: &Evidence) {
    let now = clock::now();
    let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
    let mut has_new = !message.answers.is_empty();
    // Answers first, so that no evaluation lies between crashes and the answers that clear them.
    for &(segment, age_ms) in &message.answers {
        node.quarantine.record_answer(segment, at(age_ms));
    }
    let mut state = node.quarantine.state.lock();
    for crash in &message.crashes {
        // One before this machine started has no time by its clock.
        let Some(at) = now.checked_sub(Duration::from_millis(crash.age_ms.into())) else {
            continue;
        };
        let evidence = &mut state.evidence;
        has_new |= evidence.record_crash(crash.endpoint, at, &crash.segments);
    }
    drop(state);
    if has_new {
        node.quarantine.evidence_added.notify_one();
    }
}

/// Applies the quarantines that a hub reports, and tells it of the answers that this instance has
/// seen to requests with the suspects.
pub async fn handle_suspects<P: Protocol>(node: &Node<P>, message: &Suspects, from: SocketAddr) {
    let now = clock::now();
    for &(segment, crashes, is_ambiguous) in &message.culprits {
        let culprit = Culprit {
            segment,
            crashes,
            is_ambiguous,
            trials: 0,
        };
        node.quarantine.add(&culprit, Source::Report(now));
    }
    let culprits = message.culprits.iter().map(|(segment, ..)| segment);
    let segments = message.open.iter().chain(culprits);
    let answers = own_answers(&node.quarantine.state.lock(), segments, now);
    if !answers.is_empty() {
        let evidence = Evidence {
            crashes: Vec::new(),
            answers,
        };
        exchange::send(node, &Message::Evidence(evidence), from).await;
    }
}
