//! Rollout of a service's version: how many requests may go to it while it is on trial, what is
//! known of its responses, and when it replaces the old version or is rolled back.
//!
//! Each instance bounds its own sends with a [`Ration`] and counts responses as [`Evidence`], which it
//! reports cumulatively. The instance that decides adds up the reports of all in a [`Ledger`], keeps
//! a [`Trend`] of the sum, and moves from [`Stage`] to [`Stage`] by the [`Verdict`].

mod evidence;
mod hold;
mod judge;
mod ration;
mod sample;
mod stage;
mod trend;

pub use self::{
    evidence::{
        Evidence,
        Ledger,
        Pair,
        Side, //
    },
    hold::Hold,
    judge::{
        Verdict,
        judge, //
    },
    ration::Ration,
    sample::{
        Histogram,
        Sample, //
    },
    stage::{
        Progress,
        Stage,
        endpoints,
        first_endpoint, //
    },
    trend::Trend, //
};
