//! Retry budget of one instance, so that retries never multiply an overload.
//!
//! It depends only on the requests and retries of that instance, and `damaskd` uses it. The router
//! package uses [`retry_share`](crate::retry_share), which bounds the retries of all instances
//! together.

/// What the first attempt of a request earns, in tenths of a retry.
const EARNED_TENTHS: u32 = 2;
/// Cost of one retry, in tenths of a retry.
const RETRY_TENTHS: u32 = 10;
/// Most that can be saved up, in tenths of a retry.
const MAX_TENTHS: u32 = 500;

/// Retries that may be sent, in tenths of a retry.
///
/// # Invariants
///
/// At most [`MAX_TENTHS`]. Over any period, retries number at most a fifth of the requests plus
/// what was saved up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    tenths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tenths: MAX_TENTHS }
    }
}

impl Budget {
    /// Counts the first attempt of a request.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + EARNED_TENTHS).min(MAX_TENTHS);
    }

    /// Refunds a retry, after an endpoint has proved that it did not start the request.
    pub fn refund(&mut self) {
        self.tenths = (self.tenths + RETRY_TENTHS).min(MAX_TENTHS);
    }

    /// Spends one retry, if one is left.
    pub fn spend(&mut self) -> bool {
        let Some(remaining) = self.tenths.checked_sub(RETRY_TENTHS) else {
            return false;
        };
        self.tenths = remaining;
        true
    }
}
