//! The instances that take requests, as they tell it in the table.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use parking_lot::{
    Mutex,
    RwLock, //
};
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

/// Least bandwidth of the link of an instance that serves the others, in megabits a second, if any
/// has as much: a change of the configuration goes to all others at once.
const WIDE_LINK_MBPS: u32 = 100;

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
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
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
    hash: u32,
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

    /// Whether its link is wide enough to serve the other instances.
    pub fn is_wide(&self) -> bool {
        self.row.link_mbps >= WIDE_LINK_MBPS
    }
}

/// All instances that this one has heard of.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by name.
    members: RwLock<Vec<Member>>,
    /// The live instances as they were last looked at, and since when they have been these.
    stable: Mutex<(u64, Duration)>,
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
                    hash: name_hash(name),
                    leaving: false,
                    seen: now,
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Notes when an instance was heard of, by the hash of its name.
    pub fn hear_alive(&self, hash: u32, leaving: bool, at: Duration) {
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

    /// Looks at the instances that were heard of lately, in order of their names.
    pub fn with_heard<T>(&self, now: Duration, look: impl FnOnce(&[&Member]) -> T) -> T {
        let members = self.members.read();
        let live = members.iter().filter(|member| is_live(member, now));
        look(&live.collect::<Vec<_>>())
    }

    /// Since when the same instances have been live.
    pub fn stable_since(&self, now: Duration) -> Duration {
        let digest = self.with_heard(now, |members| {
            members.iter().fold(0_u64, |digest, member| {
                digest.rotate_left(1) ^ xxh3_64(member.name.as_bytes()) ^ member.row.life
            })
        });
        let mut stable = self.stable.lock();
        if stable.0 != digest {
            *stable = (digest, now);
        }
        stable.1
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

/// Identifies an instance in datagrams.
pub fn name_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}

fn live(members: &[Member], now: Duration) -> Vec<Member> {
    let live = members.iter().filter(|member| is_live(member, now));
    live.cloned().collect()
}

fn is_live(member: &Member, now: Duration) -> bool {
    !member.is_leaving() && now.saturating_sub(member.seen) <= NAMED_HORIZON
}
