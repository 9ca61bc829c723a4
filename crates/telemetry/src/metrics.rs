//! Histograms of requests for each workspace and class.

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

/// Most workspaces with a label of their own; the rest share `other`.
pub const MAX_WORKSPACE_LABELS: usize = 200;

/// Upper bounds of histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.48, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0,
];

/// Metrics could not be set up or written.
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
    blocks: Counter<f64>,
    planned_wait: Histogram<f64>,
    event_gap: Histogram<f64>,
    table_calls: Counter<u64>,
    states: Gauge<u64>,
    labels: Mutex<BTreeSet<String>>,
    // Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

/// What one finished request adds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample<'a> {
    /// `<team>/<workspace>`, or empty for requests without a key.
    pub workspace: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Code of the outcome, `ok` or an error code.
    pub outcome: &'a str,
    /// Time from arrival to the first token or byte of the answer.
    pub first_token: Option<Duration>,
    /// Time spent in our queues.
    pub queue: Duration,
    /// Time from arrival to the end.
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
        let seconds = |name: &'static str, doc: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(doc)
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
            requests: meter.u64_counter("damask_requests").build(),
            attempts: meter
                .u64_counter("damask_attempts")
                .with_description("requests sent to endpoints")
                .build(),
            blocks: meter
                .f64_counter("damask_prompt_blocks")
                .with_description("blocks of prompts, by what was expected when they were placed")
                .build(),
            table_calls: meter
                .u64_counter("damask_table_calls")
                .with_description("calls to the platform's table")
                .build(),
            states: meter
                .u64_gauge("damask_state")
                .with_description("what this instance believes")
                .build(),
            labels: Mutex::new(BTreeSet::new()),
            exporter,
            _provider: provider,
        })
    }

    /// Adds one finished request.
    pub fn record(&self, sample: Sample<'_>) {
        let workspace = self.label(sample.workspace);
        let labels = [
            KeyValue::new("workspace", workspace.clone()),
            KeyValue::new("class", sample.class.to_owned()),
        ];
        if let Some(first_token) = sample.first_token {
            self.first_token.record(first_token.as_secs_f64(), &labels);
        }
        self.queue.record(sample.queue.as_secs_f64(), &labels);
        self.total.record(sample.total.as_secs_f64(), &labels);
        let counted = [
            KeyValue::new("workspace", workspace),
            KeyValue::new("class", sample.class.to_owned()),
            KeyValue::new("outcome", sample.outcome.to_owned()),
        ];
        self.requests.add(1, &counted);
    }

    /// Counts a request that was sent to an endpoint.
    pub fn attempted(&self, service: &str, is_repeat: bool, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("repeat", is_repeat),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts the blocks of a prompt that was placed, and the work before it.
    pub fn placed(&self, service: &str, hits: f32, missed: f32, wait: Duration) {
        let label = KeyValue::new("service", service.to_owned());
        let kinds = [("cached", hits), ("computed", missed)];
        for (kind, blocks) in kinds {
            let labels = [label.clone(), KeyValue::new("kind", kind)];
            self.blocks.add(f64::from(blocks), &labels);
        }
        self.planned_wait.record(wait.as_secs_f64(), &[label]);
    }

    /// Records the longest pause between events of one stream.
    pub fn paused(&self, route: &str, longest: Duration) {
        let labels = [KeyValue::new("class", route.to_owned())];
        self.event_gap.record(longest.as_secs_f64(), &labels);
    }

    /// Counts a call to the platform's table.
    pub fn called_table(&self, call: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.table_calls.add(1, &labels);
    }

    /// Sets what this instance believes: the value of `name` for the thing `of`.
    pub fn state(&self, name: &'static str, of: &str, value: u64) {
        let labels = [
            KeyValue::new("name", name),
            KeyValue::new("of", of.to_owned()),
        ];
        self.states.record(value, &labels);
    }

    /// Bounds the number of label values, whatever the number of workspaces.
    fn label(&self, workspace: &str) -> String {
        let Ok(mut labels) = self.labels.lock() else {
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
