//! Checks that streams are complete and in order, and that each caller receives the answer to
//! its own request.

use serde::{
    Deserialize,
    Serialize, //
};

/// A stream as received by a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Transcript {
    /// Indexes of the tokens, in order of arrival.
    pub indexes: Vec<u64>,
    /// Tokens, in order of arrival.
    pub tokens: Vec<String>,
    /// Number of tokens reported by the usage.
    pub counted: Option<u64>,
    /// Whether the end marker arrived.
    pub done: bool,
    /// Whether an error event arrived.
    pub error: bool,
}

/// Checks a stream against the tokens of an uninterrupted answer to the same request.
///
/// # Errors
///
/// Returns a description of the first violation.
pub fn check(expected: &[String], received: &Transcript) -> Result<(), String> {
    for (position, index) in (0..).zip(&received.indexes) {
        if *index != position {
            return Err(format!("token index {index} at position {position}"));
        }
    }
    let count = received.tokens.len();
    if received.tokens.as_slice() != expected.get(..count).unwrap_or(&[]) {
        return Err(format!(
            "tokens differ from the expected answer: {:?}",
            received.tokens
        ));
    }
    match (received.done, received.error) {
        (true, true) => Err("stream has both an end marker and an error".to_owned()),
        (false, false) => Err(format!(
            "stream ended without an end marker or an error after {count} tokens"
        )),
        (false, true) => Ok(()),
        (true, false) if count != expected.len() => {
            Err(format!("ended after {count} of {} tokens", expected.len()))
        }
        (true, false) if received.counted != Some(count as u64) => Err(format!(
            "usage counts {:?} of {count} tokens",
            received.counted
        )),
        (true, false) => Ok(()),
    }
}
