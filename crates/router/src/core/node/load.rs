//! Exchange of the number of requests in flight between nodes.
//!
//! In a small deployment, nodes report directly to the nodes of their zone; [`super::zone_load`]
//! describes what other zones receive. In a large one, nodes report to the relays of their zone,
//! and the first live relay distributes sums. With direct reports, n nodes would send and receive n
//! x n reports, and those to other zones would use expensive bandwidth between zones.

use super::NodeCore;
use super::gossip::min_interval;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{AnswerStats, LoadReport, LoadSum, SumSource, UpstreamHash};
use beamtray_types::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Up to this many nodes report to each other directly.
const MAX_DIRECT_NODES: usize = 16;
/// Maximum interval between a node's reports to its zone in a small deployment.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// A relay that was not heard for this long is not considered the lead relay.
const LEAD_RELAY_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of consecutive sums that a relay must miss to count as silent, where sums are sent at
/// long intervals.
const MAX_MISSED_SUMS: u32 = 3;
/// Maximum number of reports per second that one relay receives from the nodes of its zone.
const MAX_REPORTS_PER_SECOND: u32 = 1_000;
/// Maximum number of sum datagrams per second that a relay sends to the nodes of its zone.
const MAX_SUMS_PER_SECOND: u32 = 800;
/// Maximum number of datagrams per second in which a relay sends response statistics. Upstream
/// speeds change slowly, and each node receives all of them.
const MAX_ANSWER_DATAGRAMS_PER_SECOND: u32 = 150;
/// Maximum number of upstreams per datagram of response statistics.
const ANSWERS_PER_DATAGRAM: usize = 120;

/// Response statistics of one upstream that have not been forwarded yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingAnswers {
    samples: u32,
    sum: f32,
    failures: u32,
}

/// When reports are due, and the response statistics that a relay has yet to forward.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportSchedule {
    near_at: Time,
    idle_at: Time,
    far_at: Time,
    reported_idle: bool,
    sum_at: Time,
    /// Interval between sums of the relay that this node hears.
    sum_interval: Duration,
    pub(super) zone_at: Time,
    pub(super) reported_zone_idle: bool,
    pub(super) answers_at: Time,
    pub(super) pending_answers: BTreeMap<UpstreamHash, PendingAnswers>,
    /// When nodes of other zones last reported the load of their zones.
    pub(super) zone_reporters: HashMap<SocketAddr, Time>,
    /// When relays of this zone last sent a sum.
    sums_heard_at: HashMap<SocketAddr, Time>,
}

impl NodeCore {
    /// Reports the requests in flight to other nodes.
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

    /// Reports to the nodes of the same zone. Each node reports at least every
    /// [`MAX_REPORT_INTERVAL`], which shows that it is alive.
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

    /// Whether the deployment is small enough for nodes to report directly to the nodes of their
    /// zone.
    pub(super) fn is_small_deployment(&self) -> bool {
        self.views.nodes.len() <= MAX_DIRECT_NODES
    }

    /// Whether no request is in flight and the last report said so.
    fn is_idle(&self) -> bool {
        let idle = self.dispatcher.occupancy().own_all().next().is_none();
        idle && self.reports.reported_idle
    }

    /// A load report that includes response statistics.
    fn full_report(&mut self) -> LoadReport {
        let answers = self.dispatcher.take_answers();
        let report = self.dispatcher.load_report(answers);
        self.reports.reported_idle = report.in_flight.is_empty();
        report
    }

    /// Reports to the relays of this zone: frequently to the lead relay, and along with the
    /// response statistics to the others, which take over from it.
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

    /// The other relays of this zone, in order of precedence.
    pub(super) fn zone_relays(&self) -> Vec<SocketAddr> {
        let own = &self.config.control.record;
        let relays = self.membership.relays().in_zone(&own.zone).iter();
        relays
            .copied()
            .filter(|relay| *relay != own.peers)
            .collect()
    }

    /// The lead relay of this zone, or all of its relays while none is heard; empty if this node is
    /// the lead relay.
    fn leading_relay(&self, now: Time) -> Vec<SocketAddr> {
        if self.is_lead_relay(now) {
            return Vec::new();
        }
        let relays = self.zone_relays();
        let leading = relays.iter().find(|relay| self.is_sending_sums(now, relay));
        leading.map_or(relays.clone(), |leading| vec![*leading])
    }

    /// Whether a relay of this zone is sending sums.
    pub(super) fn is_sending_sums(&self, now: Time, relay: &SocketAddr) -> bool {
        let silence = LEAD_RELAY_TIMEOUT.max(self.reports.sum_interval * MAX_MISSED_SUMS);
        let heard = self.reports.sums_heard_at.get(relay);
        heard.is_some_and(|heard| now.since(*heard) < silence)
    }

    /// Whether this node is the lead relay, the first live relay of its zone.
    pub(super) fn is_lead_relay(&self, now: Time) -> bool {
        let own = &self.config.control.record;
        let relays = self.membership.relays().in_zone(&own.zone).iter();
        let mut before = relays.take_while(|relay| **relay != own.peers);
        self.is_relay() && !before.any(|relay| self.is_sending_sums(now, relay))
    }

    /// Sends the sums of all requests to the nodes of this zone, and those of this zone's requests
    /// to the relays of other zones.
    fn send_sums(&mut self, now: Time) {
        let timing = self.config.timing;
        if now >= self.reports.sum_at {
            let near = self.membership.peers(Audience::SameZone);
            let sums = self.dispatcher.load_sum(true);
            let pause = sum_interval(near.len(), sums.len()).max(timing.relayed_report_interval);
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

    /// Handles another node's load report.
    pub(super) fn handle_load(&mut self, now: Time, report: &LoadReport) {
        self.dispatcher.apply_load_report(now, report);
        if self.is_relay() || self.is_small_deployment() {
            self.add_pending_answers(&report.answers);
        }
    }

    /// Handles a sum from a relay of this zone. A relay ignores its contents, having received them
    /// from the nodes themselves.
    pub(super) fn handle_all_load(&mut self, now: Time, from: SocketAddr, sum: &LoadSum) {
        self.reports.sums_heard_at.insert(from, now);
        let near = self.membership.count(Audience::SameZone);
        self.reports.sum_interval = sum_interval(near, sum.parts.into());
        if !self.is_relay() {
            self.dispatcher
                .apply_load_sum(now, SumSource::OwnRelay, sum);
        }
    }

    fn add_pending_answers(&mut self, answers: &[AnswerStats]) {
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

    /// Forwards response statistics reported by nodes of this zone.
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

    /// Sends the pending response statistics and clears them.
    pub(super) fn send_answers(&mut self, now: Time, audience: &[SocketAddr]) {
        self.reports.answers_at = now + self.config.timing.answers_interval;
        let pending_answers = std::mem::take(&mut self.reports.pending_answers).into_iter();
        let answers: Vec<AnswerStats> = pending_answers
            .map(|(upstream, pending_answers)| AnswerStats {
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

    /// Handles response statistics forwarded by a relay, and forwards those of other zones to the
    /// nodes of this zone.
    pub(super) fn handle_answers(&mut self, now: Time, from: SocketAddr, answers: &[AnswerStats]) {
        self.dispatcher.apply_answers(now, answers);
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

/// Interval between sums of the given number of parts to the given number of nodes.
fn sum_interval(nodes: usize, parts: usize) -> Duration {
    Duration::from_secs(1) * (nodes * parts) as u32 / MAX_SUMS_PER_SECOND
}
