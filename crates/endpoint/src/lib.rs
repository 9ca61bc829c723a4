//! Calls to endpoints: connections, token streams, and verdicts.
//!
//! Whatever goes wrong, a [`Failure`] says whether the request may have run,
//! so that nothing above this package has to guess.

pub mod attempt;
pub mod chat;
pub mod connection;
pub mod events;
pub mod order;
pub mod pool;
pub mod stream;
mod verdict;

pub use connection::{
    Connection,
    Target, //
};
pub use pool::{
    Answer,
    Options,
    Pool, //
};
pub use verdict::{
    Failure,
    Fault,
    Verdict, //
};

/// Identifies one attempt at an endpoint; endpoints echo it where they can.
pub const REQUEST_ID: &str = "x-request-id";
/// Weights version that a model request needs, or that an engine serves.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Chosen anew by an engine at each start.
pub const INCARNATION: &str = "x-incarnation";
/// Index of the first token wanted of a resumed stream.
pub const RESUME_FROM: &str = "x-resume-from";
/// `true` on an error status proves that the endpoint did not start the request.
pub const NOT_STARTED: &str = "x-not-started";
/// Key under which an endpoint that deduplicates runs a request once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
