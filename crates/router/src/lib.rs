//! Request path of one instance, independent of the protocol of callers and endpoints.
//!
//! A request passes through the stages accept, route, key, quota, choice, send
//! and relay; [`plane`] runs them in order. An implementation of
//! [`protocol::Protocol`] defines the protocol of a deployment; [`daemon::run`]
//! starts an instance with it.

pub mod admit;
pub mod attempt;
pub mod buffered;
pub mod builds;
pub mod bulkhead;
pub mod catalog;
pub mod choose;
pub mod config;
pub mod counted;
pub mod daemon;
pub mod directory;
pub mod endpoints;
pub mod era;
pub mod exchange;
pub mod exposure;
pub mod fleet;
pub mod http;
mod incarnation;
pub mod ingress;
pub mod instance;
pub mod lease;
pub mod limit;
pub mod message;
pub mod mirror;
pub mod node;
pub mod observed;
pub mod origin;
pub mod partition;
pub mod peer;
pub mod plane;
pub mod planner;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod relay;
pub mod request;
mod retry;
pub mod rollout;
mod states;
pub mod stop;
pub mod stream;
pub mod sync;
pub mod weights;

/// Prefix of the rows that instances write in the platform's table.
pub const INSTANCE_ROWS: &str = "damask/";
/// Prefix of the rows that instances write about themselves.
pub const INSTANCES: &str = "damask/instance/";
/// Prefix of the rows with the progress of weight rollouts, by model.
pub const ROLLOUTS: &str = "damask/rollout/";
/// Prefix of the rows that record when versions of weights were first seen, by the table's clock.
/// The key continues with the model, a slash and the version.
pub const FIRST_SEEN: &str = "damask/named/";
/// Prefix of the rows of quarantined segments; the key continues with the segment's id.
pub const QUARANTINE: &str = "damask/quarantine/";
/// Prefix of the rows with the builds of each service.
pub const BUILDS: &str = "damask/builds/";
/// Prefix of the rows that record which build began each stream. The key continues with the time by the
/// table's clock.
pub const ORIGINS: &str = "damask/origin/";
/// Prefix of the rows with the state of rollouts of services' versions, by service.
pub const EXPOSURES: &str = "damask/exposure/";
/// Key of the row of the lease that permits orders to engines.
pub const LEASE: &str = "damask/lease";
