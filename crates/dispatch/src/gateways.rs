//! Nodes through which this node sends requests to upstreams that it can't connect to itself.
//!
//! A gateway opens a connection to the upstream and passes bytes on. All decisions stay with the
//! node that has the request: the choice of the upstream, retries, their budget, permits and
//! deadlines. A gateway connects to the upstream itself, never through a further node, so a request
//! can't be passed around.

use crate::report::UpstreamHash;
use beamtray_types::{Time, Zone};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long a gateway is not used for an upstream that it failed to connect to, and not at all after
/// it declined.
const FAILURE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of nodes asked whether an upstream is running.
const MAX_WITNESSES: usize = 4;
/// Number of upstreams that a gateway failed to connect to from which it is used for none.
const MAX_FAILED_UPSTREAMS: usize = 2;

/// Why a request could not be sent through a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayFailure {
    /// The gateway is not reached, or it accepts no further connection.
    Declined,
    /// The gateway can't open a connection to the upstream.
    Unreachable,
    /// The gateway's connection to the upstream was refused.
    Refused,
}

#[derive(Clone, Debug)]
struct Gateway {
    zone: Zone,
    /// Hash of its address.
    hash: u64,
    /// Set when it declined.
    unusable_until: Time,
    /// Upstreams that it failed to connect to, and until when this counts.
    failed: Vec<(UpstreamHash, Time)>,
}

impl Gateway {
    fn new(address: SocketAddr, zone: Zone) -> Self {
        Self {
            zone,
            hash: xxh3_64(address.to_string().as_bytes()),
            unusable_until: Time::ZERO,
            failed: Vec::new(),
        }
    }

    fn is_usable(&self, now: Time, upstream: UpstreamHash) -> bool {
        let mut failed = self.failed.iter().filter(|(_, until)| now < *until);
        self.is_available(now) && failed.all(|(failed, _)| *failed != upstream)
    }

    /// Its place in the order of gateways for an upstream.
    fn weight(&self, upstream: UpstreamHash) -> u64 {
        xxh3_64_with_seed(&self.hash.to_le_bytes(), u64::from(upstream.0))
    }

    /// A time before which it is available for no upstream; now if it is.
    fn available_at(&self, now: Time) -> Time {
        if self.is_available(now) {
            return now;
        }
        let failed = self.failed.iter().map(|(_, until)| *until);
        let first_end = failed.filter(|until| now < *until).min();
        let is_declined = now < self.unusable_until;
        match first_end {
            Some(end) if is_declined => end.min(self.unusable_until),
            Some(end) => end,
            None => self.unusable_until,
        }
    }

    /// Whether it is usable for any upstream.
    fn is_available(&self, now: Time) -> bool {
        let failed = self.failed.iter().filter(|(_, until)| now < *until);
        now >= self.unusable_until && failed.count() < MAX_FAILED_UPSTREAMS
    }
}

/// The nodes that may serve this one as gateways.
#[derive(Clone, Debug)]
pub(crate) struct Gateways {
    all: BTreeMap<SocketAddr, Gateway>,
    own_zone: Zone,
    are_exhausted: bool,
    /// Until when none is available for any upstream, unless one of them changes before.
    none_until: Cell<Time>,
    /// Number of gateways that decisions examined.
    examined: Cell<u64>,
}

impl Gateways {
    /// Creates the set of a node that knows no others yet.
    pub fn new(own_zone: Zone) -> Self {
        Self {
            all: BTreeMap::new(),
            own_zone,
            are_exhausted: false,
            none_until: Cell::default(),
            examined: Cell::new(0),
        }
    }

    /// Replaces the nodes; each comes with its zone.
    pub fn set(&mut self, nodes: impl Iterator<Item = (SocketAddr, Zone)>) {
        self.none_until.set(Time::ZERO);
        let mut before = std::mem::take(&mut self.all);
        self.all = nodes
            .map(|(address, zone)| match before.remove(&address) {
                Some(known) => (address, Gateway { zone, ..known }),
                None => (address, Gateway::new(address, zone)),
            })
            .collect();
    }

    fn examine(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Number of gateways that decisions examined.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Whether there are no other nodes.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether any gateway is usable for an upstream.
    pub fn any_usable(&self, now: Time, upstream: UpstreamHash) -> bool {
        if now < self.none_until.get() {
            return false;
        }
        let mut all = self.all.values();
        let is_any_usable = all.any(|gateway| {
            self.examine();
            gateway.is_usable(now, upstream)
        });
        if !is_any_usable {
            let available = self.all.values().map(|gateway| gateway.available_at(now));
            self.none_until.set(available.min().unwrap_or(now));
        }
        is_any_usable
    }

    /// Whether all gateways were unusable when one last failed, and none has worked since.
    pub fn are_exhausted(&self) -> bool {
        self.are_exhausted
    }

    /// Forgets that all gateways were unusable.
    pub fn forget_exhaustion(&mut self) {
        self.are_exhausted = false;
    }

    /// The gateway for an upstream: one in the zone of this node if at least half of the others there
    /// are usable; where most are cut off as well, the few others could not carry the requests of
    /// all. Each upstream has its own order of gateways, which spreads the load and lets connections
    /// be reused.
    pub fn choose(&self, now: Time, upstream: UpstreamHash) -> Option<SocketAddr> {
        let is_near = |gateway: &Gateway| gateway.zone == self.own_zone;
        let (mut near_count, mut usable_near_count) = (0, 0);
        let mut best: Option<(u64, SocketAddr)> = None;
        let mut best_near: Option<(u64, SocketAddr)> = None;
        for (address, gateway) in &self.all {
            self.examine();
            near_count += usize::from(is_near(gateway));
            if !gateway.is_usable(now, upstream) {
                continue;
            }
            let weighted = Some((gateway.weight(upstream), *address));
            best = best.max(weighted);
            if is_near(gateway) {
                usable_near_count += 1;
                best_near = best_near.max(weighted);
            }
        }
        let prefers_near = usable_near_count * 2 >= near_count;
        let chosen = best_near.filter(|_| prefers_near).or(best);
        chosen.map(|(_, address)| address)
    }

    /// A gateway for an upstream from any zone: to find out whether this node is cut off, since the
    /// others of its zone may be cut off as well.
    pub fn choose_in_any_zone(&self, now: Time, upstream: UpstreamHash) -> Option<SocketAddr> {
        let all = self.all.iter();
        let usable = all.filter(|(_, gateway)| {
            self.examine();
            gateway.is_usable(now, upstream)
        });
        let weighted = usable.map(|(address, gateway)| (gateway.weight(upstream), *address));
        weighted.max().map(|(_, address)| address)
    }

    /// One usable gateway of each zone: a partition may concern all nodes of one.
    pub fn of_each_zone(&self, now: Time, upstream: UpstreamHash) -> Vec<SocketAddr> {
        let mut chosen: BTreeMap<&Zone, (u64, SocketAddr)> = BTreeMap::new();
        let usable = self.all.iter();
        for (address, gateway) in usable.filter(|(_, one)| one.is_usable(now, upstream)) {
            let weighted = (gateway.weight(upstream), *address);
            let best = chosen.entry(&gateway.zone).or_insert(weighted);
            *best = weighted.max(*best);
        }
        let chosen = chosen.into_values().map(|(_, address)| address);
        chosen.take(MAX_WITNESSES).collect()
    }

    /// Records that a gateway could not be used for an upstream.
    pub fn failed(
        &mut self,
        now: Time,
        address: SocketAddr,
        upstream: UpstreamHash,
        failure: GatewayFailure,
    ) {
        let Some(gateway) = self.all.get_mut(&address) else {
            return;
        };
        let until = now + FAILURE_PERIOD;
        if failure == GatewayFailure::Declined {
            gateway.unusable_until = until;
        } else {
            gateway
                .failed
                .retain(|(failed, until)| now < *until && *failed != upstream);
            gateway.failed.push((upstream, until));
        }
        self.are_exhausted = !self.all.values().any(|gateway| gateway.is_available(now));
    }

    /// Records that a gateway connected to an upstream.
    pub fn succeeded(&mut self, address: SocketAddr) {
        self.are_exhausted = false;
        self.none_until.set(Time::ZERO);
        if let Some(gateway) = self.all.get_mut(&address) {
            gateway.failed.clear();
        }
    }
}
