//! Exchange of load, responses and speeds with other nodes and with earlier processes of this
//! node.

use super::Dispatcher;
use crate::occupancy::Occupancy;
use crate::occupancy::SumSource;
use crate::report::{
    AnswerStats, InFlight, KeyLoad, KeyReport, LoadReport, LoadSum, NodeHash, UpstreamHash,
};
use crate::speed::{SpeedRecord, SpeedTable};
use beamtray_types::Time;

impl Dispatcher {
    /// Applies another node's load report.
    pub fn apply_load_report(&mut self, now: Time, report: &LoadReport) {
        self.occupancy.apply_load_report(now, report);
        self.apply_answers(now, &report.answers);
    }

    /// When an upstream last responded to a request of any node, as far as known.
    pub fn last_answer_at(&self, upstream: UpstreamHash) -> Option<Time> {
        self.last_answers.get(&upstream).copied()
    }

    /// Drops expired state: peers that stopped reporting, backoffs, suspicions and cold starts.
    pub fn expire(&mut self, now: Time) {
        self.quarantine.expire(now);
        self.requested_backoffs.expire(now);
        self.backoffs_at_any_node.expire(now);
        self.occupancy.expire(now);
        self.cold_starts.expire(now);
    }

    /// Builds a report of this node's requests in flight. `answers` adds the responses since
    /// the last report that had any.
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

    /// Applies a relay's sum of requests in flight.
    pub fn apply_load_sum(&mut self, now: Time, source: SumSource, sum: &LoadSum) {
        let own = NodeHash::of(&self.config.node);
        self.occupancy.apply_load_sum(now, own, source, sum);
    }

    /// Sums the requests in flight of this node and of the nodes that report to it, for the
    /// relays of other zones; with `all_zones` over all zones, for the nodes of its own zone.
    pub fn load_sum(&mut self, all_zones: bool) -> Vec<LoadSum> {
        self.sequence += 1;
        self.occupancy.sum(self.sequence, all_zones)
    }

    /// Applies response statistics of other nodes.
    pub fn apply_answers(&mut self, now: Time, answers: &[AnswerStats]) {
        for answers in answers {
            self.upstream_responded(now, answers.upstream);
            if answers.failures > 0 {
                let failures = u32::from(answers.failures);
                self.failures.record(now, answers.upstream, failures);
            }
            let count = f64::from(answers.samples);
            self.speeds
                .add_samples(answers.upstream, count, f64::from(answers.sum));
        }
    }

    /// Takes the response statistics that have not been reported to other nodes.
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

    /// Takes the number of requests per key at this node since the last call.
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

    /// Restores speeds learned by an earlier process.
    pub fn restore_speeds(&mut self, record: &SpeedRecord) {
        self.speeds.restore(record);
    }

    /// Learned speeds.
    pub fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Requests in flight at each upstream, over all nodes.
    pub fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Number of waiting requests, and of all requests that have no response yet.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.requests.len())
    }
}
