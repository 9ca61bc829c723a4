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
    NAMED,
    OWN,
    exchange,
    instance::Row,
    message::Feed,
    mirror::Mirror,
    node::Node,
    protocol::Protocol, //
};

/// How long the table may hold back its answer while nothing changes. The answers tell that the
/// view is fresh, for other instances too.
const OPERATOR_WAIT: Duration = Duration::from_millis(700);
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

/// Time between rows that an instance writes of itself, so that others find it after the loss of
/// all hubs.
const ROW_INTERVAL: Duration = Duration::from_secs(20);
/// Time between looks at whether the hubs still cover this instance.
const COVER_INTERVAL: Duration = Duration::from_millis(200);

/// What follows one prefix of the table.
struct Follow<'a, N> {
    feed: Feed,
    prefix: &'static str,
    mirror: &'a Mirror,
    wait: Duration,
    pause: Duration,
    /// Takes in what has changed.
    news: N,
}

/// Follows the table until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    let operator = Follow {
        feed: Feed::Operator,
        prefix: P::OPERATOR_PREFIX,
        mirror: &node.mirrors.operator,
        wait: OPERATOR_WAIT,
        pause: OPERATOR_PAUSE,
        news: |changes: &[Change]| node.operator_changed(changes),
    };
    let endpoints = Follow {
        feed: Feed::Endpoints,
        prefix: P::ENDPOINT_PREFIX,
        mirror: &node.mirrors.endpoints,
        wait: OTHER_WAIT,
        pause: ENDPOINTS_PAUSE,
        news: |changes: &[Change]| node.endpoints_changed(changes),
    };
    let own = Follow {
        feed: Feed::Own,
        prefix: OWN,
        mirror: &node.mirrors.own,
        wait: OTHER_WAIT,
        pause: OWN_PAUSE,
        news: |changes: &[Change]| node.own_changed(changes),
    };
    tokio::join!(
        follow(&node, &table, operator, |up| {
            if up {
                node.endpoints.regained(clock::now());
            } else {
                node.endpoints.lost();
            }
        }),
        follow(&node, &table, endpoints, |_| ()),
        follow(&node, &table, own, |_| ()),
        write_row(&node, &table),
        expire(&node),
    );
}

/// Waits while hubs pass on what changes, unless this instance is one of them.
async fn uncovered<P: Protocol>(node: &Node<P>, prefix: &str) {
    let is_left = || node.hub().is_none() && node.exchange.is_covered(clock::now());
    if !is_left() {
        return;
    }
    emit!(info, event::HUBS_HEARD, prefix = prefix);
    while is_left() {
        tokio::select! {
            () = node.exchange.uncovered.notified() => {}
            () = tokio::time::sleep(COVER_INTERVAL) => {}
        }
    }
    emit!(info, event::HUBS_SILENT, prefix = prefix, hub = node.hub());
}

async fn follow<P: Protocol, W: Watch, N: Fn(&[Change])>(
    node: &Node<P>,
    table: &W,
    follow: Follow<'_, N>,
    up: impl Fn(bool),
) {
    let mut complete = false;
    let mut failures = 0_u32;
    loop {
        if complete {
            uncovered(node, follow.prefix).await;
        }
        let base = follow.mirror.revision();
        let result = if complete {
            watch(table, &follow).await
        } else {
            list(table, &follow).await
        };
        match result {
            Ok((news, clock)) => {
                if matches!(follow.feed, Feed::Operator) {
                    node.exchange.table_answered(clock::now(), clock);
                }
                if failures > 0 {
                    emit!(
                        info,
                        event::TABLE_REGAINED,
                        prefix = follow.prefix,
                        failures = failures
                    );
                    up(true);
                }
                failures = 0;
                complete = true;
                if !news.is_empty() {
                    (follow.news)(&news);
                    if matches!(follow.feed, Feed::Operator) {
                        date_versions(node, table).await;
                    }
                    exchange::push(node, follow.feed, base).await;
                    tokio::time::sleep(follow.pause).await;
                }
            }
            Err(WatchFault::Compacted(revision)) => {
                emit!(
                    info,
                    event::HISTORY_LOST,
                    prefix = follow.prefix,
                    revision = revision
                );
                complete = false;
            }
            Err(WatchFault::Fault(fault)) => {
                if failures == 0 {
                    emit!(warn, event::TABLE_FAULT, prefix = follow.prefix, reason = %fault);
                    up(false);
                }
                failures = failures.saturating_add(1);
                tokio::time::sleep(retry_pause(failures)).await;
            }
        }
    }
}

/// What has changed, with what the table's clock said.
type News = (Vec<Change>, Option<Duration>);

async fn list<W: Watch, N>(table: &W, feed: &Follow<'_, N>) -> Result<News, WatchFault> {
    let range = table.range(feed.prefix).await?;
    let clock = range.clock;
    Ok((feed.mirror.replace(range), clock))
}

async fn watch<W: Watch, N>(table: &W, feed: &Follow<'_, N>) -> Result<News, WatchFault> {
    let after = feed.mirror.revision();
    let changes = table.changes(feed.prefix, after, feed.wait).await?;
    let clock = changes.clock;
    Ok((feed.mirror.apply(changes), clock))
}

/// Writes when versions of weights were first heard of, if no instance has done so.
async fn date_versions<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    for (model, version, since) in node.undated() {
        let now = clock::now();
        let Some(table_time) = node.exchange.table_time(now) else {
            return;
        };
        let at = table_time.saturating_sub(now.saturating_sub(since));
        let key = format!("{NAMED}{model}/{version}");
        let txn = Txn::default().when(&key, 0);
        let value = at.as_millis().to_string();
        if let Err(fault) = table.transact(txn.put(&key, value)).await {
            emit!(debug, event::TABLE_FAULT, prefix = NAMED, reason = %fault);
        }
    }
}

/// Grows with each failure, and differs between instances.
fn retry_pause(failures: u32) -> Duration {
    let (first, most) = RETRY_PAUSES;
    let pause = first.saturating_mul(1 << failures.min(8)).min(most);
    pause.mul_f64(rand::rng().random_range(0.6..1.0))
}

/// Writes the row of this instance once it is ready, and now and then.
async fn write_row<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut written = false;
    loop {
        if node.is_ready() {
            written = tell(node, table).await;
        }
        let pause = if written {
            ROW_INTERVAL
        } else {
            ROW_INTERVAL / 200
        };
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Writes the row of this instance; `false` if that may have failed.
pub async fn tell<P: Protocol, W: Watch>(node: &Node<P>, table: &W) -> bool {
    let listen = &node.config.listen;
    let row = Row {
        callers: listen.callers,
        peers: listen.peers,
        exchange: listen.exchange,
        domain: node.config.domain.clone(),
        link_mbps: node.config.link_mbps as u32,
        leaving: node.is_stopping(),
        life: node.life,
    };
    // Texts and numbers always encode.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let key = format!("{INSTANCES}{}", node.config.name);
    match table.transact(Txn::default().put(key, value)).await {
        Ok(_) => true,
        Err(fault) => {
            emit!(debug, event::TABLE_FAULT, prefix = INSTANCES, reason = %fault);
            false
        }
    }
}

/// Drops endpoints whose rows did not come back after an outage of the table.
async fn expire<P: Protocol>(node: &Node<P>) {
    loop {
        tokio::time::sleep(ENDPOINTS_PAUSE * 2).await;
        node.endpoints.expire(clock::now());
    }
}
