//! Upstreams: registrations, orders and requests.

use super::network::{Event, Run};
use super::restarts::tells_birth;
use super::{KEYED, POOL, World};
use crate::check::COLD_START;
use crate::check::Sender;
use crate::fault::CutFrom;
use beamtray_catalog::{
    AdvertisedRate, RequestRate, StartTimestamp, UpstreamId, UpstreamState as Announced,
};
use beamtray_dispatch::{AttemptOutcome, Forward, NotExecuted, Ticket, UnknownCause};
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
/// How long it waits for a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Part of the crashes after which an old write of the dead upstream comes
/// late, in percent.
pub(super) const LATE_REGISTRATION: u32 = 50;
/// How long an upstream works on a request that ends it.
const POISON_WORK: Duration = Duration::from_millis(20);
/// Heartbeats without a write after which a registration vanishes.
pub(super) const MISSED: u32 = 3;

/// How an attempt ends that an upstream turns away.
const TURNED_AWAY: AttemptOutcome = AttemptOutcome::NotExecuted(NotExecuted::Full);

/// An attempt that an upstream has taken.
#[derive(Clone, Debug)]
pub(crate) struct Taken {
    node: usize,
    run: Run,
    ticket: Ticket,
    attempt: u32,
    repeatable: bool,
    poison: Option<String>,
    /// Whether the upstream began to run it.
    begun: bool,
}

/// What an upstream's answer says besides.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub upstream: UpstreamId,
    pub rate: AdvertisedRate,
    /// Whether the upstream leaves.
    pub leaves: bool,
    /// The rest that it asks for.
    pub rest: Option<Duration>,
}

/// A release that waits for work to end.
#[derive(Clone, Debug)]
pub(crate) struct PendingRelease {
    pub node: usize,
    pub run: Run,
    pub service: ServiceName,
    pub order: GrantOrder,
    pub epoch: u64,
}

/// What the world knows of an upstream's place.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamState {
    pub incarnation: u64,
    /// The incarnation that first had its name.
    named: u64,
    /// Whether the next incarnation keeps the name.
    pub keeps_name: bool,
    /// Whether the address answers nothing at all.
    pub dark: bool,
    /// Since when the store is out of reach.
    pub cut_since: Option<Time>,
    /// The only node that reaches it, if it is cut off.
    pub reached_from: Option<usize>,
    /// Who does not reach it.
    pub unreached_from: Option<CutFrom>,
    /// When its links were whole again.
    pub healed_at: Option<Time>,
    /// Until when it is cold.
    pub cold_until: Time,
    /// The rate that its answers name.
    pub rate: Option<RequestRate>,
    /// The rest that it asks for as it turns all requests away.
    pub rest: Option<Duration>,
    /// Whether its answers say that it leaves.
    pub leaves: bool,
    /// Whether it took its registration back for good.
    pub withdrawn: bool,
    pub next_heartbeat: Time,
    taken: BTreeMap<String, Taken>,
    pub releases: BTreeMap<u64, PendingRelease>,
}

impl UpstreamState {
    /// What the requests say that end upstreams and that this one has begun to run, once
    /// for each.
    pub(super) fn poison_under_way(&self) -> Vec<String> {
        let begun = self.taken.values().filter(|taken| taken.begun);
        begun.filter_map(|taken| taken.poison.clone()).collect()
    }
}

fn address(index: usize) -> SocketAddr {
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
        if self.now >= Time::ZERO + self.config.lead {
            self.upstream_state[index].cold_until = self.now + COLD_START;
        }
        let mut id = UpstreamId::from(format!("u{index}-{named}"));
        id.started_at = tells_birth(index).then_some(StartTimestamp(self.now.0 / 1_000));
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

    /// An upstream begins to leave.
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
            self.checkers.leaves(now, &id);
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
        let planned = self.upstream_state[index].withdrawn;
        if planned && !self.store_state.down {
            self.store.delete(self.now, &key_of(&upstream.config.id));
        }
        if planned && back {
            self.schedule(Duration::from_secs(2), Event::UpstreamStart { index });
        }
        self.break_off(index);
    }

    /// Connections of an upstream end.
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

    /// An upstream ends without a word and comes back as another.
    pub(super) fn crash(&mut self, index: usize, dark: bool, lasts: Duration) {
        let Some(upstream) = self.upstreams[index].take() else {
            return;
        };
        let record = upstream.record();
        let id = upstream.config.id;
        self.upstream_state[index].dark = dark;
        self.break_off(index);
        self.upstream_state[index].withdrawn = true;
        let back = lasts.max(Duration::from_secs(2));
        self.schedule(back, Event::UpstreamStart { index });
        if self.chance(LATE_REGISTRATION) {
            // A write of the dead one that was on its way for long.
            let delay = back + self.millis(1_500, 4_000);
            self.schedule(delay, Event::LateRegistration { record });
        }
        // The store removes what is not written again.
        let key = key_of(&id);
        if !self.store_state.down {
            self.store.delete(self.now, &key);
        }
    }

    /// Sends a request to an upstream, as an attempt with a number of its own: an attempt
    /// that did not arrive is not counted by the node, so its number comes again.
    pub(super) fn forward(&mut self, node: usize, run: Run, ticket: Ticket, mut forward: Forward) {
        self.last_attempt += 1;
        forward.attempt = self.last_attempt;
        if self.is_connected(node) && self.is_store_stable() {
            self.check_configuration(node);
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

    /// A request of a node comes to an upstream.
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
            .arrives_limited(self.now, upstream, sender, is_excused);
    }

    /// An answer comes to a node, with what its upstream says of itself.
    fn note_told(&mut self, node: usize, run: Run, answer: &Answer) {
        if self.nodes[node].run != run {
            return;
        }
        let sender = Sender { node, run };
        if matches!(answer.rate, AdvertisedRate::Limited(_)) {
            self.checkers.told_rate(self.now, &answer.upstream, sender);
        }
        if answer.leaves {
            self.checkers
                .told_leaving(self.now, &answer.upstream, sender);
        }
    }

    /// An upstream begins to say in its answers that it leaves. Its entry says so later.
    pub(super) fn say_it_leaves(&mut self, index: usize) {
        self.upstream_state[index].leaves = self.upstreams[index].is_some();
    }

    /// An upstream begins to name a rate, or ceases to.
    pub(super) fn set_rate(&mut self, index: usize, rate: Option<RequestRate>) {
        self.upstream_state[index].rate = rate;
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        match rate {
            Some(rate) => self
                .checkers
                .names_rate(self.now, &upstream.config.id, rate),
            None => self.checkers.names_no_rate(&upstream.config.id),
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
        self.checkers.acted_by(self.now, node, version, newest, age);
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
            repeatable: asked.repeatable,
            poison: asked.poison.clone(),
            begun: false,
        };
        if self.upstreams[index].is_none() {
            let (after, proof) = if self.upstream_state[index].dark {
                (CONNECT_TIMEOUT, NotExecuted::Unconnected)
            } else {
                (Duration::from_millis(1), NotExecuted::ConnectionRefused)
            };
            return self.end_attempt(after, &taken, AttemptOutcome::NotExecuted(proof));
        }
        if !self.reaches(node, index) {
            let outcome = AttemptOutcome::NotExecuted(NotExecuted::Unconnected);
            return self.end_attempt(CONNECT_TIMEOUT, &taken, outcome);
        }
        if self.now < self.upstream_state[index].cold_until {
            self.checkers.arrives_cold(self.now, &forward.upstream);
        }
        if self.is_connected(node) {
            self.checkers.arrives(self.now, &forward.upstream);
            let zone = self.upstreams[index].as_ref().map(|one| &one.config.zone);
            if let Some(zone) = zone {
                self.checkers.arrives_in(self.now, zone, &forward.upstream);
            }
        }
        if self.reaches_store(node) {
            self.check_poison(&asked);
        }
        let present = self.upstreams[index].as_ref().map(|u| u.config.id.clone());
        if present.is_some_and(|id| id.name != forward.upstream.name) {
            let upstream = forward.upstream.clone();
            self.input(node, run, Input::Replaced { upstream });
        }
        self.checkers
            .arrives_resting(self.now, &forward.upstream, Sender { node, run });
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
            .arrives_leaving(self.now, &forward.upstream, sender, asked.at);
        let now = self.now;
        let arrival = match &mut self.upstreams[index] {
            Some(upstream) => upstream.arrive(now, request),
            None => return,
        };
        self.arrived(index, asked.id, taken, arrival);
    }

    /// An upstream turns a request away and asks the node for rest.
    fn ask_for_rest(&mut self, index: usize, taken: &Taken, rest: Duration) {
        let Some(upstream) = &self.upstreams[index] else {
            return;
        };
        let sender = Sender {
            node: taken.node,
            run: taken.run,
        };
        self.checkers
            .asks_for_rest(self.now, &upstream.config.id, sender, rest);
        self.answer_attempt(Duration::from_millis(1), index, taken, TURNED_AWAY);
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
                self.answer_attempt(soon, index, &taken, TURNED_AWAY);
            }
            Arrival::Misdirected => {
                let outcome = AttemptOutcome::NotExecuted(NotExecuted::Misdirected);
                self.answer_attempt(soon, index, &taken, outcome);
            }
            Arrival::Hangs => {}
        }
    }

    /// A request begins to run.
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
            self.checkers.unrepeatable_begins(self.now, &run.request.id);
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
        if let Some(taken) = ended.and_then(|request| self.untake(index, &request.id)) {
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
            if let Some(taken) = self.untake(index, &request.id) {
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
                // The answer is lost, and given up when its time is over.
                continue;
            }
            if let Some(pending) = self.upstream_state[index].releases.remove(&call) {
                let handover = Handover(pending.order.range.to_string());
                let reply = GrantReply::Released(Some(handover));
                self.order_answered(Duration::from_millis(1), pending, reply);
            }
        }
    }

    fn untake(&mut self, index: usize, id: &str) -> Option<Taken> {
        self.upstream_state[index].taken.remove(id)
    }

    /// Ends an attempt at its node, unless the upstream's packets don't come there: its
    /// time ends it then.
    fn end_reached(&mut self, index: usize, taken: &Taken, outcome: AttemptOutcome) {
        if self.reaches(taken.node, index) {
            self.answer_attempt(Duration::from_millis(1), index, taken, outcome);
        }
    }

    /// Ends an attempt with its upstream's answer, if the outcome is one.
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
        let rest = state.rest.filter(|_| outcome == TURNED_AWAY);
        let answer = present.map(|upstream| Answer {
            upstream: upstream.config.id.clone(),
            rate: rate.map_or(AdvertisedRate::Unlimited, AdvertisedRate::Limited),
            leaves,
            rest,
        });
        self.schedule_end(after, taken, outcome, answer);
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

    /// The first end of an attempt that its node sees counts.
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
        if let Some(answer) = &answer {
            self.note_told(node, run, answer);
            if answer.leaves {
                let upstream = answer.upstream.clone();
                self.input(node, run, Input::UpstreamLeaving { upstream });
            }
            if let Some(rest) = answer.rest {
                let upstream = answer.upstream.clone();
                self.input(node, run, Input::RestRequested { upstream, rest });
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
