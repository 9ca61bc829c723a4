//! Test only: starts the real programs as processes and speaks to them.
//!
//! Every program listens at a port that the system chose and prints it; every
//! wait is for a condition, within a generous bound.

pub mod caller;
pub mod cut;
pub mod fleet;
pub mod older;
pub mod process;
pub mod wait;

pub use fleet::{
    Builder,
    Fleet,
    OPERATOR_KEY, //
};
pub use process::Process;
