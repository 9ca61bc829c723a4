//! Controls rollouts at the instance that holds the lease.
//!
//! The row of a rollout is written by compare-and-set, in one transaction with what operators are told.
//! So a write whose answer was lost is found by reading the row, and no state is told twice.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
        Txn,
        Watch, //
    }, //
};
use policy::exposure::{
    Progress,
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
    begin::Begin,
    hold,
    report::{
        self,
        record_bad, //
    },
    row::Row,
    rules::longest_silence,
    state::{
        Heard,
        Order,
        Rollout,
        State, //
    }, //
};
use crate::{
    EXPOSURES,
    exchange,
    message::{
        Message,
        RolloutNotice, //
    },
    node::Node,
    protocol::{
        Protocol,
        RolloutOrder,
        RolloutState, //
    },
    stream::millis, //
};

/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Longest interval at which all instances are told that the rollout is under control.
const NOTICE_INTERVAL: Duration = Duration::from_millis(700);
/// Notices within the time after which instances act on a silence; datagrams may be lost.
const NOTICES_PER_SILENCE: u32 = 3;
/// Fraction of the live instances whose reports make the evidence current.
const CURRENT_FRACTION: f64 = 0.95;
/// Age at which a report does not count as current, in intervals of reports.
const CURRENT_INTERVALS: u32 = 3;
/// Slots of the new version, as a fraction of those of the old ones, that count as enough for all
/// requests.
const SERVED_FRACTION: f64 = 0.5;

/// The row in the table, as read or written last.
#[derive(Debug)]
struct Basis {
    service: Arc<str>,
    /// Fencing number under which it was read.
    number: u64,
    revision: Revision,
}

/// A row to write for an order, with what operators are told by it.
struct Next {
    order: RolloutOrder,
    row: Row,
    told: Option<RolloutState>,
}

struct Controller<'a, P, W> {
    node: &'a Node<P>,
    table: &'a W,
    bases: Vec<Basis>,
    noticed_at: Option<Duration>,
}

/// Controls rollouts while this instance holds the lease, until the task is aborted.
pub(super) async fn run<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut controller = Controller {
        node,
        table,
        bases: Vec::new(),
        noticed_at: None,
    };
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let Some(grant) = node.lease.check(Duration::ZERO) else {
            controller.bases.clear();
            continue;
        };
        controller.step(grant.number).await;
    }
}

impl<P: Protocol, W: Watch> Controller<'_, P, W> {
    async fn step(&mut self, number: u64) {
        let now = clock::now();
        let rollouts = self.node.exposure.all();
        let silence = longest_silence(self.node.config.bounds.rollback);
        let interval = NOTICE_INTERVAL.min(silence / NOTICES_PER_SILENCE);
        let is_due = |at| now.saturating_sub(at) >= interval;
        let is_notice_due = self.noticed_at.is_none_or(is_due);
        if is_notice_due {
            self.noticed_at = Some(now);
        }
        for rollout in rollouts.iter().filter(|rollout| rollout.is_active()) {
            if is_notice_due || rollout.is_bad_on_trial() {
                self.notify(rollout, number).await;
            }
            if let Err(fault) = self.control(rollout, number).await {
                self.forget(&rollout.service);
                emit!(debug, event::TABLE_FAULT, prefix = EXPOSURES, reason = %fault);
            }
        }
    }

    /// Tells all instances that a rollout is under control, and whether its version is bad.
    async fn notify(&self, rollout: &Rollout, number: u64) {
        let notice = {
            let mut state = rollout.state.lock();
            let Some(order) = &state.order else {
                return;
            };
            let to = order.order.to.to_string();
            state.heard = Heard {
                number,
                at: Some(clock::now()),
                from: None,
            };
            state.is_silent = false;
            RolloutNotice {
                service: rollout.service.to_string(),
                to,
                order: state.acted_on(),
                number,
                is_bad: state.is_bad,
            }
        };
        exchange::send_all(self.node, &Message::RolloutNotice(notice)).await;
    }

    fn forget(&mut self, service: &str) {
        self.bases.retain(|basis| *basis.service != *service);
    }

    async fn control(&mut self, rollout: &Rollout, number: u64) -> Result<(), Fault> {
        let mirrors = &self.node.mirrors;
        if !mirrors.endpoints.is_read() || !mirrors.instances.is_read() {
            return Ok(());
        }
        let basis = self.read(rollout, number).await?;
        let was_bad = rollout.state.lock().is_bad;
        let Some(next) = self.next(rollout, number) else {
            return Ok(());
        };
        if !was_bad && rollout.state.lock().is_bad {
            self.notify(rollout, number).await;
        }
        self.write(rollout, basis, next).await
    }

    /// Reads the row, unless that was done under this fencing number; returns its revision.
    async fn read(&mut self, rollout: &Rollout, number: u64) -> Result<Revision, Fault> {
        let era = self.node.era.current().map_or(0, |(era, _)| era);
        let mut bases = self.bases.iter();
        let is_valid = |basis: &&Basis| {
            basis.service == rollout.service && basis.number == number && basis.revision.era == era
        };
        if let Some(basis) = bases.find(is_valid) {
            return Ok(basis.revision);
        }
        let reading = self.table.read(&key(rollout)).await?;
        let absent = Revision {
            era: reading.era,
            number: 0,
        };
        let revision = reading.row.as_ref().map_or(absent, |row| row.revision);
        // An unreadable row is replaced.
        let row = reading
            .row
            .and_then(|row| serde_json::from_slice(&row.value).ok());
        rollout.apply_row(row, revision, clock::now());
        self.remember(rollout, number, revision);
        Ok(revision)
    }

    fn remember(&mut self, rollout: &Rollout, number: u64, revision: Revision) {
        self.forget(&rollout.service);
        self.bases.push(Basis {
            service: rollout.service.clone(),
            number,
            revision,
        });
    }

    async fn write(&mut self, rollout: &Rollout, basis: Revision, next: Next) -> Result<(), Fault> {
        let key = key(rollout);
        let Next { order, row, told } = next;
        let condition = if basis.is_absent() {
            Revision::ABSENT
        } else {
            basis
        };
        // Texts and numbers always encode.
        let value = serde_json::to_vec(&row).unwrap_or_default();
        let mut txn = Txn::default().when(&key, condition).put(&key, value);
        if let Some(told) = told {
            let status = P::write_rollout_status(&order, told);
            txn = txn.put(P::rollout_status_key(&rollout.service), status);
        }
        let Outcome::Applied(revision) = self.table.transact(txn).await? else {
            self.forget(&rollout.service);
            return Ok(());
        };
        emit!(
            info,
            event::ROLLOUT_STAGE,
            service = &*rollout.service,
            to = &*row.to,
            stage = ?row.stage,
            share = row.share,
            closed = row.is_closed,
            told = ?told,
            number = row.number,
        );
        let number = row.number;
        rollout.apply_row(Some(row), revision, clock::now());
        self.remember(rollout, number, revision);
        Ok(())
    }

    /// The row to write now; `None` if it stays.
    fn next(&self, rollout: &Rollout, number: u64) -> Option<Next> {
        let mut state = rollout.state.lock();
        let order = state.order.clone()?;
        let (row, told) = self.next_row(rollout, &mut state, &order, number)?;
        let row = Row {
            number,
            write_id: rand::random(),
            ..row
        };
        Some(Next {
            order: order.order,
            row,
            told,
        })
    }

    fn next_row(
        &self,
        rollout: &Rollout,
        state: &mut State,
        order: &Order,
        number: u64,
    ) -> Option<(Row, Option<RolloutState>)> {
        let now = clock::now();
        let table_time = self.node.exchange.table_time(now)?;
        let known = state.known.as_ref();
        let is_lost = known.is_some_and(|known| known.is_lost);
        let Some(row) = state.row().cloned() else {
            let previous = known.map(|known| &known.row);
            // This instance may lack an order on which another holder has acted.
            if previous.is_some_and(|row| row.order > order.revision) || state.registered.is_empty()
            {
                return None;
            }
            let begin = Begin::new(previous, &order.order.to, &state.registered);
            let row = self.first_row(order, begin, table_time);
            return Some((row, Some(RolloutState::Running)));
        };
        if is_lost {
            let told = match row.stage {
                Stage::Done if row.is_finished => RolloutState::Complete,
                Stage::RolledBack => RolloutState::RolledBack,
                _ => RolloutState::Running,
            };
            return Some((row, Some(told)));
        }
        if row.number != number {
            return Some((row, None));
        }
        match row.stage {
            Stage::RolledBack => None,
            Stage::Done => hold::next(self.node, rollout, state, &row, table_time),
            Stage::Sample | Stage::Shift { .. } => self.advance(rollout, state, row, table_time),
        }
    }

    fn first_row(&self, order: &Order, begin: Begin, table_time: Duration) -> Row {
        Row {
            to: order.order.to.clone(),
            order: order.revision,
            stage: begin.stage,
            share: begin.stage.share(self.node.config.bounds.expose_share),
            started_at: order.given_at.unwrap_or(table_time),
            stage_at: table_time,
            base: begin.base,
            denied: begin.denied,
            is_closed: false,
            is_finished: false,
            number: 0,
            write_id: 0,
        }
    }

    /// Judges a version on trial, and moves to the next stage if it is due.
    fn advance(
        &self,
        rollout: &Rollout,
        state: &mut State,
        row: Row,
        table_time: Duration,
    ) -> Option<(Row, Option<RolloutState>)> {
        let (elapsed, duration) = state.times(Some(table_time))?;
        self.update_trend(state, elapsed);
        let verdict = match state.is_bad {
            true => Verdict::Bad,
            false => judge(&state.reports.trend, elapsed, duration),
        };
        if verdict == Verdict::Bad && !state.is_bad {
            state.is_bad = true;
            record_bad(rollout, "observations of all instances");
        }
        let progress = Progress {
            verdict,
            elapsed,
            in_stage: table_time.saturating_sub(row.stage_at),
            duration,
            is_current: self.is_current(state) && state.reports.trend.is_settled(),
            is_served: self.is_served(rollout, &row),
        };
        let stage = row.stage.next(&progress);
        if stage == row.stage {
            return None;
        }
        let is_rolled_back = stage == Stage::RolledBack;
        let mut row = Row {
            stage,
            share: stage.share(self.node.config.bounds.expose_share),
            stage_at: table_time,
            is_finished: is_rolled_back,
            ..row
        };
        if stage == Stage::Done {
            let replaced = state.registered.iter();
            let replaced =
                replaced.filter(|b| **b != row.to && !row.is_denied(b) && !row.is_base(b));
            let replaced: Vec<_> = replaced.cloned().collect();
            row.base.extend(replaced);
        }
        emit!(
            info,
            event::ROLLOUT_JUDGED,
            service = &*rollout.service,
            to = &*row.to,
            verdict = ?progress.verdict,
            elapsed_ms = millis(progress.elapsed),
            current = progress.is_current,
            served = progress.is_served,
        );
        let told = is_rolled_back.then_some(RolloutState::RolledBack);
        Some((row, told))
    }

    /// Takes the reports up into the course of time. Slices should hold one report of each instance, and the
    /// first one all that was seen before this instance was in control.
    fn update_trend(&self, state: &mut State, elapsed: Duration) {
        let now = clock::now();
        let interval = report::interval(self.node);
        let since = *state.reports.since.get_or_insert(now);
        let is_due = match state.reports.updated_at {
            Some(at) => now.saturating_sub(at) >= interval,
            None => {
                let longest = interval * CURRENT_INTERVALS;
                self.is_current(state) || now.saturating_sub(since) >= longest
            }
        };
        if is_due {
            let reports = &mut state.reports;
            reports.updated_at = Some(now);
            reports.trend.update(elapsed, reports.ledger.total());
        }
    }

    /// Whether nearly all live instances have reported lately.
    fn is_current(&self, state: &State) -> bool {
        let now = clock::now();
        let live = self.node.members.live(now);
        let horizon = report::interval(self.node) * CURRENT_INTERVALS;
        let reported = live.iter().filter(|member| {
            let reporter = state.reporter(member.hash());
            reporter.is_some_and(|reporter| now.saturating_sub(reporter.at) <= horizon)
        });
        reported.count() as f64 >= live.len() as f64 * CURRENT_FRACTION
    }

    /// Whether the endpoints of the new version could take all requests.
    fn is_served(&self, rollout: &Rollout, row: &Row) -> bool {
        let fleet = self.node.endpoints.fleet();
        let (mut new, mut old) = (0.0, 0.0);
        for endpoint in fleet.of_service(&rollout.service) {
            let registration = &endpoint.registration;
            if registration.leaving || row.is_denied(&registration.build) {
                continue;
            }
            let slots = f64::from(registration.slots.max(1));
            if registration.build == row.to {
                new += slots;
            } else {
                old += slots;
            }
        }
        new > 0.0 && new >= old * SERVED_FRACTION
    }
}

fn key(rollout: &Rollout) -> String {
    format!("{EXPOSURES}{}", rollout.service)
}
