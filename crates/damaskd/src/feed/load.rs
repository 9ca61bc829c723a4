//! Reads load reports of model engines, a few a second.
//!
//! Reports are in the Prometheus text format with the names that vLLM
//! publishes, and lag behind. An endpoint that gives none is judged by what
//! its answers tell.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use platform::http::Client;
use settings::{
    EndpointEntry,
    EndpointKind, //
};

use crate::node::Node;

/// Deadline of one report.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time between looks for endpoints while there are none.
const IDLE: Duration = Duration::from_millis(200);

/// A report as far as it is read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that wait or compute their prompts.
    pub waiting: u32,
    /// Requests that generate tokens.
    pub running: u32,
    /// Incarnation of the engine, or empty.
    pub incarnation: String,
    /// Its weights version, or empty.
    pub version: String,
}

impl Report {
    /// Reads the Prometheus text format; lines that are not known are passed over.
    pub fn parse(text: &str) -> Self {
        let mut report = Self::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let (name, labels) = name.split_once('{').unwrap_or((name, ""));
            let number = || value.parse::<f64>().unwrap_or(0.0) as u32;
            match name {
                "vllm:num_requests_waiting" => report.waiting += number(),
                "vllm:num_requests_running" => report.running += number(),
                "engine_info" => {
                    report.incarnation = label(labels, "incarnation");
                    report.version = label(labels, "version");
                }
                _ => {}
            }
        }
        report
    }
}

fn label(labels: &str, name: &str) -> String {
    let mut pairs = labels.trim_end_matches('}').split(',');
    let found = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix("=\""));
    found
        .map_or("", |value| value.trim_end_matches('"'))
        .to_owned()
}

/// Reads the reports of all engines in turn until the node stops.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(DEADLINE);
    let mut next = rand::random::<u32>() as usize;
    loop {
        let engines = engines(&node);
        let rate = node.config.limits.reports_per_second;
        if engines.is_empty() || rate == 0 {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        next = (next + 1) % engines.len();
        let engine = engines[next].clone();
        tokio::spawn(read(node.clone(), client.clone(), engine));
        tokio::time::sleep(Duration::from_secs(1) / rate).await;
    }
}

fn engines(node: &Node) -> Vec<Arc<EndpointEntry>> {
    let version = node.settings.load();
    let endpoints = version.snapshot.endpoints().iter();
    let is_engine = |entry: &&Arc<EndpointEntry>| entry.endpoint.kind == EndpointKind::Model;
    endpoints.filter(is_engine).cloned().collect()
}

async fn read(node: Arc<Node>, client: Client, entry: Arc<EndpointEntry>) {
    let address = entry.endpoint.address;
    let request = Request::get(format!("http://{address}/metrics")).body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return;
    };
    // An endpoint without a report is judged by its answers.
    let Ok(answer) = client.send(address, request).await else {
        return;
    };
    let Ok(text) = std::str::from_utf8(&answer.body) else {
        return;
    };
    if !answer.status.is_success() {
        return;
    }
    let report = Report::parse(text);
    let endpoint = node.health.endpoint(&entry.name);
    if !report.incarnation.is_empty() {
        endpoint.identify(&report.incarnation, &report.version);
    }
    endpoint.record_report(report.waiting, report.running, node.beliefs.now());
}
