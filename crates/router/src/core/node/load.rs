//! What nodes tell one another of requests under way.
//!
//! Few nodes tell those of their zone directly; see [`super::zone_load`] for what
//! other zones hear. Many tell the relays of their zone; the first relay that is
//! alive tells the sums on. Told directly, n nodes send and take n x n reports,
//! and the far ones cost bytes between zones.

use super::NodeCore;
use super::gossip::min_interval;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{Answers, LoadReport, LoadSum, SumSource, UpstreamHash};
use beamtray_types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Up to this many nodes tell each other directly.
const MAX_DIRECT_NODES: usize = 16;
/// Longest pause between reports of a node to those of its zone where there are
/// few.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// A relay that was not heard for this long is not the first one alive.
const LEAD_RELAY_TIMEOUT: Duration = Duration::from_millis(250);
/// Sums that a relay must have left out to count as silent, where their pause is
/// long.
const MAX_MISSED_SUMS: u32 = 3;
/// Reports a second that one relay takes from the nodes of its zone.
const MAX_REPORTS_PER_SECOND: u32 = 1_000;
/// Datagrams a second that a relay sends to the nodes of its zone.
const MAX_SUMS_PER_SECOND: u32 = 800;
/// Datagrams of answers a second that a relay sends: how fast upstreams are changes
/// slowly, and each node takes in all of them.
const MAX_ANSWER_DATAGRAMS_PER_SECOND: u32 = 150;
/// Upstreams in one datagram of answers.
const ANSWERS_PER_DATAGRAM: usize = 120;

/// Answers of one upstream that are still to be passed on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingAnswers {
    samples: u32,
    sum: f32,
    failures: u32,
}

/// When reports are due, and what a relay passes on.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportSchedule {
    near_at: Time,
    idle_at: Time,
    far_at: Time,
    reported_idle: bool,
    sum_at: Time,
    /// Between sums of the relay that this node hears.
    sum_pause: Duration,
    pub(super) zone_at: Time,
    pub(super) reported_zone_idle: bool,
    pub(super) answers_at: Time,
    pub(super) pending_answers: HashMap<UpstreamHash, PendingAnswers>,
    /// When nodes of other zones told of theirs.
    pub(super) zone_reporters: HashMap<SocketAddr, Time>,
    /// When relays of this zone told a sum.
    sums_heard_at: HashMap<SocketAddr, Time>,
}

impl NodeCore {
    /// Tells other nodes what is under way.
    pub(super) fn report(&mut self, now: Time) {
        if self.is_small_deployment() {
            self.report_to_zone(now);
            self.report_zone(now);
            return;
        }
        if self.is_lead_relay(now) {
            self.send_sums(now);
            self.forward_answers(now);
        }
        self.report_to_relays(now);
    }

    /// Tells the nodes of the same zone. All hear each other at least every
    /// [`MAX_REPORT_INTERVAL`], which shows who is alive.
    fn report_to_zone(&mut self, now: Time) {
        let timing = self.config.timing;
        let due = now >= self.reports.near_at && !self.is_idle();
        if !due && now < self.reports.idle_at {
            return;
        }
        let near = self.membership.count(Audience::SameZone);
        self.reports.near_at = now + timing.load_report_interval.max(min_interval(near));
        self.reports.idle_at = now + MAX_REPORT_INTERVAL;
        let report = if now >= self.reports.far_at {
            self.reports.far_at = now + timing.answers_report_interval;
            self.full_report()
        } else {
            self.dispatcher.load_report(Vec::new())
        };
        self.add_pending_answers(&report.answers);
        self.send(Datagram::Load(report), Audience::SameZone);
    }

    /// Whether nodes tell those of their zone directly.
    pub(super) fn is_small_deployment(&self) -> bool {
        self.views.nodes.len() <= MAX_DIRECT_NODES
    }

    /// Whether nothing is under way and the last report said so.
    fn is_idle(&self) -> bool {
        let idle = self.dispatcher.occupancy().own_all().next().is_none();
        idle && self.reports.reported_idle
    }

    /// A report that tells of answers, too.
    fn full_report(&mut self) -> LoadReport {
        let answers = self.dispatcher.take_answers();
        let report = self.dispatcher.load_report(answers);
        self.reports.reported_idle = report.in_flight.is_empty();
        report
    }

    /// Tells the relays of this zone: the first one alive often, the others, which
    /// take over from it, together with the answers.
    fn report_to_relays(&mut self, now: Time) {
        let timing = self.config.timing;
        let with_answers = now >= self.reports.far_at;
        let due = now >= self.reports.near_at && !self.is_idle();
        if !with_answers && !due {
            return;
        }
        let relays = if with_answers {
            self.zone_relays()
        } else {
            self.leading_relay(now)
        };
        let near = self.membership.count(Audience::SameZone) as u32;
        let pause = Duration::from_secs(1) * near / MAX_REPORTS_PER_SECOND;
        self.reports.near_at = now + timing.relayed_report_interval.max(pause);
        let report = if with_answers {
            self.reports.far_at = now + timing.idle_report_interval;
            self.full_report()
        } else {
            self.dispatcher.load_report(Vec::new())
        };
        if self.is_relay() {
            self.add_pending_answers(&report.answers);
        }
        if !relays.is_empty() {
            self.outputs
                .push(Output::Send(Datagram::Load(report), relays));
        }
    }

    /// The other relays of this zone, the first one first.
    pub(super) fn zone_relays(&self) -> Vec<SocketAddr> {
        let own = &self.config.control.record;
        let relays = self.membership.relays().in_zone(&own.zone).iter();
        relays
            .copied()
            .filter(|relay| *relay != own.peers)
            .collect()
    }

    /// The relay of this zone that tells sums, or all while none is heard; none if
    /// it is this one.
    fn leading_relay(&self, now: Time) -> Vec<SocketAddr> {
        if self.is_lead_relay(now) {
            return Vec::new();
        }
        let relays = self.zone_relays();
        let leading = relays.iter().find(|relay| self.is_sending_sums(now, relay));
        leading.map_or(relays.clone(), |leading| vec![*leading])
    }

    /// Whether a relay of this zone tells sums.
    pub(super) fn is_sending_sums(&self, now: Time, relay: &SocketAddr) -> bool {
        let silence = LEAD_RELAY_TIMEOUT.max(self.reports.sum_pause * MAX_MISSED_SUMS);
        let heard = self.reports.sums_heard_at.get(relay);
        heard.is_some_and(|heard| now.since(*heard) < silence)
    }

    /// Whether this is the first relay of its zone that is alive.
    pub(super) fn is_lead_relay(&self, now: Time) -> bool {
        let own = &self.config.control.record;
        let relays = self.membership.relays().in_zone(&own.zone).iter();
        let mut before = relays.take_while(|relay| **relay != own.peers);
        self.is_relay() && !before.any(|relay| self.is_sending_sums(now, relay))
    }

    /// Tells the nodes of this zone of all requests, and the relays of other
    /// zones of those of this zone.
    fn send_sums(&mut self, now: Time) {
        let timing = self.config.timing;
        if now >= self.reports.sum_at {
            let near = self.membership.peers(Audience::SameZone);
            let sums = self.dispatcher.load_sum(true);
            let pause = sum_pause(near.len(), sums.len()).max(timing.relayed_report_interval);
            self.reports.sum_at = now + pause;
            for sum in sums {
                self.outputs
                    .push(Output::Send(Datagram::AllLoad(sum), near.clone()));
            }
        }
        if now >= self.reports.zone_at {
            self.reports.zone_at = now + timing.zone_report_interval;
            let others = self.relays_of_other_zones();
            let zone = xxh3_64(self.config.control.record.zone.as_bytes()) as u32;
            for sum in self.dispatcher.load_sum(false) {
                let datagram = Datagram::ZoneLoad(zone, sum);
                self.outputs.push(Output::Send(datagram, others.clone()));
            }
        }
    }

    pub(super) fn relays_of_other_zones(&self) -> Vec<SocketAddr> {
        let zone = &self.config.control.record.zone;
        self.membership.relays().in_other_zones(zone).collect()
    }

    /// Takes a report of another node.
    pub(super) fn handle_load(&mut self, now: Time, report: &LoadReport) {
        self.dispatcher.report(now, report);
        if self.is_relay() || self.is_small_deployment() {
            self.add_pending_answers(&report.answers);
        }
    }

    /// Takes the sum of a relay of this zone. A relay has what it contains from
    /// the nodes themselves.
    pub(super) fn handle_all_load(&mut self, now: Time, from: SocketAddr, sum: &LoadSum) {
        self.reports.sums_heard_at.insert(from, now);
        let near = self.membership.count(Audience::SameZone);
        self.reports.sum_pause = sum_pause(near, sum.parts.into());
        if !self.is_relay() {
            self.dispatcher.take_sum(now, SumSource::OwnRelay, sum);
        }
    }

    fn add_pending_answers(&mut self, answers: &[Answers]) {
        for answers in answers {
            let pending_answers = self
                .reports
                .pending_answers
                .entry(answers.upstream)
                .or_default();
            pending_answers.samples += u32::from(answers.samples);
            pending_answers.sum += answers.sum;
            pending_answers.failures += u32::from(answers.failures);
        }
    }

    /// Passes on answers that nodes of this zone told of.
    fn forward_answers(&mut self, now: Time) {
        if now < self.reports.answers_at {
            return;
        }
        let mut audience = self.membership.peers(Audience::SameZone);
        audience.extend(self.relays_of_other_zones());
        let datagrams = self
            .reports
            .pending_answers
            .len()
            .div_ceil(ANSWERS_PER_DATAGRAM)
            * audience.len();
        self.send_answers(now, &audience);
        let pause = Duration::from_secs(1) * datagrams as u32 / MAX_ANSWER_DATAGRAMS_PER_SECOND;
        self.reports.answers_at = now + pause.max(self.config.timing.answers_interval);
    }

    /// Tells what was noted of answers, which is not told again.
    pub(super) fn send_answers(&mut self, now: Time, audience: &[SocketAddr]) {
        self.reports.answers_at = now + self.config.timing.answers_interval;
        let pending_answers = self.reports.pending_answers.drain();
        let answers: Vec<Answers> = pending_answers
            .map(|(upstream, pending_answers)| Answers {
                upstream,
                samples: pending_answers.samples.min(u32::from(u8::MAX)) as u8,
                sum: pending_answers.sum,
                failures: pending_answers.failures.min(u32::from(u8::MAX)) as u8,
            })
            .collect();
        for part in answers.chunks(ANSWERS_PER_DATAGRAM) {
            let datagram = Datagram::Answers(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }

    /// Takes answers that a relay passed on, and passes those of other zones on
    /// to the nodes of this one.
    pub(super) fn handle_answers(&mut self, now: Time, from: SocketAddr, answers: &[Answers]) {
        self.dispatcher.take_others_answers(now, answers);
        if self.is_small_deployment() {
            self.forward_to_zone(from, &Datagram::Answers(answers.to_vec()));
            return;
        }
        let own = &self.config.control.record;
        let relays = self.membership.relays().in_zone(&own.zone);
        let is_first = relays.first() == Some(&own.peers);
        if is_first && !relays.contains(&from) {
            let near = self.membership.peers(Audience::SameZone);
            let datagram = Datagram::Answers(answers.to_vec());
            self.outputs.push(Output::Send(datagram, near));
        }
    }
}

/// Between sums of so many parts to so many nodes.
fn sum_pause(nodes: usize, parts: usize) -> Duration {
    Duration::from_secs(1) * (nodes * parts) as u32 / MAX_SUMS_PER_SECOND
}
