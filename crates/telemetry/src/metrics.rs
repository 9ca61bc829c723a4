//! Metrics of one instance in the Prometheus text format.

use std::{
    collections::BTreeSet,
    sync::Mutex,
    time::Duration, //
};

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        MeterProvider, //
    }, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry as Exporter,
    TextEncoder, //
};
use thiserror::Error;

/// Maximum number of workspaces with their own label value; the rest share `other`.
pub const MAX_WORKSPACE_LABELS: usize = 200;

/// Upper bounds of histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.48, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// Upper bounds of the buckets of engines' factors.
const FACTOR_BUCKETS: [f64; 10] = [0.4, 0.5, 0.6, 0.7, 0.8, 1.0, 1.25, 1.6, 2.0, 2.5];

/// Metrics could not be set up or encoded.
#[derive(Debug)]
#[derive(Error)]
#[error("metrics: {0}")]
pub struct Error(String);

/// The metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    first_token: Histogram<f64>,
    queue: Histogram<f64>,
    total: Histogram<f64>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    prompt_blocks: Counter<f64>,
    planned_wait: Histogram<f64>,
    event_gap: Histogram<f64>,
    placements: Counter<u64>,
    engine_factor: Histogram<f64>,
    view_age: Histogram<f64>,
    table_calls: Counter<u64>,
    table_restores: Counter<u64>,
    closures: Counter<u64>,
    states: Gauge<u64>,
    workspace_labels: Mutex<BTreeSet<String>>,
    // Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

/// Measurements of one finished request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample<'a> {
    /// `<team>/<workspace>`, or empty for requests without a key.
    pub workspace: &'a str,
    /// Value of the label `class`: the urgency class, or for requests that `router` serves the name
    /// of the route.
    pub class: &'a str,
    /// Outcome: `ok` or an error code.
    pub outcome: &'a str,
    /// Time from arrival to the first token or byte of the answer.
    pub first_token: Option<Duration>,
    /// Time spent in the queues of this instance.
    pub queue: Duration,
    /// Time from arrival to the end of the answer.
    pub total: Duration,
}

impl Metrics {
    /// Sets up the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be registered.
    pub fn new() -> Result<Self, Error> {
        let exporter = Exporter::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(exporter.clone())
            .build()
            .map_err(|error| Error(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("damasktrestle");
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build()
        };
        Ok(Self {
            first_token: seconds("damask_first_token", "arrival to first token or byte"),
            queue: seconds("damask_queue", "time in queues of this instance"),
            total: seconds("damask_total", "arrival to end of the answer"),
            planned_wait: seconds(
                "damask_planned_wait",
                "work before a request when it was placed",
            ),
            event_gap: seconds(
                "damask_event_gap",
                "longest pause between events of one stream",
            ),
            view_age: seconds(
                "damask_view_age",
                "age of the load by which an instance chose an engine alone",
            ),
            engine_factor: meter
                .f64_histogram("damask_engine_factor")
                .with_description("time that chosen engines take, relative to all of their service")
                .with_boundaries(FACTOR_BUCKETS.to_vec())
                .build(),
            placements: meter
                .u64_counter("damask_placements")
                .with_description("engines chosen, by who chose")
                .build(),
            requests: meter.u64_counter("damask_requests").build(),
            attempts: meter
                .u64_counter("damask_attempts")
                .with_description("requests sent to endpoints")
                .build(),
            prompt_blocks: meter
                .f64_counter("damask_prompt_blocks")
                .with_description("blocks of prompts, by what was expected when they were placed")
                .build(),
            table_calls: meter
                .u64_counter("damask_table_calls")
                .with_description("calls to the platform's table")
                .build(),
            table_restores: meter
                .u64_counter("damask_table_restores")
                .with_description("restores of the platform's table from an older copy")
                .build(),
            closures: meter
                .u64_counter("damask_closed_connections")
                .with_description("connections closed because of the bounds for callers")
                .build(),
            states: meter
                .u64_gauge("damask_state")
                .with_description("what this instance believes")
                .build(),
            workspace_labels: Mutex::new(BTreeSet::new()),
            exporter,
            _provider: provider,
        })
    }

    /// Records one finished request.
    pub fn record_request(&self, sample: Sample<'_>) {
        let workspace = self.workspace_label(sample.workspace);
        let labels = [
            KeyValue::new("workspace", workspace.clone()),
            KeyValue::new("class", sample.class.to_owned()),
        ];
        if let Some(first_token) = sample.first_token {
            self.first_token.record(first_token.as_secs_f64(), &labels);
        }
        self.queue.record(sample.queue.as_secs_f64(), &labels);
        self.total.record(sample.total.as_secs_f64(), &labels);
        let outcome_labels = [
            KeyValue::new("workspace", workspace),
            KeyValue::new("class", sample.class.to_owned()),
            KeyValue::new("outcome", sample.outcome.to_owned()),
        ];
        self.requests.add(1, &outcome_labels);
    }

    /// Counts a request that was sent to an endpoint.
    pub fn count_attempt(&self, service: &str, is_repeat: bool, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("repeat", is_repeat),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts the expected cache hits and misses of a prompt, in blocks, when its endpoint is
    /// chosen, and records the work queued before the request.
    pub fn record_placement(&self, service: &str, hits: f32, missed: f32, planned_wait: Duration) {
        let label = KeyValue::new("service", service.to_owned());
        let kinds = [("cached", hits), ("computed", missed)];
        for (kind, blocks) in kinds {
            let labels = [label.clone(), KeyValue::new("kind", kind)];
            self.prompt_blocks.add(f64::from(blocks), &labels);
        }
        self.planned_wait
            .record(planned_wait.as_secs_f64(), &[label]);
    }

    /// Counts an engine that was chosen by its planner, by the second planner or by this instance alone.
    pub fn count_placed(&self, service: &str, by: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("by", by),
        ];
        self.placements.add(1, &labels);
    }

    /// Records the factor of an engine that this instance chose as planner.
    pub fn record_engine_factor(&self, service: &str, factor: f32) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.engine_factor.record(f64::from(factor), &labels);
    }

    /// Records the age of the load by which this instance chose an engine alone.
    pub fn record_view_age(&self, service: &str, age: Duration) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.view_age.record(age.as_secs_f64(), &labels);
    }

    /// Records the longest pause between events of one stream; the label `class` holds the name of
    /// the route.
    pub fn record_event_gap(&self, route: &str, longest_gap: Duration) {
        let labels = [KeyValue::new("class", route.to_owned())];
        self.event_gap.record(longest_gap.as_secs_f64(), &labels);
    }

    /// Counts a call to the platform's table.
    pub fn count_table_call(&self, call: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.table_calls.add(1, &labels);
    }

    /// Counts a restore of the platform's table from an older copy.
    pub fn count_table_restore(&self) {
        self.table_restores.add(1, &[]);
    }

    /// Counts a connection that was closed because of the bounds of its plane.
    pub fn count_closure(&self, plane: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("plane", plane),
            KeyValue::new("reason", reason),
        ];
        self.closures.add(1, &labels);
    }

    /// Sets the gauge of this instance's state: the value of `name` for the object `of`.
    pub fn set_state(&self, name: &'static str, of: &str, value: u64) {
        let labels = [
            KeyValue::new("name", name),
            KeyValue::new("of", of.to_owned()),
        ];
        self.states.record(value, &labels);
    }

    /// Returns the label value of a workspace; limits the number of distinct values.
    fn workspace_label(&self, workspace: &str) -> String {
        let Ok(mut labels) = self.workspace_labels.lock() else {
            return "other".to_owned();
        };
        if labels.contains(workspace) {
            return workspace.to_owned();
        }
        if labels.len() >= MAX_WORKSPACE_LABELS {
            return "other".to_owned();
        }
        labels.insert(workspace.to_owned());
        workspace.to_owned()
    }

    /// Writes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// If a metric cannot be encoded.
    pub fn render(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.exporter.gather(), &mut text)
            .map_err(|error| Error(error.to_string()))?;
        String::from_utf8(text).map_err(|error| Error(error.to_string()))
    }
}
