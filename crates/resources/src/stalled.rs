//! Which connections give way when memory or descriptors run short.
//!
//! Invariant: a connection gives way only if it is stalled or rests between requests. One whose bytes
//! arrive at an ordinary pace, or whose request is at an upstream, keeps its place, so a crowd that
//! sends nothing takes nothing from clients that do.

use std::time::Duration;

/// How long a connection may be in a phase before its pace counts.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// A head or body that arrives more slowly is stalled, in bytes per second.
pub const MIN_PACE: u64 = 16 * 1_024;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It was refused; what it still sends is discarded.
    Discarding,
    /// It has sent nothing yet.
    Fresh,
    /// A head arrives.
    Head,
    /// A body arrives.
    Body,
    /// It rests between two requests.
    Resting,
    /// Its request is at work, or its answer is written.
    Serving,
}

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<Id> {
    /// Identifies the connection.
    pub id: Id,
    /// What it is doing.
    pub phase: Phase,
    /// For how long.
    pub age: Duration,
    /// Bytes that arrived in this phase.
    pub arrived: u64,
    /// Bytes of memory that its body holds.
    pub held: usize,
}

impl<Id> Exchange<Id> {
    /// Bytes per second since the phase began.
    fn pace(&self) -> u64 {
        let millis = self.age.as_millis().max(1) as u64;
        self.arrived.saturating_mul(1_000) / millis
    }

    fn may_give_way(&self) -> bool {
        match self.phase {
            Phase::Serving => false,
            Phase::Discarding => true,
            Phase::Resting => self.age >= STALL_TIME,
            Phase::Fresh | Phase::Head | Phase::Body => {
                self.age >= STALL_TIME && self.pace() < MIN_PACE
            }
        }
    }
}

/// The connection that gives way to a new one: resting ones last, otherwise the slowest, and of these
/// the oldest.
pub fn most_stalled<Id: Copy>(exchanges: impl Iterator<Item = Exchange<Id>>) -> Option<Id> {
    let candidates = exchanges.filter(Exchange::may_give_way);
    let rank = |exchange: &Exchange<Id>| {
        let is_resting = exchange.phase == Phase::Resting;
        let pace = if is_resting { 0 } else { exchange.pace() };
        (is_resting, pace, std::cmp::Reverse(exchange.age))
    };
    candidates.min_by_key(rank).map(|exchange| exchange.id)
}

/// The stalled bodies that give way so that `bytes` become free, slowest first; none if all of them
/// together hold less.
pub fn stalled_bodies<Id: Copy>(
    exchanges: impl Iterator<Item = Exchange<Id>>,
    bytes: usize,
) -> Vec<Id> {
    let is_stalled =
        |exchange: &Exchange<Id>| exchange.phase == Phase::Body && exchange.may_give_way();
    let mut stalled: Vec<Exchange<Id>> = exchanges.filter(is_stalled).collect();
    stalled.sort_by_key(Exchange::pace);
    let mut freed = 0;
    let mut chosen = Vec::new();
    for exchange in stalled {
        if freed >= bytes {
            break;
        }
        freed += exchange.held;
        chosen.push(exchange.id);
    }
    if freed < bytes { Vec::new() } else { chosen }
}
