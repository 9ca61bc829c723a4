//! Computes the measures of each phase from the records of requests and cache events.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use hdrhistogram::Histogram;
use serde::Serialize;
use settings::Class;
use standin::engine::{
    Change,
    Event, //
};
use tokio::time::Instant;

use crate::{
    disturb::{
        self,
        Plan, //
    },
    workload::{
        BLOCK_BYTES,
        BYTES_PER_TOKEN,
        Deployment,
        Kind,
        SURGING_WORKSPACE, //
    }, //
};

/// Largest latency that histograms hold, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Tokens in one cache block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Result of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outcome {
    /// Answered completely.
    #[default]
    Answered,
    /// Refused with status 429, over the rate limit of its workspace.
    Refused,
    /// No complete answer for another reason.
    Failed,
}

/// Record of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Scheduled time since the start of the run.
    pub at: Duration,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the stream.
    pub stream: usize,
    /// Time from the scheduled arrival to the first token, or to the failure.
    pub latency: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: u64,
    /// Result of the request.
    pub outcome: Outcome,
    /// Error that the caller got, if the request was not answered.
    pub error: Option<String>,
}

/// Period of a run that is measured. Those after `Disturbed` are sections of it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No disturbances.
    Calm,
    /// All disturbances.
    Disturbed,
    /// Section in which engines fail and restart with empty caches.
    Lost,
    /// Section right after the hot prefixes move.
    Moved,
    /// Section in which several instances restart at the same time and the table is down.
    Herd,
    /// Section in which one workspace sends at several times its rate.
    Surge,
    /// Section in which new weights roll out.
    Rollout,
}

/// All phases, in the order of reports.
pub const PHASES: [Phase; 7] = [
    Phase::Calm,
    Phase::Disturbed,
    Phase::Lost,
    Phase::Moved,
    Phase::Herd,
    Phase::Surge,
    Phase::Rollout,
];

impl Phase {
    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Calm => "calm",
            Phase::Disturbed => "disturbed",
            Phase::Lost => "lost",
            Phase::Moved => "moved",
            Phase::Herd => "herd",
            Phase::Surge => "surge",
            Phase::Rollout => "rollout",
        }
    }

    /// Returns the start and end of the phase since the start of the run.
    fn span(self, plan: &Plan) -> (Duration, Duration) {
        match self {
            Phase::Calm => (plan.calm_start, plan.disturbed_start),
            Phase::Disturbed => (plan.disturbed_start, plan.end),
            Phase::Lost => (plan.disturbed_start, plan.shift().texts_moved_at),
            Phase::Moved => (
                plan.shift().texts_moved_at,
                plan.disturbed_at(disturb::HERD_START),
            ),
            Phase::Herd => (plan.disturbed_at(disturb::HERD_START), plan.shift().surge.0),
            Phase::Surge => (
                plan.shift().surge.0,
                plan.disturbed_at(disturb::ROLLOUT_START),
            ),
            Phase::Rollout => (plan.disturbed_at(disturb::ROLLOUT_START), plan.end),
        }
    }
}

/// Distribution of the latency to the first token, in milliseconds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Latency {
    /// Number of answers.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub worst: f64,
}

/// Measures of one phase.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measure {
    /// Phase that was measured.
    pub phase: Phase,
    /// Fraction of the prompt tokens in whole blocks that were cached.
    pub hit_rate: f64,
    /// Latency of urgent model requests.
    pub urgent: Latency,
    /// Latency of requests to plain services.
    pub plain: Latency,
    /// Latency of model requests that may wait.
    pub may_wait: Latency,
    /// Tokens computed although another engine had them cached.
    pub recomputed: u64,
    /// Total of tokens computed.
    pub computed: u64,
    /// 99th percentile of the latency of urgent model requests of the worst workspace, in
    /// milliseconds. Only the calm phase includes the surging workspace.
    pub worst_workspace_p99: f64,
    /// 99th percentile of the same latency for the median workspace, in milliseconds.
    pub median_workspace_p99: f64,
    /// Name of the worst workspace.
    pub worst_workspace: String,
    /// Requests refused over the rate limit, without those of the surging workspace.
    pub refused: u64,
    /// Requests without a complete answer that were not refused over the rate limit.
    pub failed: u64,
    /// Error of the first refused or failed request, without those of the surging workspace.
    pub example: Option<String>,
}

/// Records and cache events of one strategy, from all seeds.
#[derive(Debug, Default)]
pub struct Run {
    /// Records of all requests.
    pub records: Vec<Record>,
    /// For each computed block, the time since the start of the run and whether another engine had
    /// the block cached.
    pub computed: Vec<(Duration, bool)>,
}

impl Run {
    /// Adds the blocks computed in the run of one seed; `engines` holds the cache events of each
    /// engine.
    pub fn add_events(&mut self, engines: &[Vec<Event>], start: Instant) {
        let start = start.into_std();
        let mut events: Vec<(Event, usize)> = Vec::new();
        for (engine, engine_events) in engines.iter().enumerate() {
            events.extend(engine_events.iter().map(|event| (*event, engine)));
        }
        events.sort_by_key(|(event, _)| event.at);
        let mut holders: HashMap<u64, HashSet<usize>> = HashMap::new();
        for (event, engine) in events {
            match event.change {
                Change::Stored(block) => {
                    let holders = holders.entry(block).or_default();
                    let cached_elsewhere = holders.iter().any(|&holder| holder != engine);
                    holders.insert(engine);
                    let at = event.at.saturating_duration_since(start);
                    self.computed.push((at, cached_elsewhere));
                }
                Change::Removed(block) => {
                    holders.entry(block).or_default().remove(&engine);
                }
                Change::Cleared => holders.values_mut().for_each(|set| {
                    set.remove(&engine);
                }),
            }
        }
    }

    /// Computes the measures of one phase.
    pub fn measure(&self, deployment: &Deployment, plan: &Plan, phase: Phase) -> Measure {
        let (start, end) = phase.span(plan);
        let in_phase = |at: Duration| at >= start && at < end;
        let records: Vec<&Record> = self.records.iter().filter(|r| in_phase(r.at)).collect();
        let answered = |r: &&&Record| r.outcome == Outcome::Answered;
        let is_model = |r: &Record| matches!(deployment.streams[r.stream].kind, Kind::Model { .. });
        let class = |r: &Record| deployment.streams[r.stream].class;
        let urgent = |r: &Record| is_model(r) && class(r) == Class::Urgent;
        let latency = |select: &dyn Fn(&Record) -> bool| {
            let matching = records.iter().filter(answered).filter(|r| select(r));
            distribution(matching.map(|r| r.latency))
        };
        let mut workspaces: Vec<(f64, &str)> = deployment
            .workspaces
            .iter()
            .enumerate()
            .filter(|(index, _)| phase == Phase::Calm || *index != SURGING_WORKSPACE)
            .map(|(index, (name, _))| {
                let urgent_of_workspace = |r: &Record| urgent(r) && r.workspace == index;
                (latency(&urgent_of_workspace).p99, *name)
            })
            .collect();
        workspaces.sort_by(|a, b| a.0.total_cmp(&b.0));
        let computed = self.computed.iter().filter(|(at, _)| in_phase(*at));
        let (worst_p99, worst_name) = workspaces[workspaces.len() - 1];
        let count =
            |select: &dyn Fn(&Record) -> bool| records.iter().filter(|r| select(r)).count() as u64;
        Measure {
            phase,
            hit_rate: hit_rate(records.iter().filter(answered).copied()),
            urgent: latency(&urgent),
            plain: latency(&|r| !is_model(r)),
            may_wait: latency(&|r| class(r) == Class::MayWait),
            recomputed: computed
                .clone()
                .filter(|(_, cached_elsewhere)| *cached_elsewhere)
                .count() as u64
                * BLOCK_TOKENS,
            computed: computed.count() as u64 * BLOCK_TOKENS,
            worst_workspace_p99: worst_p99,
            median_workspace_p99: workspaces[workspaces.len() / 2].0,
            worst_workspace: worst_name.to_owned(),
            refused: count(&|r| r.outcome == Outcome::Refused && r.workspace != SURGING_WORKSPACE),
            failed: count(&|r| r.outcome == Outcome::Failed),
            example: records
                .iter()
                .filter(|r| r.workspace != SURGING_WORKSPACE)
                .find_map(|r| r.error.clone()),
        }
    }
}

fn hit_rate<'a>(records: impl Iterator<Item = &'a Record>) -> f64 {
    let (mut whole_block_tokens, mut cached_tokens) = (0, 0);
    for record in records {
        whole_block_tokens += record.prompt_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
        cached_tokens += record.cached_tokens;
    }
    cached_tokens as f64 / (whole_block_tokens as f64).max(1.0)
}

fn distribution(latencies: impl Iterator<Item = Duration>) -> Latency {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for latency in latencies {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        histogram.saturating_record(micros);
    }
    let millis = |micros: u64| micros as f64 / 1e3;
    Latency {
        count: histogram.len(),
        p50: millis(histogram.value_at_quantile(0.5)),
        p99: millis(histogram.value_at_quantile(0.99)),
        p999: millis(histogram.value_at_quantile(0.999)),
        worst: millis(histogram.max()),
    }
}
