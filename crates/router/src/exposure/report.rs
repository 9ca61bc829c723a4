//! What instances tell the one that controls a rollout, and what it tells them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::exposure::{
    Evidence,
    Stage,
    Verdict,
    judge, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    rules::{
        is_silent,
        longest_silence, //
    },
    state::{
        Heard,
        Rollout,
        State, //
    }, //
};
use crate::{
    exchange,
    instance::name_hash,
    message::{
        Message,
        RolloutNotice,
        RolloutReport, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Interval of reports in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// By how much each instance of the fleet makes the interval longer, so that the one in control, which
/// may have a tenth of a core, receives less than a thousand reports a second.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(1);
/// Maximum number of routes in one report. A route takes up to about 900 bytes.
const MAX_ROUTES: usize = 8;
/// Maximum number of instances whose reports are kept.
const MAX_REPORTERS: usize = 4_096;
/// Number of instances that must each have found a version bad before their reports alone roll it back.
/// A single one may only have a slow path to its endpoints.
const MIN_REPORTERS_AGAINST: usize = 3;

/// What an instance has told last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reporter {
    /// Hash of its name.
    pub(super) instance: u32,
    /// When this instance received it.
    pub(super) at: Duration,
    /// Stage that the instance knows of.
    pub(super) stage: Option<Stage>,
    /// Whether it knows that streams do not go on at the replaced versions.
    pub(super) is_closed: bool,
    /// Number of its requests in progress at endpoints of the replaced versions.
    pub(super) in_flight: u32,
    /// Whether the instance has found the version bad.
    pub(super) is_bad: bool,
}

/// Interval of the reports of each instance.
pub(super) fn interval<P: Protocol>(node: &Node<P>) -> Duration {
    let count = u32::try_from(node.instance_count()).unwrap_or(u32::MAX);
    REPORT_INTERVAL + INTERVAL_PER_INSTANCE.saturating_mul(count)
}

/// Reports what this instance has seen, until the task is aborted.
pub(super) async fn run<P: Protocol>(node: &Node<P>) {
    loop {
        tokio::time::sleep(interval(node)).await;
        super::apply_old_orders(node, clock::now());
        let rollouts = node.exposure.all();
        if !rollouts.is_empty() {
            // Endpoints whose rows lapsed are removed without a change of rows.
            super::refresh(node);
        }
        for rollout in rollouts.iter() {
            if let Some(report) = evaluate(node, rollout) {
                send(node, rollout, report).await;
            }
        }
    }
}

/// Evaluates what this instance has seen; returns its report while the rollout is active.
fn evaluate<P: Protocol>(node: &Node<P>, rollout: &Rollout) -> Option<RolloutReport> {
    let now = clock::now();
    let mut state = rollout.state.lock();
    if !state.is_active() {
        return None;
    }
    let is_on_trial = state.share().is_some();
    let counts = &mut state.counts;
    counts.hold.settle(now, &mut counts.evidence);
    if let Some((elapsed, duration)) = state.times(node.exchange.table_time(now)) {
        let counts = &mut state.counts;
        counts.trend.update(elapsed, &counts.evidence);
        let verdict = judge(&counts.trend, elapsed, duration);
        if is_on_trial && !state.is_bad_here && verdict == Verdict::Bad {
            state.is_bad_here = true;
            record_bad(rollout, "own observations");
        }
    }
    let silence = longest_silence(node.config.bounds.rollback);
    let was_heard = state.heard.at.is_some();
    if is_on_trial && was_heard && !state.is_silent && is_silent(&state, silence, now) {
        state.is_silent = true;
        emit!(info, event::ROLLOUT_SILENT, service = &*rollout.service);
    }
    let report = RolloutReport {
        service: rollout.service.to_string(),
        to: state.order.as_ref()?.order.to.to_string(),
        order: state.acted_on(),
        instance: name_hash(&node.config.name),
        incarnation: node.incarnation,
        evidence: state.counts.evidence.clone(),
        stage: state.row().map(|row| row.stage),
        is_closed: state.row().is_some_and(|row| row.is_closed),
        in_flight: in_flight(node, rollout, &state),
        is_bad: state.is_bad || state.is_bad_here,
    };
    Some(report)
}

/// Logs that the ordered version is bad.
pub(super) fn record_bad(rollout: &Rollout, reason: &str) {
    emit!(
        warn,
        event::VERSION_BAD,
        service = &*rollout.service,
        reason = reason
    );
}

/// Number of this instance's requests in progress at endpoints of the replaced versions.
fn in_flight<P: Protocol>(node: &Node<P>, rollout: &Rollout, state: &State) -> u32 {
    let Some(row) = state.row() else {
        return 0;
    };
    let fleet = node.endpoints.fleet();
    let endpoints = fleet.of_service(&rollout.service).iter();
    let replaced = endpoints.filter(|endpoint| row.is_base(&endpoint.registration.build));
    let running = replaced.filter_map(|endpoint| {
        let health = node.health.find(&endpoint.registration.name)?;
        Some(health.in_flight.running())
    });
    running.sum()
}

/// Sends a report to the instance in control.
async fn send<P: Protocol>(node: &Node<P>, rollout: &Rollout, report: RolloutReport) {
    if node.lease.check(Duration::ZERO).is_some() {
        return record(rollout, &report);
    }
    let targets = targets(node, rollout);
    for evidence in split(&report.evidence) {
        let message = Message::RolloutReport(RolloutReport {
            evidence,
            ..report.clone()
        });
        for target in &targets {
            exchange::send(node, &message, *target).await;
        }
    }
}

/// The instance in control, as far as this one knows it; else the hubs.
fn targets<P: Protocol>(node: &Node<P>, rollout: &Rollout) -> Vec<SocketAddr> {
    let heard = rollout.state.lock().heard;
    let is_fresh = |at: Duration| clock::now().saturating_sub(at) <= node.config.bounds.lease;
    if let Some(from) = heard.from.filter(|_| heard.at.is_some_and(is_fresh)) {
        return vec![from];
    }
    let sighting = node.lease_row.lock().clone();
    let mut targets = exchange::other_hubs(node);
    targets.extend(sighting.and_then(|sighting| sighting.holder_address()));
    targets.retain(|target| *target != node.config.listen.exchange);
    targets.sort();
    targets.dedup();
    targets
}

/// Parts of the evidence that each fit into a datagram; at least one.
fn split(evidence: &Evidence) -> Vec<Evidence> {
    let routes = evidence.routes();
    if routes.len() <= MAX_ROUTES {
        return vec![evidence.clone()];
    }
    let part = |routes: &[_]| {
        let mut part = Evidence::default();
        for (route, pair) in routes {
            let route: &std::sync::Arc<str> = route;
            *part.route(route) = Clone::clone(pair);
        }
        part
    };
    routes.chunks(MAX_ROUTES).map(part).collect()
}

/// Handles the report of another instance.
pub fn handle_report<P: Protocol>(node: &Node<P>, report: &RolloutReport) {
    if let Some(rollout) = node.exposure.find(&report.service) {
        record(&rollout, report);
    }
}

/// Records a report for the case that this instance controls the rollout.
fn record(rollout: &Rollout, report: &RolloutReport) {
    let mut state = rollout.state.lock();
    let is_same = |state: &State| {
        let order = state.order.as_ref();
        let is_same = order.is_some_and(|order| *order.order.to == *report.to);
        is_same && state.acted_on() == report.order
    };
    if !is_same(&state) {
        return;
    }
    let reports = &mut state.reports;
    let reporter = Reporter {
        instance: report.instance,
        at: clock::now(),
        stage: report.stage,
        is_closed: report.is_closed,
        in_flight: report.in_flight,
        is_bad: report.is_bad,
    };
    let found = reports
        .reporters
        .binary_search_by_key(&report.instance, |known| known.instance);
    match found {
        Ok(index) => reports.reporters[index] = reporter,
        Err(_) if reports.reporters.len() >= MAX_REPORTERS => return,
        Err(index) => reports.reporters.insert(index, reporter),
    }
    let key = (report.instance, report.incarnation);
    reports.ledger.record(&key, &report.evidence);
    let against = reports.reporters.iter().filter(|known| known.is_bad);
    let is_agreed = against.count() >= MIN_REPORTERS_AGAINST;
    if is_agreed && !state.is_bad {
        state.is_bad = true;
        record_bad(rollout, "reports of several instances");
    }
}

/// Handles word from the instance that controls a rollout.
pub fn handle_notice<P: Protocol>(node: &Node<P>, notice: &RolloutNotice, from: SocketAddr) {
    let Some(rollout) = node.exposure.find(&notice.service) else {
        return;
    };
    let mut state = rollout.state.lock();
    let order = state.order.as_ref();
    if order.is_none_or(|order| *order.order.to != *notice.to) || notice.number < state.heard.number
    {
        return;
    }
    state.heard = Heard {
        number: notice.number,
        at: Some(clock::now()),
        from: Some(from),
    };
    state.is_silent = false;
    if notice.is_bad && !state.is_bad && notice.order == state.acted_on() {
        state.is_bad = true;
        record_bad(&rollout, "observations of all instances");
    }
}
