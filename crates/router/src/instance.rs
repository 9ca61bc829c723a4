//! The instances that serve requests, as registered in the table.

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
use platform::table::Revision;
use policy::share::HEARD_HORIZON;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Age of the last heartbeat beyond which an instance is not advertised to callers: a few
/// heartbeats may be lost.
const LIVE_HORIZON: Duration = Duration::from_millis(3_500);
/// Time without a heartbeat of any other instance after which the heartbeats count as lost, not
/// the instances.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the last heartbeat beyond which an instance has no share of the limits; an instance that
/// is cut off from the table may go on serving for that long.
const QUOTA_HORIZON: Duration = Duration::from_secs(60);
/// Time without a datagram of any other instance after which this one counts as cut off; hubs send
/// several in it.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after a refused connection in which heartbeats may still arrive that hubs pass on.
const LATE_HEARTBEATS: Duration = Duration::from_millis(300);

/// Minimum link bandwidth of a hub, in megabits per second, if any instance has that much: a hub
/// sends each change of the configuration to all other instances at once.
const MIN_FAST_LINK_MBPS: u32 = 100;

/// Row that an instance writes about itself.
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
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Chosen at random at each start, so that the rows of different incarnations differ.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time just before the row was written, in milliseconds by the table's clock, if known.
    #[serde(default)]
    pub written_ms: Option<u64>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name from its settings.
    pub name: Arc<str>,
    /// Its latest row.
    pub row: Arc<Row>,
    /// Revision of the table up to which the row counts.
    revision: Revision,
    /// Hash of the name.
    hash: u32,
    /// Whether its latest heartbeat says that it is stopping.
    leaving: bool,
    /// Time of its latest row or heartbeat, by the local clock.
    seen_at: Duration,
    /// Time up to which heartbeats do not count, since it was found not to run.
    gone_until: Duration,
    /// Time of its latest datagram to this instance.
    heard_at: Duration,
}

impl Member {
    /// Whether it is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.row.leaving
    }

    /// Hash of its name, as in datagrams.
    pub fn hash(&self) -> u32 {
        self.hash
    }

    /// Whether its link has enough bandwidth to serve the other instances.
    pub fn has_fast_link(&self) -> bool {
        self.row.link_mbps >= MIN_FAST_LINK_MBPS
    }

    /// Whether a row at `revision` is from a copy of the table that is not newer than the row known
    /// here.
    fn is_restored(&self, row: &Row, revision: Revision) -> bool {
        revision.era > self.revision.era
            && revision.number <= self.revision.number
            && row.written_ms <= self.row.written_ms
    }
}

/// A set of live instances.
#[derive(Clone, Copy, Debug)]
struct Membership {
    /// Digest of their names and incarnations.
    digest: u64,
    /// Time since which it is unchanged.
    since: Duration,
    /// For how long the set before it was unchanged; zero for the first one.
    before: Duration,
}

/// All registered instances.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by name.
    members: RwLock<Vec<Member>>,
    /// The live instances as of the last check.
    membership: Mutex<Option<Membership>>,
    /// Time of the latest datagram of any other instance.
    heard_at: Mutex<Duration>,
}

impl Table {
    /// Applies the row of an instance as of a revision; `None` removes the instance.
    ///
    /// A restore of the table from an older copy is no sign of an instance: whether it is live shows
    /// in its heartbeats.
    pub fn apply_row(&self, name: &str, row: Option<Row>, revision: Revision, now: Duration) {
        let mut members = self.members.write();
        let position = members.binary_search_by(|member| (*member.name).cmp(name));
        match (position, row) {
            (Ok(index), Some(row)) if members[index].is_restored(&row, revision) => {
                members[index].revision = revision;
            }
            (Ok(index), Some(row)) => {
                members[index].revision = revision;
                members[index].row = Arc::new(row);
                members[index].leaving = false;
                members[index].seen_at = now;
                members[index].gone_until = Duration::ZERO;
            }
            (Ok(index), None)
                if members[index].revision.era < revision.era
                    && now.saturating_sub(members[index].seen_at) <= QUOTA_HORIZON =>
            {
                members[index].revision = revision;
            }
            (Ok(index), None) => {
                members.remove(index);
            }
            (Err(index), Some(row)) => members.insert(
                index,
                Member {
                    name: name.into(),
                    row: Arc::new(row),
                    revision,
                    hash: name_hash(name),
                    leaving: false,
                    seen_at: now,
                    gone_until: Duration::ZERO,
                    heard_at: Duration::ZERO,
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Records a heartbeat of the instance whose name has this hash; an older one is ignored.
    pub fn record_heartbeat(&self, hash: u32, leaving: bool, at: Duration) {
        let mut members = self.members.write();
        if let Some(member) = members.iter_mut().find(|member| member.hash == hash)
            && at >= member.seen_at
        {
            member.seen_at = at;
            member.leaving = leaving;
        }
    }

    /// Records that the instance with this address for datagrams refuses connections: its process does
    /// not run, and it is not live until it is heard again.
    pub fn record_gone(&self, exchange: SocketAddr, now: Duration) -> Option<Arc<str>> {
        let mut members = self.members.write();
        let member = members.iter_mut().find(|m| m.row.exchange == exchange)?;
        member.gone_until = now + LATE_HEARTBEATS;
        Some(member.name.clone())
    }

    /// Records a datagram from this address; `false` if no registered instance has it.
    pub fn record_contact(&self, address: IpAddr, now: Duration) -> bool {
        let mut members = self.members.write();
        let mut sender = members
            .iter_mut()
            .filter(|m| m.row.exchange.ip() == address);
        let is_known = sender.next().map(|member| member.heard_at = now).is_some();
        if is_known {
            *self.heard_at.lock() = now;
        }
        is_known
    }

    /// Fraction of the instances that share the limits, `own` among them, that are heard of. Those
    /// that stopped as planned do not count; if none is in contact, this one is cut off.
    pub fn heard_fraction(&self, own: &str, now: Duration) -> f64 {
        let age = |at| now.saturating_sub(at);
        let is_cut_off = age(*self.heard_at.lock()) > CONTACT_TIMEOUT;
        let members = self.members.read();
        let (mut known, mut heard) = (1_u32, 1_u32);
        for member in members.iter().filter(|member| *member.name != *own) {
            let is_heard = age(member.seen_at.max(member.heard_at)) <= HEARD_HORIZON;
            let shares = age(member.seen_at) <= QUOTA_HORIZON && !member.is_leaving();
            known += u32::from(is_heard || shares);
            heard += u32::from(is_heard && !is_cut_off);
        }
        f64::from(heard) / f64::from(known)
    }

    /// Address of the peer plane of the instance at this address.
    pub fn peer_plane(&self, address: IpAddr) -> Option<SocketAddr> {
        let members = self.members.read();
        let member = members.iter().find(|m| m.row.exchange.ip() == address)?;
        Some(member.row.peers)
    }

    /// Instances to advertise to callers.
    ///
    /// While no heartbeat of any other instance arrives, as after the loss of all hubs, no instance
    /// counts as failed.
    pub fn advertised(&self, own: &str, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let others = members.iter().filter(|member| *member.name != *own);
        let latest = others.map(|member| member.seen_at).max().unwrap_or(now);
        let reference = now.min(latest + SILENCE_TIMEOUT);
        filter_live(&members, reference)
    }

    /// Calls `read` with the live instances, sorted by name; while there is none, with those that are
    /// stopping and still run.
    pub fn with_live<T>(&self, now: Duration, read: impl FnOnce(&[&Member]) -> T) -> T {
        let members = self.members.read();
        let running = members.iter().filter(|member| is_running(member, now));
        let (stopping, live): (Vec<_>, Vec<_>) = running.partition(|member| member.is_leaving());
        read(if live.is_empty() { &stopping } else { &live })
    }

    /// Time since which the set of live instances and their incarnations is unchanged.
    pub fn stable_since(&self, now: Duration) -> Duration {
        self.membership(now).since
    }

    /// Whether the set of live instances and their incarnations has changed at most once within the
    /// last `window`, as far as this instance knows.
    pub fn is_calm(&self, window: Duration, now: Duration) -> bool {
        let membership = self.membership(now);
        now.saturating_sub(membership.since) >= window || membership.before >= window
    }

    fn membership(&self, now: Duration) -> Membership {
        let digest = self.with_live(now, |members| {
            members.iter().fold(0_u64, |digest, member| {
                digest.rotate_left(1) ^ xxh3_64(member.name.as_bytes()) ^ member.row.incarnation
            })
        });
        let mut membership = self.membership.lock();
        let known = *membership;
        let changed = || Membership {
            digest,
            since: now,
            before: known.map_or(Duration::ZERO, |known| now.saturating_sub(known.since)),
        };
        let unchanged = known.filter(|known| known.digest == digest);
        *membership.insert(unchanged.unwrap_or_else(changed))
    }

    /// Live instances, sorted by name.
    pub fn live(&self, now: Duration) -> Vec<Member> {
        filter_live(&self.members.read(), now)
    }

    /// Instances that are stopping and still run, sorted by name.
    pub fn stopping(&self, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let stopping = members
            .iter()
            .filter(|member| member.is_leaving() && is_running(member, now));
        stopping.cloned().collect()
    }

    /// Instances other than `own` that may serve requests, and so have a share of the limits.
    pub fn others(&self, own: &str, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let others = members.iter().filter(|member| {
            *member.name != *own && now.saturating_sub(member.seen_at) <= QUOTA_HORIZON
        });
        others.cloned().collect()
    }
}

/// Hash that identifies an instance in datagrams.
pub fn name_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}

fn filter_live(members: &[Member], now: Duration) -> Vec<Member> {
    let live = members.iter().filter(|member| is_live(member, now));
    live.cloned().collect()
}

fn is_live(member: &Member, now: Duration) -> bool {
    !member.is_leaving() && is_running(member, now)
}

fn is_running(member: &Member, now: Duration) -> bool {
    member.seen_at >= member.gone_until && now.saturating_sub(member.seen_at) <= LIVE_HORIZON
}
