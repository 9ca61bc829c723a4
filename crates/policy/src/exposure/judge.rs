//! Comparison of a new version with the old one.

use super::Trend;

/// What is known of a new version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Verdict {
    /// There is too little evidence.
    Unknown,
    /// It fails or is slow where the old version is not.
    Bad,
    /// There is enough evidence that it is not bad.
    Good,
}

/// Judges the new version by all evidence and by the recent parts of it.
pub fn judge(_trend: &Trend) -> Verdict {
    Verdict::Unknown
}
