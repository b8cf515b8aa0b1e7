//! Slots of upstreams that one node of a zone gives out to the others.
//!
//! Where there are many nodes, each hears of the others' requests by sums that are
//! about as old as a request lasts. All of them then send to the same upstreams,
//! which looked idle a while ago, and fill their queues. So a node that has a
//! request without a key asks its zone's relay, which hears of every request of the
//! zone, where to send it. The relay counts what it gave out until the node reports
//! it.
//!
//! A node that gets no answer within [`RELAY_TIMEOUT`] chooses by itself: a relay that
//! is lost costs its zone that wait, and no request.

use super::choice::Query;
use super::{Dispatcher, Request};
use crate::report::{LoadReport, UpstreamHash};
use crate::request::Ticket;
use beamtray_catalog::Directory;
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long the relay's answer is waited for: some round trips within a zone, and a
/// turn of a relay that has little processor time.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(40);
/// Answers that stay out one after the other until a relay is not asked for a while.
const MAX_UNANSWERED: u32 = 2;
/// How long that while is.
const RELAY_BACKOFF: Duration = Duration::from_millis(300);
/// Pause before the relay is asked again when it had no slot.
pub(super) const NO_SLOT_BACKOFF: Duration = Duration::from_millis(30);
/// How long an upstream that a node could not reach is given to others only if
/// they are much busier.
const UNREACHABLE_FOR: Duration = Duration::from_millis(400);

/// Asks a relay which upstream a request is to be sent to.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SlotRequest {
    /// The request at the asking node.
    pub ticket: Ticket,
    /// What the asking node has under way now.
    pub report: LoadReport,
    /// The service.
    pub service: ServiceName,
    /// Microseconds that such a request takes on average.
    pub work_us: u32,
    /// Milliseconds within which it is to be answered.
    pub left_ms: u32,
    /// Upstreams that it is not to be sent to.
    pub excluded: Vec<UpstreamHash>,
    /// Those of them that the asking node can't reach.
    pub unreachable: Vec<UpstreamHash>,
}

/// A relay's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SlotReply {
    /// The request that asked.
    pub ticket: Ticket,
    /// The upstream; none if all are busy.
    pub upstream: Option<UpstreamHash>,
}

/// How a request stands with the relay that gives out slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SlotState {
    /// The relay was not asked.
    #[default]
    NotAsked,
    /// It was, and is waited for until then.
    Asked(Time),
    /// It named an upstream.
    Allocated(UpstreamHash),
    /// It had none.
    Refused,
    /// It did not answer: this node chooses by itself.
    Unanswered,
}

/// How questions for slots ended, since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// The relay named an upstream.
    pub given: u64,
    /// It had none.
    pub refused: u64,
    /// It did not answer in time.
    pub unanswered: u64,
    /// As the relay: questions of other nodes.
    pub asked_here: u64,
}

/// Whether the relay answers, and whom other nodes can't reach.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTracker {
    /// Whether there is a relay to ask.
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

    /// Whether another node could not reach the upstream of late.
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

/// What the relay says to a request now.
pub(super) enum SlotStep {
    /// Ask it.
    Ask,
    /// Wait for its answer.
    Wait,
    /// Send the request there.
    Use(UpstreamHash),
    /// Choose without it.
    Choose,
    /// Give up: it has had no slot for as long as the request may wait.
    GiveUp,
}

impl Dispatcher {
    /// States whether there is a relay that gives out slots.
    pub fn set_slot_relay(&mut self, has_relay: bool) {
        self.slots.has_relay = has_relay;
    }

    /// How questions for slots ended.
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

    /// The question to the relay for a request.
    pub(super) fn slot_request(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: &Request,
    ) -> SlotRequest {
        let pool = self.pools.of(&request.service);
        let paused = pool.iter().map(|member| member.hash);
        let unreachable: Vec<UpstreamHash> = paused
            .filter(|upstream| self.is_unreachable(now, *upstream))
            .collect();
        let mut excluded = request.tried.clone();
        excluded.extend(&unreachable);
        let resting = pool.iter().map(|member| member.hash);
        excluded.extend(resting.filter(|upstream| self.is_resting(now, *upstream)));
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

    /// As the relay: chooses an upstream for another node's request and counts it.
    pub fn allocate_slot(
        &mut self,
        now: Time,
        directory: &Directory,
        request: &SlotRequest,
    ) -> SlotReply {
        self.pools.update(directory);
        self.slots.counts.asked_here += 1;
        self.slots.note_unreachable(now, &request.unreachable);
        let query = Query {
            work: f64::from(request.work_us) / 1e6,
            time_left: f64::from(request.left_ms) / 1e3,
            tried: &request.excluded,
            is_for_peer: true,
        };
        let pool = self.pools.of(&request.service);
        let member = self.least_cost(now, &query, &pool);
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

    /// Takes the relay's answer.
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
