//! The instances that take requests, as they tell it in the table.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use parking_lot::RwLock;
use serde::{
    Deserialize,
    Serialize, //
};

/// Time between the rows that an instance writes of itself.
pub const BEAT: Duration = Duration::from_secs(2);
/// Instances whose row has not changed for this long are not named to callers: one beat may be
/// lost.
const NAMED_HORIZON: Duration = Duration::from_millis(4_500);
/// Instances whose row has not changed for this long have no share of the limits any more; one
/// that is cut off from the table may go on serving for as long.
const COUNTED_HORIZON: Duration = Duration::from_secs(60);

/// What an instance tells of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Address of the caller plane.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Counts the rows of one life, so that each differs from the one before.
    pub beat: u64,
    /// Units a second that its callers ask for, by workspace.
    pub demand: Vec<(String, f64)>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name from its settings.
    pub name: Arc<str>,
    /// What it tells of itself.
    pub row: Arc<Row>,
    /// When the row last changed, by this instance's clock.
    seen: Duration,
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
                    seen: now,
                },
            ),
            (Err(_), None) => {}
        }
    }

    /// Notes that no row could be read until now, so that none is taken for outdated.
    pub fn forgive(&self, now: Duration) {
        for member in self.members.write().iter_mut() {
            member.seen = now;
        }
    }

    /// Instances that callers may be told of.
    pub fn named(&self, now: Duration) -> Vec<Member> {
        let members = self.members.read();
        let named = members.iter().filter(|member| {
            !member.row.leaving && now.saturating_sub(member.seen) <= NAMED_HORIZON
        });
        named.cloned().collect()
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
