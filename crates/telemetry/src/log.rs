//! Setup of log output.

use std::{
    io,
    str::FromStr, //
};

use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::WorkerGuard;

use crate::bounded::Writer;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The name of a log format or level is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Error {
    /// Unknown log format.
    #[error("log format {0:?} does not exist; use \"text\" or \"json\"")]
    Format(String),
    /// Unknown log level.
    #[error("log level {0:?} does not exist; use error, warn, info, debug or trace")]
    Level(String),
}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Error::Format(text.to_owned())),
        }
    }
}

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Level(LevelFilter);

impl Default for Level {
    fn default() -> Self {
        Self(LevelFilter::INFO)
    }
}

impl FromStr for Level {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "error" | "warn" | "info" | "debug" | "trace" => text
                .parse()
                .map(Self)
                .map_err(|_| Error::Level(text.to_owned())),
            _ => Err(Error::Level(text.to_owned())),
        }
    }
}

/// Starts logging to standard error. Later calls have no effect.
pub fn start(format: Format, level: Level) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level.0)
        .with_writer(std::io::stderr);
    let result = match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    // Fails only if logging was started before, as in tests.
    result.ok();
}

/// Starts logging to standard output, one JSON object per line, with a limited rate of lines.
/// Later calls have no effect. Lines are written until the guard is dropped.
pub fn start_on_stdout() -> WorkerGuard {
    let (writer, guard) = Writer::new(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_max_level(LevelFilter::INFO)
        .with_target(false)
        .json()
        .flatten_event(true);
    // Fails only if logging was started before, as in tests.
    builder.try_init().ok();
    guard
}
