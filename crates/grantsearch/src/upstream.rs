//! A model of an upstream: which ranges it holds, under which token, until when.
//!
//! It handles orders like `beamtray_emulator::UpstreamEmulator`, which a test
//! verifies. It keeps one token per range instead of one per key to keep states
//! small.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::{GrantOrder, GrantReply, KeyRange, OrderKind};
use beamtray_types::Time;

/// How much slower than real time an upstream's clock runs, in percent. The model always uses
/// the worst case.
const SLOW_PERCENT: u32 = 2;

/// How an order arrives at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// It was delayed or is a duplicate.
    pub is_late: bool,
    /// It arrives so soon after a path recovered or its sender resumed that the ownership rule
    /// excludes it.
    pub is_excluded: bool,
}

/// State of one range at one upstream.
#[derive(Clone, Debug)]
pub struct Holding {
    /// Keys of the range.
    pub range: KeyRange,
    /// Highest token seen. Grants with lower tokens are rejected.
    pub min_token: u64,
    /// When the hold expires.
    pub expiry: Time,
    /// Expiry without grants that the rule excludes.
    pub counted_expiry: Time,
    /// Expiry without excluded and late grants.
    pub prompt_expiry: Time,
}

/// State of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Counts restarts.
    pub incarnation: u32,
    /// State of each range.
    pub holdings: Vec<Holding>,
}

impl Upstream {
    /// Creates an upstream that holds nothing and has seen no token.
    pub fn new(id: UpstreamId, incarnation: u32, ranges: &[KeyRange]) -> Self {
        let holdings = ranges.iter().map(|range| Holding {
            range: *range,
            min_token: 0,
            expiry: Time::ZERO,
            counted_expiry: Time::ZERO,
            prompt_expiry: Time::ZERO,
        });
        Self {
            id,
            incarnation,
            holdings: holdings.collect(),
        }
    }

    /// Handles an order. An order covers whole ranges. No requests are running, so a
    /// release is answered immediately.
    pub fn order(&mut self, now: Time, order: &GrantOrder, arrival: Arrival) -> GrantReply {
        if order.holder.name != self.id.name {
            return GrantReply::Replaced;
        }
        let overlapping = self.holdings.iter_mut();
        let overlapping = overlapping.filter(|holding| holding.range.overlaps(order.range));
        let overlapping: Vec<&mut Holding> = overlapping.collect();
        match &order.kind {
            OrderKind::Grant { hold, .. } => {
                if overlapping
                    .iter()
                    .any(|held| held.min_token > order.token.0)
                {
                    return GrantReply::Outdated;
                }
                let expiry = now + *hold * (100 + SLOW_PERCENT) / 100;
                for holding in overlapping {
                    holding.accept_grant(order.token.0, expiry, arrival);
                }
                GrantReply::Granted
            }
            OrderKind::Release => {
                for holding in overlapping {
                    holding.release(order.token.0);
                }
                GrantReply::Released(None)
            }
        }
    }
}

impl Holding {
    /// Accepts a grant. A grant never shortens the current hold.
    fn accept_grant(&mut self, token: u64, expiry: Time, arrival: Arrival) {
        self.min_token = token;
        self.expiry = self.expiry.max(expiry);
        if arrival.is_excluded {
            return;
        }
        self.counted_expiry = self.counted_expiry.max(expiry);
        if !arrival.is_late {
            self.prompt_expiry = self.prompt_expiry.max(expiry);
        }
    }

    /// Releases the range. A release is never rejected, even one that arrives late.
    fn release(&mut self, token: u64) {
        self.min_token = self.min_token.max(token);
        self.expiry = Time::ZERO;
        self.counted_expiry = Time::ZERO;
        self.prompt_expiry = Time::ZERO;
    }
}
