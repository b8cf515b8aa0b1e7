//! What the dispatcher tells, and takes from, other nodes and processes.

use super::Dispatcher;
use crate::occupancy::Occupancy;
use crate::occupancy::SumSource;
use crate::report::{
    AnswerStats, InFlight, KeyLoad, KeyReport, LoadReport, LoadSum, NodeHash, UpstreamHash,
};
use crate::speed::{SpeedRecord, SpeedTable};
use beamtray_types::Time;

impl Dispatcher {
    /// Takes another node's report.
    pub fn apply_load_report(&mut self, now: Time, report: &LoadReport) {
        self.occupancy.apply_load_report(now, report);
        self.apply_answers(now, &report.answers);
    }

    /// When an upstream last answered a request of any node, as far as known.
    pub fn last_answer_at(&self, upstream: UpstreamHash) -> Option<Time> {
        self.last_answers.get(&upstream).copied()
    }

    /// Forgets peers that fell silent.
    pub fn expire(&mut self, now: Time) {
        self.quarantine.expire(now);
        self.rests.expire(now);
        self.rests_at_any_node.expire(now);
        self.occupancy.expire(now);
        self.cold_starts.expire(now);
    }

    /// This node's requests under way, for other nodes. `answers` tells them
    /// also of the answers since the last such report.
    pub fn load_report(&mut self, answers: Vec<AnswerStats>) -> LoadReport {
        self.sequence += 1;
        let own = self.occupancy.own_all();
        let in_flight: Vec<InFlight> = own
            .map(|(upstream, requests)| InFlight {
                upstream,
                requests: requests.min(u16::from(u8::MAX)) as u8,
            })
            .collect();
        self.occupancy
            .record_own_report(self.sequence, in_flight.clone());
        LoadReport {
            node: NodeHash::of(&self.config.node),
            run: self.config.run as u32,
            sequence: self.sequence,
            in_flight,
            answers,
        }
    }

    /// Takes a relay's sum of requests under way.
    pub fn apply_load_sum(&mut self, now: Time, source: SumSource, sum: &LoadSum) {
        let own = NodeHash::of(&self.config.node);
        self.occupancy.apply_load_sum(now, own, source, sum);
    }

    /// Requests under way of this node and of those that report to it, for the
    /// relays of other zones, or with `all_zones` for the nodes of its own.
    pub fn load_sum(&mut self, all_zones: bool) -> Vec<LoadSum> {
        self.sequence += 1;
        self.occupancy.sum(self.sequence, all_zones)
    }

    /// Takes answers that other nodes had.
    pub fn apply_answers(&mut self, now: Time, answers: &[AnswerStats]) {
        for answers in answers {
            self.last_answers.insert(answers.upstream, now);
            if answers.failures > 0 {
                let failures = u32::from(answers.failures);
                self.failures.record(now, answers.upstream, failures);
            }
            let count = f64::from(answers.samples);
            self.speeds
                .add_samples(answers.upstream, count, f64::from(answers.sum));
        }
    }

    /// Answers that other nodes were not told of.
    pub fn take_answers(&mut self) -> Vec<AnswerStats> {
        let unreported = self.speeds.take_unreported().into_iter();
        unreported
            .map(|(upstream, unreported)| AnswerStats {
                upstream,
                samples: unreported.count.min(u32::from(u8::MAX)) as u8,
                sum: unreported.sum as f32,
                failures: unreported.failures.min(u32::from(u8::MAX)) as u8,
            })
            .collect()
    }

    /// This node's requests by key since the last such report.
    pub fn key_report(&mut self) -> KeyReport {
        let mut report = KeyReport::default();
        for (service, loads) in self.key_loads.drain() {
            let index = report.services.len() as u8;
            report.services.push(service);
            report
                .keys
                .extend(loads.into_iter().map(|(key, requests)| KeyLoad {
                    service: index,
                    key,
                    requests,
                }));
        }
        report
    }

    /// Takes speeds that an earlier process learned.
    pub fn restore_speeds(&mut self, record: &SpeedRecord) {
        self.speeds.restore(record);
    }

    /// Learned speeds.
    pub fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Requests under way over all nodes.
    pub fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Requests that wait here, and all that are not answered yet.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.requests.len())
    }
}
