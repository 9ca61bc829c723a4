//! The daemon that runs on every instance.
//!
//! It has three planes: for callers (`caller`), operators (`operator`) and other instances
//! (`peer`). [`daemon::Daemon`] starts and stops them; [`node::Node`] is the state that they
//! share.

pub mod args;
pub mod caller;
pub mod claim;
pub mod config;
pub mod control;
pub mod daemon;
pub mod node;
pub mod operator;
pub mod peer;
pub mod poll;
pub mod rights;
pub mod sync;

pub use router::http;
