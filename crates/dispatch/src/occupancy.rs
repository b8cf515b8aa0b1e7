//! How many requests are under way at each upstream, over all nodes.

use crate::report::{InFlight, LoadReport, NodeHash, UpstreamHash};
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
    in_flight: Vec<InFlight>,
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
            in_flight: Vec::new(),
        });
        let older = peer.run == report.run && report.sequence <= peer.sequence;
        if older {
            return;
        }
        peer.run = report.run;
        peer.sequence = report.sequence;
        peer.heard = now;
        let before = std::mem::replace(&mut peer.in_flight, report.in_flight.clone());
        subtract(&mut self.others, &before);
        for load in &report.in_flight {
            *self.others.entry(load.upstream).or_default() += u32::from(load.requests);
        }
    }

    /// Forgets nodes that fell silent.
    pub fn expire(&mut self, now: Time) {
        let others = &mut self.others;
        self.peers.retain(|_, peer| {
            let keep = now.since(peer.heard) < FORGET;
            if !keep {
                subtract(others, &peer.in_flight);
            }
            keep
        });
    }

    /// How many other nodes reported of late.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// Takes a peer's requests out of the sum.
fn subtract(others: &mut HashMap<UpstreamHash, u32>, in_flight: &[InFlight]) {
    for load in in_flight {
        let Some(sum) = others.get_mut(&load.upstream) else {
            continue;
        };
        *sum = sum.saturating_sub(u32::from(load.requests));
        if *sum == 0 {
            others.remove(&load.upstream);
        }
    }
}
