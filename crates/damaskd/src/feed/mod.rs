//! Polls endpoints for reports about themselves.

pub mod load;
