//! What this instance may spend of each workspace's limit.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::share::{
    self,
    Bucket,
    Demand,
    Tolerance, //
};

use crate::catalog::Workspace;

/// Part of its share that an instance starts with: it may have spent the rest before a restart.
const START_PART: f64 = 0.5;

#[derive(Debug)]
struct Entry {
    workspace: Arc<str>,
    demand: Demand,
    /// What was last published of the demand.
    published: f64,
    /// Part of the limit that this instance has.
    fraction: f64,
    bucket: Option<Bucket>,
}

/// What this instance may spend, by workspace.
#[derive(Debug)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by workspace.
    entries: Mutex<Vec<Entry>>,
}

/// Units that a request has taken; dropping it gives them back unless it was spent.
#[derive(Debug)]
pub struct Charge {
    table: Arc<Table>,
    workspace: Arc<str>,
    units: f64,
    spent: bool,
}

impl Charge {
    /// Notes that the request reached an endpoint, which may have run it.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            self.table.give_back(&self.workspace, self.units);
        }
    }
}

impl Default for Table {
    fn default() -> Self {
        Self {
            entries: Mutex::new(Vec::new()),
        }
    }
}

impl Table {
    /// Takes `units` of what `workspace` may spend here.
    ///
    /// # Errors
    ///
    /// The time after which to come back, if the share is used up.
    pub fn charge(
        self: &Arc<Self>,
        workspace: &Workspace,
        units: u64,
        tolerance: Tolerance,
        instances: usize,
        now: Duration,
    ) -> Result<Option<Charge>, Duration> {
        let Some(limit) = workspace.limit else {
            return Ok(None);
        };
        let units = units as f64;
        let mut entries = self.entries.lock();
        let entry = entry(&mut entries, &workspace.name, instances);
        entry.demand.add(now, units);
        let (rate, burst) = (limit.rate as f64, limit.burst as f64);
        let share = share::share(rate, burst, tolerance, entry.fraction, instances);
        let new = || Bucket::new(now, share, START_PART);
        entry
            .bucket
            .get_or_insert_with(new)
            .take(now, share, units)?;
        Ok(Some(Charge {
            table: self.clone(),
            workspace: workspace.name.clone(),
            units,
            spent: false,
        }))
    }

    /// Demand by workspace, to be published; the shares count what was published last.
    pub fn publish(&self, now: Duration) -> Vec<(String, f32)> {
        let mut entries = self.entries.lock();
        let publish = |entry: &mut Entry| {
            entry.published = entry.demand.rate(now).round();
            (entry.workspace.to_string(), entry.published as f32)
        };
        entries.iter_mut().map(publish).collect()
    }

    /// Works the shares out anew from the demand at all `instances` together.
    pub fn divide(&self, total: &[(String, f32)], instances: usize) {
        let mut entries = self.entries.lock();
        for entry in entries.iter_mut() {
            let place = total.binary_search_by(|(name, _)| (**name).cmp(&entry.workspace));
            let all = place.map_or(0.0, |index| f64::from(total[index].1));
            let others = (all - entry.published).max(0.0);
            entry.fraction = share::fraction(entry.published, others, instances);
        }
    }

    fn give_back(&self, workspace: &str, units: f64) {
        let mut entries = self.entries.lock();
        let place = entries.binary_search_by(|entry| (*entry.workspace).cmp(workspace));
        if let Ok(index) = place
            && let Some(bucket) = &mut entries[index].bucket
        {
            bucket.give_back(units);
        }
    }
}

fn entry<'a>(entries: &'a mut Vec<Entry>, workspace: &Arc<str>, instances: usize) -> &'a mut Entry {
    let index = match entries.binary_search_by(|entry| entry.workspace.cmp(workspace)) {
        Ok(index) => index,
        Err(index) => {
            let entry = Entry {
                workspace: workspace.clone(),
                demand: Demand::default(),
                published: 0.0,
                fraction: 1.0 / instances.max(1) as f64,
                bucket: None,
            };
            entries.insert(index, entry);
            index
        }
    };
    &mut entries[index]
}
