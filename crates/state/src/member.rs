//! The instances that this instance knows.

use std::{
    net::SocketAddr,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use parking_lot::RwLock;

/// An instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name from the settings of the instance.
    pub name: String,
    /// Number chosen at each start of the instance.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: String,
    /// Address of the caller plane.
    pub caller: SocketAddr,
    /// Address of the operator plane.
    pub operator: SocketAddr,
    /// Address of the peer plane.
    pub peer: SocketAddr,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// Settings revision in force at the instance.
    pub revision: u64,
    /// When the instance was last known to be alive, by the local clock.
    pub seen_at: Instant,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Listing {
    /// Name from the settings of the instance.
    pub name: String,
    /// Address of its peer plane.
    pub peer: SocketAddr,
}

/// Members by name.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by name, each name once.
    members: RwLock<Vec<Member>>,
    /// The last list of the platform that was not empty; empty until there is one.
    ///
    /// # Invariants
    ///
    /// Sorted by name. This lock is taken after `members`.
    listings: RwLock<Vec<Listing>>,
    list_received: AtomicBool,
}

impl Table {
    /// Merges an update about a member; the latest incarnation and sighting win.
    pub fn record(&self, update: Member) {
        let mut members = self.members.write();
        match members.binary_search_by(|m| m.name.cmp(&update.name)) {
            Ok(index) => merge(&mut members[index], update),
            Err(index) => members.insert(index, update),
        }
    }

    /// Members seen within `horizon` before `now`, sorted by name.
    pub fn live(&self, now: Instant, horizon: Duration) -> Vec<Member> {
        let members = self.members.read();
        let recent = |m: &&Member| now.saturating_duration_since(m.seen_at) <= horizon;
        members.iter().filter(recent).cloned().collect()
    }

    /// All members that have not been removed by [`Table::expire`], sorted by name.
    pub fn all(&self) -> Vec<Member> {
        self.members.read().clone()
    }

    /// Replaces the platform's list; an empty list carries no information and is ignored.
    pub fn set_listings(&self, mut listings: Vec<Listing>) {
        self.list_received.store(true, Ordering::Release);
        if listings.is_empty() {
            return;
        }
        listings.sort_unstable();
        listings.dedup_by(|a, b| a.name == b.name);
        *self.listings.write() = listings;
    }

    /// Whether the platform has sent a list, even an empty one.
    pub fn list_received(&self) -> bool {
        self.list_received.load(Ordering::Acquire)
    }

    /// Instances of the last list that was not empty, sorted by name.
    pub fn listings(&self) -> Vec<Listing> {
        self.listings.read().clone()
    }

    /// The voting members, with their peer addresses, sorted by name.
    ///
    /// Silence alone removes no member, since a network partition cannot be told from
    /// a crash. A planned stop removes a member, and so does the platform's list if it omits
    /// a member that was not seen within `horizon`. `None` until a list names an instance.
    pub fn electorate(&self, now: Instant, horizon: Duration) -> Option<Vec<Listing>> {
        let members = self.members.read();
        let listings = self.listings.read();
        if listings.is_empty() {
            return None;
        }
        let leaving = |name: &str| members.iter().any(|m| m.name == name && m.leaving);
        let live = members
            .iter()
            .filter(|m| now.saturating_duration_since(m.seen_at) <= horizon);
        let recent = live.map(|m| Listing {
            name: m.name.clone(),
            peer: m.peer,
        });
        // A restarted member may have an address that the list does not have yet.
        let mut all: Vec<Listing> = recent.chain(listings.iter().cloned()).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all.dedup_by(|a, b| a.name == b.name);
        all.retain(|m| !leaving(&m.name));
        Some(all)
    }

    /// Removes members not seen within `horizon` before `now`.
    pub fn expire(&self, now: Instant, horizon: Duration) {
        let mut members = self.members.write();
        members.retain(|m| now.saturating_duration_since(m.seen_at) <= horizon);
    }
}

fn merge(known: &mut Member, update: Member) {
    let same_incarnation = known.incarnation == update.incarnation;
    if same_incarnation {
        let seen_at = known.seen_at.max(update.seen_at);
        // Within one incarnation, a stop is final and the revision never falls.
        let leaving = known.leaving || update.leaving;
        let revision = known.revision.max(update.revision);
        *known = Member {
            seen_at,
            leaving,
            revision,
            ..update
        };
    } else if update.seen_at > known.seen_at {
        *known = update;
    }
}
