//! The row that this instance writes about itself.

use platform::table::{
    Txn,
    Watch, //
};
use policy::rewrite;
use rand::Rng;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    CATALOG_CHECK_INTERVAL,
    record_first_seen, //
};
use crate::{
    INSTANCES,
    instance::Row,
    node::Node,
    protocol::Protocol, //
};

/// Writes this instance's row once it knows a configuration, and again after [`rewrite::row_delay`]
/// and when a restored table lacks it, also during a planned stop.
pub(super) async fn maintain_row<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut is_written = false;
    let mut failures = 0_u32;
    loop {
        let mut interval = CATALOG_CHECK_INTERVAL;
        // Versions are dated by the rows that other instances wrote, which their new ones replace.
        if node.has_catalog() && node.mirrors.instances.is_read() {
            if !is_written {
                record_first_seen(node, table).await;
            }
            if write_row(node, table).await {
                (is_written, failures) = (true, 0);
            } else {
                failures = failures.saturating_add(1);
            }
            let is_lacking = failures > 0 && (!is_written || is_row_lost(node));
            let lacking = is_lacking.then_some(failures);
            interval = rewrite::row_delay(node.instance_count(), lacking);
        }
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::select! {
            () = tokio::time::sleep(interval.mul_f64(jitter)) => {}
            () = row_lost(node) => {}
        }
    }
}

/// Waits until this instance is to write its row again, which a restored table lacks.
async fn row_lost<P: Protocol>(node: &Node<P>) {
    loop {
        node.row_lost.notified().await;
        tokio::time::sleep(node.own_rewrite_delay()).await;
        if is_row_lost(node) {
            return;
        }
    }
}

/// Whether a restored table lacks this instance's row, or has that of an earlier incarnation or from
/// before its planned stop.
pub fn is_row_lost<P: Protocol>(node: &Node<P>) -> bool {
    let instances = &node.mirrors.instances;
    let era = instances.revision().era;
    if node.era.restored_at().is_none() || !node.era.is_current(era) {
        return false;
    }
    let value = instances.value(&format!("{INSTANCES}{}", node.config.name));
    let row: Option<Row> = value.and_then(|value| serde_json::from_slice(&value).ok());
    row.is_none_or(|row| row.incarnation != node.incarnation || row.leaving != node.is_stopping())
}

/// Writes this instance's row; `false` if the write may have failed.
pub async fn write_row<P: Protocol, W: Watch>(node: &Node<P>, table: &W) -> bool {
    let listen = &node.config.listen;
    let written_at = node.exchange.table_time(clock::now());
    let row = Row {
        callers: listen.callers,
        peers: listen.peers,
        exchange: listen.exchange,
        domain: node.config.domain.clone(),
        link_mbps: node.config.link_mbps as u32,
        leaving: node.is_stopping(),
        incarnation: node.incarnation,
        written_ms: written_at.and_then(|at| u64::try_from(at.as_millis()).ok()),
    };
    // Strings and numbers always encode.
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
