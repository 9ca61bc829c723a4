//! Fetches state and changes from other instances.
//!
//! An instance that starts while the table gives no answer takes its state from them.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures::future::join_all;
use http::Method;
use platform::{
    http::Client,
    table::Change, //
};
use rand::seq::IndexedRandom;
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::net::TcpStream;

use crate::{
    exchange,
    message::{
        Deltas,
        Feed, //
    },
    mirror::{
        Delta,
        State, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Path that returns the [`State`] of an instance.
pub const STATE_PATH: &str = "/v1/state";
/// Timeout of a connection that shows whether a peer runs: many round trips within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Path that returns the changes that the requesting instance is missing. Its revisions of the rows
/// of operators, endpoints and instances follow in this order, each after a slash, as era and number
/// with a dot between.
pub const CHANGES_PATH: &str = "/v1/changes";

/// Maximum size of the changes that an instance fetches from another one, in bytes. While many endpoints
/// register, all instances would fetch all of them from the hubs, whose links and memory are small; they read
/// the table instead.
pub const MAX_DELTAS_BYTES: usize = 128 << 10;

/// Path that returns the changes of operators' rows that the requesting instance is missing, however
/// large they are. Its revision follows after a slash, as for [`CHANGES_PATH`].
pub const OPERATOR_CHANGES_PATH: &str = "/v1/operator-changes";

/// Path that returns the rows of operators that are in force at an instance and that the table may
/// lack. The era in which the requesting instance has read the table follows after a slash.
pub const IN_FORCE_PATH: &str = "/v1/in-force";

/// Head start of the table before peers are queried.
const TABLE_HEAD_START: Duration = Duration::from_millis(300);
/// Delay between rounds of queries to the seeds while no configuration is known.
const ROUND_DELAY: Duration = Duration::from_millis(500);
/// Time for which an instance that starts waits for the rows that are in force at its peers.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for [`OPERATOR_CHANGES_PATH`]: time for megabytes over a link of ten megabits a
/// second.
const OPERATOR_CHANGES_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of one request to a peer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries the seeds until a configuration is known, from a seed or from the table.
pub async fn bootstrap<P: Protocol>(node: Arc<Node<P>>) {
    tokio::time::sleep(TABLE_HEAD_START).await;
    let client = Client::new(ANSWER_TIMEOUT);
    while !node.is_ready() && !node.is_stopping() {
        for seed in &node.config.peer_seeds {
            if *seed != node.config.listen.peers && !node.is_ready() {
                fetch_state(&node, &client, *seed).await;
            }
        }
        tokio::time::sleep(ROUND_DELAY).await;
    }
}

async fn fetch_state<P: Protocol>(node: &Node<P>, client: &Client, seed: SocketAddr) {
    let response = client.call(Method::GET, seed, STATE_PATH, Bytes::new());
    let response = match response.await {
        Ok(response) => response,
        Err(fault) => {
            emit!(debug, event::PEER_FAULT, reason = %fault);
            return;
        }
    };
    match serde_json::from_slice::<State>(&response.body) {
        Ok(state) => {
            node.import(state);
            emit!(info, event::STATE_IMPORTED, peer = %seed, ready = node.is_ready());
        }
        Err(error) => emit!(warn, event::PEER_FAULT, reason = %error),
    }
}

/// Applies the rows of operators that are in force at the seeds: the table may have been restored from
/// an older copy, so that its rows are not the newest.
pub async fn adopt_in_force<P: Protocol>(node: &Node<P>, era: u64) {
    let client = Client::new(IN_FORCE_TIMEOUT);
    let path = format!("{IN_FORCE_PATH}/{era}");
    let others = node.config.peer_seeds.iter();
    let others = others.filter(|seed| **seed != node.config.listen.peers);
    let fetches = others.map(async |seed| -> anyhow::Result<Vec<Change>> {
        let response = client.call(Method::GET, *seed, &path, Bytes::new());
        Ok(postcard::from_bytes(&response.await?.body)?)
    });
    for rows in join_all(fetches).await {
        match rows {
            Ok(rows) => node.apply_operator_changes(&rows, None),
            Err(reason) => emit!(debug, event::PEER_FAULT, reason = %reason),
        }
    }
}

/// Response to a request for [`IN_FORCE_PATH`]; `None` if `path` is another path or malformed.
pub fn answer_in_force<P: Protocol>(node: &Node<P>, path: &str) -> Option<Bytes> {
    let era = path.strip_prefix(IN_FORCE_PATH)?.strip_prefix('/')?;
    let rows = node.rows_in_force(era.parse().ok()?);
    // Encoding fails only if the rows do not fit into memory.
    Some(Bytes::from(postcard::to_stdvec(&rows).unwrap_or_default()))
}

/// Fetches the changes that this instance is missing from another one.
///
/// # Errors
///
/// If the request fails or the response cannot be decoded.
pub async fn fetch_changes<P: Protocol>(
    node: &Node<P>,
    client: &Client,
    address: SocketAddr,
) -> anyhow::Result<Deltas> {
    let mirrors = &node.mirrors;
    let path = format!(
        "{CHANGES_PATH}/{}/{}/{}",
        mirrors.operator.revision(),
        mirrors.endpoints.revision(),
        mirrors.instances.revision(),
    );
    let response = client.call(Method::GET, address, &path, Bytes::new());
    Ok(postcard::from_bytes(&response.await?.body)?)
}

/// Fetches and applies the changes of operators' rows that this instance is missing from another one,
/// for an instance that the table gives no answer. Any instance is asked, since those that pass changes on
/// could not answer many at once if the changes are large.
pub async fn fetch_operator_changes<P: Protocol>(node: &Node<P>) {
    let mut others = node.members.live(clock::now());
    others.retain(|member| *member.name != *node.config.name);
    let Some(member) = others.choose(&mut rand::rng()) else {
        return;
    };
    let address = member.row.peers;
    let revision = node.mirrors.operator.revision();
    let path = format!("{OPERATOR_CHANGES_PATH}/{revision}");
    let client = Client::new(OPERATOR_CHANGES_TIMEOUT);
    let fetched = async || -> anyhow::Result<Delta> {
        let response = client.call(Method::GET, address, &path, Bytes::new());
        Ok(postcard::from_bytes(&response.await?.body)?)
    };
    match fetched().await {
        Ok(delta) => {
            emit!(info, event::CHANGES_FETCHED, peer = %address, operator = delta.changes.len());
            exchange::apply_delta(node, Feed::Operator, delta);
        }
        Err(reason) => emit!(warn, event::CHANGES_UNFETCHED, peer = %address, reason = %reason),
    }
}

/// Response to a request for [`OPERATOR_CHANGES_PATH`]; `None` if `path` is another path or malformed.
pub fn answer_operator_changes<P: Protocol>(node: &Node<P>, path: &str) -> Option<Bytes> {
    let revision = path
        .strip_prefix(OPERATOR_CHANGES_PATH)?
        .strip_prefix('/')?;
    let delta = node.mirrors.operator.since(revision.parse().ok()?);
    // Encoding fails only if the delta does not fit into memory.
    Some(Bytes::from(postcard::to_stdvec(&delta).unwrap_or_default()))
}

impl<P: Protocol> Node<P> {
    /// Records that the process of the instance with this address for datagrams does not run; `false`
    /// if no instance has the address.
    pub fn record_gone(&self, exchange: SocketAddr) -> bool {
        let Some(name) = self.members.record_gone(exchange, clock::now()) else {
            return false;
        };
        emit!(info, event::INSTANCE_GONE, instance = &*name);
        true
    }
}

/// Whether the instance with this address for datagrams refuses connections, so that its process does
/// not run. One that is cut off, suspended or without power does not refuse any.
pub async fn is_gone<P: Protocol>(node: &Node<P>, exchange: SocketAddr) -> bool {
    let Some(address) = node.members.peer_plane(exchange.ip()) else {
        return false;
    };
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    connected.is_ok_and(|c| c.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused))
}

/// Response to a request for [`CHANGES_PATH`]; `None` if `path` is another path or malformed, or if the
/// changes are larger than [`MAX_DELTAS_BYTES`].
pub fn answer_changes<P: Protocol>(node: &Node<P>, path: &str) -> Option<Bytes> {
    let revisions = path.strip_prefix(CHANGES_PATH)?.strip_prefix('/')?;
    let mut revisions = revisions.split('/').map(|text| text.parse().ok());
    let mut next_revision = || revisions.next().flatten();
    let deltas = Deltas {
        operator: node.mirrors.operator.since(next_revision()?),
        endpoints: node.mirrors.endpoints.since(next_revision()?),
        instances: node.mirrors.instances.since(next_revision()?),
    };
    encode_deltas(&deltas)
}

/// Encodes changes for another instance; `None` if they are larger than [`MAX_DELTAS_BYTES`].
pub fn encode_deltas(deltas: &Deltas) -> Option<Bytes> {
    // Encoding fails only if the deltas do not fit into memory.
    let bytes = postcard::to_stdvec(deltas).unwrap_or_default();
    (bytes.len() <= MAX_DELTAS_BYTES).then(|| bytes.into())
}
