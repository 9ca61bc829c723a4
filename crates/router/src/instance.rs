//! The instances that take requests, as they tell it in the table.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use parking_lot::RwLock;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Instances not heard of for this long are not named to callers: a few beats may be lost.
const NAMED_HORIZON: Duration = Duration::from_millis(3_500);
/// Time without news of any other instance after which the news is taken to be missing.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Instances not heard of for this long have no share of the limits any more; one
/// that is cut off from the table may go on serving for as long.
const COUNTED_HORIZON: Duration = Duration::from_secs(60);

/// What an instance tells of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Address of the caller plane.
    pub callers: SocketAddr,
    /// Address of the peer plane.
    pub peers: SocketAddr,
    /// Address for datagrams of other instances.
    pub exchange: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Chosen anew at each start, so that the row of each life differs.
    pub life: u64,
}

/// One instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name from its settings.
    pub name: Arc<str>,
    /// What it tells of itself.
    pub row: Arc<Row>,
    /// Hash of the name.
    hash: u64,
    /// Whether it told by datagram that it is stopping.
    leaving: bool,
    /// When it was last heard of, by this instance's clock.
    seen: Duration,
}

impl Member {
    /// Whether it is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.row.leaving
    }
}

/// All instances that this one has heard of.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by name.
    members: RwLock<Vec<Member>>,
}

impl Table {
    /// Takes in what an instance tells; `None` if its row is gone.
    pub fn hear(&self, name: &str, row: Option<Row>, now: Duration) {
        let mut members = self.members.write();
        let place = members.binary_search_by(|member| (*member.name).cmp(name));
        match (place, row) {
            (Ok(index), Some(row)) => {
                members[index].row = Arc::new(row);
                members[index].leaving = false;
                members[index].seen = now;
            }
            (Ok(index), None) => {
                members.remove(index);
            }
            (Err(index), Some(row)) => members.insert(
                index,
                Member {
                    name: name.into(),
                    row: Arc::new(row),
                    hash: xxh3_64(name.as_bytes()),
                    leaving: false,
                    seen: now,
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Notes when an instance was heard of, by the hash of its name.
    pub fn hear_alive(&self, hash: u64, leaving: bool, at: Duration) {
        let mut members = self.members.write();
        if let Some(member) = members.iter_mut().find(|member| member.hash == hash)
            && at >= member.seen
        {
            member.seen = at;
            member.leaving = leaving;
        }
    }

    /// Whether an instance at this address is known.
    pub fn is_known(&self, address: IpAddr) -> bool {
        let members = self.members.read();
        members.iter().any(|m| m.row.exchange.ip() == address)
    }

    /// Peer plane of the instance at this address.
    pub fn peer_plane(&self, address: IpAddr) -> Option<SocketAddr> {
        let members = self.members.read();
        let member = members.iter().find(|m| m.row.exchange.ip() == address)?;
        Some(member.row.peers)
    }

    /// Instances that callers may be told of.
    ///
    /// While none of the others is heard, as after the loss of all hubs, none is taken for gone.
    pub fn named(&self, own: &str, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let others = members.iter().filter(|member| *member.name != *own);
        let newest = others.map(|member| member.seen).max().unwrap_or(now);
        let reference = now.min(newest + SILENCE);
        live(&members, reference)
    }

    /// Instances that were heard of lately.
    pub fn heard(&self, now: Duration) -> Vec<Member> {
        live(&self.members.read(), now)
    }

    /// Instances other than `own` that may take requests, and so have a share of the limits.
    pub fn others(&self, own: &str, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let others = members.iter().filter(|member| {
            *member.name != *own && now.saturating_sub(member.seen) <= COUNTED_HORIZON
        });
        others.cloned().collect()
    }
}

fn live(members: &[Member], now: Duration) -> Vec<Member> {
    let live = members
        .iter()
        .filter(|member| !member.is_leaving() && now.saturating_sub(member.seen) <= NAMED_HORIZON);
    live.cloned().collect()
}
