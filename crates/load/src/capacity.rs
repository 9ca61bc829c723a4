//! Computes the tables of docs/CAPACITY.md from measured slopes.
//!
//! docs/capacity.json holds the slopes, each with the command that measured it.
//! This module holds the formulas, one function for each role.

use std::{
    fmt::Write,
    fs,
    path::Path, //
};

use anyhow::Context;
use serde::Deserialize;

/// Full size of the users' system.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    instances: f64,
    endpoints: f64,
    requests_per_second: f64,
    tokens_per_second: f64,
    cached_blocks: f64,
    cache_events_per_second: f64,
    workspaces: f64,
    settings_changes_per_day: f64,
    cell_instances: f64,
    /// Fraction of requests that may not be repeated.
    charge_share: f64,
    /// Mean time that a stream is open, in seconds.
    stream_seconds: f64,
    /// Upper bound of the blocks of a request that no engine has cached.
    new_blocks_per_request: f64,
}

/// Limits: what one instance may spend on control, and the table calls of all instances
/// together.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    core_percent: f64,
    memory_mb: f64,
    bytes_per_second: f64,
    table_reads_per_second: f64,
    table_writes_per_second: f64,
}

/// A measured figure and its source, the run that measured it.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    value: f64,
    unit: String,
    source: String,
}

/// Measured slopes.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Processor time of a request without its tokens, in microseconds.
    request_cpu: Slope,
    /// Processor time of a streamed token, in microseconds.
    token_cpu: Slope,
    /// Memory of an open stream, in bytes.
    stream_memory: Slope,
    /// Memory of a workspace with its keys and rows, in bytes.
    settings_memory: Slope,
    /// Bytes of a workspace in a settings tree that is sent whole.
    settings_bytes: Slope,
    /// Processor time of a change for each workspace in the tree, in microseconds.
    settings_check: Slope,
    /// Bytes that a change adds to the traffic of an instance in a cell of 8.
    change_bytes: Slope,
    /// Bytes per second of an idle instance in a cell of 8 or 16.
    rest_bytes: Slope,
    /// Processor time per second of an idle instance, in microseconds.
    rest_cpu: Slope,
    /// Bytes per second for each member if digests name all members.
    member_bytes: Slope,
    /// Table reads per second of an instance.
    table_reads: Slope,
    /// Table writes per second of the holder of a cell's lease.
    lease_writes: Slope,
    /// Table writes per second of an instance for the token rights of five busy workspaces.
    rights_writes: Slope,
    /// Bytes per second of load reports that an instance reads.
    report_bytes: Slope,
    /// Processor time of a choice of endpoint and of the beliefs learnt from it, in microseconds.
    choice_cpu: Slope,
    /// Memory of a block in the beliefs, in bytes.
    belief_memory: Slope,
    /// Time that an unused block stays cached, in seconds.
    eviction_seconds: Slope,
    /// Table writes per charge of an instance at full load.
    claim_writes_batched: Slope,
    /// Table writes per charge of an instance at 200 charges per second.
    claim_writes_apart: Slope,
}

/// Contents of docs/capacity.json.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    size: Size,
    allowance: Allowance,
    slopes: Slopes,
}

/// Cost of one role for an instance at full size.
#[derive(Clone, Debug)]
struct Role {
    name: &'static str,
    state: String,
    bytes_per_second: f64,
    core_percent: f64,
    memory_mb: f64,
    mechanism: &'static str,
    /// Whether the role counts against the allowance for control.
    is_control: bool,
}

const MICROSECONDS_PER_CORE_PERCENT: f64 = 10_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1e6;

fn core_percent(microseconds_per_second: f64) -> f64 {
    microseconds_per_second / MICROSECONDS_PER_CORE_PERCENT
}

impl Input {
    /// Reads the input file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not valid JSON, or a field is missing or unknown.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("{}: cannot be read", path.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{}: invalid", path.display()))
    }

    fn roles(&self) -> Vec<Role> {
        vec![
            self.requests(),
            self.choice(),
            self.settings(),
            self.membership(),
        ]
    }

    fn requests(&self) -> Role {
        let requests_per_second = self.size.requests_per_second / self.size.instances;
        let tokens = self.size.tokens_per_second / self.size.instances;
        let streams = requests_per_second * self.size.stream_seconds;
        let cpu = requests_per_second * self.slopes.request_cpu.value
            + tokens * self.slopes.token_cpu.value;
        Role {
            name: "request path",
            state: format!("{streams:.0} open streams"),
            bytes_per_second: 0.0,
            core_percent: core_percent(cpu),
            memory_mb: streams * self.slopes.stream_memory.value / BYTES_PER_MB,
            mechanism: "worker pool; one task a stream; work, not control",
            is_control: false,
        }
    }

    /// An instance believes that a block it sent to an engine is cached until the engine evicts it.
    fn choice(&self) -> Role {
        let requests_per_second = self.size.requests_per_second / self.size.instances;
        let cells = self.size.instances / self.size.cell_instances;
        let cached = self.size.cached_blocks / cells;
        let believed = requests_per_second
            * self.size.new_blocks_per_request
            * self.slopes.eviction_seconds.value;
        Role {
            name: "choice of endpoint",
            state: format!(
                "{:.0} thousand believed of {:.1} million blocks cached in the cell",
                believed / 1e3,
                cached / 1e6
            ),
            bytes_per_second: self.slopes.report_bytes.value,
            core_percent: core_percent(requests_per_second * self.slopes.choice_cpu.value),
            memory_mb: believed * self.slopes.belief_memory.value / BYTES_PER_MB,
            mechanism: "beliefs learnt from own requests, bounded; no intake of cache events",
            is_control: true,
        }
    }

    fn settings(&self) -> Role {
        let changes = self.changes_per_second();
        let check_cpu = self.size.workspaces * self.slopes.settings_check.value;
        let memory = self.size.workspaces * self.slopes.settings_memory.value;
        Role {
            name: "settings and keys",
            state: format!("{:.0} workspaces", self.size.workspaces),
            bytes_per_second: changes * self.slopes.change_bytes.value,
            core_percent: core_percent(changes * check_cpu),
            memory_mb: memory / BYTES_PER_MB,
            mechanism: "pushed changes since a revision; only touched rows are checked",
            is_control: true,
        }
    }

    fn membership(&self) -> Role {
        Role {
            name: "membership, freshness, leases",
            state: format!("{:.0} members of the cell", self.size.cell_instances),
            bytes_per_second: self.slopes.rest_bytes.value,
            core_percent: core_percent(self.slopes.rest_cpu.value),
            memory_mb: 1.0,
            mechanism: "two random peers a round; digests of a few members",
            is_control: true,
        }
    }

    fn changes_per_second(&self) -> f64 {
        self.size.settings_changes_per_day / SECONDS_PER_DAY
    }

    /// Formats all tables of the page as Markdown.
    pub fn render(&self) -> String {
        let roles = self.roles();
        let mut text = String::from(
            "| Role, per instance | State | Control bytes/s | Core % | Memory MB | Mechanism |\n\
             |---|---|---|---|---|---|\n",
        );
        for role in &roles {
            text.push_str(&format_row(role));
        }
        let control_roles = roles.iter().filter(|role| role.is_control);
        let (mut bytes, mut core, mut memory) = (0.0, 0.0, 0.0);
        for role in control_roles {
            bytes += role.bytes_per_second;
            core += role.core_percent;
            memory += role.memory_mb;
        }
        // Writing to a string cannot fail.
        writeln!(
            text,
            "| **control in total** | | {bytes:.0} | {core:.2} | {memory:.0} | |"
        )
        .ok();
        writeln!(
            text,
            "| allowance | | {:.0} | {:.2} | {:.0} | |\n",
            self.allowance.bytes_per_second, self.allowance.core_percent, self.allowance.memory_mb
        )
        .ok();
        text.push_str(&self.table());
        text.push_str(&self.alternatives());
        text.push_str(&self.sources());
        text
    }

    /// Formats the table calls of all instances together.
    fn table(&self) -> String {
        let instances = self.size.instances;
        let reads = instances * self.slopes.table_reads.value;
        let leases = instances / self.size.cell_instances * self.slopes.lease_writes.value;
        let rights = instances * self.slopes.rights_writes.value;
        let charges = self.size.requests_per_second * self.size.charge_share;
        let claims_apart = charges * self.slopes.claim_writes_apart.value;
        let claims_batched = charges * self.slopes.claim_writes_batched.value;
        format!(
            "| Table, all instances | Reads/s | Writes/s |\n|---|---|---|\n\
             | settings heads, instance lists | {reads:.0} | |\n\
             | leases, one a cell | | {leases:.0} |\n\
             | settings changes, two writes each | | {:.2} |\n\
             | token rights, five busy workspaces an instance | | {rights:.0} |\n\
             | claims, {charges:.0} charges/s, each alone in its transaction | | {claims_apart:.0} |\n\
             | same, if batches were as full as at full load | | {claims_batched:.0} |\n\
             | allowance | {:.0} | {:.0} |\n\n",
            2.0 * self.changes_per_second(),
            self.allowance.table_reads_per_second,
            self.allowance.table_writes_per_second
        )
    }

    /// Formats the designs that were considered and exceed an allowance.
    fn alternatives(&self) -> String {
        let events = self.size.cache_events_per_second / self.size.instances;
        let bytes_per_event = self.allowance.bytes_per_second / events;
        let full_digests = self.size.instances * self.slopes.member_bytes.value;
        let tree_bytes = self.size.workspaces * self.slopes.settings_bytes.value;
        let whole_trees = self.changes_per_second() * tree_bytes;
        let cell_endpoints = self.size.endpoints * self.size.cell_instances / self.size.instances;
        format!(
            "| Weighed, does not fit | Figure |\n|---|---|\n\
             | intake of all cache events | {events:.0} events/s an instance; \
             {bytes_per_event:.1} bytes an event would be allowed |\n\
             | digests that name all instances | {full_digests:.0} bytes/s an instance |\n\
             | whole settings tree for each change | {whole_trees:.0} bytes/s an instance |\n\
             | load reports of all {:.0} endpoints to each instance, in place of the \
             {cell_endpoints:.0} of its cell | {:.0} times as many |\n\n",
            self.size.endpoints,
            self.size.endpoints / cell_endpoints
        )
    }

    /// Formats the slopes and their sources.
    fn sources(&self) -> String {
        let slopes = &self.slopes;
        let named_slopes = [
            ("request_cpu", &slopes.request_cpu),
            ("token_cpu", &slopes.token_cpu),
            ("stream_memory", &slopes.stream_memory),
            ("settings_memory", &slopes.settings_memory),
            ("settings_bytes", &slopes.settings_bytes),
            ("settings_check", &slopes.settings_check),
            ("change_bytes", &slopes.change_bytes),
            ("rest_bytes", &slopes.rest_bytes),
            ("rest_cpu", &slopes.rest_cpu),
            ("member_bytes", &slopes.member_bytes),
            ("table_reads", &slopes.table_reads),
            ("lease_writes", &slopes.lease_writes),
            ("rights_writes", &slopes.rights_writes),
            ("report_bytes", &slopes.report_bytes),
            ("choice_cpu", &slopes.choice_cpu),
            ("belief_memory", &slopes.belief_memory),
            ("eviction_seconds", &slopes.eviction_seconds),
            ("claim_writes_batched", &slopes.claim_writes_batched),
            ("claim_writes_apart", &slopes.claim_writes_apart),
        ];
        let mut text = String::from("| Slope | Value | Unit | Source |\n|---|---|---|---|\n");
        for (name, slope) in named_slopes {
            let Slope {
                value,
                unit,
                source,
            } = slope;
            // Writing to a string cannot fail.
            writeln!(text, "| {name} | {value} | {unit} | {source} |").ok();
        }
        text
    }
}

fn format_row(role: &Role) -> String {
    format!(
        "| {} | {} | {:.0} | {:.2} | {:.1} | {} |\n",
        role.name,
        role.state,
        role.bytes_per_second,
        role.core_percent,
        role.memory_mb,
        role.mechanism
    )
}
