//! Disturbs the engines, instances and table of a fleet at fixed times of a run.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde_json::json;
use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    workload::{
        Kind,
        Shift, //
    }, //
};

/// Engines that load weights at the same time.
const CONCURRENT_LOADS: usize = 3;
/// Time that an engine takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// Fraction of the disturbed phase at which instances restart.
pub const HERD_START: f64 = 0.37;
/// Fraction of the disturbed phase at which weights start to roll out.
pub const ROLLOUT_START: f64 = 0.75;

/// Times of the phases of a run, since its start.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// End of the warm-up, in which nothing is measured, and start of the calm phase.
    pub calm_start: Duration,
    /// Start of the disturbed phase.
    pub disturbed_start: Duration,
    /// End of the run.
    pub end: Duration,
}

impl Plan {
    /// Creates a plan with a warm-up, a calm and a disturbed phase of these lengths.
    pub fn new([warm_up, calm, disturbed]: [Duration; 3]) -> Self {
        Self {
            calm_start: warm_up,
            disturbed_start: warm_up + calm,
            end: warm_up + calm + disturbed,
        }
    }

    /// Returns the time at a fraction, 0 to 1, of the disturbed phase.
    pub fn disturbed_at(&self, fraction: f64) -> Duration {
        self.disturbed_start + (self.end - self.disturbed_start).mul_f64(fraction)
    }

    /// Returns the disturbances that the request schedule contains.
    pub fn shift(&self) -> Shift {
        Shift {
            texts_moved_at: self.disturbed_at(0.25),
            surge: (self.disturbed_at(0.50), self.disturbed_at(0.70)),
        }
    }
}

/// Disturbs the fleet. The request schedule contains the other disturbances; see [`Plan::shift`].
///
/// # Errors
///
/// If an instance does not start or the settings cannot be changed.
pub async fn run(fleet: Arc<Fleet>, plan: Plan, start: Instant) -> anyhow::Result<()> {
    let wait_until = |fraction| tokio::time::sleep_until(start + plan.disturbed_at(fraction));
    wait_until(0.02).await;
    for index in [0, 1] {
        fleet.set_engine_down(index, true);
        fleet.engines[index].restart("v1");
    }
    wait_until(0.15).await;
    for index in [0, 1] {
        fleet.set_engine_down(index, false);
    }
    wait_until(HERD_START).await;
    for index in 0..4 {
        fleet.start_instance(index).await?;
    }
    fleet.set_table_down(true);
    wait_until(0.48).await;
    fleet.set_table_down(false);
    wait_until(ROLLOUT_START).await;
    roll_out(&fleet).await
}

/// Loads new weights at a few engines at a time. The settings name the new version once half of
/// the engines have it.
async fn roll_out(fleet: &Fleet) -> anyhow::Result<()> {
    let count = fleet.engines.len();
    let mut is_committed = false;
    for first in (0..count).step_by(CONCURRENT_LOADS) {
        if !is_committed && first * 2 >= count {
            is_committed = true;
            fleet.commit(model_rows(fleet)).await?;
        }
        let group = first..(first + CONCURRENT_LOADS).min(count);
        for index in group.clone() {
            fleet.set_engine_down(index, true);
            fleet.engines[index].restart("v2");
        }
        tokio::time::sleep(LOAD_TIME).await;
        for index in group {
            fleet.set_engine_down(index, false);
        }
    }
    Ok(())
}

/// Returns the settings that raise every model to version `v2`.
fn model_rows(fleet: &Fleet) -> Vec<(String, serde_json::Value)> {
    let models = fleet.deployment.streams.iter().filter_map(|stream| {
        let Kind::Model { model, .. } = stream.kind else {
            return None;
        };
        Some((format!("/fleet/models/{model}"), json!({"version": "v2"})))
    });
    models.collect()
}
