//! Number of requests in flight at each upstream, over all nodes.
//!
//! In small deployments each node receives every other node's report. In large ones a node
//! reports to the relays of its zone. A relay sums the reports it receives, sends the sum to
//! the relays of other zones, and sends the sum over all zones to the nodes of its own zone.
//! Such a sum includes an earlier report of the receiving node, which is subtracted again,
//! identified by its sequence number.

use crate::report::{
    InFlight, IncludedReport, LoadReport, LoadSum, NodeHash, UpstreamHash, divide,
};
use beamtray_types::Time;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Reports and sums that have not been renewed for this long are dropped.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Minimum time between two searches for expired reports and sums.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// A report that arrives sooner than this after a slot was allocated may not include the
/// request that the slot is for.
const ALLOCATION_GRACE: Duration = Duration::from_millis(8);
/// Number of own reports kept, since any of them may be part of a sum.
const MAX_OWN_REPORTS: usize = 24;

#[derive(Clone, Debug)]
struct Peer {
    run: u32,
    sequence: u32,
    received_at: Time,
    in_flight: Vec<InFlight>,
    /// Slots that were allocated to this node and that it has not reported yet.
    allocated: Vec<(Time, UpstreamHash)>,
}

#[derive(Clone, Debug)]
struct SumPart {
    parts: u8,
    received_at: Time,
    in_flight: Vec<InFlight>,
}

/// Sender of a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SumSource {
    /// A relay of another zone, identified by the zone's number.
    Zone(u32),
    /// A relay of this node's zone.
    OwnRelay,
}

#[derive(Clone, Debug)]
struct OwnReport {
    sequence: u32,
    in_flight: Vec<InFlight>,
}

/// Requests in flight at each upstream.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    own: BTreeMap<UpstreamHash, u16>,
    own_reports: VecDeque<OwnReport>,
    peers: BTreeMap<NodeHash, Peer>,
    sums: BTreeMap<(SumSource, u8), SumPart>,
    /// Sum over all other nodes.
    others: HashMap<UpstreamHash, u32>,
    expire_at: Time,
}

impl Occupancy {
    /// Counts a request that this node sends.
    pub fn begin(&mut self, upstream: UpstreamHash) {
        *self.own.entry(upstream).or_default() += 1;
    }

    /// Counts the end of a request of this node.
    pub fn end(&mut self, upstream: UpstreamHash) {
        if let Some(count) = self.own.get_mut(&upstream) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&upstream);
            }
        }
    }

    /// Requests of this node in flight.
    pub fn own(&self, upstream: UpstreamHash) -> u32 {
        self.own.get(&upstream).copied().unwrap_or_default().into()
    }

    /// Upstreams with requests of this node in flight.
    pub fn own_all(&self) -> impl Iterator<Item = (UpstreamHash, u16)> + '_ {
        self.own.iter().map(|(upstream, count)| (*upstream, *count))
    }

    /// Requests of all nodes in flight, as far as known.
    pub fn total(&self, upstream: UpstreamHash) -> u32 {
        let others = self.others.get(&upstream).copied().unwrap_or_default();
        self.own(upstream) + others
    }

    /// Keeps a report of this node, so that it can be subtracted from a sum.
    pub fn record_own_report(&mut self, sequence: u32, in_flight: Vec<InFlight>) {
        self.own_reports.push_back(OwnReport {
            sequence,
            in_flight,
        });
        if self.own_reports.len() > MAX_OWN_REPORTS {
            self.own_reports.pop_front();
        }
    }

    /// Applies another node's report.
    pub fn apply_load_report(&mut self, now: Time, report: &LoadReport) {
        let peer = self.peers.entry(report.node).or_insert(Peer {
            run: report.run,
            sequence: 0,
            received_at: now,
            in_flight: Vec::new(),
            allocated: Vec::new(),
        });
        let is_stale = peer.run == report.run && report.sequence <= peer.sequence;
        if is_stale {
            return;
        }
        peer.run = report.run;
        peer.sequence = report.sequence;
        peer.received_at = now;
        let before = std::mem::replace(&mut peer.in_flight, report.in_flight.clone());
        subtract(&mut self.others, &before);
        add(&mut self.others, &report.in_flight);
        let others = &mut self.others;
        peer.allocated.retain(|(at, upstream)| {
            let is_unreported = now.since(*at) < ALLOCATION_GRACE;
            if !is_unreported {
                subtract_one(others, *upstream);
            }
            is_unreported
        });
    }

    /// Counts a slot that was allocated to another node until that node's report includes it.
    pub fn slot_allocated(&mut self, now: Time, node: NodeHash, upstream: UpstreamHash) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.allocated.push((now, upstream));
            *self.others.entry(upstream).or_default() += 1;
        }
    }

    /// Applies a relay's sum, without the share of this node, which is `own`. Two relays of a
    /// zone may both send sums for a while; the newest one counts.
    pub fn apply_load_sum(&mut self, now: Time, own: NodeHash, source: SumSource, sum: &LoadSum) {
        self.drop_parts(|(from, _), part| from == source && part.parts != sum.parts);
        let in_flight = self.without_own(own, sum);
        let part = SumPart {
            parts: sum.parts,
            received_at: now,
            in_flight,
        };
        let key = (source, sum.part);
        if let Some(before) = self.sums.remove(&key) {
            subtract(&mut self.others, &before.in_flight);
        }
        add(&mut self.others, &part.in_flight);
        self.sums.insert(key, part);
    }

    fn without_own(&self, own: NodeHash, sum: &LoadSum) -> Vec<InFlight> {
        let mut in_flight = sum.in_flight.clone();
        let contained = sum.contains.iter().find(|report| report.node == own);
        let report = contained.and_then(|contained| {
            let mut reports = self.own_reports.iter();
            reports.find(|report| report.sequence == contained.sequence)
        });
        let Some(report) = report else {
            return in_flight;
        };
        let own: HashMap<UpstreamHash, u8> = report
            .in_flight
            .iter()
            .map(|load| (load.upstream, load.requests))
            .collect();
        for load in &mut in_flight {
            let own = own.get(&load.upstream).copied().unwrap_or_default();
            load.requests = load.requests.saturating_sub(own);
        }
        in_flight
    }

    /// Sums the requests in flight of this node and of the nodes that report to it; with
    /// `all_zones` also those that relays of other zones reported.
    pub fn sum(&self, sequence: u32, all_zones: bool) -> Vec<LoadSum> {
        let mut counts: HashMap<UpstreamHash, u32> = HashMap::new();
        for (upstream, count) in &self.own {
            *counts.entry(*upstream).or_default() += u32::from(*count);
        }
        for peer in self.peers.values() {
            add(&mut counts, &peer.in_flight);
            for (_, upstream) in &peer.allocated {
                *counts.entry(*upstream).or_default() += 1;
            }
        }
        let zones = self.sums.iter().filter(|_| all_zones);
        for ((source, _), part) in zones {
            if matches!(source, SumSource::Zone(_)) {
                add(&mut counts, &part.in_flight);
            }
        }
        let peers = self.peers.iter().map(|(node, peer)| IncludedReport {
            node: *node,
            sequence: peer.sequence,
        });
        let contains: Vec<IncludedReport> = peers.filter(|_| all_zones).collect();
        let mut counts: Vec<(UpstreamHash, u32)> = counts.into_iter().collect();
        counts.sort_unstable();
        divide(sequence, counts, &contains)
    }

    /// Drops expired reports and sums.
    pub fn expire(&mut self, now: Time) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRY_INTERVAL;
        let others = &mut self.others;
        self.peers.retain(|_, peer| {
            let keep = now.since(peer.received_at) < REPORT_LIFETIME;
            if !keep {
                subtract(others, &peer.in_flight);
                for (_, upstream) in &peer.allocated {
                    subtract_one(others, *upstream);
                }
            }
            keep
        });
        self.drop_parts(|_, part| now.since(part.received_at) >= REPORT_LIFETIME);
    }

    fn drop_parts(&mut self, drops: impl Fn((SumSource, u8), &SumPart) -> bool) {
        let others = &mut self.others;
        self.sums.retain(|key, part| {
            let keep = !drops(*key, part);
            if !keep {
                subtract(others, &part.in_flight);
            }
            keep
        });
    }

    /// Number of other nodes that reported recently.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

fn add(sums: &mut HashMap<UpstreamHash, u32>, in_flight: &[InFlight]) {
    for load in in_flight {
        *sums.entry(load.upstream).or_default() += u32::from(load.requests);
    }
}

fn subtract(sums: &mut HashMap<UpstreamHash, u32>, in_flight: &[InFlight]) {
    for load in in_flight {
        let Some(sum) = sums.get_mut(&load.upstream) else {
            continue;
        };
        *sum = sum.saturating_sub(u32::from(load.requests));
        if *sum == 0 {
            sums.remove(&load.upstream);
        }
    }
}

fn subtract_one(sums: &mut HashMap<UpstreamHash, u32>, upstream: UpstreamHash) {
    let one = InFlight {
        upstream,
        requests: 1,
    };
    subtract(sums, &[one]);
}
