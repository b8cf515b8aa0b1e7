//! An upstream: which ranges it holds, under which token, until when.
//!
//! It behaves as `beamtray_emulator::UpstreamEmulator` does with orders, which a test
//! compares; it keeps one token for a range in place of one for each key, so that a state is
//! small.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::{GrantOrder, GrantReply, KeyRange, OrderKind};
use beamtray_types::Time;

/// An upstream's clock for holds may run that much slow, in percent. It always does here:
/// that is the worst case.
const SLOW_PERCENT: u32 = 2;

/// How an order reaches an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// It was held up on its way, or comes again.
    pub is_late: bool,
    /// It comes so soon after a path healed or its sender was continued that the rule
    /// leaves it out.
    pub is_excluded: bool,
}

/// One range at one upstream.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The keys.
    pub range: KeyRange,
    /// The highest token seen.
    pub min_token: u64,
    /// When the hold runs out.
    pub expiry: Time,
    /// The same, without grants that the rule excludes.
    pub counted_expiry: Time,
    /// The same, without grants that came late either.
    pub prompt_expiry: Time,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it is known by.
    pub id: UpstreamId,
    /// Counts restarts under one id.
    pub incarnation: u32,
    /// Its ranges.
    pub holdings: Vec<Holding>,
}

impl Upstream {
    /// An upstream that holds nothing and has seen no token.
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

    /// Takes an order. An order covers whole ranges; no work is under way, so that a
    /// release is answered at once.
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
    /// A shorter grant does not end a longer one that stands.
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

    /// No release is ever refused, also one that comes late.
    fn release(&mut self, token: u64) {
        self.min_token = self.min_token.max(token);
        self.expiry = Time::ZERO;
        self.counted_expiry = Time::ZERO;
        self.prompt_expiry = Time::ZERO;
    }
}
