//! As of when this instance's view of the settings is known to be current.

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use parking_lot::Mutex;
use policy::freshness::{
    Report,
    current_as_of, //
};

use crate::{
    clock,
    member::Listed, //
};

/// Time as of which the view is current, and what other members said.
#[derive(Debug)]
pub struct Table {
    started: Duration,
    /// Milliseconds of [`clock::now`]; 0 before the view was ever current.
    ///
    /// # Invariants
    ///
    /// Never falls.
    as_of_ms: AtomicU64,
    /// Whether the view has been current as of some time after the start.
    settled: AtomicBool,
    /// # Invariants
    ///
    /// Sorted by name, each name once.
    reports: Mutex<Vec<(String, Report)>>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            started: clock::now(),
            as_of_ms: AtomicU64::new(0),
            settled: AtomicBool::new(false),
            reports: Mutex::default(),
        }
    }
}

impl Table {
    /// Notes that the view holds every change acknowledged before `time`.
    pub fn confirm(&self, time: Duration) {
        // Rounded down, so that the view never looks newer than it is.
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.as_of_ms.fetch_max(ms, Ordering::AcqRel);
        if time >= self.started {
            self.settled.store(true, Ordering::Release);
        }
    }

    /// Notes the answer of the member `name`, whose view is ours now.
    pub fn report(&self, name: &str, report: Report) {
        let mut reports = self.reports.lock();
        match reports.binary_search_by(|(known, _)| (**known).cmp(name)) {
            Ok(index) if reports[index].1.asked_at > report.asked_at => {}
            Ok(index) => reports[index].1 = report,
            Err(index) => reports.insert(index, (name.to_owned(), report)),
        }
    }

    /// Draws the conclusion from the answers of the members whose majority counts.
    pub fn count(&self, own: &str, electorate: &[Listed], now: Duration) {
        let reports = self.reports.lock();
        let counted: Vec<Report> = electorate
            .iter()
            .filter(|member| member.name != own)
            .filter_map(|member| {
                let found = reports.binary_search_by(|(name, _)| name.cmp(&member.name));
                found.ok().map(|index| reports[index].1)
            })
            .collect();
        let own_counts = electorate.iter().any(|member| member.name == own);
        let members = electorate.len() + usize::from(!own_counts);
        let time = current_as_of(members, now, self.is_settled(), &counted);
        drop(reports);
        if let Some(time) = time {
            self.confirm(time);
        }
    }

    /// Whether the view has been current as of some time after the start.
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }

    /// Time since the view was last known to be current; the clock is read now.
    pub fn age(&self) -> Duration {
        match self.as_of_ms.load(Ordering::Acquire) {
            0 => Duration::MAX,
            ms => clock::now().saturating_sub(Duration::from_millis(ms)),
        }
    }
}
