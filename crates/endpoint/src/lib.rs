//! Calls to endpoints: connections, token streams, and verdicts.
//!
//! Every [`Failure`] states whether the request may have run, so that callers of
//! this package need not infer it.

pub mod attempt;
pub mod chat;
pub mod connection;
pub mod events;
mod keep_alive;
pub mod link;
pub mod order;
pub mod pool;
mod stall;
pub mod stream;
mod transport;
mod verdict;

pub use connection::{
    Connection,
    Target, //
};
pub use link::Link;
pub use pool::{
    Answer,
    Dial,
    Direct,
    Options,
    Pool, //
};
pub use verdict::{
    Failure,
    Fault,
    Verdict, //
};

/// Header with the id of one attempt; endpoints echo it where they can.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the weights version that a model request needs or that an engine serves.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Header with the id of one run of an engine process; it changes at each start.
pub const INCARNATION: &str = "x-incarnation";
/// Header with the index of the first token to send when a stream is resumed.
pub const RESUME_FROM: &str = "x-resume-from";
/// Header whose value `true` on an error status proves that the endpoint did not start the
/// request.
pub const NOT_STARTED: &str = "x-not-started";
/// Header with the key by which a deduplicating endpoint runs a request at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
