//! Versions of weights that operators have named, and when each was first seen.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::table::Revision;
use policy::weights::Versions;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::{
    FIRST_SEEN,
    INSTANCES,
    fleet::Endpoint,
    instance,
    node::Node,
    protocol::Protocol, //
};

/// Difference between times of a sighting that clock readings explain.
const SIGHTING_TOLERANCE: Duration = Duration::from_millis(100);

/// Rollout of the weights that the engines of one model should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rollout {
    /// Name of the model.
    pub model: String,
    /// Newest version of the weights that an operator has named.
    pub version: u64,
    /// Versions that operators have named, as far as this instance knows.
    pub versions: Versions<Revision>,
}

/// First sighting of a version of weights, to be recorded in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Key of the record's row.
    pub key: String,
    /// Local time.
    pub at: Duration,
    /// Revision of the row to replace.
    pub revision: Revision,
}

impl Sighting {
    fn new(model: &str, version: u64, at: Duration) -> Self {
        Self {
            key: format!("{FIRST_SEEN}{model}/{version}"),
            at,
            revision: Revision::ABSENT,
        }
    }
}

/// Reads the record of a first sighting, a time by the table's clock.
fn read_time(key: &str, value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok();
    let millis = text.and_then(|text| text.parse().ok());
    if millis.is_none() {
        emit!(warn, event::INSTANCE_UNREADABLE, row = key);
    }
    millis.map(Duration::from_millis)
}

impl<P: Protocol> Node<P> {
    /// When a version of the weights of an endpoint was superseded, as far as this instance knows;
    /// `None` if it is the newest, or if the endpoint has no weights.
    pub fn superseded_at(&self, endpoint: &Endpoint, version: u64) -> Option<Duration> {
        let model = &**endpoint.model()?;
        let rollouts = self.rollouts.load();
        let rollout = rollouts.iter().find(|rollout| rollout.model == model)?;
        rollout.versions.superseded_at(version)
    }

    /// Time from `now` until an engine must have loaded a newer version of its weights; the whole time
    /// of a rollout if it serves the newest.
    pub fn time_left_to_load(&self, engine: &Endpoint, now: Duration) -> Duration {
        let bound = self.config.bounds.weights_all();
        let superseded_at = self.superseded_at(engine, engine.version());
        superseded_at.map_or(bound, |at| (at + bound).saturating_sub(now))
    }

    /// Sets the version that the engines of `model` should serve, if it is newer than the current
    /// one; returns whether it is. `revision` is that of its row; `confirmed` is the last time by the table's clock at which
    /// the row is known to have been absent, if there is one.
    pub fn set_rollout(
        &self,
        model: String,
        version: u64,
        revision: Revision,
        confirmed: Option<Duration>,
    ) -> bool {
        let mut rollouts = Vec::clone(&self.rollouts.load());
        let known = rollouts.iter().position(|rollout| rollout.model == model);
        if known.is_some_and(|index| rollouts[index].version >= version) {
            return false;
        }
        emit!(
            info,
            event::WEIGHTS_WANTED,
            model = model,
            version = version
        );
        let index = known.unwrap_or_else(|| {
            rollouts.push(Rollout {
                model,
                version,
                versions: Versions::default(),
            });
            rollouts.len() - 1
        });
        rollouts[index].version = version;
        let versions = &mut rollouts[index].versions;
        let absent_at = confirmed.and_then(|time| self.exchange.local_time(time));
        // A version that came with the rows of a restored table may have been named before.
        match absent_at.or_else(|| self.exchange.complete_before_restore()) {
            // The table's clock may have started again.
            Some(absent_at) => versions.add(version, absent_at.min(clock::now())),
            None => versions.add_found(version, revision),
        }
        self.store_rollouts(rollouts);
        self.rollout_wakeup.notify_one();
        true
    }

    /// First sightings of versions that may not be recorded in the table yet.
    pub fn unrecorded_versions(&self) -> Vec<Sighting> {
        self.date_versions();
        let rollouts = self.rollouts.load();
        let unrecorded = rollouts.iter().flat_map(|rollout| {
            let versions = rollout.versions.unrecorded();
            versions.map(|(version, at)| Sighting::new(&rollout.model, version, at))
        });
        unrecorded.collect()
    }

    /// First sightings that a restored table lacks, or has later than this instance knows.
    pub fn lost_sightings(&self) -> Vec<Sighting> {
        self.date_versions();
        let rollouts = self.rollouts.load();
        let known = rollouts.iter().flat_map(|rollout| {
            let versions = rollout.versions.dated();
            versions.map(|(version, at)| Sighting::new(&rollout.model, version, at))
        });
        known
            .filter_map(|sighting| self.outdate(sighting))
            .collect()
    }

    /// Sets the revision of the row to replace; `None` if the table has the sighting.
    fn outdate(&self, mut sighting: Sighting) -> Option<Sighting> {
        let Some((value, revision)) = self.mirrors.instances.row(&sighting.key) else {
            return Some(sighting);
        };
        let recorded = read_time(&sighting.key, &value)?;
        let recorded = self.exchange.local_time(recorded)?;
        sighting.revision = revision;
        (recorded > sighting.at + SIGHTING_TOLERANCE).then_some(sighting)
    }

    /// Dates the versions of weights by the first sighting at any instance, as far as the table
    /// records it.
    pub fn date_versions(&self) {
        let rollouts = self.rollouts.load();
        let is_restored = self.era.restored_at().is_some();
        let mut dated = Vec::clone(&rollouts);
        for rollout in &mut dated {
            let prefix = format!("{FIRST_SEEN}{}/", rollout.model);
            for (key, value) in self.mirrors.instances.with_prefix(&prefix) {
                let Some(table_time) = read_time(&key, &value) else {
                    continue;
                };
                let Ok(version) = key[prefix.len()..].parse() else {
                    emit!(warn, event::INSTANCE_UNREADABLE, row = key);
                    continue;
                };
                if let Some(first_seen) = self.exchange.local_time(table_time) {
                    rollout.versions.record(version, first_seen, is_restored);
                }
            }
            self.estimate_found(&mut rollout.versions);
        }
        if dated != **rollouts {
            self.store_rollouts(dated);
        }
    }

    /// Dates the versions that this instance found when it started and that have no record: all
    /// instances may have been down when they were named.
    fn estimate_found(&self, versions: &mut Versions<Revision>) {
        let is_table_read = self.mirrors.instances.is_read();
        let found: Vec<(u64, Revision)> = versions.found().collect();
        let is_clock_known = self.exchange.table_time(clock::now()).is_some();
        if found.is_empty() || !is_table_read || !is_clock_known {
            return;
        }
        for (version, revision) in found {
            let written_at = self.last_write_before(revision);
            let first_seen = written_at.and_then(|at| self.exchange.local_time(at));
            versions.estimate(version, first_seen.unwrap_or_default());
        }
    }

    /// Time, by the table's clock, of the latest write of an instance's row that precedes a
    /// revision of the table.
    fn last_write_before(&self, revision: Revision) -> Option<Duration> {
        let rows = self.mirrors.instances.values_before(INSTANCES, revision);
        let written_ms = rows.iter().filter_map(|value| {
            let row: instance::Row = serde_json::from_slice(value).ok()?;
            row.written_ms
        });
        written_ms.max().map(Duration::from_millis)
    }

    fn store_rollouts(&self, rollouts: Vec<Rollout>) {
        self.rollouts.store(Arc::new(rollouts));
        self.rollouts_changed.notify_waiters();
    }
}
