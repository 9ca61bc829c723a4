//! Polls model engines for load reports, a few per second in all.
//!
//! Reports are in the Prometheus text format with the metric names of vLLM, and lag behind the
//! load. The load of an endpoint without reports is estimated from its answers.

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

/// Timeout of a request for one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for engines to poll while there are none or polling is off.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The values of a report that the daemon uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that wait or are in prefill.
    pub waiting: u32,
    /// Requests that generate tokens.
    pub running: u32,
    /// Incarnation of the engine; empty if not reported.
    pub incarnation: String,
    /// Weights version of the engine; empty if not reported.
    pub version: String,
}

impl Report {
    /// Parses the Prometheus text format; unknown metrics are ignored.
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

/// The value of the label `name`; empty if it is missing.
fn label(labels: &str, name: &str) -> String {
    let mut pairs = labels.trim_end_matches('}').split(',');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix("=\""));
    value
        .map_or("", |value| value.trim_end_matches('"'))
        .to_owned()
}

/// Polls the engines in turn until the task is aborted.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(REPORT_TIMEOUT);
    let mut next = rand::random::<u32>() as usize;
    loop {
        let engines = engines(&node);
        let rate = node.config.limits.reports_per_second;
        if engines.is_empty() || rate == 0 {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        next = (next + 1) % engines.len();
        let engine = engines[next].clone();
        tokio::spawn(read_report(node.clone(), client.clone(), engine));
        tokio::time::sleep(Duration::from_secs(1) / rate).await;
    }
}

fn engines(node: &Node) -> Vec<Arc<EndpointEntry>> {
    let settings = node.settings.load();
    let endpoints = settings.snapshot.endpoints().iter();
    let is_engine = |entry: &&Arc<EndpointEntry>| entry.endpoint.kind == EndpointKind::Model;
    endpoints.filter(is_engine).cloned().collect()
}

/// Requests one report and records its contents; a fault of the endpoint is ignored.
async fn read_report(node: Arc<Node>, client: Client, entry: Arc<EndpointEntry>) {
    let address = entry.endpoint.address;
    let request = Request::get(format!("http://{address}/metrics")).body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return;
    };
    // The load is then estimated from answers.
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
