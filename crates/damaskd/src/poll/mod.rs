//! Pollers that read the state of endpoints periodically.

pub mod load;
