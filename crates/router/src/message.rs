//! Datagrams between instances.
//!
//! The codec is postcard, since remote procedure calls need a connection and
//! datagrams have none. postcard encodes by position: the order of fields and
//! variants is part of the format. Any datagram may be lost, repeated or late.

mod rollout;
mod room;

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use settings::Class;

use crate::{
    mirror::{
        Delta,
        Position, //
    },
    protocol::Invalid, //
};
pub use rollout::{
    RolloutNotice,
    RolloutReport, //
};
pub use room::{
    BrittleService,
    RoomReport,
    RoomRequest, //
};

/// Largest datagram, in bytes; larger sets of changes are fetched over a connection.
pub const MAX_BYTES: usize = 8 << 10;
/// First bytes of each datagram; they change whenever the format changes.
const MAGIC: [u8; 4] = *b"dmk4";

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// From an instance to a hub: the instance is alive.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// From a hub to all other instances: summary of the hub's state.
    Digest(Digest),
    /// From a hub to all other instances: changed rows.
    Push(Push),
    /// From an instance to the owner of a workspace's limit: request for units.
    #[serde(rename = "Ask")]
    GrantRequest(GrantRequest),
    /// The owner's response to a [`GrantRequest`].
    Grant(Grant),
    /// From an instance to the planner of a service: request for an endpoint.
    #[serde(rename = "Place")]
    PlacementRequest(PlacementRequest),
    /// The planner's response to a [`PlacementRequest`].
    #[serde(rename = "Placed")]
    PlacementResponse(PlacementResponse),
    /// From an instance to the planner: progress or end of a request that the planner placed.
    Outcome(Outcome),
    /// From an instance to hubs: crashes of endpoints, and answers.
    Evidence(Evidence),
    /// From a hub to all other instances: segments that may crash engines.
    Suspects(Suspects),
    /// To the instance that grants the requests to an endpoint with a limit: request for one.
    LimitRequest(LimitRequest),
    /// The response to a [`LimitRequest`].
    LimitGrant(LimitGrant),
    /// From an instance to hubs: what began its streams.
    Origins(Origins),
    /// From an instance to hubs: what began a stream that a caller takes up?
    OriginRequest(OriginRequest),
    /// The hub's response to an [`OriginRequest`].
    OriginResponse(OriginResponse),
    /// Like [`Message::PlacementRequest`], for a stream that goes on at the build that began it.
    ResumptionRequest(ResumptionRequest),
    /// To the instance that grants the requests to a brittle endpoint: request for one. The response
    /// is a [`Message::LimitGrant`].
    RoomRequest(RoomRequest),
    /// To the instances that grant the requests to a brittle endpoint: what is in flight there.
    RoomReport(RoomReport),
    /// From an instance to hubs, and from a hub to all other instances: services whose endpoints are
    /// brittle.
    BrittleServices(Vec<BrittleService>),
    /// From an instance to the one that controls a rollout, or to hubs: what it has seen of it.
    RolloutReport(RolloutReport),
    /// From the instance that controls a rollout to all other instances: it goes on.
    RolloutNotice(RolloutNotice),
}

/// What began streams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Origins {
    /// The streams, grouped by what began them.
    pub groups: Vec<OriginGroup>,
}

/// Streams that the same build of a service began.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginGroup {
    /// Name of the service.
    pub service: String,
    /// The build.
    pub build: String,
    /// Hashes of the ids of the requests that brought the first events.
    pub streams: Vec<u64>,
}

/// Asks a hub what began a stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginRequest {
    /// Correlation id, repeated in the response.
    pub id: u32,
    /// The stream, as in [`OriginGroup::streams`], if the caller has named it.
    pub stream: Option<u64>,
    /// The service that began it, if no other may have.
    pub service: Option<String>,
}

/// The response to an [`OriginRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginResponse {
    /// Correlation id of the [`OriginRequest`].
    pub id: u32,
    /// What the hub knows.
    pub answer: OriginAnswer,
}

/// What a hub knows of the begin of a stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum OriginAnswer {
    /// The service and build that began it.
    Recorded(String, String),
    /// There is no record, but this is the only build that may have begun it.
    Sole(String),
    /// There is no record, and several builds may have begun it.
    Unknown,
}

/// Asks the planner of a service for the endpoint of a stream that goes on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResumptionRequest {
    /// The request.
    pub placement: PlacementRequest,
    /// The build that began the stream.
    pub build: String,
}

/// Asks for one request to an endpoint that has stated a limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitRequest {
    /// Correlation id, repeated in the response.
    pub id: u32,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Requests a second that the endpoint takes, as stated to the sender last.
    pub limit: f64,
    /// Age of that statement, in milliseconds.
    pub age_ms: u32,
    /// Whether the request is of the most urgent class.
    pub urgent: bool,
}

/// The response to a [`LimitRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitGrant {
    /// Correlation id of the [`LimitRequest`].
    pub id: u32,
    /// Delay before a retry, in milliseconds, if the request is not granted.
    pub wait_ms: Option<u32>,
}

/// Asks the planner of a service for the endpoint of one request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementRequest {
    /// Correlation id, repeated in the response.
    pub id: u32,
    /// Name of the service.
    pub service: String,
    /// Requested model.
    pub model: Option<String>,
    /// Urgency.
    pub class: Class,
    /// Objective for the time to the first event, in milliseconds; a later answer is not worth its
    /// full price.
    pub objective_ms: u32,
    /// Levels of the prompt, shallowest first: hash, and length in blocks.
    pub levels: Vec<(u64, f32)>,
    /// Length of the prompt after its last level, in blocks.
    pub tail: f32,
    /// Names of the endpoints that have failed the request, or get nothing new from the sender.
    pub tried: Vec<String>,
    /// Whether the planner must not delay the request, because an endpoint may have run it or the
    /// caller has received part of the answer.
    pub must_go: bool,
    /// Pace of the service's engines as this instance last heard it, as
    /// [`Pace::coefficients`](policy::pace::Pace::coefficients); for a planner that has just
    /// started.
    pub pace: Option<[f32; 3]>,
}

/// The planner's response to a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementResponse {
    /// Correlation id of the [`PlacementRequest`].
    pub id: u32,
    /// The chosen endpoint, or why there is none.
    pub to: Destination,
    /// Identifies the placed request in later messages.
    pub ticket: u64,
    /// Another engine, or a store, that may have a longer cached prefix of the prompt.
    pub source: Option<SocketAddr>,
    /// Store to which the prompt's prefix is also saved.
    pub save_to: Option<SocketAddr>,
    /// The planner's estimates for the chosen endpoint.
    pub reasons: Reasons,
    /// Pace of the service's engines, as the planner has learned it.
    pub pace: [f32; 3],
}

/// Result of a placement.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Destination {
    /// Name of the chosen endpoint.
    Endpoint(String),
    /// The backlog of all endpoints is too long; retry after this delay, in milliseconds.
    #[serde(rename = "Later")]
    RetryAfter(u32),
    /// The planner knows no suitable endpoint.
    None,
}

/// Estimates behind the choice of an endpoint, in blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reasons {
    /// Blocks of the prompt expected in the endpoint's cache.
    pub hits: f32,
    /// Blocks that the endpoint is expected to compute for the request.
    pub missed: f32,
    /// Blocks that the endpoint is expected to fetch for the request.
    pub fetched: f32,
    /// Blocks that the endpoint is expected to compute before it starts the request.
    pub wait: f32,
}

/// Reports the progress or end of a placed request to the planner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Outcome {
    /// Name of the endpoint's service.
    pub service: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Ticket of the request, from the [`PlacementResponse`].
    pub ticket: u64,
    /// What happened to the request at the endpoint.
    pub end: End,
    /// Hashes of levels that the planner expected in the endpoint's cache and that are not there.
    pub levels: Vec<u64>,
}

/// What happened to a request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum End {
    /// The endpoint began to answer.
    Began,
    /// The endpoint was unusable, or broke off its answer.
    Failed,
    /// The endpoint rejected the request: it had no free capacity, or other weights.
    #[serde(rename = "Refused")]
    Rejected,
    /// The caller disconnected, or the request ended for any other reason.
    #[serde(rename = "Left")]
    Abandoned,
}

/// Asks the owner of a workspace's limit for units.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// Correlation id, repeated in the response.
    pub id: u32,
    /// Name of the workspace.
    pub workspace: String,
    /// Units that the current request needs.
    pub units: f32,
    /// Units wanted in advance, for later requests.
    pub ahead: f32,
    /// Whether the request is of the most urgent class.
    pub urgent: bool,
}

/// The owner's response to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// Correlation id of the [`GrantRequest`].
    pub id: u32,
    /// Units granted in advance, beyond those that the current request needs.
    pub ahead: f32,
    /// Delay before a retry, in milliseconds, if the needed units are not granted.
    pub wait_ms: Option<u32>,
}

/// Crashes of endpoints and answers to requests, as one instance has seen them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// Crashes of the last few seconds.
    pub crashes: Vec<Crash>,
    /// Segments of requests that were answered, with the age of the last answer in milliseconds.
    pub answers: Vec<(u64, u32)>,
}

/// Crash of one endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Age of the crash, in milliseconds.
    pub age_ms: u32,
    /// Shared segments of the requests that it ended before they were answered.
    pub segments: Vec<u64>,
}

/// Segments that may crash engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Suspects {
    /// Segments of which the hub asks for the last answer.
    pub open: Vec<u64>,
    /// Segments whose quarantine is not in the table yet: id, number of crashes, and whether other
    /// segments were present in the same crashes.
    pub culprits: Vec<(u64, u32, bool)>,
}

/// Tells a hub that an instance is alive.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub name: String,
    /// Whether the instance is stopping.
    pub leaving: bool,
}

/// Last heartbeat of an instance, as passed on by a hub.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Liveness {
    /// Hash of the instance's name.
    pub name: u32,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// Age of the last heartbeat, in tenths of a second.
    pub ago_tenths: u8,
}

/// Summary of a hub's state.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Digest {
    /// Name of the hub.
    pub hub: String,
    /// Age of the hub's view of the table, in milliseconds.
    pub view_age_ms: u32,
    /// The time by the table's clock, in milliseconds.
    pub table_ms: Option<u64>,
    /// Remaining grace period, in milliseconds, in which endpoints whose rows lapsed during an
    /// outage of the table may register again.
    pub lenient_ms: u32,
    /// Replication positions of the hub's mirrors.
    #[serde(rename = "extents")]
    pub positions: Positions,
    /// Instances whose heartbeats the hub has received; empty in most digests, since only one in
    /// every few carries them.
    pub alive: Vec<Liveness>,
}

/// Replication positions of an instance's mirrors, by feed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Positions {
    /// Rows written by operators.
    pub operator: Position,
    /// Rows written by endpoints.
    pub endpoints: Position,
    /// Rows written by instances.
    #[serde(rename = "own")]
    pub instances: Position,
}

/// Rows of the table, by writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Feed {
    /// Rows written by operators.
    Operator,
    /// Rows written by endpoints.
    Endpoints,
    /// Rows written by instances.
    #[serde(rename = "Own")]
    Instances,
}

/// Changed rows of one feed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Push {
    /// Remaining grace period, in milliseconds, in which endpoints whose rows lapsed during an
    /// outage of the table may register again.
    pub lenient_ms: u32,
    /// Feed of the rows.
    pub feed: Feed,
    /// The changes.
    pub delta: Delta,
}

/// Changes that an instance is missing, by feed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Deltas {
    /// Rows written by operators.
    pub operator: Delta,
    /// Rows written by endpoints.
    pub endpoints: Delta,
    /// Rows written by instances.
    #[serde(rename = "own")]
    pub instances: Delta,
}

impl Message {
    /// Encodes the message as a datagram; `None` if it exceeds [`MAX_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = MAGIC.to_vec();
        // Encoding fails only if the message does not fit into memory.
        bytes.extend(postcard::to_stdvec(self).ok()?);
        (bytes.len() <= MAX_BYTES).then_some(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// If the datagram does not begin with this version's magic bytes, or its body is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, Invalid> {
        let body = bytes.strip_prefix(&MAGIC).ok_or_else(|| {
            Invalid("datagram does not begin with the magic bytes of this version".to_owned())
        })?;
        postcard::from_bytes(body).map_err(|error| Invalid(error.to_string()))
    }
}
