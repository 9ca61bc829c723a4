//! Paths of settings rows, such as `/teams/till/keys/front-counter`.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Maximum length of a path, in bytes.
pub const MAX_PATH_BYTES: usize = 256;

/// A valid, absolute path of a settings row.
///
/// # Invariants
///
/// Starts with `/`, has no trailing `/`, and each segment consists of one or
/// more of `a-z`, `0-9`, `-`, `_` and `.`, but is neither `.` nor `..`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Path(String);

/// Reason why a text is not a valid settings path.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum PathError {
    /// The path does not start with a slash.
    #[error("path {0:?} must start with \"/\"")]
    NotAbsolute(String),
    /// The path is longer than [`MAX_PATH_BYTES`].
    #[error("path of {0} bytes is longer than {MAX_PATH_BYTES}")]
    TooLong(usize),
    /// A segment is empty, is `.` or `..`, or has a character outside the allowed set.
    #[error("segment {segment:?} of path {path:?} must be one or more of a-z 0-9 - _ .")]
    Segment {
        /// The whole path.
        path: String,
        /// The offending segment.
        segment: String,
    },
}

impl Path {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Iterates over the segments between slashes.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0[1..].split('/')
    }

    /// Whether the path is `root` or a descendant of it.
    pub fn is_under(&self, root: &str) -> bool {
        let root = root.trim_end_matches('/');
        match self.0.strip_prefix(root) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

impl FromStr for Path {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        if text.len() > MAX_PATH_BYTES {
            return Err(PathError::TooLong(text.len()));
        }
        let Some(rest) = text.strip_prefix('/') else {
            return Err(PathError::NotAbsolute(text.to_owned()));
        };
        for segment in rest.split('/') {
            if !is_segment(segment) {
                return Err(PathError::Segment {
                    path: text.to_owned(),
                    segment: segment.to_owned(),
                });
            }
        }
        Ok(Self(text.to_owned()))
    }
}

fn is_segment(segment: &str) -> bool {
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    !segment.is_empty() && segment != "." && segment != ".." && segment.chars().all(allowed)
}

impl TryFrom<String> for Path {
    type Error = PathError;

    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<Path> for String {
    fn from(path: Path) -> String {
        path.0
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
