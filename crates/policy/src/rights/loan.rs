//! Tokens lent between instances, so that quota follows the traffic.

use std::time::Duration;

/// How long the borrower may spend a loan, counted from before it sent the request for it.
pub const LOAN_TERM: Duration = Duration::from_secs(1);

/// How long the lender keeps the lent burst out of use, counted from the loan.
///
/// Longer than [`LOAN_TERM`] by more than any drift between two clocks.
pub const HOLD_TERM: Duration = Duration::from_millis(1050);

/// One loan received from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Loan {
    expires_at: Duration,
    amount: u64,
}

/// Unexpired tokens borrowed from peers, in micro-tokens.
///
/// # Invariants
///
/// `loans` is sorted by `expires_at`, so that the loan that expires first is spent first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Balance {
    loans: Vec<Loan>,
}

impl Balance {
    /// Adds a loan that was requested at `requested_at`.
    pub fn receive(&mut self, amount: u64, requested_at: Duration) {
        let expires_at = requested_at + LOAN_TERM;
        let index = self
            .loans
            .partition_point(|loan| loan.expires_at <= expires_at);
        self.loans.insert(index, Loan { expires_at, amount });
    }

    /// Micro-tokens that can be spent at `now`.
    pub fn level(&mut self, now: Duration) -> u64 {
        self.expire(now);
        self.loans.iter().map(|loan| loan.amount).sum()
    }

    /// Spends up to `amount`; returns the amount spent.
    pub fn spend(&mut self, amount: u64, now: Duration) -> u64 {
        self.expire(now);
        let mut remaining = amount;
        for loan in &mut self.loans {
            let spent = loan.amount.min(remaining);
            loan.amount -= spent;
            remaining -= spent;
        }
        self.loans.retain(|loan| loan.amount > 0);
        amount - remaining
    }

    fn expire(&mut self, now: Duration) {
        let expired = self.loans.partition_point(|loan| loan.expires_at <= now);
        self.loans.drain(..expired);
    }
}
