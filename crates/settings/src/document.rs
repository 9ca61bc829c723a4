//! The JSON documents of rows, one type for each kind of path.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    hex::Hex,
    serde_as, //
};

/// Urgency of the work that a route carries, most urgent first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the first token.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// May be delayed and is refused first.
    MayWait,
}

impl Class {
    /// Returns the name used in settings, labels and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::MayWait => "may_wait",
        }
    }
}

/// BLAKE3 digest of a key; the key itself is never stored.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(transparent)]
pub struct Digest(
    #[serde_as(as = "Hex")]
    #[schemars(with = "String")]
    pub [u8; 32],
);

impl Digest {
    /// Returns the digest of the text of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

/// `/teams/<team>/workspaces/<name>`: a tenant with its share of the fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Tokens a second across all instances together.
    pub rate: u64,
    /// Tokens that may be used at once beyond the rate.
    pub burst: u64,
    /// Share among workspaces of one class when work queues.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// `/teams/<team>/keys/<name>`: a caller's key for one workspace of the team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the workspace, within the same team.
    pub workspace: String,
    /// BLAKE3 of the key, 64 hexadecimal digits.
    pub digest: Digest,
    /// A withdrawn key is refused; the row stays as a record.
    #[serde(default)]
    pub withdrawn: bool,
}

/// What a route leads to.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// Chat completions for the named model.
    Model {
        /// Name that callers put in the `model` field.
        model: String,
    },
    /// A plain HTTP service behind a path prefix.
    Plain {
        /// Path prefix on the caller plane, such as `/rentals`.
        prefix: String,
    },
}

/// `/teams/<team>/routes/<name>`: how requests reach endpoints.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// What the route leads to.
    pub kind: RouteKind,
    /// Names of endpoints below `/fleet/endpoints`.
    pub endpoints: Vec<String>,
    /// Whether a request may be sent again after it may have run.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Urgency of the work.
    #[serde(default)]
    pub class: Class,
    /// Longest time from arrival to the first token or answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms", default = "default_deadline")]
    #[schemars(with = "u64")]
    pub deadline: Duration,
}

fn default_deadline() -> Duration {
    Duration::from_secs(30)
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain HTTP service.
    Plain,
}

fn default_slots() -> u32 {
    64
}

/// Whether an endpoint refuses an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Refuses orders older than the newest it has seen.
    Checks,
    /// Obeys any order.
    #[default]
    Ignores,
}

/// `/fleet/endpoints/<name>`: an endpoint that routes may name.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Failure domain in which it runs.
    pub domain: String,
    /// What it does with old fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether it echoes `X-Request-Id`; others get one request a connection.
    #[serde(default)]
    pub echoes_id: bool,
    /// Requests that it runs at once without making each other wait.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it runs a request with a known `Idempotency-Key` only once.
    #[serde(default)]
    pub deduplicates: bool,
}

/// `/fleet/models/<name>`: the version of a model that engines should serve.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Weights version to be loaded.
    pub version: String,
}

/// `/operators/<name>`: an operator's key and the subtree it may write.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// BLAKE3 of the operator's key, 64 hexadecimal digits.
    pub digest: Digest,
    /// Path below which the operator may write, such as `/teams/till`.
    pub subtree: String,
}

/// The document of any row.
#[derive(Clone, Debug, PartialEq)]
#[derive(JsonSchema, Serialize)]
#[serde(untagged)]
#[expect(missing_docs, reason = "each variant is documented at its type")]
pub enum Document {
    Workspace(Workspace),
    Key(Key),
    Route(Route),
    Endpoint(Endpoint),
    Model(Model),
    Operator(Operator),
}
