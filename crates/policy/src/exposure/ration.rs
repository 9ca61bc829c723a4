//! One instance's share of the requests that may go to the new version.

/// Largest number of sends that may be saved up while selection preferred old endpoints, so that they
/// do not all come at once later.
const MAX_SAVED: f64 = 4.0;

/// Counts of this instance's requests to a service since an order, and of its sends to the new
/// version.
///
/// The allowance grows by the share with each request. The send number `n` (from 0) becomes due at a
/// random point between `n` and `n + 1` of the allowance, so that the expected number of sends
/// equals the allowance also after the first few requests, and the sum over many instances stays at
/// the share although none knows of the others. An instance that restarts begins with a new random
/// point, which keeps this true.
///
/// # Invariants
///
/// `sent <= allowance + 1`, unless the share was 1 or [`Ration::record_sent`] was called without
/// [`Ration::allows`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    /// Sum of the shares at the requests so far.
    allowance: f64,
    /// Sends to the new version.
    sent: f64,
    /// Part of the allowance from which the next send is due, between 0 and 1.
    threshold: f64,
}

impl Ration {
    /// A ration without requests; `random` is uniform in `0..1`.
    pub fn new(random: f64) -> Self {
        Self {
            allowance: 0.0,
            sent: 0.0,
            threshold: random,
        }
    }

    /// Counts a request to the service, before its first attempt is sent; `share` is the share in
    /// force. Further attempts of the same request do not count.
    pub fn record_request(&mut self, share: f64) {
        let allowance = self.allowance + share.clamp(0.0, 1.0);
        self.allowance = allowance.min(self.sent + MAX_SAVED);
    }

    /// Whether one more attempt may be sent to the new version under `share`.
    pub fn allows(&self, share: f64) -> bool {
        share >= 1.0 || (share > 0.0 && self.allowance > self.sent + self.threshold)
    }

    /// Counts an attempt that is sent to the new version; `random` is uniform in `0..1`.
    pub fn record_sent(&mut self, random: f64) {
        self.sent += 1.0;
        self.threshold = random;
    }
}
