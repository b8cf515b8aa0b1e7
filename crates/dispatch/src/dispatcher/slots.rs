//! Allocation of upstream slots to the nodes of a zone by its relay.
//!
//! In large deployments a node learns of the others' requests from sums that are about as old
//! as a request lasts. All nodes would then send to the same upstreams, which were idle a
//! moment ago, and fill their queues. A node with a request without a key therefore asks its
//! zone's relay, which learns of every request of the zone, where to send it. The relay counts
//! each allocated slot until the node's own report covers it.
//!
//! A node that gets no reply within [`RELAY_TIMEOUT`] chooses by itself: the loss of a relay
//! costs its zone that delay, and no request.

use super::choice::Query;
use super::{Dispatcher, Request};
use crate::report::{LoadReport, UpstreamHash};
use crate::request::Ticket;
use beamtray_catalog::Directory;
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long a node waits for the relay's reply: a few round trips within a zone, plus the
/// scheduling delay of a relay with little CPU time.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(40);
/// Number of consecutive requests without a reply after which the relay is not asked for
/// [`RELAY_BACKOFF`].
const MAX_UNANSWERED: u32 = 2;
/// How long an unresponsive relay is not asked.
const RELAY_BACKOFF: Duration = Duration::from_millis(300);
/// Delay before the relay is asked again after it had no slot.
pub(super) const NO_SLOT_BACKOFF: Duration = Duration::from_millis(30);
/// How long an upstream that a node could not reach is allocated to others only if the
/// alternatives are much busier.
const UNREACHABLE_FOR: Duration = Duration::from_millis(400);

/// Asks a relay to select the upstream for a request.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SlotRequest {
    /// The request, as known to the asking node.
    pub ticket: Ticket,
    /// The asking node's requests in flight.
    pub report: LoadReport,
    /// Service of the request.
    pub service: ServiceName,
    /// Average duration of such a request in microseconds.
    pub work_us: u32,
    /// Milliseconds within which the request should be answered.
    pub left_ms: u32,
    /// Upstreams to exclude.
    pub excluded: Vec<UpstreamHash>,
    /// Upstreams among the excluded ones that the asking node can't reach.
    pub unreachable: Vec<UpstreamHash>,
}

/// A relay's reply to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SlotReply {
    /// The request that the slot is for.
    pub ticket: Ticket,
    /// The selected upstream; `None` if all are busy.
    pub upstream: Option<UpstreamHash>,
}

/// State of a request's slot allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SlotState {
    /// The relay has not been asked.
    #[default]
    NotAsked,
    /// The relay was asked; its reply is awaited until then.
    Asked(Time),
    /// The relay selected this upstream.
    Allocated(UpstreamHash),
    /// The relay had no slot.
    Refused,
    /// The relay did not reply; this node chooses by itself.
    Unanswered,
}

/// Outcomes of slot requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// The relay selected an upstream.
    pub given: u64,
    /// The relay had no slot.
    pub refused: u64,
    /// The relay did not reply in time.
    pub unanswered: u64,
    /// Requests of other nodes that this node handled as the relay.
    pub asked_here: u64,
}

/// Tracks whether the relay replies, and which upstreams other nodes can't reach.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTracker {
    /// Whether the zone has a relay to ask.
    pub has_relay: bool,
    pub counts: SlotCounts,
    unanswered: u32,
    ask_from: Time,
    unreachable_until: HashMap<UpstreamHash, Time>,
}

impl SlotTracker {
    fn may_ask(&self, now: Time) -> bool {
        self.has_relay && now >= self.ask_from
    }

    fn note_unanswered(&mut self, now: Time) {
        self.counts.unanswered += 1;
        self.unanswered += 1;
        if self.unanswered >= MAX_UNANSWERED {
            self.unanswered = 0;
            self.ask_from = now + RELAY_BACKOFF;
        }
    }

    /// Whether another node recently failed to reach the upstream.
    pub fn is_reported_unreachable(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.unreachable_until
            .get(&upstream)
            .is_some_and(|until| now < *until)
    }

    fn note_unreachable(&mut self, now: Time, upstreams: &[UpstreamHash]) {
        self.unreachable_until.retain(|_, until| now < *until);
        let until = now + UNREACHABLE_FOR;
        self.unreachable_until
            .extend(upstreams.iter().map(|upstream| (*upstream, until)));
    }
}

/// Next step of a request's slot allocation.
pub(super) enum SlotStep {
    /// Ask the relay.
    Ask,
    /// Wait for the relay's reply.
    Wait,
    /// Send the request to this upstream.
    Use(UpstreamHash),
    /// Choose without the relay.
    Choose,
    /// Give up: the relay has had no slot for as long as the request may wait.
    GiveUp,
}

impl Dispatcher {
    /// Sets whether the zone has a relay that allocates slots.
    pub fn set_slot_relay(&mut self, has_relay: bool) {
        self.slots.has_relay = has_relay;
    }

    /// Outcomes of slot requests.
    pub fn slot_counts(&self) -> SlotCounts {
        self.slots.counts
    }

    pub(super) fn slot_step(&mut self, now: Time, request: &mut Request) -> SlotStep {
        match request.slot {
            SlotState::Refused if now >= request.wait_until => SlotStep::GiveUp,
            SlotState::NotAsked | SlotState::Refused if self.slots.may_ask(now) => {
                request.slot = SlotState::Asked(now + RELAY_TIMEOUT);
                SlotStep::Ask
            }
            SlotState::Asked(until) if now < until => SlotStep::Wait,
            SlotState::Asked(_) => {
                self.slots.note_unanswered(now);
                request.slot = SlotState::Unanswered;
                SlotStep::Choose
            }
            SlotState::Allocated(upstream) => SlotStep::Use(upstream),
            SlotState::NotAsked | SlotState::Refused | SlotState::Unanswered => SlotStep::Choose,
        }
    }

    /// Builds the slot request for a request.
    pub(super) fn slot_request(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
    ) -> SlotRequest {
        let pool = self.pools.of(&request.service);
        let is_member = |upstream: &UpstreamHash| pool.iter().any(|one| one.hash == *upstream);
        let unreachable: Vec<UpstreamHash> =
            self.unreachable_upstreams(now).filter(is_member).collect();
        let mut excluded = request.tried.clone();
        excluded.extend(&unreachable);
        let backed_off = self.requested_backoffs.upstreams(now);
        excluded.extend(backed_off.filter(is_member));
        let query = self.query(now, request);
        SlotRequest {
            ticket,
            report: self.load_report(Vec::new()),
            service: request.service.clone(),
            work_us: (query.work * 1e6) as u32,
            left_ms: (query.time_left * 1e3) as u32,
            excluded,
            unreachable,
        }
    }

    /// As the relay: selects an upstream for another node's request and counts the slot.
    pub fn allocate_slot(
        &mut self,
        now: Time,
        directory: &Directory,
        request: &SlotRequest,
    ) -> SlotReply {
        self.update_pools(directory);
        self.begin_relay_round(now);
        self.slots.counts.asked_here += 1;
        self.slots.note_unreachable(now, &request.unreachable);
        let query = Query {
            work: f64::from(request.work_us) / 1e6,
            time_left: f64::from(request.left_ms) / 1e3,
            tried: &request.excluded,
            is_for_peer: true,
        };
        let member = self.select(now, &query, &request.service);
        let upstream = member.map(|member| member.hash);
        if let Some(upstream) = upstream {
            self.occupancy
                .slot_allocated(now, request.report.node, upstream);
        }
        SlotReply {
            ticket: request.ticket,
            upstream,
        }
    }

    /// Handles the relay's reply.
    pub fn handle_slot_reply(&mut self, now: Time, reply: SlotReply) {
        self.slots.unanswered = 0;
        let Some(request) = self.requests.get_mut(&reply.ticket) else {
            return;
        };
        if !matches!(request.slot, SlotState::Asked(_)) {
            return;
        }
        match reply.upstream {
            Some(upstream) => {
                self.slots.counts.given += 1;
                request.slot = SlotState::Allocated(upstream);
            }
            None => {
                self.slots.counts.refused += 1;
                request.slot = SlotState::Refused;
                request.not_before = now + NO_SLOT_BACKOFF;
            }
        }
    }
}
