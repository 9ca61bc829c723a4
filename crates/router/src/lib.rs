//! The way of a request through one instance, whatever protocol callers and endpoints speak.
//!
//! A request goes through the stages accept, key, route, quota, choice, send
//! and relay; [`plane`] lists them in order. What a deployment speaks is told
//! by an implementation of [`protocol::Protocol`]; [`daemon::run`] starts an
//! instance with it.

pub mod admit;
pub mod attempt;
pub mod buffered;
pub mod catalog;
pub mod choose;
pub mod config;
pub mod counted;
pub mod daemon;
pub mod directory;
pub mod endpoints;
pub mod exchange;
pub mod fleet;
pub mod http;
pub mod instance;
pub mod lane;
pub mod lease;
pub mod message;
pub mod mirror;
pub mod node;
pub mod peer;
pub mod plane;
pub mod planner;
pub mod protocol;
pub mod quota;
pub mod refusal;
pub mod request;
pub mod rollout;
mod states;
pub mod stream;
pub mod sync;

/// Prefix of the rows that instances write in the platform's table.
pub const OWN: &str = "damask/";
/// Prefix of the rows in which instances tell of themselves.
pub const INSTANCES: &str = "damask/instance/";
/// Prefix of the rows that tell how far engines have come with new weights, by model.
pub const ROLLOUTS: &str = "damask/rollout/";
/// Prefix of the rows that tell when versions of weights were first heard of, by the table's clock;
/// model and version follow, each after a slash.
pub const NAMED: &str = "damask/named/";
/// Row of the lease for orders to engines.
pub const LEASE: &str = "damask/lease";
