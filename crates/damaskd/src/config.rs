//! The settings file of one instance, in JSON.

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use anyhow::{
    Context,
    bail, //
};
use router::config::parse_json;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};
use settings::Digest;

/// Shortest term of token rights. Each renewal is a write to the table, so a shorter term would
/// load the table.
const MIN_RIGHTS_TERM: Duration = Duration::from_secs(2);

/// Settings of one instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name, unique among instances.
    pub name: String,
    /// Failure domain in which this instance runs.
    pub domain: String,
    /// Listening address for callers.
    pub caller: SocketAddr,
    /// Listening address for operators, probes and metrics.
    pub operator: SocketAddr,
    /// Listening address for other instances.
    pub peer: SocketAddr,
    /// Address at which other instances reach the peer plane, if it is not the listening address.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
    /// Peer-plane addresses to try first at start, before the instance list answers.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Shared secret with which instances authenticate each other; at least 16 bytes.
    pub peer_secret: String,
    /// BLAKE3 of the root operator's key, which may read and write the whole settings tree; 64
    /// hexadecimal digits.
    pub root_operator: Digest,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Limits on time and size.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Instance list.
    pub instances: SocketAddr,
}

/// Limits on time and size. Every field has a default.
#[serde_as]
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's head, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms")]
    pub head_timeout: Duration,
    /// Timeout for receiving a request's body, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// Timeout for connecting to an endpoint, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Longest gap in the stream of an endpoint, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stall_timeout_ms")]
    pub stall_timeout: Duration,
    /// Timeout of a request to the platform, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_timeout_ms")]
    pub platform_timeout: Duration,
    /// Interval between exchanges with peers, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "exchange_interval_ms")]
    pub exchange_interval: Duration,
    /// Interval between reads of the settings revision in the table, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "table_interval_ms")]
    pub table_interval: Duration,
    /// Most claims in one transaction, 1 to 60.
    pub claim_batch: usize,
    /// Time after SIGTERM during which new connections are still accepted, in milliseconds. Must be
    /// longer than callers cache the answer that named this instance.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_grace_ms")]
    pub stop_grace: Duration,
    /// Term of token rights: how long they last without the table, in milliseconds. Other instances
    /// cannot use the rights of a crashed instance until the term ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "rights_term_ms")]
    pub rights_term: Duration,
    /// Largest age of the view of the settings at which requests with a key are served, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stale_after_ms")]
    pub stale_after: Duration,
    /// Most beliefs about cached prefix levels, 16 bytes each.
    pub max_beliefs: usize,
    /// Load reports requested per second, from all endpoints together; 0 requests none.
    pub reports_per_second: u32,
    /// Most worker threads; fewer if the instance has fewer cores. With more, idle workers that
    /// wake each other cost more than the additional threads gain.
    pub workers: usize,
    /// Term of the lease for control work, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_term_ms")]
    pub lease_term: Duration,
    /// Memory of the machine, in megabytes; asked of the system if missing.
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, 200 of them for files; asked of the system if missing.
    pub max_fds: Option<f64>,
    /// Timeout for running requests to finish after SIGTERM and `stop_grace`, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_timeout_ms")]
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(10),
            platform_timeout: Duration::from_secs(2),
            exchange_interval: Duration::from_millis(500),
            table_interval: Duration::from_secs(1),
            claim_batch: 60,
            stop_grace: Duration::from_secs(8),
            rights_term: Duration::from_secs(600),
            stale_after: Duration::from_secs(4),
            max_beliefs: 1 << 17,
            reports_per_second: 4,
            workers: 4,
            lease_term: Duration::from_secs(8),
            memory_mb: None,
            max_fds: None,
            drain_timeout: Duration::from_secs(600),
        }
    }
}

/// Largest memory or number of descriptors that may be set.
const MAX_NUMBER: f64 = 1e12;

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or a setting is invalid; names the file, the field and the
    /// remedy.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("{}: cannot be read", path.display()))?;
        Self::parse(&text).with_context(|| format!("{}: refused", path.display()))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// If the text does not parse or a setting is invalid; names the field and the remedy.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let config: Self = parse_json(text)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> anyhow::Result<()> {
        if self.name.is_empty() {
            bail!("name is empty; give each instance a name of its own");
        }
        if self.domain.is_empty() {
            bail!("domain is empty; name the failure domain of this instance");
        }
        if self.peer_secret.len() < 16 {
            bail!("peer_secret has under 16 bytes; use a longer one");
        }
        if self.limits.workers == 0 {
            bail!("limits.workers is 0; use 1 or more");
        }
        if self.limits.max_body_bytes == 0 {
            bail!("limits.max_body_bytes is 0; use 1 or more");
        }
        if !(1..=60).contains(&self.limits.claim_batch) {
            bail!("limits.claim_batch must be from 1 to 60, the table's bound on a transaction");
        }
        for (name, number) in [
            ("memory_mb", self.limits.memory_mb),
            ("max_fds", self.limits.max_fds),
        ] {
            if number.is_some_and(|number| !(1.0..=MAX_NUMBER).contains(&number)) {
                bail!("limits.{name} must be from 1 to {MAX_NUMBER}");
            }
        }
        if self.limits.max_beliefs == 0 {
            bail!("limits.max_beliefs is 0; use 1 or more");
        }
        if self.limits.exchange_interval.is_zero() || self.limits.table_interval.is_zero() {
            bail!("limits: intervals must be at least 1 ms");
        }
        if self.limits.rights_term < MIN_RIGHTS_TERM {
            bail!("limits.rights_term_ms is under {MIN_RIGHTS_TERM:?}; use a longer term");
        }
        Ok(())
    }
}
