//! Replicates the platform's table into this instance's mirrors.

mod row;

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

use platform::table::{
    Change,
    Txn,
    Watch,
    WatchFault, //
};
use policy::hub;
use rand::Rng;
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::sync::Notify;

use crate::{
    FIRST_SEEN,
    INSTANCE_ROWS,
    exchange::{
        self,
        whole_millis, //
    },
    message::Feed,
    mirror::Mirror,
    node::Node,
    peer,
    protocol::Protocol,
    weights::Sighting, //
};
use row::maintain_row;
pub use row::{
    is_row_lost,
    write_row, //
};

/// Time for which the table may hold a long poll of operators' rows while nothing changes. Each
/// response also confirms, to other instances too, that the view is fresh.
const OPERATOR_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Long-poll time for rows of endpoints and instances.
const OTHER_POLL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay after changes of operators' rows, so that changes close together arrive in one batch.
const OPERATOR_BATCH_DELAY: Duration = Duration::from_millis(60);
/// Batch delay for rows of endpoints.
const ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Batch delay for rows of instances.
const INSTANCES_BATCH_DELAY: Duration = Duration::from_millis(300);
/// First delay after the table gave no answer.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between checks of whether hubs still cover this instance.
const COVERAGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between checks of whether a configuration is known.
const CATALOG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Subscription to the rows under one prefix of the table.
struct Subscription<'a, N> {
    feed: Feed,
    prefix: &'static str,
    mirror: &'a Mirror,
    poll_timeout: Duration,
    batch_delay: Duration,
    /// Called with the changes that were new to the mirror, and a time by the table's clock at which
    /// the rows of operators were complete without them.
    on_change: N,
}

/// Whether calls to the table fail, as the subscriptions of this instance see it together.
#[derive(Debug, Default)]
struct Availability {
    is_lost: AtomicBool,
    /// Notified by the first answer after failed calls.
    returned: Notify,
    /// Notified by each answer about rows of operators.
    answered: Notify,
    /// Notified by each failed call for rows of operators.
    failed: Notify,
}

impl Availability {
    fn record_failure(&self) {
        self.is_lost.store(true, Ordering::Relaxed);
    }

    fn record_answer(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            self.returned.notify_waiters();
        }
    }

    /// Waits for an answer to another call after failed ones: a call that was sent before may have
    /// been lost.
    async fn wait_for_return(&self) {
        self.returned.notified().await;
    }
}

/// Follows the table until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    let operator = Subscription {
        feed: Feed::Operator,
        prefix: P::OPERATOR_PREFIX,
        mirror: &node.mirrors.operator,
        poll_timeout: OPERATOR_POLL_TIMEOUT,
        batch_delay: OPERATOR_BATCH_DELAY,
        on_change: |changes: &[Change], confirmed| node.apply_operator_changes(changes, confirmed),
    };
    let endpoints = Subscription {
        feed: Feed::Endpoints,
        prefix: P::ENDPOINT_PREFIX,
        mirror: &node.mirrors.endpoints,
        poll_timeout: OTHER_POLL_TIMEOUT,
        batch_delay: ENDPOINTS_BATCH_DELAY,
        on_change: |changes: &[Change], _| node.apply_endpoint_changes(changes),
    };
    let instances = Subscription {
        feed: Feed::Instances,
        prefix: INSTANCE_ROWS,
        mirror: &node.mirrors.instances,
        poll_timeout: OTHER_POLL_TIMEOUT,
        batch_delay: INSTANCES_BATCH_DELAY,
        on_change: |changes: &[Change], _| node.apply_instance_changes(changes),
    };
    let availability = Availability::default();
    tokio::join!(
        follow(&node, &table, &availability, operator),
        follow(&node, &table, &availability, endpoints),
        follow(&node, &table, &availability, instances),
        maintain_row(&node, &table),
        follow_versions(&node, &table, &availability),
        follow_instances(&node, &availability),
        restore_first_seen(&node, &table),
        expire(&node),
    );
}

/// Waits until a configuration is known. Before that, no instance is heard of, and endpoints that
/// register one after the other would wake all instances.
async fn wait_for_catalog<P: Protocol>(node: &Node<P>) {
    while !node.has_catalog() {
        tokio::time::sleep(CATALOG_CHECK_INTERVAL).await;
    }
}

/// Whether this instance, which has been ready to rely on hubs since `ready_at`, leaves a feed to them.
fn relies_on_hubs<P: Protocol>(node: &Node<P>, feed: Feed, ready_at: Option<Duration>) -> bool {
    let now = clock::now();
    if node.exchange.reader_rank().is_some() {
        return false;
    }
    // Without the rows of other instances, no hub is heard.
    let may_hear = feed != Feed::Instances || node.instance_count() > 1;
    node.exchange.has_fresh_hub(now)
        || may_hear && ready_at.is_some_and(|at| hub::may_hear_soon(now.saturating_sub(at)))
}

/// Waits while hubs pass on the changes, unless this instance reads the table for the others.
async fn wait_until_uncovered<P: Protocol>(
    node: &Node<P>,
    prefix: &str,
    feed: Feed,
    ready_at: Option<Duration>,
) {
    let relies_on_hubs = || relies_on_hubs(node, feed, ready_at);
    if !relies_on_hubs() {
        return;
    }
    emit!(info, event::HUBS_HEARD, prefix = prefix);
    while relies_on_hubs() {
        tokio::select! {
            () = node.exchange.hubs_changed.notified() => {}
            () = tokio::time::sleep(COVERAGE_CHECK_INTERVAL) => {}
        }
    }
    emit!(
        info,
        event::HUBS_SILENT,
        prefix = prefix,
        hub = node.exchange.reader_rank(),
        lag_ms = node.exchange.lag(clock::now()).map(whole_millis),
    );
}

async fn follow<P: Protocol, W: Watch, N: Fn(&[Change], Option<Duration>)>(
    node: &Node<P>,
    table: &W,
    availability: &Availability,
    subscription: Subscription<'_, N>,
) {
    let mut complete = false;
    let mut failures = 0_u32;
    let mut ready_at = None;
    let is_operator = subscription.feed == Feed::Operator;
    loop {
        if complete {
            if !is_operator {
                wait_for_catalog(node).await;
            }
            if ready_at.is_none() && node.has_catalog() {
                ready_at = Some(clock::now());
            }
            let Subscription { prefix, feed, .. } = subscription;
            wait_until_uncovered(node, prefix, feed, ready_at).await;
        }
        // Read before the mirror may change, so that it does not cover the changes.
        let confirmed = node.exchange.confirmed();
        let base = subscription.mirror.revision();
        // A table that may be away is asked for an answer at once, which tells soon that it is back.
        let poll_timeout = match failures {
            // The first configuration may be long in coming.
            0 if is_operator && !node.has_catalog() => OTHER_POLL_TIMEOUT,
            0 => subscription.poll_timeout,
            _ => Duration::ZERO,
        };
        let sent_at = clock::now();
        let call = async {
            if complete {
                watch(table, &subscription, poll_timeout).await
            } else {
                list(table, &subscription).await
            }
        };
        let result = tokio::select! {
            result = call => result,
            () = availability.wait_for_return() => continue,
        };
        match result {
            Ok(update) => {
                availability.record_answer();
                exchange::record_table_answer(node, clock::now());
                let changes = update.changes;
                node.enter_era(update.era);
                // An answer of an earlier era may arrive late.
                let is_current = node.era.is_current(update.era);
                if is_operator && is_current {
                    node.exchange
                        .record_table_answer(clock::now(), update.clock);
                }
                if failures > 0 {
                    emit!(
                        info,
                        event::TABLE_REGAINED,
                        prefix = subscription.prefix,
                        failures = failures
                    );
                }
                failures = 0;
                complete = true;
                // A table without eras is never restored.
                if update.era > 0 && !node.has_catalog() {
                    peer::adopt_in_force(node, update.era).await;
                }
                // What was complete in an earlier era may be gone.
                let confirmed = confirmed.filter(|_| base.era == update.era && is_current);
                // Without changes, what was acknowledged in an earlier era may be lost.
                if !changes.is_empty() || base.era < update.era {
                    (subscription.on_change)(&changes, confirmed);
                }
                if is_operator {
                    if let Some(clock) = update.clock.filter(|_| is_current) {
                        node.exchange.confirm(clock);
                    }
                    availability.answered.notify_one();
                }
                if !changes.is_empty() {
                    exchange::push(node, subscription.feed, base).await;
                    tokio::time::sleep(subscription.batch_delay).await;
                }
            }
            Err(WatchFault::Compacted(revision)) => {
                emit!(
                    info,
                    event::HISTORY_LOST,
                    prefix = subscription.prefix,
                    revision = %revision
                );
                complete = false;
            }
            Err(WatchFault::Restored { after, era }) => {
                node.enter_era(era);
                // An answer may be older than what hubs have forwarded since.
                complete = era < after.era;
            }
            Err(WatchFault::Fault(fault)) => {
                if failures == 0 {
                    emit!(warn, event::TABLE_FAULT, prefix = subscription.prefix, reason = %fault);
                }
                failures = failures.saturating_add(1);
                availability.record_failure();
                if is_operator {
                    let due_at = clock::now().min(sent_at + poll_timeout);
                    node.endpoints.record_table_failure(due_at);
                    availability.failed.notify_one();
                }
                // While calls fail again and again, one feed finds out for all when they do not.
                let delay = if is_operator || failures == 1 {
                    retry_delay(node, failures)
                } else {
                    OTHER_POLL_TIMEOUT
                };
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = availability.wait_for_return() => {}
                }
            }
        }
    }
}

/// Result of a read.
struct Update {
    /// Changes that were new to the mirror.
    changes: Vec<Change>,
    /// The table's era when it answered.
    era: u64,
    /// The time by the table's clock.
    clock: Option<Duration>,
}

async fn list<W: Watch, N>(
    table: &W,
    subscription: &Subscription<'_, N>,
) -> Result<Update, WatchFault> {
    let range = table.range(subscription.prefix).await?;
    Ok(Update {
        era: range.revision.era,
        clock: range.clock,
        changes: subscription.mirror.replace(range),
    })
}

async fn watch<W: Watch, N>(
    table: &W,
    subscription: &Subscription<'_, N>,
    poll_timeout: Duration,
) -> Result<Update, WatchFault> {
    let after = subscription.mirror.revision();
    let changes = table
        .changes(subscription.prefix, after, poll_timeout)
        .await?;
    Ok(Update {
        era: changes.revision.era,
        clock: changes.clock,
        changes: subscription.mirror.apply(changes),
    })
}

/// Records in the table when each version of weights was first seen, unless another instance has
/// done so.
async fn record_first_seen<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    record(node, table, node.unrecorded_versions()).await;
}

/// Records versions after each answer about rows of operators, until the task is aborted. The
/// subscription itself must not wait for writes: changes would be late.
async fn follow_versions<P: Protocol, W: Watch>(
    node: &Node<P>,
    table: &W,
    availability: &Availability,
) {
    loop {
        availability.answered.notified().await;
        record_first_seen(node, table).await;
    }
}

/// Fetches changes of operators' rows from other instances, after calls to the table that failed while
/// a hub has reported changes that this instance lacks, until the task is aborted.
async fn follow_instances<P: Protocol>(node: &Node<P>, availability: &Availability) {
    loop {
        availability.failed.notified().await;
        if node.exchange.lag(clock::now()).is_some() {
            peer::fetch_operator_changes(node).await;
        }
    }
}

/// Writes the records again that a restored table lacks, or has with later times, until the task is
/// aborted.
async fn restore_first_seen<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut restores = node.era.subscribe();
    loop {
        restores.next().await;
        loop {
            tokio::time::sleep(node.rewrite_delay(false)).await;
            let is_read = node.era.is_current(node.mirrors.instances.revision().era);
            if !is_read || node.exchange.table_time(clock::now()).is_none() {
                continue;
            }
            let lost = node.lost_sightings();
            if lost.is_empty() {
                break;
            }
            record(node, table, lost).await;
        }
    }
}

async fn record<P: Protocol, W: Watch>(node: &Node<P>, table: &W, sightings: Vec<Sighting>) {
    for Sighting { key, at, revision } in sightings {
        let now = clock::now();
        let Some(table_time) = node.exchange.table_time(now) else {
            return;
        };
        let first_seen = table_time.saturating_sub(now.saturating_sub(at));
        let txn = Txn::default().when(&key, revision);
        let value = first_seen.as_millis().to_string();
        if let Err(fault) = table.transact(txn.put(&key, value)).await {
            emit!(debug, event::TABLE_FAULT, prefix = FIRST_SEEN, reason = %fault);
        }
    }
}

/// Exponential backoff with jitter, so that instances do not retry in step.
fn retry_delay<P: Protocol>(node: &Node<P>, failures: u32) -> Duration {
    let is_reader = node.exchange.reader_rank().is_some();
    let hears_hub = !is_reader && node.exchange.hears_hub(clock::now());
    let longest = hub::max_retry_delay(hears_hub, node.instance_count());
    let delay = FIRST_RETRY_DELAY
        .saturating_mul(1 << failures.min(8))
        .min(longest);
    delay.mul_f64(rand::rng().random_range(0.6..1.0))
}

/// Periodically drops endpoints that did not register again after an outage of the table.
async fn expire<P: Protocol>(node: &Node<P>) {
    loop {
        tokio::time::sleep(ENDPOINTS_BATCH_DELAY * 2).await;
        let now = clock::now();
        exchange::judge_outage(node, now);
        node.endpoints.expire(now);
    }
}
