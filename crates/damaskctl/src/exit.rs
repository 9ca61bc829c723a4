//! Exit codes.

use std::fmt;

/// Outcome of a command. The variants are in the order of the exit codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    Done,
    NotDone,
    Usage,
    Conflict,
    Unknown,
    Partial,
}

impl Exit {
    /// All outcomes, in the order of the exit codes.
    pub const ALL: [Exit; 6] = [
        Exit::Done,
        Exit::NotDone,
        Exit::Usage,
        Exit::Conflict,
        Exit::Unknown,
        Exit::Partial,
    ];

    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns the description in the help.
    pub fn doc(self) -> &'static str {
        match self {
            Exit::Done => "done",
            Exit::NotDone => "not done; nothing was changed",
            Exit::Usage => "bad command line",
            Exit::Conflict => "another operator was first; nothing was changed",
            Exit::Unknown => "no answer; the change may have been made",
            Exit::Partial => "done, but not yet in force everywhere or not yet kept",
        }
    }
}

/// Error of a command, with the exit code that it causes.
#[derive(Debug)]
pub struct Failure {
    /// Outcome that determines the exit code.
    pub exit: Exit,
    /// Cause and remedy.
    pub error: anyhow::Error,
}

impl Failure {
    /// Creates a failure.
    pub fn new(exit: Exit, error: anyhow::Error) -> Self {
        Self { exit, error }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.error)
    }
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(Exit::NotDone, error)
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Failure>;
