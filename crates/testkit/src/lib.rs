//! Test only: runs the real programs as processes and sends requests to them.
//!
//! Every program listens at a port that the system chooses and prints its
//! address. Tests wait for conditions, with a generous timeout, rather than
//! for a fixed time.

pub mod caller;
pub mod fleet;
pub mod older;
pub mod process;
pub mod relay;
pub mod silence;
pub mod wait;

pub use fleet::{
    Builder,
    Fleet,
    OPERATOR_KEY, //
};
pub use process::Process;
