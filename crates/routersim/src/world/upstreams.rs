//! Simulated upstreams: lifecycle, requests and responses.

use super::network::{Event, Run};
use super::nodes::node_at;
use super::partitions::{Passage, REFUSAL_DELAY};
use super::restarts::reports_birth;
use super::{KEYED, POOL, World};
use crate::check::COLD_START;
use crate::check::Sender;
use crate::event_log::LoggedEvent;
use crate::fault::CutFrom;
use beamtray_catalog::{
    AdvertisedRate, RequestRate, StartTimestamp, UpstreamId, UpstreamState as Announced,
};
use beamtray_dispatch::{
    AttemptOutcome, Forward, GatewayFailure, NotExecuted, Ticket, UnknownCause,
};
use beamtray_emulator::{
    Arrival, FullPolicy, Run as WorkRun, RunId, UpstreamConfig, UpstreamEmulator, WorkRequest,
};
use beamtray_router::core::Input;
use beamtray_sharding::{GrantOrder, GrantReply, Handover};
use beamtray_types::{ServiceName, Time};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const PORT: u16 = 8000;
/// Time until a node learns that no connection was opened through another one.
const TUNNEL_DELAY: Duration = Duration::from_millis(4);
/// Time for which a node waits for a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Percentage of crashes after which a delayed write of the crashed upstream arrives.
pub(super) const LATE_REGISTRATION_PERCENT: u32 = 50;
/// Time for which an upstream runs a poison request before it crashes.
const POISON_WORK: Duration = Duration::from_millis(20);
/// Missed heartbeats after which a registration expires.
pub(super) const MISSED_HEARTBEATS: u32 = 3;

/// Outcome of an attempt that an upstream rejects.
const REJECTED: AttemptOutcome = AttemptOutcome::NotExecuted(NotExecuted::Full);

/// An attempt accepted by an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Taken {
    pub(super) node: usize,
    pub(super) run: Run,
    pub(super) ticket: Ticket,
    pub(super) attempt: u32,
    pub(super) upstream: UpstreamId,
    /// The node through which it was sent, and the run of its process.
    gateway: Option<(usize, Run)>,
    repeatable: bool,
    poison: Option<String>,
    /// Whether the upstream has begun to run it.
    begun: bool,
}

/// Status information in an upstream's response.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub upstream: UpstreamId,
    pub rate: AdvertisedRate,
    /// Whether the upstream is leaving.
    pub leaves: bool,
    /// The retry-after period that it requests.
    pub rest: Option<Duration>,
}

/// A release that waits for running work to end.
#[derive(Clone, Debug)]
pub(crate) struct PendingRelease {
    pub node: usize,
    pub run: Run,
    pub service: ServiceName,
    pub order: GrantOrder,
    pub epoch: u64,
}

/// State of an upstream across its incarnations.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamState {
    pub incarnation: u64,
    /// First incarnation with its current name.
    named: u64,
    /// Whether the next incarnation keeps its name.
    pub keeps_name: bool,
    /// Whether connections to the address time out.
    pub dark: bool,
    /// Time since which the store is unreachable.
    pub cut_since: Option<Time>,
    /// The only node that reaches it, if it is partitioned.
    pub reached_from: Option<usize>,
    /// Links that are down.
    pub unreached_from: Option<CutFrom>,
    /// Time at which its links were restored.
    pub healed_at: Option<Time>,
    /// End of its cold start.
    pub cold_until: Time,
    /// Rate limit that its responses advertise.
    pub rate: Option<RequestRate>,
    /// Retry-after period with which it rejects all requests.
    pub rest: Option<Duration>,
    /// Whether its responses announce that it is leaving.
    pub leaves: bool,
    /// Whether it has permanently deleted its registration.
    pub withdrawn: bool,
    pub next_heartbeat: Time,
    taken: BTreeMap<String, Taken>,
    pub releases: BTreeMap<u64, PendingRelease>,
}

impl UpstreamState {
    /// Contents of the poison requests that this upstream has begun to run, one entry per
    /// request.
    pub(super) fn poison_under_way(&self) -> Vec<String> {
        let begun = self.taken.values().filter(|taken| taken.begun);
        begun.filter_map(|taken| taken.poison.clone()).collect()
    }
}

pub(super) fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 1, high, low), PORT))
}

pub(super) fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])).checked_sub(1)
}

pub(super) fn key_of(id: &UpstreamId) -> String {
    format!("upstreams/{}", id.name)
}

impl World {
    pub(super) fn start_upstream(&mut self, index: usize) {
        let state = &mut self.upstream_state[index];
        let incarnation = state.incarnation + 1;
        let named = match state.keeps_name {
            true => state.named,
            false => incarnation,
        };
        let unreached_from = state.unreached_from.take();
        *state = UpstreamState {
            incarnation,
            named,
            cut_since: state.cut_since.filter(|_| unreached_from.is_some()),
            unreached_from,
            healed_at: state.healed_at,
            ..UpstreamState::default()
        };
        if self.now >= Time::ZERO + self.config.warm_up_time {
            self.upstream_state[index].cold_until = self.now + COLD_START;
        }
        let mut id = UpstreamId::from(format!("u{index}-{named}"));
        id.started_at = reports_birth(index).then_some(StartTimestamp(self.now.0 / 1_000));
        self.event_log
            .add(self.now, || LoggedEvent::UpstreamStarted(id.clone()));
        let is_sharded = index < self.config.keyed;
        let slowness_percent = [70, 100, 160][self.random.random_range(0..3)];
        self.upstreams[index] = Some(UpstreamEmulator::new(UpstreamConfig {
            id,
            service: ServiceName::from(if is_sharded { KEYED } else { POOL }),
            address: address(index),
            zone: ["a", "b", "c"][index % 3].into(),
            slots: 2,
            queue: 8,
            is_sharded,
            full: if index.is_multiple_of(2) {
                FullPolicy::Hang
            } else {
                FullPolicy::Shed
            },
            slowness_percent,
        }));
    }

    /// Starts the departure of an upstream.
    pub(super) fn drain(&mut self, index: usize, abrupt: bool) {
        let now = self.now;
        let Some(upstream) = &mut self.upstreams[index] else {
            return;
        };
        if self.store_state.down || self.upstream_state[index].withdrawn {
            return;
        }
        upstream.state = Announced::Draining;
        self.upstream_state[index].leaves |= !abrupt;
        let (id, record) = (upstream.config.id.clone(), upstream.record());
        self.upstream_state[index].withdrawn = true;
        if abrupt {
            self.store.delete(now, &key_of(&id));
        } else {
            let value = self.dialect.encode_upstream(record);
            self.store.put(now, &key_of(&id), value);
        }
        if self.is_store_stable() {
            self.checkers.upstream_left(now, &id);
        }
        let incarnation = self.upstream_state[index].incarnation;
        let delay = self.millis(2_200, 5_000);
        self.schedule(
            delay,
            Event::UpstreamEnd {
                index,
                incarnation,
                back: true,
            },
        );
    }

    pub(super) fn end_upstream(&mut self, index: usize, incarnation: u64, back: bool) {
        if self.upstream_state[index].incarnation != incarnation {
            return;
        }
        let Some(upstream) = self.upstreams[index].take() else {
            return;
        };
        self.event_log.add(self.now, || {
            LoggedEvent::UpstreamEnded(upstream.config.id.clone())
        });
        let planned = self.upstream_state[index].withdrawn;
        if planned && !self.store_state.down {
            self.store.delete(self.now, &key_of(&upstream.config.id));
        }
        if planned && back {
            self.schedule(Duration::from_secs(2), Event::UpstreamStart { index });
        }
        self.break_off(index);
    }

    /// Ends the connections of an upstream.
    pub(super) fn break_off(&mut self, index: usize) {
        let dark = self.upstream_state[index].dark;
        let taken = std::mem::take(&mut self.upstream_state[index].taken);
        if dark {
            return;
        }
        for taken in taken.into_values() {
            let outcome = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
            self.end_reached(index, &taken, outcome);
        }
    }

    /// Crashes an upstream, which comes back under another name.
    pub(super) fn crash(&mut self, index: usize, dark: bool, duration: Duration) {
        let Some(upstream) = self.upstreams[index].take() else {
            return;
        };
        let record = upstream.record();
        let id = upstream.config.id;
        self.event_log
            .add(self.now, || LoggedEvent::UpstreamEnded(id.clone()));
        self.upstream_state[index].dark = dark;
        self.break_off(index);
        self.upstream_state[index].withdrawn = true;
        let back = duration.max(Duration::from_secs(2));
        self.schedule(back, Event::UpstreamStart { index });
        if self.chance(LATE_REGISTRATION_PERCENT) {
            // A delayed write of the crashed upstream.
            let delay = back + self.millis(1_500, 4_000);
            self.schedule(delay, Event::LateRegistration { record });
        }
        // The store expires the registration, which is not renewed.
        let key = key_of(&id);
        if !self.store_state.down {
            self.store.delete(self.now, &key);
        }
    }

    /// Sends a request to an upstream as an attempt with a unique number. The node does not
    /// count an attempt that did not arrive, so the node would use the same number again.
    pub(super) fn forward(&mut self, node: usize, run: Run, ticket: Ticket, mut forward: Forward) {
        self.last_attempt += 1;
        forward.attempt = self.last_attempt;
        if self.is_connected(node) && self.is_store_stable() {
            self.check_configuration(node);
            if let Some(asked) = self.asked.get(&(node, run, ticket)).cloned() {
                self.check_key(node, &asked);
            }
        }
        let attempt = forward.attempt;
        let left = forward.deadline.since(self.now);
        let outcome = AttemptOutcome::Unknown(UnknownCause::TimedOut);
        self.schedule(
            left,
            Event::AttemptEnds {
                node,
                run,
                ticket,
                attempt,
                outcome,
                answer: None,
            },
        );
        let delay = self.millis(1, 3);
        self.schedule(
            delay,
            Event::ForwardArrives {
                node,
                run,
                ticket,
                forward,
            },
        );
    }

    /// Checks the rates at an upstream when a request arrives from a node.
    fn check_rate(&mut self, index: usize, node: usize, run: Run, upstream: &UpstreamId) {
        let present = self.upstreams[index].as_ref();
        if present.is_none_or(|present| present.config.id != *upstream) {
            return;
        }
        let sender = Sender { node, run };
        let excused: Vec<bool> = (0..self.nodes.len())
            .map(|node| !self.is_connected(node))
            .collect();
        let is_excused = |sender: Sender| excused[sender.node];
        self.checkers
            .arrived_rate_limited(self.now, upstream, sender, is_excused);
    }

    /// Reports the status information in a response that reaches a node.
    fn note_told(&mut self, node: usize, run: Run, answer: &Answer) {
        if self.nodes[node].run != run {
            return;
        }
        let sender = Sender { node, run };
        if matches!(answer.rate, AdvertisedRate::Limited(_)) {
            self.checkers
                .rate_reported(self.now, &answer.upstream, sender);
        }
        if answer.leaves {
            self.checkers
                .leaving_reported(self.now, &answer.upstream, sender);
        }
    }

    /// Makes an upstream announce in its responses that it is leaving. Its registration says so
    /// later.
    pub(super) fn say_it_leaves(&mut self, index: usize) {
        self.upstream_state[index].leaves = self.upstreams[index].is_some();
    }

    /// Makes an upstream advertise a rate limit, or stop doing so.
    pub(super) fn set_rate(&mut self, index: usize, rate: Option<RequestRate>) {
        self.upstream_state[index].rate = rate;
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        match rate {
            Some(rate) => self
                .checkers
                .rate_advertised(self.now, &upstream.config.id, rate),
            None => self.checkers.rate_withdrawn(&upstream.config.id),
        }
    }

    fn check_configuration(&mut self, node: usize) {
        let Some((at, newest)) = self.configurations.last().copied() else {
            return;
        };
        let core = self.nodes[node].core.as_ref();
        let version = core
            .and_then(|core| core.inspect().0.configuration.clone())
            .map_or(0, |configuration| configuration.version.0);
        let age = self.now.since(at);
        self.checkers
            .configuration_used(self.now, node, version, newest, age);
    }

    pub(super) fn forward_arrives(
        &mut self,
        node: usize,
        run: Run,
        ticket: Ticket,
        forward: &Forward,
    ) {
        let Some(asked) = self.asked.get(&(node, run, ticket)).cloned() else {
            return;
        };
        let Some(index) = index_of(forward.address) else {
            return;
        };
        let taken = Taken {
            node,
            run,
            ticket,
            attempt: forward.attempt,
            upstream: forward.upstream.clone(),
            gateway: self.gateway_of(forward),
            repeatable: asked.repeatable,
            poison: asked.poison.clone(),
            begun: false,
        };
        if forward.gateway.is_some() {
            if let Some((after, failure)) = self.tunnel_failure(&taken, forward) {
                let proof = NotExecuted::GatewayFailed(failure);
                return self.end_attempt(after, &taken, AttemptOutcome::NotExecuted(proof));
            }
        } else if self.upstreams[index].is_none() {
            let (after, proof) = if self.upstream_state[index].dark {
                (CONNECT_TIMEOUT, NotExecuted::Unconnected)
            } else {
                (Duration::from_millis(1), NotExecuted::ConnectionRefused)
            };
            self.connection_failed(node, run, index, &forward.upstream, after);
            return self.end_attempt(after, &taken, AttemptOutcome::NotExecuted(proof));
        }
        let passage = match forward.gateway {
            Some(_) => Passage::Open,
            None => self.passage(node, index, asked.repeatable),
        };
        if passage == Passage::Lost {
            return;
        }
        if passage == Passage::Refused {
            return self.attempt_unconnected(index, &taken, NotExecuted::ConnectionRefused);
        }
        let is_direct = forward.gateway.is_none();
        if passage == Passage::Silent || (is_direct && !self.reaches(node, index)) {
            return self.attempt_unconnected(index, &taken, NotExecuted::Unconnected);
        }
        if is_direct && passage == Passage::Open {
            self.note_opened(&taken, index);
        }
        if let Some((gateway, _)) = taken.gateway {
            self.passed_on(gateway);
        }
        if self.now < self.upstream_state[index].cold_until {
            self.checkers
                .arrived_during_cold_start(self.now, &forward.upstream);
        }
        if self.is_connected(node) {
            self.checkers.request_arrived(self.now, &forward.upstream);
            let zone = self.upstreams[index].as_ref().map(|one| &one.config.zone);
            if let Some(zone) = zone {
                self.checkers
                    .arrived_in_zone(self.now, zone, &forward.upstream);
            }
        }
        if self.reaches_store(node) {
            self.check_poison(&asked);
        }
        self.check_tenant(&asked, forward);
        let present = self.upstreams[index].as_ref().map(|u| u.config.id.clone());
        if present.is_some_and(|id| id.name != forward.upstream.name) {
            let upstream = forward.upstream.clone();
            self.input(node, run, Input::Replaced { upstream });
        }
        self.checkers
            .arrived_during_retry_after(self.now, &forward.upstream, Sender { node, run });
        if let Some(rest) = self.upstream_state[index].rest {
            return self.ask_for_rest(index, &taken, rest);
        }
        let request = WorkRequest {
            id: asked.id.clone(),
            key: asked.key,
            target: forward.upstream.clone(),
            work: asked.work,
        };
        self.check_rate(index, node, run, &forward.upstream);
        let sender = Sender { node, run };
        self.checkers
            .arrived_after_leaving(self.now, &forward.upstream, sender, asked.at);
        let now = self.now;
        let arrival = match &mut self.upstreams[index] {
            Some(upstream) => upstream.arrive(now, request),
            None => return,
        };
        self.arrived(index, asked.id, taken, arrival);
    }

    /// Rejects a request with a retry-after period.
    fn ask_for_rest(&mut self, index: usize, taken: &Taken, rest: Duration) {
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let sender = Sender {
            node: taken.node,
            run: taken.run,
        };
        self.checkers
            .retry_after_sent(self.now, &upstream.config.id, sender, rest);
        self.answer_attempt(Duration::from_millis(1), index, taken, REJECTED);
    }

    fn arrived(&mut self, index: usize, id: String, taken: Taken, arrival: Arrival) {
        let soon = Duration::from_millis(1);
        match arrival {
            Arrival::Runs(run) => {
                self.upstream_state[index].taken.insert(id, taken);
                self.begins(index, &run);
            }
            Arrival::Queued => {
                self.upstream_state[index].taken.insert(id, taken);
            }
            Arrival::Full => {
                self.answer_attempt(soon, index, &taken, REJECTED);
            }
            Arrival::Misdirected => {
                let outcome = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
                self.answer_attempt(soon, index, &taken, outcome);
            }
            Arrival::Hangs => {}
        }
    }

    /// Starts running a request.
    fn begins(&mut self, index: usize, run: &WorkRun) {
        let incarnation = self.upstream_state[index].incarnation;
        self.schedule(
            run.ends.since(self.now),
            Event::RunEnds {
                index,
                incarnation,
                run: run.id,
            },
        );
        if let Some(key) = run.request.key {
            self.check_owner(index, key);
        }
        let Some(taken) = self.upstream_state[index].taken.get_mut(&run.request.id) else {
            return;
        };
        taken.begun = true;
        let (is_poison, repeatable) = (taken.poison.is_some(), taken.repeatable);
        if is_poison {
            self.schedule(POISON_WORK, Event::PoisonEnds { index, incarnation });
        }
        if !repeatable {
            self.checkers
                .unrepeatable_started(self.now, &run.request.id);
        }
    }

    pub(super) fn run_ends(&mut self, index: usize, incarnation: u64, run: RunId) {
        if self.upstream_state[index].incarnation != incarnation {
            return;
        }
        let now = self.now;
        let Some(upstream) = &mut self.upstreams[index] else {
            return;
        };
        let (ended, begun, refused) = upstream.end(now, run);
        let released = upstream.take_completed_releases();
        if let Some(taken) = ended.and_then(|request| self.remove_taken(index, &request.id)) {
            let percent = self.answers_lost_percent;
            let lost = percent > 0 && self.chance(percent);
            let outcome = if lost {
                AttemptOutcome::Unknown(UnknownCause::BrokenOff)
            } else {
                AttemptOutcome::Answered { success: true }
            };
            self.end_reached(index, &taken, outcome);
        }
        for request in refused {
            if let Some(taken) = self.remove_taken(index, &request.id) {
                let outcome = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
                self.end_reached(index, &taken, outcome);
            }
        }
        for run in begun {
            self.begins(index, &run);
        }
        for call in released {
            let pending = self.upstream_state[index].releases.get(&call);
            if pending.is_some_and(|pending| !self.reaches(pending.node, index)) {
                // The response is lost; the attempt ends at its timeout.
                continue;
            }
            if let Some(pending) = self.upstream_state[index].releases.remove(&call) {
                let handover = Handover(pending.order.range.to_string());
                let reply = GrantReply::Released(Some(handover));
                self.order_answered(Duration::from_millis(1), pending, reply);
            }
        }
    }

    fn remove_taken(&mut self, index: usize, id: &str) -> Option<Taken> {
        self.upstream_state[index].taken.remove(id)
    }

    /// Ends an attempt at its node if the upstream's packets reach it; otherwise the attempt
    /// times out.
    fn end_reached(&mut self, index: usize, taken: &Taken, outcome: AttemptOutcome) {
        if self.is_path_open(taken, index) {
            let is_answered = matches!(outcome, AttemptOutcome::Answered { .. });
            if is_answered && taken.gateway.is_none() {
                self.note_answered(taken.node, index, self.now);
            }
            self.answer_attempt(Duration::from_millis(1), index, taken, outcome);
        }
    }

    /// Ends an attempt, with the upstream's status information if the outcome is a response.
    fn answer_attempt(
        &mut self,
        after: Duration,
        index: usize,
        taken: &Taken,
        outcome: AttemptOutcome,
    ) {
        let is_answer = !matches!(outcome, AttemptOutcome::Unknown(_));
        let present = self.upstreams[index].as_ref().filter(|_| is_answer);
        let state = &self.upstream_state[index];
        let (rate, leaves) = (state.rate, state.leaves);
        let rest = state.rest.filter(|_| outcome == REJECTED);
        let answer = present.map(|upstream| Answer {
            upstream: upstream.config.id.clone(),
            rate: rate.map_or(AdvertisedRate::Unlimited, AdvertisedRate::Limited),
            leaves,
            rest,
        });
        self.schedule_end(after, taken, outcome, answer);
    }

    /// Ends an attempt for which no connection was opened.
    fn attempt_unconnected(&mut self, index: usize, taken: &Taken, proof: NotExecuted) {
        let after = match proof {
            NotExecuted::ConnectionRefused => REFUSAL_DELAY,
            _ => CONNECT_TIMEOUT,
        };
        let upstream = taken.upstream.clone();
        self.connection_failed(taken.node, taken.run, index, &upstream, after);
        self.end_attempt(after, taken, AttemptOutcome::NotExecuted(proof));
    }

    /// The node through which a request is sent, and the run of its process.
    fn gateway_of(&self, forward: &Forward) -> Option<(usize, Run)> {
        let gateway = node_at(forward.gateway?)?;
        Some((gateway, self.nodes[gateway].run))
    }

    /// Why no connection is opened through another node, and after what time this shows.
    fn tunnel_failure(
        &mut self,
        taken: &Taken,
        forward: &Forward,
    ) -> Option<(Duration, GatewayFailure)> {
        let (gateway, run) = taken.gateway?;
        let index = index_of(forward.address)?;
        let slot = &self.nodes[gateway];
        let is_reached = self.is_linked(taken.node, gateway) && !slot.frozen;
        let Some(core) = slot.core.as_ref().filter(|_| is_reached) else {
            return Some((CONNECT_TIMEOUT, GatewayFailure::Declined));
        };
        if core.tunnel_target(forward.address).is_none() {
            return Some((TUNNEL_DELAY, GatewayFailure::Declined));
        }
        let is_refused = match self.upstreams[index] {
            Some(_) => self.passage(gateway, index, false) == Passage::Refused,
            None => !self.upstream_state[index].dark,
        };
        let failure = if is_refused {
            Some((TUNNEL_DELAY, GatewayFailure::Refused))
        } else if self.upstreams[index].is_none() || !self.connects(gateway, index) {
            Some((CONNECT_TIMEOUT, GatewayFailure::Unreachable))
        } else {
            None
        };
        if let Some((after, _)) = failure {
            self.connection_failed(gateway, run, index, &forward.upstream, after);
        }
        failure
    }

    /// Whether a response reaches the node of an attempt.
    fn is_path_open(&self, taken: &Taken, index: usize) -> bool {
        let Some((gateway, run)) = taken.gateway else {
            return self.reaches(taken.node, index);
        };
        let is_running = self.nodes[gateway].run == run && self.nodes[gateway].core.is_some();
        is_running && self.is_linked(taken.node, gateway) && self.reaches(gateway, index)
    }

    /// Ends the attempts that were sent through a node whose process has ended.
    pub(super) fn close_tunnels_of(&mut self, node: usize) {
        for index in 0..self.upstream_state.len() {
            let all = self.upstream_state[index].taken.values();
            let through = all.filter(|taken| taken.gateway.is_some_and(|(one, _)| one == node));
            for taken in through.cloned().collect::<Vec<Taken>>() {
                let outcome = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
                self.end_attempt(TUNNEL_DELAY, &taken, outcome);
            }
        }
    }

    /// Ends the attempts of a node whose connections are reset.
    pub(super) fn reset_attempts_of(&mut self, node: usize) {
        for index in 0..self.upstream_state.len() {
            let all = &self.upstream_state[index].taken;
            let reset = all.values().filter(|taken| match taken.gateway {
                Some((gateway, _)) => gateway == node,
                None => taken.node == node,
            });
            for taken in reset.cloned().collect::<Vec<Taken>>() {
                let outcome = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
                self.end_attempt(REFUSAL_DELAY, &taken, outcome);
            }
        }
    }

    fn end_attempt(&mut self, after: Duration, taken: &Taken, outcome: AttemptOutcome) {
        self.schedule_end(after, taken, outcome, None);
    }

    fn schedule_end(
        &mut self,
        after: Duration,
        taken: &Taken,
        outcome: AttemptOutcome,
        answer: Option<Answer>,
    ) {
        self.schedule(
            after,
            Event::AttemptEnds {
                node: taken.node,
                run: taken.run,
                ticket: taken.ticket,
                attempt: taken.attempt,
                outcome,
                answer,
            },
        );
    }

    /// Ends an attempt at its node; only the first end counts.
    pub(super) fn attempt_ends(
        &mut self,
        node: usize,
        run: Run,
        ticket: Ticket,
        attempt: u32,
        outcome: AttemptOutcome,
        answer: Option<Answer>,
    ) {
        let number = self.ended_attempts.entry((node, run, ticket)).or_default();
        if *number >= attempt {
            return;
        }
        *number = attempt;
        self.report_opened(node, run, ticket, attempt);
        if let Some(answer) = &answer {
            self.note_told(node, run, answer);
            if answer.leaves {
                let upstream = answer.upstream.clone();
                self.input(node, run, Input::UpstreamLeaving { upstream });
            }
            if let Some(rest) = answer.rest {
                let upstream = answer.upstream.clone();
                self.input(
                    node,
                    run,
                    Input::BackoffRequested {
                        upstream,
                        backoff: rest,
                    },
                );
            }
        }
        let rate = answer.map(|answer| answer.rate);
        self.input(
            node,
            run,
            Input::AttemptEnded {
                ticket,
                outcome,
                rate,
            },
        );
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.answered(node, run, ticket);
        }
    }
}
