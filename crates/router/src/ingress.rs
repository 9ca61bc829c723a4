//! Bounds for what callers make an instance hold: bytes of requests, and connections.
//!
//! The bounds follow from the memory and the descriptors of the machine. Callers within the limits of
//! the configuration meet them only when requests in progress fill the memory.

mod account;
mod body;
mod connection;
mod machine;

use std::sync::Arc;

pub use account::{
    Account,
    Hold, //
};
pub use body::{
    Fault,
    read, //
};
pub use connection::{
    Arrival,
    Bounds,
    Busy,
    Closure,
    Connection,
    Connections,
    Due,
    Slot, //
};
pub use machine::{
    Machine,
    RECEIVE_BYTES, //
};

/// What callers may make this instance hold.
#[derive(Debug)]
pub struct Ingress {
    /// The machine that the bounds follow from.
    pub machine: Machine,
    /// Memory of the bodies of requests.
    pub bodies: Arc<Account>,
    /// Connections of callers.
    pub connections: Arc<Connections>,
}

impl Ingress {
    /// The bounds on this machine, with nothing held.
    pub fn new(machine: Machine) -> Self {
        Self {
            machine,
            bodies: Arc::new(Account::new(machine.body_bytes())),
            connections: Arc::default(),
        }
    }
}
