//! Which other nodes there are, where they listen, and who of them was heard.
//!
//! Looked up for each datagram, so everything is indexed by address and computed
//! when the nodes change, not when it is asked for: what a tick costs does not
//! depend on how many nodes there are.

use crate::core::records::NodeRecord;
use crate::core::relays::Relays;
use beamtray_dispatch::{Fingerprint, NodeHash};
use beamtray_types::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// How long a node without an entry counts as there since it was heard: as long
/// as a node that lost the store may serve by what others tell it.
const UNREGISTERED_PEER_TTL: Duration = Duration::from_secs(3);
/// Between looks for nodes that fell silent.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whom a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// All other nodes.
    All,
    /// Other nodes of the same zone.
    SameZone,
    /// Other nodes of the same zone, and the relays of the others.
    SameZoneAndRelays,
}

/// The other nodes, as this one knows them.
pub(crate) struct Membership {
    own: SocketAddr,
    own_zone: String,
    /// Addresses of all nodes with an entry, this one included.
    entries: HashSet<SocketAddr>,
    /// The same by their short names.
    addresses: HashMap<NodeHash, SocketAddr>,
    all: Vec<SocketAddr>,
    same_zone: Vec<SocketAddr>,
    same_zone_and_relays: Vec<SocketAddr>,
    /// The run of each other node with an entry.
    runs: HashMap<SocketAddr, u64>,
    /// When each node was last heard.
    heard: HashMap<SocketAddr, Time>,
    /// Nodes that are heard and have no entry: a node that lost the store loses
    /// its entry, but is there as long as it is heard.
    unregistered: BTreeSet<SocketAddr>,
    /// Zones of the nodes that have an entry, or had one and are heard.
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
    /// Knows no other node yet; `own` is this one.
    pub fn new(own: &NodeRecord) -> Self {
        Self {
            own: own.peers,
            own_zone: own.zone.clone(),
            entries: HashSet::new(),
            addresses: HashMap::new(),
            all: Vec::new(),
            same_zone: Vec::new(),
            same_zone_and_relays: Vec::new(),
            runs: HashMap::new(),
            heard: HashMap::new(),
            unregistered: BTreeSet::new(),
            zones: HashMap::new(),
            relays: Relays::default(),
            is_relay: false,
            relative_capacity: 1.0,
            next_expiry: Time::ZERO,
        }
    }

    /// Takes the nodes that have an entry; the other ones whose process is a new one.
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

    /// Notes that a node was heard.
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

    /// Whether a node was heard within that time.
    pub fn heard_within(&self, now: Time, address: &SocketAddr, within: Duration) -> bool {
        self.heard(address)
            .is_some_and(|heard| now.since(heard) < within)
    }

    /// Forgets nodes that fell silent.
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

    /// The node that lends permits for a request: the one of those with an entry, this
    /// one included, that a hash of both picks. Nodes that come and go move no more
    /// requests than they lend for.
    pub fn lender(&self, fingerprint: Fingerprint) -> Option<SocketAddr> {
        let weight = |address: &&SocketAddr| (rendezvous_weight(fingerprint, address), **address);
        self.entries.iter().max_by_key(weight).copied()
    }

    /// Where a node with an entry listens.
    pub fn address(&self, node: NodeHash) -> Option<SocketAddr> {
        self.addresses.get(&node).copied()
    }

    /// Whether this node is a relay.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// This node's processor share, as a part of the ablest node's.
    pub fn relative_capacity(&self) -> f64 {
        self.relative_capacity
    }

    /// The zone of a node, if it is known.
    pub fn zone(&self, address: &SocketAddr) -> Option<&String> {
        self.zones.get(address)
    }

    /// Whether a node is in this one's zone.
    pub fn is_same_zone(&self, address: &SocketAddr) -> bool {
        self.zone(address) == Some(&self.own_zone)
    }

    /// Addresses of other nodes.
    pub fn peers(&self, audience: Audience) -> Vec<SocketAddr> {
        let mut peers = self.registered_peers(audience).to_vec();
        peers.extend(self.unregistered_peers(audience));
        peers
    }

    /// How many other nodes those are.
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
            let is_meant = audience == Audience::All || self.is_same_zone(address);
            *address != self.own && is_meant
        })
    }
}
