//! Row that publishes the state of a rollout to all instances.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::table::Revision;
use policy::exposure::Stage;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// State of a rollout, as the holder of the lease has written it.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct Row {
    /// Version that the order names.
    pub(super) to: Arc<str>,
    /// Revision of the order's row when it was first acted on.
    pub(super) order: Revision,
    pub(super) stage: Stage,
    /// Share of the requests that may go to the ordered version.
    pub(super) share: f64,
    /// Time of the order, by the table's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "started_ms")]
    pub(super) started_at: Duration,
    /// When the stage began, by the table's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stage_ms")]
    pub(super) stage_at: Duration,
    /// Versions that the ordered one replaces.
    pub(super) base: Vec<Arc<str>>,
    /// Versions of earlier orders that are not in use any more.
    pub(super) denied: Vec<Arc<str>>,
    /// Whether streams do not go on at the replaced versions either.
    #[serde(rename = "closed")]
    pub(super) is_closed: bool,
    /// Whether operators were told of the end.
    #[serde(rename = "finished")]
    pub(super) is_finished: bool,
    /// Fencing number of the lease under which the row was written.
    pub(super) number: u64,
    /// Random per write; shows after a lost response whether the write was applied.
    pub(super) write_id: u64,
}

impl Row {
    /// How far the rollout is, to tell an older copy of the row from a newer one.
    fn progress(&self) -> (Revision, u8, bool, bool) {
        let stage = match self.stage {
            Stage::Sample => 0,
            Stage::Shift { step } => step.saturating_add(1),
            Stage::Done | Stage::RolledBack => u8::MAX,
        };
        (self.order, stage, self.is_closed, self.is_finished)
    }

    /// Whether the rollout has ended or the version was put in the place of the others.
    pub(super) fn is_decided(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::RolledBack)
    }

    pub(super) fn is_base(&self, build: &str) -> bool {
        self.base.iter().any(|known| **known == *build)
    }

    pub(super) fn is_denied(&self, build: &str) -> bool {
        self.denied.iter().any(|known| **known == *build)
    }

    /// Whether this order or an earlier one has taken the version out of use.
    pub(super) fn is_left_out(&self, build: &str) -> bool {
        self.is_base(build) || self.is_denied(build)
    }
}

/// A row as this instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Known {
    pub(super) row: Row,
    pub(super) revision: Revision,
    /// Whether a table that was restored from an older copy lacks it, or has an older one.
    pub(super) is_lost: bool,
}

impl Known {
    /// Applies a row as of a revision, or its deletion; returns whether it counts.
    pub(super) fn apply(known: &mut Option<Self>, row: Option<Row>, revision: Revision) -> bool {
        let Some(current) = known else {
            let Some(row) = row else {
                return false;
            };
            *known = Some(Self {
                row,
                revision,
                is_lost: false,
            });
            return true;
        };
        if revision <= current.revision {
            return false;
        }
        let is_restored = revision.era > current.revision.era;
        match row {
            Some(row) if !is_restored || row.progress() >= current.row.progress() => {
                current.row = row;
                current.is_lost = false;
            }
            None if !is_restored => {
                *known = None;
                return true;
            }
            _ => current.is_lost = true,
        }
        current.revision = revision;
        !current.is_lost
    }
}
