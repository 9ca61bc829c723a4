//! Claims of requests that may run at most once, as rows of the table.
//!
//! A claim is written before the first byte of its request is sent, and only if
//! its key has no row yet. No instance takes over the claim of another, since
//! only the holder can know that nothing was sent.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    base64::Base64,
    hex::Hex,
    serde_as, //
};

/// Prefix of the keys of claim rows.
pub const ROW_PREFIX: &str = "/claims/rows/";
/// Prefix of the keys of index rows, which list claims by creation time.
pub const INDEX_PREFIX: &str = "/claims/index/";
/// Key of the row that holds the first bucket that has not been swept.
pub const SWEPT_ROW: &str = "/claims/swept";
/// Retention period of a claim and its answer.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Span of creation times that one bucket of the index covers.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(10);
/// Maximum body size of a stored answer, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 8 << 10;

/// A claim as stored in its row.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Digest of the request that the claim is for.
    #[serde_as(as = "Hex")]
    pub digest: [u8; 32],
    /// Chosen for each attempt to write a claim; lets the writer recognise its own row.
    pub nonce: u64,
    /// Name of the holder.
    pub instance: String,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Latest time at which the holder gives up on the request, in Unix milliseconds.
    pub until_ms: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The holder is processing the request, or has stopped.
    Open,
    /// The request was sent and no answer arrived.
    Unknown,
    /// The request was answered; `None` if the answer is too large to store.
    Ran(Option<Answer>),
}

/// An answer stored for replays.
#[serde_as]
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that were sent to the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// Result for a repeated request with the key of an existing claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Replay {
    /// The key was used for a different request.
    OtherRequest,
    /// The stored answer.
    Answer(Answer),
    /// The request ran, and its answer was too large to store.
    Ran,
    /// The holder is still processing the request.
    InProgress,
    /// It is unknown whether the request ran.
    Unknown,
}

impl Row {
    /// Result for a repeated request with `digest` at `now_ms`, in Unix milliseconds.
    pub fn replay(self, digest: &[u8; 32], now_ms: u64, holder_alive: bool) -> Replay {
        if self.digest != *digest {
            return Replay::OtherRequest;
        }
        match self.outcome {
            Outcome::Ran(Some(answer)) => Replay::Answer(answer),
            Outcome::Ran(None) => Replay::Ran,
            Outcome::Open if holder_alive && now_ms < self.until_ms => Replay::InProgress,
            Outcome::Open | Outcome::Unknown => Replay::Unknown,
        }
    }
}

impl Outcome {
    /// The outcome of an answered request; leaves out an answer that is too large to store.
    pub fn ran(answer: Answer) -> Self {
        Self::Ran((answer.body.len() <= MAX_STORED_BODY_BYTES).then_some(answer))
    }
}

/// Digest of the fields of a request, each prefixed by its length.
pub fn digest(fields: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    *hasher.finalize().as_bytes()
}

/// Name of a claim within its scope: a workspace, or a route that is open to all.
pub fn name(scope: &str, key: &[u8]) -> String {
    let hash = blake3::Hash::from_bytes(digest(&[scope.as_bytes(), key]));
    format!("{scope}/{}", hash.to_hex())
}

/// Current time, in Unix milliseconds.
pub fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// The index bucket of a time in Unix milliseconds.
pub fn bucket(at_ms: u64) -> u64 {
    at_ms / 1000 / BUCKET_WIDTH.as_secs()
}

/// Prefix of the keys of the index rows of a bucket.
pub fn bucket_prefix(bucket: u64) -> String {
    format!("{INDEX_PREFIX}{bucket:012}/")
}
