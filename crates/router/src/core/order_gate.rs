//! Which orders may open a connection to their upstream.
//!
//! An upstream that restarts under its name has forgotten every token, and takes keys under
//! any. What tells of it first is the end of the connections to it; from then on the granter
//! gives orders under fresh tokens. Orders that it gave a moment before are still to be
//! written, though, and a connection that is opened now leads to the restart.
//!
//! Invariant: once a connection to an upstream has ended, no grant goes over a new one under
//! a token that is not above all that were written to that upstream before. Counter-case:
//! four renewals of one moment; the first found its connection ended, the other three found
//! none at all, opened new ones, and were taken by the restart, 7 ms after its start, under
//! the tokens of the process before.
//!
//! A standby repeats recorded tokens and has no others, so its orders are let through.

use crate::core::standby::STANDBY_TERM;
use beamtray_catalog::UpstreamName;
use beamtray_sharding::{FencingToken, GrantOrder, OrderKind};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an upstream that is given no order is remembered, twice as long at most: longer
/// than an order that was given may wait for its connection.
const REMEMBERED: Duration = Duration::from_secs(10);

/// The tokens of the orders that were written to an upstream.
#[derive(Clone, Copy, Debug)]
struct Written {
    highest: FencingToken,
    /// The highest one when a connection last ended.
    outdated: FencingToken,
    at: Time,
}

/// Tells which orders may open a connection to their upstream.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    upstreams: BTreeMap<UpstreamName, Written>,
    /// When those that are given no orders any more are forgotten next: not with each order,
    /// which would look at all upstreams for each.
    forget_at: Time,
}

impl OrderGate {
    /// Whether an order of that term may open a connection.
    pub fn may_connect(&self, order: &GrantOrder, term: u64) -> bool {
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        if !is_grant || term == STANDBY_TERM {
            return true;
        }
        let written = self.upstreams.get(&order.holder.name);
        written.is_none_or(|written| order.token > written.outdated)
    }

    /// Notes that an order is about to be written.
    pub fn written(&mut self, now: Time, order: &GrantOrder) {
        if now >= self.forget_at {
            self.forget_at = now + REMEMBERED;
            self.upstreams
                .retain(|_, written| now.since(written.at) < REMEMBERED);
        }
        let name = order.holder.name.clone();
        let written = self.upstreams.entry(name).or_insert(Written {
            highest: order.token,
            outdated: FencingToken(0),
            at: now,
        });
        written.highest = written.highest.max(order.token);
        written.at = now;
    }

    /// Notes that a connection to an upstream has ended.
    pub fn connection_ended(&mut self, upstream: &UpstreamName) {
        if let Some(written) = self.upstreams.get_mut(upstream) {
            written.outdated = written.highest;
        }
    }
}
