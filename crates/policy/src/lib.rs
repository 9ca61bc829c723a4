//! Routing decisions as pure functions of time, load and seed.
//!
//! Nothing here reads a clock, opens a socket or draws a random number, so the
//! same code runs in the daemon, in golden tests, in property tests and in
//! benchmarks.

pub mod admission;
pub mod backlog;
pub mod baseline;
pub mod belief;
pub mod breaker;
pub mod build;
pub mod bulkhead;
pub mod cell;
pub mod choice;
pub mod delay;
pub mod exposure;
pub mod fair;
pub mod freshness;
pub mod hub;
pub mod inflow;
pub mod limit;
pub mod load;
mod mix;
pub mod nearby;
pub mod outage;
pub mod pace;
pub mod path;
pub mod prefix;
pub mod quarantine;
pub mod rank;
pub mod rejection;
pub mod rest;
pub mod retry;
pub mod retry_share;
pub mod rewrite;
pub mod rights;
pub mod rollout;
pub mod save;
pub mod share;
pub mod shed;
pub mod speed;
pub mod spread;
pub mod stop;
pub mod suspect;
pub mod weights;
