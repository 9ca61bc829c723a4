//! Numbered log events, rate-limited log output and metrics.
//!
//! Each log line that an operator may act on is an [`Event`] with a number that
//! never changes; docs/EVENTS.md lists them. An event never carries a key or a
//! prompt in its fields.

pub mod bounded;
pub mod event;
pub mod log;
pub mod metrics;

pub use event::Event;

/// Logs an event at its level: `emit!(warn, event::TABLE_FAULT, reason = %fault)`.
#[macro_export]
macro_rules! emit {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        $crate::tracing::$level!(event = $event.number, name = $event.name $(, $($field)*)?)
    };
}

/// Target of lines that have their own allowance in the limit of the log.
#[doc(hidden)]
pub const LIFECYCLE_TARGET: &str = "lifecycle";

/// Logs an event like [`emit!`], from an allowance of its own, so that a flood of other lines does
/// not displace it. For events that an instance emits only as it starts or ends.
#[macro_export]
macro_rules! emit_lifecycle {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        $crate::tracing::$level!(
            target: $crate::LIFECYCLE_TARGET,
            event = $event.number,
            name = $event.name
            $(, $($field)*)?
        )
    };
}

#[doc(hidden)]
pub use tracing;
