//! The retry budget: a share of the traffic, not a count per request.

/// Retries saved up at most, so that a quiet hour does not pay for a storm.
const MAX_SAVED: f64 = 20.0;

/// Grants retries as a share of the requests seen.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of `share` retries per request, from 0 to 1.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            saved: MAX_SAVED * share.clamp(0.0, 1.0),
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry, when the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
