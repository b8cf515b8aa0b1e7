//! Request rates advertised by upstreams.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Rates above this have the effect of no limit, since no upstream receives that many requests.
const MAX_RATE: f64 = 1_000_000.0;

/// Requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, BorshSerialize, BorshDeserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns `None` if the value is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second.min(MAX_RATE)))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The rate that an upstream accepts from all nodes together, as stated in its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdvertisedRate {
    /// The response names no limit.
    Unlimited,
    /// The upstream accepts at most this rate.
    Limited(RequestRate),
    /// The value is not a valid rate and is ignored.
    Unreadable,
}
