//! Selects the nodes that follow the metadata store, and decides when other nodes may rely on them.
//!
//! If every node watched the store, each change would cause one request per node. Instead, one node
//! of each zone, its first relay, follows the store and announces changes to the other nodes, which
//! fetch them from the relay. The other relays of the zone are backups: each takes over when no
//! relay before it can be relied on, and does so sooner than ordinary nodes turn to the store
//! themselves.
//!
//! Large deployments have two tiers: the relay of one zone follows the store for the whole site;
//! the first relays of the other zones rely on it and inform their own nodes. A zone whose relay
//! doesn't hear that one follows the store by itself. Relays pass on the age of the store's
//! response, which only grows along the way, so two relays can't keep each other's trust alive.
//!
//! Invariant: a node relies on a relay only while the store's latest response to that relay was
//! requested less than [`RELAY_MAX_AGE`] ago ([`TIERED_RELAY_MAX_AGE`] with two tiers). A relay
//! that lost the store or fell silent stops being relied on within that time, and the node then
//! follows the store by itself. Otherwise a node whose relays are all cut off would keep using an
//! old configuration although its own path to the store works.

use crate::core::records::NodeRecord;
use beamtray_types::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum age of a relay's last store response.
pub const RELAY_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Maximum age for backup relays, which take over before ordinary nodes do.
pub const STANDBY_RELAY_MAX_AGE: Duration = Duration::from_millis(700);
/// Like [`RELAY_MAX_AGE`], for two tiers: information passed on by a second relay is older by one
/// message interval, and one message may be lost.
pub const TIERED_RELAY_MAX_AGE: Duration = Duration::from_millis(1_400);
/// Maximum age for first relays that rely on a relay of another zone.
const ZONE_RELAY_MAX_AGE: Duration = Duration::from_millis(1_000);
/// One relay is chosen for each group of this many nodes in a zone.
const NODES_PER_RELAY: usize = 4;
/// Maximum number of relays in a zone: if two fail together, one is left.
const MAX_RELAYS_PER_ZONE: usize = 3;

/// Capacity of a first relay, in thousandths of a core for each node of its zone, from which it has
/// processor time left for other duties.
const ROOMY_CAPACITY_PER_NODE: usize = 5;

/// A node's part among the nodes of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// Not a relay.
    Ordinary,
    /// A relay with processor time left for other duties.
    Relay,
    /// The first of several relays, which carries the reports of its zone and has less than
    /// [`ROOMY_CAPACITY_PER_NODE`] for each of its nodes.
    LoadedFirst,
}

/// The relays of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relays {
    zones: BTreeMap<String, Vec<SocketAddr>>,
    /// Zones in the order in which their relays follow the store for the site.
    order: Vec<String>,
    /// First relays that have little processor time for each node of their zone.
    loaded: BTreeSet<SocketAddr>,
}

/// The first relay of a zone if it is loaded. The nodes are in the order of precedence.
fn loaded_first(nodes: &[&NodeRecord]) -> Option<SocketAddr> {
    let first = nodes.first()?;
    let is_loaded = (first.capacity as usize) < ROOMY_CAPACITY_PER_NODE * nodes.len();
    is_loaded.then_some(first.peers)
}

impl Relays {
    /// Chooses relays among the given nodes: the nodes with the highest capacity in each zone, in
    /// an order that is the same on every node.
    pub fn choose(nodes: &BTreeMap<String, NodeRecord>) -> Self {
        let mut zones: BTreeMap<String, Vec<&NodeRecord>> = BTreeMap::new();
        for node in nodes.values() {
            zones.entry(node.zone.clone()).or_default().push(node);
        }
        for nodes in zones.values_mut() {
            nodes.sort_by_key(|node| (Reverse(node.capacity), xxh3_64(node.name.as_bytes())));
        }
        let relays = |(zone, nodes): (String, Vec<&NodeRecord>)| {
            let count = nodes
                .len()
                .div_ceil(NODES_PER_RELAY)
                .min(MAX_RELAYS_PER_ZONE);
            let relays = nodes.into_iter().take(count).map(|node| node.peers);
            (zone, relays.collect())
        };
        let mut first: Vec<(Reverse<u32>, u64, String)> = Vec::new();
        let mut loaded = BTreeSet::new();
        for (zone, nodes) in &zones {
            let highest = nodes.iter().map(|node| node.capacity).max();
            let capacity = Reverse(highest.unwrap_or_default());
            first.push((capacity, xxh3_64(zone.as_bytes()), zone.clone()));
            loaded.extend(loaded_first(nodes));
        }
        first.sort();
        Self {
            order: first.into_iter().map(|(_, _, zone)| zone).collect(),
            zones: zones.into_iter().map(relays).collect(),
            loaded,
        }
    }

    /// The relays of the zones that precede the given zone in the site-wide order.
    pub fn in_zones_before<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let before = self.order.iter().take_while(move |other| *other != zone);
        before.flat_map(|zone| self.in_zone(zone)).copied()
    }

    /// Whether the node at this address is a relay.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.zones.values().any(|relays| relays.contains(address))
    }

    /// The relays of a zone, in order of precedence.
    pub fn in_zone(&self, zone: &str) -> &[SocketAddr] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The part of the node at this address among those of its zone.
    pub fn role(&self, zone: &str, address: &SocketAddr) -> RelayRole {
        let relays = self.in_zone(zone);
        match relays.iter().position(|relay| relay == address) {
            None => RelayRole::Ordinary,
            Some(0) if relays.len() > 1 && self.loaded.contains(address) => RelayRole::LoadedFirst,
            Some(_) => RelayRole::Relay,
        }
    }

    /// The relays that precede the given one in its zone; `None` if the address is not a relay.
    pub fn preceding(&self, address: &SocketAddr) -> Option<&[SocketAddr]> {
        self.zones.values().find_map(|relays| {
            let index = relays.iter().position(|relay| relay == address)?;
            Some(&relays[..index])
        })
    }

    /// The relays of all other zones.
    pub fn in_other_zones<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let others = self.zones.iter().filter(move |(other, _)| *other != zone);
        others.flat_map(|(_, relays)| relays.iter().copied())
    }
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    at: Time,
    store_age: Duration,
    failure_age: Option<Duration>,
}

impl Contact {
    fn age(&self, now: Time) -> Duration {
        now.since(self.at) + self.store_age
    }
}

/// The state of the store as reported by a relay of another zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedContact {
    /// Time since the latest response was requested.
    pub age: Duration,
    /// Time since a call last failed, if the relay reported one.
    pub failure_age: Option<Duration>,
}

/// The latest store contact of each relay that this node hears.
#[derive(Clone, Debug, Default)]
pub struct RelayContacts {
    contacts: BTreeMap<SocketAddr, Contact>,
    tiered: bool,
}

impl RelayContacts {
    /// Records that a relay reported a store response that was requested `store_age` ago.
    pub fn record(
        &mut self,
        now: Time,
        relay: SocketAddr,
        store_age: Duration,
        failure_age: Option<Duration>,
    ) {
        let contact = Contact {
            at: now,
            store_age,
            failure_age,
        };
        self.contacts.insert(relay, contact);
    }

    /// Sets whether there are two tiers of relays.
    pub fn set_tiered(&mut self, tiered: bool) {
        self.tiered = tiered;
    }

    /// Stops relying on a relay that did not answer, until it is heard again.
    pub fn forget(&mut self, relay: SocketAddr) {
        self.contacts.remove(&relay);
    }

    /// Removes relays that can no longer be relied on.
    pub fn expire(&mut self, now: Time) {
        let max_age = self.max_age();
        self.contacts
            .retain(|_, contact| contact.age(now) < max_age);
    }

    /// Whether any relay can be relied on.
    pub fn any_fresh(&self, now: Time) -> bool {
        let max_age = self.max_age();
        self.contacts
            .values()
            .any(|contact| contact.age(now) < max_age)
    }

    /// Whether a backup relay can rely on any of the given relays.
    pub fn any_fresh_of(&self, now: Time, relays: &[SocketAddr]) -> bool {
        let contacts = relays.iter().filter_map(|relay| self.contacts.get(relay));
        contacts
            .map(|contact| contact.age(now))
            .any(|age| age < STANDBY_RELAY_MAX_AGE)
    }

    /// The store contact of the relay with the most recent store response, if it is recent enough
    /// for a relay of another zone to rely on.
    pub fn freshest_of(
        &self,
        now: Time,
        relays: impl Iterator<Item = SocketAddr>,
    ) -> Option<RelayedContact> {
        let contacts = relays.filter_map(|relay| self.contacts.get(&relay));
        let newest = contacts.min_by_key(|contact| contact.age(now))?;
        (newest.age(now) < ZONE_RELAY_MAX_AGE).then_some(RelayedContact {
            age: newest.age(now),
            failure_age: newest.failure_age.map(|age| age + now.since(newest.at)),
        })
    }

    /// When the most recent store response of a relay was requested that can be relied on.
    pub fn latest_contact(&self, now: Time) -> Option<Time> {
        let ages = self.contacts.values().map(|contact| contact.age(now));
        let age = ages.min().filter(|age| *age < self.max_age())?;
        Some(now - age)
    }

    /// Whether any relay has recent store responses and reports no failed call.
    pub fn any_healthy(&self, now: Time) -> bool {
        let mut contacts = self.contacts.values();
        contacts.any(|contact| {
            contact.age(now) < STANDBY_RELAY_MAX_AGE && contact.failure_age.is_none()
        })
    }

    fn max_age(&self) -> Duration {
        if self.tiered {
            TIERED_RELAY_MAX_AGE
        } else {
            RELAY_MAX_AGE
        }
    }

    /// The relays that can be relied on.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = SocketAddr> + '_ {
        let max_age = self.max_age();
        let fresh = self.contacts.iter();
        fresh
            .filter(move |(_, contact)| contact.age(now) < max_age)
            .map(|(relay, _)| *relay)
    }
}
