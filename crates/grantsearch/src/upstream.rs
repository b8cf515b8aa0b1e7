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
    pub floor: u64,
    /// When the hold runs out.
    pub ends: Time,
    /// The same, without grants that the rule excludes.
    pub counted_ends: Time,
    /// The same, without grants that came late either.
    pub prompt_ends: Time,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it is known by.
    pub id: UpstreamId,
    /// Counts restarts under one id.
    pub life: u32,
    /// Its ranges.
    pub holdings: Vec<Holding>,
}

impl Upstream {
    /// An upstream that holds nothing and has seen no token.
    pub fn new(id: UpstreamId, life: u32, ranges: &[KeyRange]) -> Self {
        let holdings = ranges.iter().map(|range| Holding {
            range: *range,
            floor: 0,
            ends: Time::ZERO,
            counted_ends: Time::ZERO,
            prompt_ends: Time::ZERO,
        });
        Self {
            id,
            life,
            holdings: holdings.collect(),
        }
    }

    /// Takes an order. An order covers whole ranges; no work is under way, so that a
    /// release is answered at once.
    pub fn order(&mut self, now: Time, order: &GrantOrder, arrival: Arrival) -> GrantReply {
        if order.holder.name != self.id.name {
            return GrantReply::Replaced;
        }
        let concerned = self.holdings.iter_mut();
        let concerned = concerned.filter(|holding| holding.range.overlaps(order.range));
        let concerned: Vec<&mut Holding> = concerned.collect();
        match &order.kind {
            OrderKind::Grant { hold, .. } => {
                if concerned.iter().any(|held| held.floor > order.token.0) {
                    return GrantReply::Outdated;
                }
                let ends = now + *hold * (100 + SLOW_PERCENT) / 100;
                for holding in concerned {
                    holding.take(order.token.0, ends, arrival);
                }
                GrantReply::Granted
            }
            OrderKind::Release => {
                for holding in concerned {
                    holding.release(order.token.0);
                }
                GrantReply::Released(None)
            }
        }
    }
}

impl Holding {
    /// A shorter grant does not end a longer one that stands.
    fn take(&mut self, token: u64, ends: Time, arrival: Arrival) {
        self.floor = token;
        self.ends = self.ends.max(ends);
        if arrival.is_excluded {
            return;
        }
        self.counted_ends = self.counted_ends.max(ends);
        if !arrival.is_late {
            self.prompt_ends = self.prompt_ends.max(ends);
        }
    }

    /// No release is ever refused, also one that comes late.
    fn release(&mut self, token: u64) {
        self.floor = self.floor.max(token);
        self.ends = Time::ZERO;
        self.counted_ends = Time::ZERO;
        self.prompt_ends = Time::ZERO;
    }
}
