//! Keeps this instance in step with the platform's table.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::table::{
    Change,
    Txn,
    Watch,
    WatchFault, //
};
use rand::Rng;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::{
    INSTANCES,
    OWN,
    instance::{
        BEAT,
        Row, //
    },
    mirror::Mirror,
    node::Node,
    protocol::Protocol, //
};

/// How long the table may hold back its answer while nothing changes. A connection that went
/// silent is noticed after that, so it is below the time in which configurations must be in force.
const OPERATOR_WAIT: Duration = Duration::from_millis(2_000);
/// The same for rows of endpoints and instances.
const OTHER_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after changes, so that those that come together are read together.
const OPERATOR_PAUSE: Duration = Duration::from_millis(60);
/// The same for rows of endpoints.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(150);
/// The same for rows of instances.
const OWN_PAUSE: Duration = Duration::from_millis(300);
/// Pauses after the table gave no answer: the first one and the longest one.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// What follows one prefix of the table.
struct Feed<'a, N> {
    prefix: &'static str,
    mirror: &'a Mirror,
    wait: Duration,
    pause: Duration,
    /// Takes in what has changed.
    news: N,
}

/// Follows the table until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    let operator = Feed {
        prefix: P::OPERATOR,
        mirror: &node.mirrors.operator,
        wait: OPERATOR_WAIT,
        pause: OPERATOR_PAUSE,
        news: |changes: &[Change]| node.operator_changed(changes),
    };
    let endpoints = Feed {
        prefix: P::ENDPOINTS,
        mirror: &node.mirrors.endpoints,
        wait: OTHER_WAIT,
        pause: ENDPOINTS_PAUSE,
        news: |changes: &[Change]| node.endpoints_changed(changes),
    };
    let own = Feed {
        prefix: OWN,
        mirror: &node.mirrors.own,
        wait: OTHER_WAIT,
        pause: OWN_PAUSE,
        news: |changes: &[Change]| node.own_changed(changes),
    };
    tokio::join!(
        follow(&table, operator, |_| ()),
        follow(&table, endpoints, |up| {
            if up {
                node.endpoints.regained(clock::now());
            } else {
                node.endpoints.lost();
            }
        }),
        follow(&table, own, |up| {
            if up {
                node.members.forgive(clock::now());
            }
        }),
        beat(&node, &table),
        expire(&node),
    );
}

async fn follow<W: Watch, N: Fn(&[Change])>(table: &W, feed: Feed<'_, N>, up: impl Fn(bool)) {
    let mut complete = false;
    let mut failures = 0_u32;
    loop {
        let result = if complete {
            watch(table, &feed).await
        } else {
            list(table, &feed).await
        };
        match result {
            Ok(news) => {
                if failures > 0 {
                    emit!(
                        info,
                        event::TABLE_REGAINED,
                        prefix = feed.prefix,
                        failures = failures
                    );
                    up(true);
                }
                failures = 0;
                complete = true;
                if !news.is_empty() {
                    (feed.news)(&news);
                    tokio::time::sleep(feed.pause).await;
                }
            }
            Err(WatchFault::Compacted(revision)) => {
                emit!(
                    info,
                    event::HISTORY_LOST,
                    prefix = feed.prefix,
                    revision = revision
                );
                complete = false;
            }
            Err(WatchFault::Fault(fault)) => {
                if failures == 0 {
                    emit!(warn, event::TABLE_FAULT, prefix = feed.prefix, reason = %fault);
                    up(false);
                }
                failures = failures.saturating_add(1);
                tokio::time::sleep(retry_pause(failures)).await;
            }
        }
    }
}

async fn list<W: Watch, N>(table: &W, feed: &Feed<'_, N>) -> Result<Vec<Change>, WatchFault> {
    let range = table.range(feed.prefix).await?;
    Ok(feed.mirror.replace(range))
}

async fn watch<W: Watch, N>(table: &W, feed: &Feed<'_, N>) -> Result<Vec<Change>, WatchFault> {
    let after = feed.mirror.revision();
    let changes = table.changes(feed.prefix, after, feed.wait).await?;
    Ok(feed.mirror.apply(changes))
}

/// Grows with each failure, and differs between instances.
fn retry_pause(failures: u32) -> Duration {
    let (first, most) = RETRY_PAUSES;
    let pause = first.saturating_mul(1 << failures.min(8)).min(most);
    pause.mul_f64(rand::rng().random_range(0.6..1.0))
}

/// Tells the others of this instance again and again.
async fn beat<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut count = 0;
    loop {
        if node.is_ready() {
            count += 1;
            tell(node, table, count).await;
        }
        let pause = if count == 0 { BEAT / 20 } else { BEAT };
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Tells the others of this instance.
pub async fn tell<P: Protocol, W: Watch>(node: &Node<P>, table: &W, beat: u64) {
    let row = Row {
        callers: node.config.listen.callers,
        domain: node.config.domain.clone(),
        leaving: node.is_stopping(),
        beat,
        demand: node.quotas.publish(clock::now()),
    };
    // Texts and numbers always encode.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let key = format!("{INSTANCES}{}", node.config.name);
    if let Err(fault) = table.transact(Txn::default().put(key, value)).await {
        emit!(debug, event::TABLE_FAULT, prefix = INSTANCES, reason = %fault);
    }
    let others = node.members.others(&node.config.name, clock::now());
    node.quotas.divide(&others);
}

/// Drops endpoints whose rows did not come back after an outage of the table.
async fn expire<P: Protocol>(node: &Node<P>) {
    loop {
        tokio::time::sleep(ENDPOINTS_PAUSE * 2).await;
        node.endpoints.expire(clock::now());
    }
}
