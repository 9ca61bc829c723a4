//! Builds of the endpoints of each service, as recorded in the table.
//!
//! An instance that has just started finds in the table which builds may have begun the streams that
//! callers take up. A build is therefore used only once it is recorded, as long as an endpoint with a
//! recorded one can take the request.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use platform::table::{
    Change,
    Outcome,
    Revision,
    Txn,
    Watch, //
};
use policy::build::{
    History,
    Sighting, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::sync::Notify;

use crate::{
    BUILDS,
    catalog::Catalog,
    node::Node,
    origin,
    protocol::Protocol, //
};

/// Shortest time for which records are kept after the begin of a stream, or after a build is gone.
const MIN_HORIZON: Duration = Duration::from_secs(30);
/// The same as a multiple of the longest timeout of a route: callers take a stream up until their own
/// deadline.
const HORIZON_TIMEOUTS: u32 = 2;
/// Interval at which builds that are gone are looked for, and failed writes are repeated.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Delay from one hub to the next before it writes what the one before has not written.
pub const HUB_STEP: Duration = Duration::from_millis(700);

/// Row of one service.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Row {
    builds: Vec<Entry>,
}

/// One build in the row of its service.
#[serde_as]
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Entry {
    build: Arc<str>,
    /// When its last endpoint was gone, by the table's clock, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "gone_ms", skip_serializing_if = "Option::is_none")]
    gone_at: Option<Duration>,
}

impl From<&History> for Row {
    fn from(history: &History) -> Self {
        let entry = |sighting: &Sighting| Entry {
            build: sighting.build.clone(),
            gone_at: sighting.gone_at,
        };
        Self {
            builds: history.sightings().iter().map(entry).collect(),
        }
    }
}

impl From<Row> for History {
    fn from(row: Row) -> Self {
        let sighting = |entry: Entry| Sighting {
            build: entry.build,
            gone_at: entry.gone_at,
        };
        Self::new(row.builds.into_iter().map(sighting).collect())
    }
}

/// Recorded builds of one service.
#[derive(Clone, Debug)]
struct Record {
    service: Arc<str>,
    /// Content of the row.
    row: History,
    /// The same, with what a table that was restored from an older copy lacks.
    history: History,
    /// Revision of the row; absent if it does not exist.
    revision: Revision,
    /// Since when the row is outdated; `None` if it is not.
    outdated_since: Option<Duration>,
}

/// Recorded builds of all services.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service, each once.
    records: Mutex<Vec<Record>>,
    /// Notified when endpoints or rows change.
    pub changed: Notify,
}

impl Table {
    fn with<T>(&self, service: &str, read: impl FnOnce(&mut Record) -> T) -> T {
        let mut records = self.records.lock();
        let index = match records.binary_search_by(|record| (*record.service).cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let record = Record {
                    service: service.into(),
                    row: History::default(),
                    history: History::default(),
                    revision: Revision::ABSENT,
                    outdated_since: None,
                };
                records.insert(index, record);
                index
            }
        };
        read(&mut records[index])
    }

    fn history(&self, service: &str) -> History {
        self.with(service, |record| record.history.clone())
    }

    /// Whether the table names this build of a service.
    pub fn is_recorded(&self, service: &str, build: &str) -> bool {
        self.with(service, |record| record.history.is_recorded(build))
    }

    fn apply(&self, service: &str, row: History, revision: Revision) {
        self.with(service, |record| {
            // The instance's own write may arrive again, late, with the changes of the table.
            if revision < record.revision {
                return;
            }
            record.history = if revision.era > record.revision.era {
                record.history.merge(&row)
            } else {
                row.clone()
            };
            record.row = row;
            record.revision = revision;
            record.outdated_since = None;
        });
        self.changed.notify_one();
    }
}

/// Services whose streams callers may take up.
fn resumable_services(catalog: &Catalog) -> Vec<Arc<str>> {
    let routes = catalog.routes().filter(|route| route.is_resumable());
    let targets = routes.flat_map(|route| &route.targets);
    let mut services: Vec<Arc<str>> = targets.map(|target| target.service.clone()).collect();
    services.sort();
    services.dedup();
    services
}

impl<P: Protocol> Node<P> {
    /// Time for which the record of a stream is kept after its begin, and that of a build after its
    /// last endpoint was gone.
    pub fn record_horizon(&self) -> Duration {
        let catalog = self.catalog.load();
        let routes = catalog.iter().flat_map(|catalog| catalog.routes());
        let timeouts = routes.filter(|r| r.is_resumable()).map(|r| r.timeout);
        let longest = timeouts.max().unwrap_or_default();
        MIN_HORIZON.max(longest.saturating_mul(HORIZON_TIMEOUTS))
    }

    fn registered_builds(&self, service: &str) -> Vec<Arc<str>> {
        let fleet = self.endpoints.fleet();
        let endpoints = fleet.of_service(service).iter();
        let mut builds: Vec<_> = endpoints.map(|e| e.registration.build.clone()).collect();
        builds.sort();
        builds.dedup();
        builds
    }

    /// Builds that may have begun a stream of this service that a caller takes up now.
    pub fn candidate_builds(&self, service: &str) -> History {
        let registered = self.registered_builds(service);
        // Without the table's clock, all that are recorded.
        let now = self.exchange.table_time(clock::now()).unwrap_or_default();
        let history = self.builds.history(service);
        history.update(&registered, now, self.record_horizon())
    }

    /// The resumable services with several builds, of which streams are recorded.
    pub fn mixed_services(&self) -> Vec<Arc<str>> {
        let catalog = self.catalog.load();
        let services = catalog.iter().flat_map(|c| resumable_services(c));
        let is_mixed = |service: &Arc<str>| self.candidate_builds(service).sightings().len() > 1;
        services.filter(is_mixed).collect()
    }
}

/// Applies a changed row of builds; ignores all other rows.
pub fn apply_row<P: Protocol>(node: &Node<P>, change: &Change) {
    let Some(service) = change.key.strip_prefix(BUILDS) else {
        return;
    };
    let history = match change.value.as_deref().map(serde_json::from_slice::<Row>) {
        Some(Ok(row)) => History::from(row),
        None => History::default(),
        Some(Err(reason)) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %reason);
            return;
        }
    };
    node.builds.apply(service, history, change.revision);
}

/// Writes the rows while this instance is a hub, or all instances stop, until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    loop {
        let changed = node.builds.changed.notified();
        // Fails if nothing changes for a while.
        tokio::time::timeout(CHECK_INTERVAL, changed).await.ok();
        if origin::writer_rank(node).is_none()
            || !node.mirrors.instances.is_read()
            || !node.mirrors.endpoints.is_read()
        {
            continue;
        }
        let catalog = node.catalog.load_full();
        let services = catalog.iter().flat_map(|c| resumable_services(c));
        for service in services {
            write_outdated(node, table, &service).await;
        }
    }
}

/// Writes the row of a service, if it is outdated and the hubs before this one have not written it.
async fn write_outdated<P: Protocol, W: Watch>(node: &Node<P>, table: &W, service: &str) {
    let now = clock::now();
    let (Some(rank), Some(table_time)) = (origin::writer_rank(node), node.exchange.table_time(now))
    else {
        return;
    };
    let registered = node.registered_builds(service);
    let horizon = node.record_horizon();
    let write = node.builds.with(service, |record| {
        let history = record.history.update(&registered, table_time, horizon);
        // Endpoints that do not name their build need no record as long as all do not.
        let is_named = |sighting: &Sighting| !sighting.build.is_empty();
        let is_needed = history.sightings().iter().any(is_named);
        if history == record.row || !is_needed {
            record.outdated_since = None;
            return None;
        }
        let since = *record.outdated_since.get_or_insert(now);
        let step = HUB_STEP.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        (since.saturating_add(step) <= now).then_some((history, record.revision))
    });
    let Some((history, revision)) = write else {
        return;
    };
    // Texts and numbers always encode.
    let value = serde_json::to_vec(&Row::from(&history)).unwrap_or_default();
    let key = format!("{BUILDS}{service}");
    match table
        .transact(Txn::default().when(&key, revision).put(&key, value))
        .await
    {
        Ok(Outcome::Applied(revision)) => {
            emit!(
                info,
                event::BUILDS_RECORDED,
                service = service,
                builds = names(&history),
            );
            node.builds.apply(service, history, revision);
        }
        // The row that another instance wrote arrives with the changes of the table.
        Ok(Outcome::Conflict(_)) => {}
        Err(fault) => emit!(debug, event::TABLE_FAULT, prefix = BUILDS, reason = %fault),
    }
}

/// Names of the builds, separated by spaces; those that are gone in brackets.
fn names(history: &History) -> String {
    let name = |sighting: &Sighting| match sighting.gone_at {
        None => sighting.build.to_string(),
        Some(_) => format!("({})", sighting.build),
    };
    let names: Vec<String> = history.sightings().iter().map(name).collect();
    names.join(" ")
}
