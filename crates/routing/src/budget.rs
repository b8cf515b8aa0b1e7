//! Retry budget: a token bucket that limits retries to a share of the traffic
//! instead of a count per request.

/// Capacity of the bucket; limits the retry burst after a period with few
/// failures.
const MAX_TOKENS: f64 = 20.0;

/// Allows retries in proportion to the number of requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request, from 0 to 1.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: MAX_TOKENS * ratio.clamp(0.0, 1.0),
        }
    }

    /// Adds the tokens earned by one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Takes the token for one retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
