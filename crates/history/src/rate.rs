//! Checks that no workspace was admitted more tokens than its rate and burst allow.
//!
//! The instant of an admission is only known to lie between the sending of a
//! request and its answer. A window counts only requests that were certainly
//! admitted within it, so a history within the limit always passes. A history
//! that admits twice the limit is detected by any window that is much longer
//! than the duration of a request.

use std::fmt;

/// An admitted request, as observed by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Time at which the request was sent, in microseconds.
    pub sent_us: u64,
    /// Time at which the answer began, in microseconds.
    pub answered_us: u64,
    /// Number of tokens used.
    pub tokens: u64,
}

/// A window with more tokens admitted than rate × window + burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Excess {
    /// Start of the window, in microseconds.
    pub from_us: u64,
    /// End of the window, in microseconds.
    pub to_us: u64,
    /// Tokens certainly admitted within it.
    pub admitted: u64,
    /// Tokens that rate and burst allow within it, rounded down.
    pub allowed: u64,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} tokens admitted from {} to {} us, allowed {}",
            self.admitted, self.from_us, self.to_us, self.allowed
        )
    }
}

impl std::error::Error for Excess {}

/// Checks every window in which the count changes.
///
/// Runs in time quadratic in the number of admissions.
///
/// # Errors
///
/// Returns the window with the largest excess.
pub fn check(admissions: &[Admission], rate: u64, burst: u64) -> Result<(), Excess> {
    let mut by_answer = admissions.to_vec();
    by_answer.sort_by_key(|admission| admission.answered_us);
    let mut starts: Vec<u64> = admissions.iter().map(|a| a.sent_us).collect();
    starts.sort_unstable();
    starts.dedup();
    let windows = starts
        .iter()
        .flat_map(|from_us| windows(&by_answer, *from_us, rate, burst));
    let worst = windows
        .filter(|window| window.admitted > window.allowed)
        .max_by_key(|window| window.admitted - window.allowed);
    match worst {
        Some(excess) => Err(excess),
        None => Ok(()),
    }
}

/// The windows from `from_us` to each answer, with the tokens certainly admitted within them.
fn windows(
    by_answer: &[Admission],
    from_us: u64,
    rate: u64,
    burst: u64,
) -> impl Iterator<Item = Excess> {
    let mut admitted = 0;
    by_answer
        .iter()
        .filter(move |admission| admission.sent_us >= from_us)
        .map(move |admission| {
            admitted += admission.tokens;
            let to_us = admission.answered_us;
            let accrued = u128::from(rate) * u128::from(to_us - from_us) / 1_000_000;
            Excess {
                from_us,
                to_us,
                admitted,
                allowed: u64::try_from(accrued + u128::from(burst)).unwrap_or(u64::MAX),
            }
        })
}
