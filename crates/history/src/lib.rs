//! Test only: recorded histories and their checkers, one module for each guarantee.
//!
//! A test records what callers, operators, endpoints and the table observe, by one
//! monotonic clock, and passes the entries to a checker. Each checker has a test
//! with a history that violates the guarantee.

pub mod claim;
pub mod key;
pub mod lease;
pub mod rate;
pub mod recorder;
pub mod settings;
pub mod stream;

pub use recorder::{
    Entry,
    Recorder, //
};
