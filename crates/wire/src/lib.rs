//! The peer protocol between instances: capnp schema, generated code and typed conversions.
//!
//! The peer plane of the daemon implements and calls the generated interfaces; the typed values
//! convert to and from the structs of their messages, except loans and the secret.

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
