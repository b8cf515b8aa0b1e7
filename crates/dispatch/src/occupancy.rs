//! How many requests are under way at each upstream, over all nodes.

use crate::report::{LoadReport, NodeHash, UpstreamHash};
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A node that has not reported for this long no longer counts.
const FORGET: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct Peer {
    run: u32,
    sequence: u32,
    heard: Time,
    in_flight: HashMap<UpstreamHash, u8>,
}

/// Requests under way at each upstream.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    own: HashMap<UpstreamHash, u16>,
    peers: HashMap<NodeHash, Peer>,
    /// Sum over the peers.
    others: HashMap<UpstreamHash, u32>,
}

impl Occupancy {
    /// Counts a request that this node sends.
    pub fn begin(&mut self, upstream: UpstreamHash) {
        *self.own.entry(upstream).or_default() += 1;
    }

    /// Counts the end of one.
    pub fn end(&mut self, upstream: UpstreamHash) {
        if let Some(count) = self.own.get_mut(&upstream) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&upstream);
            }
        }
    }

    /// Requests of this node under way.
    pub fn own(&self, upstream: UpstreamHash) -> u32 {
        self.own.get(&upstream).copied().unwrap_or_default().into()
    }

    /// Upstreams with requests of this node.
    pub fn own_all(&self) -> impl Iterator<Item = (UpstreamHash, u16)> + '_ {
        self.own.iter().map(|(upstream, count)| (*upstream, *count))
    }

    /// Requests of all nodes under way, as far as known.
    pub fn total(&self, upstream: UpstreamHash) -> u32 {
        let others = self.others.get(&upstream).copied().unwrap_or_default();
        self.own(upstream) + others
    }

    /// Takes another node's report.
    pub fn report(&mut self, now: Time, report: &LoadReport) {
        let peer = self.peers.entry(report.node).or_insert(Peer {
            run: report.run,
            sequence: 0,
            heard: now,
            in_flight: HashMap::new(),
        });
        let older = peer.run == report.run && report.sequence <= peer.sequence;
        if older {
            return;
        }
        peer.run = report.run;
        peer.sequence = report.sequence;
        peer.heard = now;
        peer.in_flight = report
            .in_flight
            .iter()
            .map(|load| (load.upstream, load.requests))
            .collect();
        self.sum();
    }

    /// Forgets nodes that fell silent.
    pub fn expire(&mut self, now: Time) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.since(peer.heard) < FORGET);
        if self.peers.len() != before {
            self.sum();
        }
    }

    /// How many other nodes reported of late.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    fn sum(&mut self) {
        self.others.clear();
        for peer in self.peers.values() {
            for (upstream, count) in &peer.in_flight {
                *self.others.entry(*upstream).or_default() += u32::from(*count);
            }
        }
    }
}
