//! This node's standby role: prolonging recorded holds while there is no granter.
//!
//! [`beamtray_sharding::STANDBY_AUTHORIZATION`] describes what a standby may do and what its
//! granter relies on. The standby's part is the following:
//! - It acts on the newest record that it knows, if that record names it, and never on an older
//!   one.
//! - It declines as soon as the store answers while the granter is silent, since another granter
//!   can be elected then. It announces this in its registration in the store, where the granter
//!   sees it even if the two nodes can't reach each other. From that decision on it sends no orders
//!   and accepts no lease until it offers itself again.
//! - It reports to the granter which record it knows. The granter's lease echoes the send time of
//!   the report that it answers, and the standby counts the lease from that time: a lease that was
//!   delayed on its way, or that reaches a process which was suspended, doesn't last any longer.

use crate::core::message::OrderTask;
use beamtray_catalog::UpstreamId;
use beamtray_sharding::{
    Assignment, CallId, Contact, GrantOrder, GrantPace, GrantReply, GranterTiming, OrderKind,
    RecordNumber, STANDBY_AUTHORIZATION, ShardKey, SliceRecord, SliceState, StandbyId,
};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Term used in the orders of a standby; terms of granters start at 1.
pub const STANDBY_TERM: u64 = 0;
/// How long the granter must have been silent before holds are prolonged. Leases are sent more
/// often, but the granter may run with little processor time.
const GRANTER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Silence of the granter after which a standby declines if the store answers.
const DECLINE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a standby that declined must hear a granter before it offers itself again.
const OFFER_DELAY: Duration = Duration::from_millis(1_000);
/// Interval of standby reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Allows a standby to prolong holds for [`STANDBY_AUTHORIZATION`] from the echoed report time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StandbyLease {
    /// The granter's term.
    pub epoch: u64,
    /// Run of the node that the lease is for.
    pub run: u64,
    /// Send time of the latest report received from the standby, by the standby's clock.
    pub echo: Time,
}

/// The newest record of a service that a standby knows.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownRecord {
    /// The service of the record.
    pub service: ServiceName,
    /// Number of the record.
    pub number: RecordNumber,
}

/// A standby's report to the granter.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StandbyReport {
    /// The node's run.
    pub run: u64,
    /// Send time by the standby's clock.
    pub sent: Time,
    /// The records that the standby knows.
    pub known: Vec<KnownRecord>,
    /// Milliseconds since the standby last prolonged a hold, if it ever did.
    pub prolonged_ms: Option<u32>,
}

/// The state of a standby.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StandbyState {
    /// It has no lease.
    #[default]
    None,
    /// It has a lease and need not prolong holds.
    Ready,
    /// It prolongs holds.
    Prolongs,
    /// It declines: the store answers while the granter is silent.
    Declines,
}

/// Fixed parameters of a standby.
#[derive(Clone, Copy, Debug)]
pub struct StandbyConfig {
    /// Identifies this run of the node.
    pub id: StandbyId,
    /// Duration of holds, and how often they are prolonged.
    pub timing: GranterTiming,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    service: ServiceName,
    first: ShardKey,
    holder: UpstreamId,
}

/// This node's standby role.
pub struct StandbyRole {
    config: StandbyConfig,
    /// Holds may be prolonged until this time.
    lease_until: Time,
    /// When a lease was last received.
    lease_heard_at: Option<Time>,
    /// When this node started to decline being a standby.
    declines_since: Option<Time>,
    /// Leases that echo an earlier report are ignored.
    offered_at: Time,
    /// When a hold was last prolonged.
    prolonged_at: Option<Time>,
    report_at: Time,
    due: BTreeMap<(ServiceName, ShardKey), Time>,
    contacts: BTreeMap<UpstreamId, Contact>,
    calls: BTreeMap<CallId, PendingOrder>,
    next_call: u64,
}

impl StandbyRole {
    /// Creates a standby without a lease.
    pub fn new(config: StandbyConfig) -> Self {
        Self {
            config,
            lease_until: Time::ZERO,
            lease_heard_at: None,
            declines_since: None,
            offered_at: Time::ZERO,
            prolonged_at: None,
            report_at: Time::ZERO,
            due: BTreeMap::new(),
            contacts: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
        }
    }

    /// Handles a lease from the granter.
    pub fn handle_lease(&mut self, now: Time, lease: &StandbyLease) {
        let is_addressed = lease.run == self.config.id.run && lease.echo <= now;
        if !is_addressed || self.declines() || lease.echo < self.offered_at {
            return;
        }
        self.lease_heard_at = Some(now);
        self.lease_until = self.lease_until.max(lease.echo + STANDBY_AUTHORIZATION);
    }

    /// Whether this node declines to be a standby.
    pub fn declines(&self) -> bool {
        self.declines_since.is_some()
    }

    /// Whether the granter that issued leases has fallen silent, so that the store must be checked.
    pub fn misses_granter(&self, now: Time) -> bool {
        now < self.lease_until && self.granter_silence(now) >= Some(DECLINE_TIMEOUT)
    }

    fn granter_silence(&self, now: Time) -> Option<Duration> {
        self.lease_heard_at.map(|heard| now.since(heard))
    }

    /// Declines, or offers this node again. `last_store_contact` is when the last successful store
    /// call was sent; `granter_heard` tells whether a granter is heard now.
    pub fn update_declined(
        &mut self,
        now: Time,
        last_store_contact: Option<Time>,
        granter_heard: bool,
    ) {
        if let Some(since) = self.declines_since {
            if !granter_heard {
                self.declines_since = Some(now);
            } else if now.since(since) >= OFFER_DELAY {
                self.declines_since = None;
                self.offered_at = now;
            }
            return;
        }
        let store_answers = last_store_contact > self.lease_heard_at;
        if self.misses_granter(now) && store_answers {
            self.declines_since = Some(now);
            self.lease_until = Time::ZERO;
        }
    }

    fn names_this_node(&self, assignment: &Assignment) -> bool {
        assignment.standbys().contains(&self.config.id)
    }

    /// The report that is due, if a record names this node. A change of the records is reported
    /// immediately.
    pub fn report(
        &mut self,
        now: Time,
        assignments: &BTreeMap<ServiceName, Rc<Assignment>>,
        changed: bool,
    ) -> Option<StandbyReport> {
        let mut all = assignments.values();
        let is_named = all.any(|assignment| self.names_this_node(assignment));
        if !is_named || self.declines() || (now < self.report_at && !changed) {
            return None;
        }
        self.report_at = now + REPORT_INTERVAL;
        let known = assignments.iter().filter_map(|(service, assignment)| {
            Some(KnownRecord {
                service: service.clone(),
                number: assignment.number()?,
            })
        });
        let prolonged = self.prolonged_at.map(|at| now.since(at).as_millis());
        Some(StandbyReport {
            run: self.config.id.run,
            sent: now,
            known: known.collect(),
            prolonged_ms: prolonged.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        })
    }

    /// Whether holds are to be prolonged: the granter is silent, and its last lease is still valid.
    fn is_acting(&self, now: Time) -> bool {
        now < self.lease_until && self.granter_silence(now) >= Some(GRANTER_TIMEOUT)
    }

    /// The state of this node as a standby.
    pub fn state(&self, now: Time) -> StandbyState {
        if self.declines() {
            StandbyState::Declines
        } else if self.is_acting(now) {
            StandbyState::Prolongs
        } else if now < self.lease_until {
            StandbyState::Ready
        } else {
            StandbyState::None
        }
    }

    /// The orders that are due. A node doesn't prolong grants of its own term `own_term`: if it
    /// became granter again, it wouldn't account for such orders.
    pub fn poll(
        &mut self,
        now: Time,
        own_term: Option<u64>,
        assignments: &BTreeMap<ServiceName, Rc<Assignment>>,
        addresses: &BTreeMap<UpstreamId, SocketAddr>,
    ) -> Vec<OrderTask> {
        if !self.is_acting(now) {
            self.due.clear();
            self.contacts.clear();
            return Vec::new();
        }
        let mut tasks = Vec::new();
        for (service, assignment) in assignments {
            let epoch = assignment.number().map(|number| number.epoch.0);
            let is_own = own_term >= epoch;
            if is_own || !self.names_this_node(assignment) {
                continue;
            }
            let pace = self.config.timing.pace(assignment.slices().count());
            let orders = assignment.slices().filter_map(|slice| {
                let order = self.order(now, pace, service, slice)?;
                Some(OrderTask {
                    service: service.clone(),
                    address: addresses.get(&order.holder).copied(),
                    probe_key: key_of_others(assignment, &order.holder),
                    order,
                    until: self.lease_until,
                })
            });
            tasks.extend(orders);
        }
        if !tasks.is_empty() {
            self.prolonged_at = Some(now);
        }
        tasks
    }

    fn order(
        &mut self,
        now: Time,
        pace: GrantPace,
        service: &ServiceName,
        slice: &SliceRecord,
    ) -> Option<GrantOrder> {
        let SliceState::Held { holder, token } = &slice.state else {
            return None;
        };
        let due = self
            .due
            .entry((service.clone(), slice.range.first))
            .or_default();
        let contact = self.contacts.entry(holder.clone()).or_default();
        if now < *due || !contact.may_send_grant(now, None) {
            return None;
        }
        *due = now + pace.renewal;
        let call = CallId(self.next_call);
        self.next_call += 1;
        contact.sent(now, call);
        let pending = PendingOrder {
            service: service.clone(),
            first: slice.range.first,
            holder: holder.clone(),
        };
        self.calls.insert(call, pending);
        Some(GrantOrder {
            call,
            holder: holder.clone(),
            range: slice.range,
            token: *token,
            kind: OrderKind::Grant {
                hold: pace.hold,
                handover: None,
            },
        })
    }

    /// Handles an upstream's reply.
    pub fn handle_reply(&mut self, now: Time, call: CallId, reply: &GrantReply) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        let contact = self.contacts.entry(pending.holder).or_default();
        if matches!(reply, GrantReply::Granted | GrantReply::Outdated) {
            contact.answered(call);
        } else {
            contact.unanswered(now, call);
            self.due.insert((pending.service, pending.first), now);
        }
    }
}

/// A key held by another upstream, if there is one.
fn key_of_others(assignment: &Assignment, holder: &UpstreamId) -> Option<ShardKey> {
    let mut slices = assignment.slices();
    let of_others = slices.find(|slice| match &slice.state {
        SliceState::Held { holder: other, .. } => other.name != holder.name,
        SliceState::Free | SliceState::Leaving { .. } => false,
    });
    of_others.map(|slice| slice.range.first)
}
