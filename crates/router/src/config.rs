//! Settings of one instance, from a JSON file.

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use anyhow::{
    Context,
    anyhow,
    bail, //
};
use policy::choice::Strategy;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_with::{
    DurationMilliSeconds,
    DurationSeconds,
    serde_as, //
};

/// Default of `weights_all_ms`, as a multiple of `weights_ms`.
const DEFAULT_WEIGHTS_ALL_RATIO: f64 = 1.5;
/// Default of `expose_share`.
const DEFAULT_EXPOSE_SHARE: f64 = 0.1;
/// Default of `expose_slack`.
const DEFAULT_EXPOSE_SLACK: f64 = 50.0;
/// Default of `rollback_ms`.
const DEFAULT_ROLLBACK: Duration = Duration::from_secs(5);

/// Longest time that may be set.
const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 60 * 60);
/// Largest ratio, number of units or bandwidth that may be set.
const MAX_NUMBER: f64 = 1e12;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name, unique among instances.
    pub name: String,
    /// Failure domain in which this instance runs.
    pub domain: String,
    /// Listening addresses.
    pub listen: Listen,
    /// Peer-plane addresses to ask for the last known state at start.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Address of the platform's table.
    pub table: SocketAddr,
    /// Bandwidth of this instance's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory of the machine, in megabytes; asked of the system if missing.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, 200 of them for files; asked of the system if missing.
    #[serde(default)]
    pub max_fds: Option<f64>,
    /// How endpoints are chosen.
    #[serde(default)]
    pub choice: Choice,
    /// Bounds set by the deployment.
    pub bounds: Bounds,
}

/// How endpoints are chosen; all but the default are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Shortest expected time to the first token; one instance places the model requests of all.
    #[default]
    Planned,
    /// Shortest expected time to the first token; each instance places its own requests.
    Alone,
    /// Fewest running requests of this instance.
    LeastLoad,
    /// Rendezvous hash of the prefix's first blocks, with bounded load.
    PrefixHash,
    /// Endpoints in turn.
    RoundRobin,
}

impl Choice {
    /// Strategy that picks among the candidate endpoints.
    pub fn strategy(self) -> Strategy {
        match self {
            Choice::Planned | Choice::Alone => Strategy::Cost,
            Choice::LeastLoad => Strategy::LeastLoad,
            Choice::PrefixHash => Strategy::PrefixHash,
            Choice::RoundRobin => Strategy::RoundRobin,
        }
    }
}

/// Listening addresses of one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Directory: callers ask here which instances to connect to.
    pub directory: SocketAddr,
    /// Readiness probes and metrics.
    pub probes: SocketAddr,
    /// HTTP requests of other instances.
    pub peers: SocketAddr,
    /// Datagrams of other instances.
    pub exchange: SocketAddr,
}

/// Bounds set by the deployment.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time after SIGTERM at which the process is killed, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "stop_s")]
    pub stop: Duration,
    /// Term of the lease for orders without a renewal, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Whether engines reject orders with an old fencing number.
    pub engines_check_fences: bool,
    /// Time after new weights were named from which no request may begin on older ones, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "weights_ms")]
    pub weights: Duration,
    /// Time after new weights were named until which the engines must have loaded them, in
    /// milliseconds; see [`Bounds::weights_all`].
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "weights_all_ms")]
    pub weights_all: Option<Duration>,
    /// Retry budget: retries per first attempt, over all instances.
    pub retry_ratio: f64,
    /// Retry budget: retries allowed beyond the ratio in one window, over all instances.
    pub retry_slack: f64,
    /// Window over which the limits of workspaces are enforced, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "quota_window_s")]
    pub quota_window: Duration,
    /// Fraction of a limit by which its use in one window may exceed it.
    pub quota_over: f64,
    /// Units by which the use in one window may exceed the limit in addition to `quota_over`.
    pub quota_slack: f64,
    /// Longest time for which callers cache the directory's response, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "address_ttl_s")]
    pub address_ttl: Duration,
    /// Share of a service's requests since an order that may go to the ordered version while it is
    /// not known to be good, over all instances.
    #[serde(default = "default_expose_share")]
    pub expose_share: f64,
    /// Requests to that version that are allowed beyond the share, over all instances.
    #[serde(default = "default_expose_slack")]
    pub expose_slack: f64,
    /// Time after the bad responses of a version have shown that it is bad from which it must get no
    /// request, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_rollback", rename = "rollback_ms")]
    pub rollback: Duration,
}

fn default_expose_share() -> f64 {
    DEFAULT_EXPOSE_SHARE
}

fn default_expose_slack() -> f64 {
    DEFAULT_EXPOSE_SLACK
}

fn default_rollback() -> Duration {
    DEFAULT_ROLLBACK
}

impl Bounds {
    /// Time after new weights were named until which the engines must have loaded them.
    pub fn weights_all(&self) -> Duration {
        let default = self.weights.mul_f64(DEFAULT_WEIGHTS_ALL_RATIO);
        self.weights_all.unwrap_or(default)
    }
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or a setting is invalid; names the file, the field and the
    /// remedy.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let config: Self = read_json(path)?;
        let context = || format!("{}: refused", path.display());
        config.check().with_context(context)?;
        Ok(config)
    }

    fn check(&self) -> anyhow::Result<()> {
        if self.name.is_empty() {
            bail!("name is empty; give each instance a name of its own");
        }
        let bounds = &self.bounds;
        for (name, time) in [
            ("stop_s", bounds.stop),
            ("lease_ms", bounds.lease),
            ("weights_ms", bounds.weights),
            ("weights_all_ms", bounds.weights_all()),
            ("quota_window_s", bounds.quota_window),
            ("address_ttl_s", bounds.address_ttl),
            ("rollback_ms", bounds.rollback),
        ] {
            if time > MAX_TIME {
                bail!("bounds.{name} is longer than {MAX_TIME:?}; use a shorter time");
            }
        }
        for (name, time) in [
            ("lease_ms", bounds.lease),
            ("quota_window_s", bounds.quota_window),
        ] {
            if time.is_zero() {
                bail!("bounds.{name} is 0; use 1 or more");
            }
        }
        for (name, number) in [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
            ("bounds.quota_over", bounds.quota_over),
            ("bounds.quota_slack", bounds.quota_slack),
            ("bounds.expose_slack", bounds.expose_slack),
            ("link_mbps", self.link_mbps),
            ("memory_mb", self.memory_mb.unwrap_or_default()),
            ("max_fds", self.max_fds.unwrap_or_default()),
        ] {
            if !(0.0..=MAX_NUMBER).contains(&number) {
                bail!("{name} must be from 0 to {MAX_NUMBER}");
            }
        }
        if !(0.0..=1.0).contains(&bounds.expose_share) {
            bail!("bounds.expose_share must be from 0 to 1");
        }
        Ok(())
    }
}

/// Reads a JSON file of settings.
///
/// # Errors
///
/// If the file cannot be read or parsed; names the file, the field and the error.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{}: cannot be read", path.display()))?;
    parse_json(&text).with_context(|| format!("{}: refused", path.display()))
}

/// Parses JSON settings.
///
/// # Errors
///
/// If the text is not valid; names the field and the error.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> anyhow::Result<T> {
    let mut reader = serde_json::Deserializer::from_str(text);
    // serde_path_to_error adds the name of the field; serde_json reports only line and column.
    let value: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| anyhow!("field {}: {}", error.path(), error.inner()))?;
    reader
        .end()
        .map_err(|error| anyhow!("text after the settings: {error}; remove it"))?;
    Ok(value)
}
