//! What nodes tell one another of requests under way.
//!
//! Few nodes tell those of their zone directly; see [`super::zone_load`] for what
//! other zones hear. Many tell the relays of their zone; the first relay that is
//! alive tells the sums on. Told directly, n nodes send and take n x n reports,
//! and the far ones cost bytes between zones.

use super::NodeCore;
use super::talk::bounded;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{AnswerStats, LoadReport, LoadSum, SumSource, UpstreamHash};
use beamtray_types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Up to this many nodes tell each other directly.
const FEW_NODES: usize = 16;
/// Longest pause between reports of a node to those of its zone where there are
/// few.
const NEAR_IDLE: Duration = Duration::from_millis(80);
/// A relay that was not heard for this long is not the first one alive.
const LEAD_SILENCE: Duration = Duration::from_millis(250);
/// Sums that a relay must have left out to count as silent, where their pause is
/// long.
const SUMS_MISSED: u32 = 3;
/// Reports a second that one relay takes from the nodes of its zone.
const REPORTS_A_SECOND: u32 = 1_000;
/// Datagrams a second that a relay sends to the nodes of its zone.
const SUMS_A_SECOND: u32 = 800;
/// Datagrams of answers a second that a relay sends: how fast upstreams are changes
/// slowly, and each node takes in all of them.
const ANSWERS_A_SECOND: u32 = 150;
/// Upstreams in one datagram of answers.
const ANSWERS_A_DATAGRAM: usize = 120;

/// Answers of one upstream that are still to be passed on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Untold {
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
    told_empty: bool,
    sum_at: Time,
    /// Between sums of the relay that this node hears.
    sum_pause: Duration,
    pub(super) zone_at: Time,
    pub(super) zone_told_empty: bool,
    pub(super) answers_at: Time,
    pub(super) untold: HashMap<UpstreamHash, Untold>,
    /// When nodes of other zones told of theirs.
    pub(super) zones_told: HashMap<SocketAddr, Time>,
    /// When relays of this zone told a sum.
    sums_heard: HashMap<SocketAddr, Time>,
}

impl NodeCore {
    /// Tells other nodes what is under way.
    pub(super) fn report(&mut self, now: Time) {
        if self.are_few() {
            self.report_near(now);
            self.report_zone(now);
            return;
        }
        if self.leads(now) {
            self.tell_sums(now);
            self.pass_on_answers(now);
        }
        self.report_to_relays(now);
    }

    /// Tells the nodes of the same zone. All hear each other at least every
    /// [`NEAR_IDLE`], which shows who is alive.
    fn report_near(&mut self, now: Time) {
        let timing = self.config.timing;
        let due = now >= self.reports.near_at && !self.is_quiet();
        if !due && now < self.reports.idle_at {
            return;
        }
        let near = self.membership.count(Audience::Near);
        self.reports.near_at = now + timing.report.max(bounded(near));
        self.reports.idle_at = now + NEAR_IDLE;
        let report = if now >= self.reports.far_at {
            self.reports.far_at = now + timing.answers_report;
            self.whole_report()
        } else {
            self.dispatcher.load_report(Vec::new())
        };
        self.note_answers(&report.answers);
        self.send(Datagram::Load(report), Audience::Near);
    }

    /// Whether nodes tell those of their zone directly.
    pub(super) fn are_few(&self) -> bool {
        self.views.nodes.len() <= FEW_NODES
    }

    /// Whether nothing is under way and the last report said so.
    fn is_quiet(&self) -> bool {
        let idle = self.dispatcher.occupancy().own_all().next().is_none();
        idle && self.reports.told_empty
    }

    /// A report that tells of answers, too.
    fn whole_report(&mut self) -> LoadReport {
        let answers = self.dispatcher.take_answers();
        let report = self.dispatcher.load_report(answers);
        self.reports.told_empty = report.in_flight.is_empty();
        report
    }

    /// Tells the relays of this zone: the first one alive often, the others, which
    /// take over from it, together with the answers.
    fn report_to_relays(&mut self, now: Time) {
        let timing = self.config.timing;
        let with_answers = now >= self.reports.far_at;
        let due = now >= self.reports.near_at && !self.is_quiet();
        if !with_answers && !due {
            return;
        }
        let relays = if with_answers {
            self.near_relays()
        } else {
            self.leading_relay(now)
        };
        let near = self.membership.count(Audience::Near) as u32;
        let pause = Duration::from_secs(1) * near / REPORTS_A_SECOND;
        self.reports.near_at = now + timing.relayed_report.max(pause);
        let report = if with_answers {
            self.reports.far_at = now + timing.idle_report;
            self.whole_report()
        } else {
            self.dispatcher.load_report(Vec::new())
        };
        if self.is_relay() {
            self.note_answers(&report.answers);
        }
        if !relays.is_empty() {
            self.outputs
                .push(Output::Send(Datagram::Load(report), relays));
        }
    }

    /// The other relays of this zone, the first one first.
    pub(super) fn near_relays(&self) -> Vec<SocketAddr> {
        let own = &self.config.control.record;
        let relays = self.membership.relays().of_zone(&own.zone).iter();
        relays
            .copied()
            .filter(|relay| *relay != own.peers)
            .collect()
    }

    /// The relay of this zone that tells sums, or all while none is heard; none if
    /// it is this one.
    fn leading_relay(&self, now: Time) -> Vec<SocketAddr> {
        if self.leads(now) {
            return Vec::new();
        }
        let relays = self.near_relays();
        let leading = relays.iter().find(|relay| self.tells_sums(now, relay));
        leading.map_or(relays.clone(), |leading| vec![*leading])
    }

    /// Whether a relay of this zone tells sums.
    pub(super) fn tells_sums(&self, now: Time, relay: &SocketAddr) -> bool {
        let silence = LEAD_SILENCE.max(self.reports.sum_pause * SUMS_MISSED);
        let heard = self.reports.sums_heard.get(relay);
        heard.is_some_and(|heard| now.since(*heard) < silence)
    }

    /// Whether this is the first relay of its zone that is alive.
    pub(super) fn leads(&self, now: Time) -> bool {
        let own = &self.config.control.record;
        let relays = self.membership.relays().of_zone(&own.zone).iter();
        let mut before = relays.take_while(|relay| **relay != own.peers);
        self.is_relay() && !before.any(|relay| self.tells_sums(now, relay))
    }

    /// Tells the nodes of this zone of all requests, and the relays of other
    /// zones of those of this zone.
    fn tell_sums(&mut self, now: Time) {
        let timing = self.config.timing;
        if now >= self.reports.sum_at {
            let near = self.membership.peers(Audience::Near);
            let sums = self.dispatcher.load_sum(true);
            let pause = sum_pause(near.len(), sums.len()).max(timing.relayed_report);
            self.reports.sum_at = now + pause;
            for sum in sums {
                self.outputs
                    .push(Output::Send(Datagram::AllLoad(sum), near.clone()));
            }
        }
        if now >= self.reports.zone_at {
            self.reports.zone_at = now + timing.zone_report;
            let others = self.other_relays();
            let zone = xxh3_64(self.config.control.record.zone.as_bytes()) as u32;
            for sum in self.dispatcher.load_sum(false) {
                let datagram = Datagram::ZoneLoad(zone, sum);
                self.outputs.push(Output::Send(datagram, others.clone()));
            }
        }
    }

    pub(super) fn other_relays(&self) -> Vec<SocketAddr> {
        let zone = &self.config.control.record.zone;
        self.membership.relays().of_others(zone).collect()
    }

    /// Takes a report of another node.
    pub(super) fn take_load(&mut self, now: Time, report: &LoadReport) {
        self.dispatcher.apply_load_report(now, report);
        if self.is_relay() || self.are_few() {
            self.note_answers(&report.answers);
        }
    }

    /// Takes the sum of a relay of this zone. A relay has what it contains from
    /// the nodes themselves.
    pub(super) fn take_all_load(&mut self, now: Time, from: SocketAddr, sum: &LoadSum) {
        self.reports.sums_heard.insert(from, now);
        let near = self.membership.count(Audience::Near);
        self.reports.sum_pause = sum_pause(near, sum.parts.into());
        if !self.is_relay() {
            self.dispatcher
                .apply_load_sum(now, SumSource::OwnRelay, sum);
        }
    }

    fn note_answers(&mut self, answers: &[AnswerStats]) {
        for answers in answers {
            let untold = self.reports.untold.entry(answers.upstream).or_default();
            untold.samples += u32::from(answers.samples);
            untold.sum += answers.sum;
            untold.failures += u32::from(answers.failures);
        }
    }

    /// Passes on answers that nodes of this zone told of.
    fn pass_on_answers(&mut self, now: Time) {
        if now < self.reports.answers_at {
            return;
        }
        let mut audience = self.membership.peers(Audience::Near);
        audience.extend(self.other_relays());
        let datagrams = self.reports.untold.len().div_ceil(ANSWERS_A_DATAGRAM) * audience.len();
        self.tell_answers(now, &audience);
        let pause = Duration::from_secs(1) * datagrams as u32 / ANSWERS_A_SECOND;
        self.reports.answers_at = now + pause.max(self.config.timing.answers);
    }

    /// Tells what was noted of answers, which is not told again.
    pub(super) fn tell_answers(&mut self, now: Time, audience: &[SocketAddr]) {
        self.reports.answers_at = now + self.config.timing.answers;
        let untold = self.reports.untold.drain();
        let answers: Vec<AnswerStats> = untold
            .map(|(upstream, untold)| AnswerStats {
                upstream,
                samples: untold.samples.min(u32::from(u8::MAX)) as u8,
                sum: untold.sum,
                failures: untold.failures.min(u32::from(u8::MAX)) as u8,
            })
            .collect();
        for part in answers.chunks(ANSWERS_A_DATAGRAM) {
            let datagram = Datagram::Answers(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }

    /// Takes answers that a relay passed on, and passes those of other zones on
    /// to the nodes of this one.
    pub(super) fn take_answers(&mut self, now: Time, from: SocketAddr, answers: &[AnswerStats]) {
        self.dispatcher.apply_answers(now, answers);
        if self.are_few() {
            self.pass_on_near(from, &Datagram::Answers(answers.to_vec()));
            return;
        }
        let own = &self.config.control.record;
        let relays = self.membership.relays().of_zone(&own.zone);
        let is_first = relays.first() == Some(&own.peers);
        if is_first && !relays.contains(&from) {
            let near = self.membership.peers(Audience::Near);
            let datagram = Datagram::Answers(answers.to_vec());
            self.outputs.push(Output::Send(datagram, near));
        }
    }
}

/// Between sums of so many parts to so many nodes.
fn sum_pause(nodes: usize, parts: usize) -> Duration {
    Duration::from_secs(1) * (nodes * parts) as u32 / SUMS_A_SECOND
}
