//! This node as a standby: it prolongs recorded holds while there is no granter.
//!
//! See [`beamtray_sharding::STANDBY_SPAN`] for what a standby may do and what its
//! granter relies on. Here is the standby's side of it:
//!
//! - It acts by the newest record that it knows, if that names it, and never by
//!   an older one.
//! - It declines as soon as the store answers while the granter is silent: another
//!   granter can be elected then. It says so in its entry in the store, where the
//!   granter sees it though they may not hear each other; from the decision on
//!   it gives no order and takes no word until it offers itself again.
//! - It tells the granter which record that is. The granter's word echoes when
//!   the report that it answers was sent, and the standby counts from then: a
//!   word that was long on its way, or found a process that stood still, lasts no
//!   longer for it.

use crate::core::message::OrderTask;
use beamtray_catalog::UpstreamId;
use beamtray_sharding::{
    Assignment, CallId, Contact, GrantOrder, GrantPace, GrantReply, GranterTiming, OrderKind,
    RecordNumber, STANDBY_SPAN, ShardKey, SliceRecord, SliceState, StandbyId,
};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Stands for the term in orders of a standby; terms begin with 1.
pub const STANDBY_TERM: u64 = 0;
/// How long the granter must have been silent. Its words come more often, but it
/// may be a node with little processor time.
const GRANTER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Silence of the granter after which a store that answers makes a standby
/// decline.
const DECLINE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a standby that declined must have heard a granter to offer itself
/// again.
const OFFER_DELAY: Duration = Duration::from_millis(1_000);
/// Between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The granter's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StandbyLease {
    /// The granter's term.
    pub epoch: u64,
    /// The run of the node that is meant.
    pub run: u64,
    /// When the last report that the granter has was sent, by the standby's
    /// clock.
    pub echo: Time,
}

/// The record of a service that a standby knows.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownRecord {
    /// The service.
    pub service: ServiceName,
    /// The record.
    pub number: RecordNumber,
}

/// A standby's report to the granter.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StandbyReport {
    /// The node's run.
    pub run: u64,
    /// When it is sent, by the standby's clock.
    pub sent: Time,
    /// What the standby knows.
    pub known: Vec<KnownRecord>,
    /// Milliseconds since it last ordered a holder to hold on, if it ever did.
    pub prolonged_ms: Option<u32>,
}

/// What a standby does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StandbyState {
    /// It has no word of a granter.
    #[default]
    None,
    /// It may prolong holds and need not.
    Ready,
    /// It prolongs holds.
    Prolongs,
    /// It declines: the store answers while the granter is silent.
    Declines,
}

/// Fixed values of a standby.
#[derive(Clone, Copy, Debug)]
pub struct StandbyConfig {
    /// This node's run.
    pub id: StandbyId,
    /// How long it orders holders to hold on, and how often.
    pub timing: GranterTiming,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    service: ServiceName,
    first: ShardKey,
    holder: UpstreamId,
}

/// This node as a standby.
pub struct StandbyRole {
    config: StandbyConfig,
    /// Until when holds may be prolonged.
    lease_until: Time,
    /// When a word last came.
    lease_heard_at: Option<Time>,
    /// Since when this node declines to be a standby.
    declines_since: Option<Time>,
    /// Words that answer an older report are not taken.
    offered_at: Time,
    /// When an order was last given.
    prolonged_at: Option<Time>,
    report_at: Time,
    due: BTreeMap<(ServiceName, ShardKey), Time>,
    contacts: BTreeMap<UpstreamId, Contact>,
    calls: BTreeMap<CallId, PendingOrder>,
    next_call: u64,
}

impl StandbyRole {
    /// A standby that has no word yet.
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

    /// Takes the granter's word.
    pub fn handle_lease(&mut self, now: Time, lease: &StandbyLease) {
        let is_addressed = lease.run == self.config.id.run && lease.echo <= now;
        if !is_addressed || self.declines() || lease.echo < self.offered_at {
            return;
        }
        self.lease_heard_at = Some(now);
        self.lease_until = self.lease_until.max(lease.echo + STANDBY_SPAN);
    }

    /// Whether this node declines to be a standby.
    pub fn declines(&self) -> bool {
        self.declines_since.is_some()
    }

    /// Whether the granter, which has sent words, has fallen silent: the store is
    /// to be asked whether it answers.
    pub fn misses_granter(&self, now: Time) -> bool {
        now < self.lease_until && self.granter_silence(now) >= Some(DECLINE_TIMEOUT)
    }

    fn granter_silence(&self, now: Time) -> Option<Duration> {
        self.lease_heard_at.map(|heard| now.since(heard))
    }

    /// Declines, or offers this node again. `last_store_contact` is when the last
    /// call was sent that the store answered; `granter_heard` whether a granter
    /// is heard now.
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

    /// The report that is due, if a record names this node. A change of the
    /// records is told at once.
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

    /// Whether holds are to be prolonged: the granter is silent, and its last
    /// word still holds.
    fn is_acting(&self, now: Time) -> bool {
        now < self.lease_until && self.granter_silence(now) >= Some(GRANTER_TIMEOUT)
    }

    /// What this node does as a standby.
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

    /// Orders that are due. A node does not prolong what it granted itself in
    /// `own_term`: it would not count such orders if it had its right again.
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
        if now < *due || !contact.takes_grants(now, None) {
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

    /// Takes an upstream's answer.
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

/// A key that another upstream holds, if there is one.
fn key_of_others(assignment: &Assignment, holder: &UpstreamId) -> Option<ShardKey> {
    let mut slices = assignment.slices();
    let of_others = slices.find(|slice| match &slice.state {
        SliceState::Held { holder: other, .. } => other.name != holder.name,
        SliceState::Free | SliceState::Leaving { .. } => false,
    });
    of_others.map(|slice| slice.range.first)
}
