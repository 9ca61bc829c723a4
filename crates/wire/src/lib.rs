//! The peer protocol between instances: capnp schema, generated code and typed conversions.
//!
//! Only this package reads and builds capnp messages; the rest of the daemon
//! uses the typed values below.

mod convert;

#[allow(
    missing_docs,
    clippy::all,
    clippy::unwrap_used,
    clippy::allow_attributes,
    reason = "generated code, regenerated when the schema changes"
)]
pub mod peer_capnp;

pub use convert::{
    Belief,
    Digest,
    LeavingEndpoint,
    MAX_BELIEFS,
    Member,
    Reply, //
};
