//! Reports of an engine: its load with a lag, and cache events with a delay and gaps.

use std::time::{
    Duration,
    Instant, //
};

use parking_lot::Mutex;
use serde::Serialize;

use super::cache::Change;

/// Number of cache events from which no more are recorded.
const MAX_EVENTS: usize = 1 << 20;

/// A change of the cache and its time.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Time of the change.
    pub at: Instant,
    /// The change.
    pub change: Change,
}

/// A cache event as `GET /kv_events` lists it.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
struct Entry {
    sequence: usize,
    #[serde(rename = "type")]
    kind: &'static str,
    block: u64,
}

/// Cache events of an engine, oldest first.
#[derive(Debug, Default)]
pub struct EventLog {
    events: Mutex<Vec<Event>>,
}

impl EventLog {
    /// Appends changes with the current time.
    pub fn append(&self, changes: &[Change]) {
        let at = Instant::now();
        let mut events = self.events.lock();
        if events.len() < MAX_EVENTS {
            events.extend(changes.iter().map(|&change| Event { at, change }));
        }
    }

    /// All recorded events.
    pub fn all(&self) -> Vec<Event> {
        self.events.lock().clone()
    }

    /// Events from sequence number `after` on that are at least `delay` old, as JSON. Every `gap`th
    /// event is omitted; 0 omits none. `next` in the answer is the `after` of the next call.
    pub fn list(&self, after: usize, delay: Duration, gap: usize) -> serde_json::Value {
        let events = self.events.lock();
        let mut next = after;
        let mut entries = Vec::new();
        for (sequence, event) in events.iter().enumerate().skip(after) {
            if event.at.elapsed() < delay {
                break;
            }
            next = sequence + 1;
            if gap == 0 || !next.is_multiple_of(gap) {
                entries.push(entry(sequence, event.change));
            }
        }
        serde_json::json!({"next": next, "events": entries})
    }
}

fn entry(sequence: usize, change: Change) -> Entry {
    let (kind, block) = match change {
        Change::Stored(block) => ("BlockStored", block),
        Change::Removed(block) => ("BlockRemoved", block),
        Change::Cleared => ("AllBlocksCleared", 0),
    };
    Entry {
        sequence,
        kind,
        block,
    }
}

/// Load as `GET /metrics` reports it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Number of requests that wait for the prefill unit or compute their prompts.
    pub waiting: u32,
    /// Number of requests that decode.
    pub running: u32,
    /// Fraction of the cache in use, from 0 to 1.
    pub usage: f64,
}

/// Reports a load only after a lag.
#[derive(Debug, Default)]
pub struct DelayedLoad {
    /// The load to report, and the next one with the time at which it was sampled.
    state: Mutex<(Load, Option<(Instant, Load)>)>,
}

impl DelayedLoad {
    /// Records the current load and returns one that is at least `lag` old. Returns an empty load
    /// until the first sample is that old.
    pub fn update(&self, current: Load, lag: Duration) -> Load {
        let mut state = self.state.lock();
        if lag.is_zero() {
            return current;
        }
        match &state.1 {
            Some((sampled_at, next)) if sampled_at.elapsed() >= lag => {
                state.0 = next.clone();
                state.1 = Some((Instant::now(), current));
            }
            Some(_) => {}
            None => state.1 = Some((Instant::now(), current)),
        }
        state.0.clone()
    }
}

/// The load in the Prometheus text format, with the metric names of vLLM.
pub fn prometheus_text(load: &Load, incarnation: &str, version: &str) -> String {
    let Load {
        waiting,
        running,
        usage,
    } = load;
    format!(
        "# TYPE vllm:num_requests_waiting gauge\n\
         vllm:num_requests_waiting {waiting}\n\
         # TYPE vllm:num_requests_running gauge\n\
         vllm:num_requests_running {running}\n\
         # TYPE vllm:kv_cache_usage_perc gauge\n\
         vllm:kv_cache_usage_perc {usage}\n\
         # TYPE engine_info gauge\n\
         engine_info{{incarnation=\"{incarnation}\",version=\"{version}\"}} 1\n"
    )
}
