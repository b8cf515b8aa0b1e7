//! Rates that upstreams name.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Rates beyond this are as good as none: no upstream gets so many requests.
const MAX_RATE: f64 = 1_000_000.0;

/// Requests a second. Finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, BorshSerialize, BorshDeserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// That many requests a second; `None` if it is no rate.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second.min(MAX_RATE)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What an answer of an upstream says of the rate that it takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdvertisedRate {
    /// It names none, so it takes whatever comes.
    Unlimited,
    /// It takes no more than this.
    Limited(RequestRate),
    /// It names something that is no rate; nothing is learned of that.
    Unreadable,
}
