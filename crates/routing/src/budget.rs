//! The retry budget: a share of the traffic, not a count per request.

/// Retries saved up at most, so that a quiet hour does not pay for a storm.
const MAX_TOKENS: f64 = 20.0;

/// Grants retries as a share of the requests seen.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `ratio` retries per request, from 0 to 1.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: MAX_TOKENS * ratio.clamp(0.0, 1.0),
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Takes one retry, when the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
