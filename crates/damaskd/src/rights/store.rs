//! Rows of token rights in the platform's table.
//!
//! `rights/holder/<id>` exists as long as the rights of the holder; each renewal changes
//! its table revision. `rights/share/<workspace>` records how many parts of the workspace
//! each holder has. A share is valid only while its holder's row exists.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::rights::share::{
    Holder,
    Row,
    Share, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// Key prefix of the holders' rows.
pub const HOLDER_PREFIX: &str = "rights/holder/";
/// Key prefix of the workspaces' rows.
const SHARE_PREFIX: &str = "rights/share/";

/// Value of a holder's row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HolderRow {
    /// Name of the instance.
    pub name: String,
    /// Address that its process is bound to and that no other instance can have, if any.
    pub listens: Option<SocketAddr>,
    /// How long its rights last without a renewal; stored in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "term_ms")]
    pub term: Duration,
}

/// Value of a workspace's row.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct ShareRow {
    free_tokens: u64,
    /// Holders in hexadecimal, with their numbers of parts.
    shares: Vec<(String, u32)>,
}

/// Key of a holder's row.
pub fn holder_key(holder: Holder) -> String {
    format!("{HOLDER_PREFIX}{holder:016x}")
}

/// The holder whose row has the key `key`; `None` if it is not the key of a holder's row.
pub fn holder_from_key(key: &str) -> Option<Holder> {
    Holder::from_str_radix(key.strip_prefix(HOLDER_PREFIX)?, 16).ok()
}

/// Key of a workspace's row.
pub fn share_key(workspace: &str) -> String {
    format!("{SHARE_PREFIX}{workspace}")
}

/// Encodes a workspace's row.
pub fn encode(row: &Row) -> Vec<u8> {
    let hex = |share: &Share| (format!("{:016x}", share.holder), share.parts);
    let row = ShareRow {
        free_tokens: row.free_tokens,
        shares: row.shares.iter().map(hex).collect(),
    };
    serde_json::to_vec(&row).unwrap_or_default()
}

/// Decodes a workspace's row; `None` if it is malformed.
pub fn decode(value: &[u8]) -> Option<Row> {
    let row: ShareRow = serde_json::from_slice(value).ok()?;
    let mut shares = Vec::with_capacity(row.shares.len());
    for (holder, parts) in row.shares {
        let holder = Holder::from_str_radix(&holder, 16).ok()?;
        shares.push(Share { holder, parts });
    }
    shares.sort_unstable_by_key(|share| share.holder);
    Some(Row {
        free_tokens: row.free_tokens,
        shares,
    })
}

/// The workspace whose row has the key `key`; `None` if it is not the key of a workspace's row.
pub fn workspace_from_key(key: &str) -> Option<&str> {
    key.strip_prefix(SHARE_PREFIX)
}
