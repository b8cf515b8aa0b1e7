//! The other nodes, their addresses, and when each was last heard.
//!
//! This is consulted for every datagram, so everything is indexed by address and computed when the
//! membership changes rather than on each lookup: the cost of a tick does not depend on the number
//! of nodes.

use crate::core::records::NodeRecord;
use crate::core::relays::Relays;
use beamtray_dispatch::{Fingerprint, NodeHash};
use beamtray_types::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// How long a node without a registration remains a member after it was last heard: as long as a
/// node that lost the store may serve on data from other nodes.
const UNREGISTERED_PEER_TTL: Duration = Duration::from_secs(3);
/// Interval of the search for silent nodes.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The recipients of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// All other nodes.
    All,
    /// The other nodes of the same zone.
    SameZone,
    /// The other nodes of the same zone, and the relays of other zones.
    SameZoneAndRelays,
}

/// The other nodes, as known to this one.
pub(crate) struct Membership {
    own: SocketAddr,
    own_zone: String,
    /// Addresses of all registered nodes, including this one.
    entries: HashSet<SocketAddr>,
    /// Addresses of the same nodes by the hash of their names.
    addresses: HashMap<NodeHash, SocketAddr>,
    all: Vec<SocketAddr>,
    same_zone: Vec<SocketAddr>,
    same_zone_and_relays: Vec<SocketAddr>,
    /// The process run of each other registered node.
    runs: BTreeMap<SocketAddr, u64>,
    /// When each node was last heard.
    heard: HashMap<SocketAddr, Time>,
    /// Nodes that are heard but not registered: a node that loses the store loses its registration,
    /// but remains a member as long as it is heard.
    unregistered: BTreeSet<SocketAddr>,
    /// Zones of registered nodes, and of formerly registered nodes that are still heard.
    zones: HashMap<SocketAddr, String>,
    relays: Relays,
    is_relay: bool,
    relative_capacity: f64,
    next_expiry: Time,
}

fn rendezvous_weight(fingerprint: Fingerprint, address: &SocketAddr) -> u64 {
    let mut hasher = Xxh3::with_seed(fingerprint.0);
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}

impl Membership {
    /// Creates the membership of a node that knows no others yet; `own` is this node.
    pub fn new(own: &NodeRecord) -> Self {
        Self {
            own: own.peers,
            own_zone: own.zone.clone(),
            entries: HashSet::new(),
            addresses: HashMap::new(),
            all: Vec::new(),
            same_zone: Vec::new(),
            same_zone_and_relays: Vec::new(),
            runs: BTreeMap::new(),
            heard: HashMap::new(),
            unregistered: BTreeSet::new(),
            zones: HashMap::new(),
            relays: Relays::default(),
            is_relay: false,
            relative_capacity: 1.0,
            next_expiry: Time::ZERO,
        }
    }

    /// Replaces the registered nodes. Returns the addresses of nodes that started or restarted.
    pub fn set_nodes(
        &mut self,
        own: &NodeRecord,
        nodes: &BTreeMap<String, NodeRecord>,
    ) -> Vec<SocketAddr> {
        let mut with_own = nodes.clone();
        with_own.insert(own.name.clone(), own.clone());
        self.relays = Relays::choose(&with_own);
        self.is_relay = self.relays.contains(&self.own);
        let most = with_own.values().map(|node| node.capacity).max();
        self.relative_capacity = f64::from(own.capacity) / f64::from(most.unwrap_or(1).max(1));
        let zones = with_own.values();
        self.zones
            .extend(zones.map(|node| (node.peers, node.zone.clone())));
        self.entries = nodes.values().map(|node| node.peers).collect();
        let addresses = nodes.values();
        self.addresses = addresses
            .map(|node| (NodeHash::of(&node.name), node.peers))
            .collect();
        let others = nodes.values().filter(|node| node.peers != self.own);
        let others: Vec<&NodeRecord> = others.collect();
        let is_same_zone = |node: &&&NodeRecord| node.zone == self.own_zone;
        let address = |node: &&NodeRecord| node.peers;
        self.all = others.iter().map(address).collect();
        self.same_zone = others.iter().filter(is_same_zone).map(address).collect();
        let relays = &self.relays;
        let receives = |node: &&&NodeRecord| is_same_zone(node) || relays.contains(&node.peers);
        self.same_zone_and_relays = others.iter().filter(receives).map(address).collect();
        let heard = self.heard.keys().copied();
        let unregistered = heard.filter(|address| !self.entries.contains(address));
        self.unregistered = unregistered.collect();
        let runs = others.iter().map(|node| (node.peers, node.run)).collect();
        let before = std::mem::replace(&mut self.runs, runs);
        let is_new = |(address, run): &(&SocketAddr, &u64)| before.get(address) != Some(run);
        let started = self.runs.iter().filter(is_new);
        started.map(|(address, _)| *address).collect()
    }

    /// Records that a node was heard.
    pub fn record_heard(&mut self, now: Time, from: SocketAddr) {
        let is_new = self.heard.insert(from, now).is_none();
        if is_new && !self.entries.contains(&from) {
            self.unregistered.insert(from);
        }
    }

    /// When a node was last heard.
    pub fn heard(&self, address: &SocketAddr) -> Option<Time> {
        self.heard.get(address).copied()
    }

    /// Whether a node was heard within the given time.
    pub fn heard_within(&self, now: Time, address: &SocketAddr, within: Duration) -> bool {
        self.heard(address)
            .is_some_and(|heard| now.since(heard) < within)
    }

    /// Removes nodes that have become silent.
    pub fn expire_silent(&mut self, now: Time) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let (heard, entries) = (&mut self.heard, &self.entries);
        heard.retain(|_, at| now.since(*at) < UNREGISTERED_PEER_TTL);
        self.unregistered
            .retain(|address| heard.contains_key(address));
        self.zones
            .retain(|address, _| heard.contains_key(address) || entries.contains(address));
    }

    /// The relays of all zones.
    pub fn relays(&self) -> &Relays {
        &self.relays
    }

    /// The node that issues permits for a request, chosen among the registered nodes, including
    /// this one, by rendezvous hashing. When a node joins or leaves, only the requests that it
    /// issues for move.
    pub fn issuer(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let weight = |address: &&SocketAddr| (rendezvous_weight(fingerprint, address), **address);
        self.entries.iter().max_by_key(weight).copied()
    }

    /// Address of a registered node.
    pub fn address(&self, node: NodeHash) -> Option<SocketAddr> {
        self.addresses.get(&node).copied()
    }

    /// Whether this node is a relay.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// This node's processor share relative to the node with the largest share.
    pub fn relative_capacity(&self) -> f64 {
        self.relative_capacity
    }

    /// The zone of a node, if known.
    pub fn zone(&self, address: &SocketAddr) -> Option<&String> {
        self.zones.get(address)
    }

    /// Whether a node is in this node's zone.
    pub fn is_same_zone(&self, address: &SocketAddr) -> bool {
        self.zone(address) == Some(&self.own_zone)
    }

    /// Addresses of the other nodes in an audience.
    pub fn peers(&self, audience: Audience) -> Vec<SocketAddr> {
        let mut peers = self.registered_peers(audience).to_vec();
        peers.extend(self.unregistered_peers(audience));
        peers
    }

    /// Number of other nodes in an audience.
    pub fn count(&self, audience: Audience) -> usize {
        self.registered_peers(audience).len() + self.unregistered_peers(audience).count()
    }

    fn registered_peers(&self, audience: Audience) -> &[SocketAddr] {
        match audience {
            Audience::All => &self.all,
            Audience::SameZone => &self.same_zone,
            Audience::SameZoneAndRelays => &self.same_zone_and_relays,
        }
    }

    fn unregistered_peers(&self, audience: Audience) -> impl Iterator<Item = SocketAddr> + '_ {
        let unregistered = self.unregistered.iter().copied();
        unregistered.filter(move |address| {
            let is_included = audience == Audience::All || self.is_same_zone(address);
            *address != self.own && is_included
        })
    }
}
