//! Faults that an engine injects into requests.

use serde::{
    Deserialize,
    Serialize, //
};

/// Fault that an engine injects into a request.
///
/// Token indexes start at 0 and count the whole answer, also when a stream is resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection is cut instead of sending this token. If the index is the number of tokens,
    /// it is cut instead of sending the end of the stream.
    CrashAt(u64),
    /// The connection is cut in the middle of this token's event.
    HalfEventAt(u64),
    /// Nothing is sent from this token on, while the connection stays open.
    StallAt(u64),
    /// The body ends normally instead of sending this token, without an end mark.
    CloseAt(u64),
    /// This token is omitted.
    GapAt(u64),
    /// This token and the one before it are sent twice.
    RepeatAt(u64),
    /// The answer ends with its end mark instead of this token, although its usage counts all
    /// tokens.
    ShortAt(u64),
    /// The answer consists of an end mark only.
    Empty,
    /// The head of the answer is delayed by this many milliseconds.
    Late(u64),
    /// This request and the next one with this fault receive each other's answers.
    Swap,
    /// The answer echoes the id of an earlier request.
    WrongEcho,
    /// The answer states another weights version.
    OtherVersion,
    /// The request is rejected with the header that proves that it did not start.
    NotStarted,
    /// The request is rejected with status 503, without that header.
    Refused,
}

impl Fault {
    /// Whether it ends or stalls the answer before token `index`.
    pub fn interrupts(self, index: u64) -> bool {
        match self {
            Fault::CrashAt(at)
            | Fault::HalfEventAt(at)
            | Fault::StallAt(at)
            | Fault::CloseAt(at)
            | Fault::ShortAt(at) => at == index,
            _ => false,
        }
    }
}
