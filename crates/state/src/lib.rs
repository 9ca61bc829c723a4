//! Tables shared within one instance.
//!
//! # Lock order
//!
//! A thread that holds one of these locks may only take locks further down the list:
//!
//! 1. [`settings::Current`] (lock-free reads, one writer at a time)
//! 2. [`settings::Offers`]
//! 3. [`withdrawal::Set`] (lock-free reads, one writer at a time)
//! 4. [`member::Table`]
//! 5. [`belief::Table`]
//! 6. [`health::Table`], then one [`health::Endpoint`] at a time
//! 7. [`right::Table`], then one [`right::Entry`]
//! 8. [`queue::Table`]
//! 9. [`freshness::Table`]
//! 10. [`leaving::Table`]
//! 11. [`delta::Log`]
//! 12. [`lease::Lease`]
//!
//! No lock is held across an `await`.

pub mod belief;
pub mod claim;
pub mod clock;
pub mod delta;
pub mod flight;
pub mod freshness;
pub mod health;
pub mod lease;
pub mod leaving;
pub mod member;
pub mod queue;
pub mod right;
pub mod settings;
pub mod sorted;
pub mod withdrawal;
