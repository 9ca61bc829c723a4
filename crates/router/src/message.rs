//! What instances tell each other in datagrams.
//!
//! The codec is postcard: datagrams come without a connection, so that remote
//! procedure calls do not fit. All of them may be lost, repeated or late.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use settings::Class;

use crate::{
    mirror::{
        Delta,
        Extent, //
    },
    protocol::Invalid, //
};

/// Largest datagram, in bytes; larger changes are fetched over a connection.
pub const MAX_BYTES: usize = 8 << 10;
/// First bytes of each datagram, which change with its layout.
const MAGIC: [u8; 4] = *b"dmk2";

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// An instance tells a hub that it lives.
    Beat(Beat),
    /// A hub tells all others what it knows.
    Digest(Digest),
    /// A hub passes on changes.
    Push(Push),
    /// An instance asks the owner of a limit.
    Ask(Ask),
    /// The owner's answer.
    Grant(Grant),
    /// An instance asks the planner where to send a request.
    Place(Place),
    /// The planner's answer.
    Placed(Placed),
    /// An instance tells the planner what became of a request that it placed.
    Outcome(Outcome),
}

/// An instance asks the planner of a service where to send a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Place {
    /// Identifies the question.
    pub id: u32,
    /// Name of the service.
    pub service: String,
    /// The model that is to answer.
    pub model: Option<String>,
    /// Urgency.
    pub class: Class,
    /// Time to the first event within which the answer is worth its whole price, in milliseconds.
    pub objective_ms: u32,
    /// Hashes of the whole blocks of the prompt, shallowest first.
    pub levels: Vec<u64>,
    /// Length of what follows the last whole block, in blocks.
    pub tail: f32,
    /// Names of the endpoints that have failed the request.
    pub tried: Vec<String>,
    /// Whether it must not be put off: it may have run, or part of its answer was given.
    pub must_go: bool,
}

/// The planner's answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Placed {
    /// Identifies the question.
    pub id: u32,
    /// Where the request goes, or why nowhere.
    pub to: Destination,
    /// Identifies the request from now on.
    pub ticket: u64,
    /// Another engine, or a store, that may have more of the prompt.
    pub source: Option<SocketAddr>,
    /// A store that is to keep the prompt's prefix too.
    pub save_to: Option<SocketAddr>,
    /// What the planner expected there.
    pub reasons: Reasons,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Destination {
    /// To the endpoint with this name.
    Endpoint(String),
    /// Nowhere now; so much work waits at all endpoints that it is to come back after these
    /// milliseconds.
    Later(u32),
    /// The planner knows of no endpoint.
    None,
}

/// Why an endpoint was decided on, in blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reasons {
    /// Blocks of the prompt that are expected to be cached there.
    pub hits: f32,
    /// Blocks that are expected to be computed there for the request.
    pub missed: f32,
    /// Blocks that are expected to be computed there before.
    pub wait: f32,
}

/// What became of a request that the planner placed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Outcome {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Identifies the request.
    pub ticket: u64,
    /// What became of the request there.
    pub end: End,
    /// Levels that it does not cache after all.
    pub levels: Vec<u64>,
}

/// What became of a request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum End {
    /// It began to answer.
    Began,
    /// It could not be used, or broke off.
    Failed,
    /// It had no room, or other weights.
    Refused,
    /// Its caller left, or it ended otherwise.
    Left,
}

/// An instance asks the owner of a workspace's limit for units.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ask {
    /// Identifies the question.
    pub id: u32,
    /// Name of the workspace.
    pub workspace: String,
    /// Units that a request needs.
    pub units: f32,
    /// Units that are wanted for requests to come.
    pub ahead: f32,
    /// Whether the request is of the most urgent class.
    pub urgent: bool,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// Identifies the question.
    pub id: u32,
    /// Units granted beyond those needed.
    pub ahead: f32,
    /// When to come back, in milliseconds, if the units needed are not granted.
    pub wait_ms: Option<u32>,
}

/// An instance tells a hub that it lives.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Beat {
    /// Name of the instance.
    pub name: String,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// An instance as a hub knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Alive {
    /// Hash of its name.
    pub name: u32,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Time since it was heard, in tenths of a second.
    pub ago_tenths: u8,
}

/// What a hub tells all others.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Digest {
    /// Name of the hub.
    pub hub: String,
    /// Age of its view of the table, in milliseconds.
    pub view_age_ms: u32,
    /// The time by the table's clock, in milliseconds.
    pub table_ms: Option<u64>,
    /// For how much longer rows of endpoints that are gone may come back, in milliseconds.
    pub lenient_ms: u32,
    /// How far its copies of the rows go.
    pub extents: Extents,
    /// Instances that it has heard; in one of a few digests only.
    pub alive: Vec<Alive>,
}

/// How far an instance's copies of the rows go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Extents {
    /// What operators wrote.
    pub operator: Extent,
    /// What endpoints wrote.
    pub endpoints: Extent,
    /// What instances wrote.
    pub own: Extent,
}

/// Whose rows are meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Feed {
    /// What operators wrote.
    Operator,
    /// What endpoints wrote.
    Endpoints,
    /// What instances wrote.
    Own,
}

/// A hub passes on changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Push {
    /// For how much longer rows of endpoints that are gone may come back, in milliseconds.
    pub lenient_ms: u32,
    /// Whose rows have changed.
    pub feed: Feed,
    /// The changes.
    pub delta: Delta,
}

/// What an instance lacks, by feed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Deltas {
    /// What operators wrote.
    pub operator: Delta,
    /// What endpoints wrote.
    pub endpoints: Delta,
    /// What instances wrote.
    pub own: Delta,
}

impl Message {
    /// The datagram; `None` if it is too large for one.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = MAGIC.to_vec();
        // Fails only if it is too large for memory.
        bytes.extend(postcard::to_stdvec(self).ok()?);
        (bytes.len() <= MAX_BYTES).then_some(bytes)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// If it is not one of ours.
    pub fn decode(bytes: &[u8]) -> Result<Self, Invalid> {
        let body = bytes
            .strip_prefix(&MAGIC)
            .ok_or_else(|| Invalid("not a datagram of this version".to_owned()))?;
        postcard::from_bytes(body).map_err(|error| Invalid(error.to_string()))
    }
}
