//! Freshness of this instance's view of the settings.

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
    member::Listing, //
};

/// Time as of which the view is known to be current, and the reports of other members.
#[derive(Debug)]
pub struct Table {
    started: Duration,
    /// Time as of which the view is current, in milliseconds of [`clock::now`]; 0 until the
    /// first confirmation.
    ///
    /// # Invariants
    ///
    /// Never falls.
    as_of_ms: AtomicU64,
    /// Whether the view has been confirmed as of some time after the start of this instance.
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
    /// Records that the view contains every change acknowledged before `time`.
    pub fn confirm(&self, time: Duration) {
        // Rounded down, so that the view never appears newer than it is.
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.as_of_ms.fetch_max(ms, Ordering::AcqRel);
        if time >= self.started {
            self.settled.store(true, Ordering::Release);
        }
    }

    /// Records a report of the member `name`, whose view has been merged into this one.
    ///
    /// Ignored if a report with a later request time is known.
    pub fn record_report(&self, name: &str, report: Report) {
        let mut reports = self.reports.lock();
        match reports.binary_search_by(|(known, _)| (**known).cmp(name)) {
            Ok(index) if reports[index].1.requested_at > report.requested_at => {}
            Ok(index) => reports[index].1 = report,
            Err(index) => reports.insert(index, (name.to_owned(), report)),
        }
    }

    /// Confirms the view as far as the reports of a majority of `electorate` allow.
    ///
    /// This instance, named `own`, counts as a member even if the electorate omits it.
    pub fn confirm_by_majority(&self, own: &str, electorate: &[Listing], now: Duration) {
        let reports = self.reports.lock();
        let peer_reports: Vec<Report> = electorate
            .iter()
            .filter(|member| member.name != own)
            .filter_map(|member| {
                let found = reports.binary_search_by(|(name, _)| name.cmp(&member.name));
                found.ok().map(|index| reports[index].1)
            })
            .collect();
        let includes_own = electorate.iter().any(|member| member.name == own);
        let members = electorate.len() + usize::from(!includes_own);
        let time = current_as_of(members, now, self.is_settled(), &peer_reports);
        drop(reports);
        if let Some(time) = time {
            self.confirm(time);
        }
    }

    /// Whether the view has been confirmed as of some time after the start of this instance.
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }

    /// Age of the view: time since it was last known to be current, by a new reading of the
    /// clock; `Duration::MAX` before the first confirmation.
    pub fn age(&self) -> Duration {
        match self.as_of_ms.load(Ordering::Acquire) {
            0 => Duration::MAX,
            ms => clock::now().saturating_sub(Duration::from_millis(ms)),
        }
    }
}
