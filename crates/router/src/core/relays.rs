//! Which nodes follow the metadata store, and when the others may rely on them.
//!
//! A store that every node watches is asked by all of them at each change. So
//! one node of each zone, its first relay, follows it and tells the others of
//! changes, who fetch them from the relay. The zone's other relays stand by: each
//! takes over when none before it can be relied on, sooner than other nodes
//! would turn to the store themselves.
//!
//! Where there are many nodes there are two tiers: one zone's relay follows the
//! store for the whole site, and the first relays of the other zones rely on it and
//! tell their own nodes. A zone whose relay does not hear that one follows the store
//! by itself. What they pass on is the age of the store's answer, which only grows on
//! its way, so that two relays can't keep each other's trust alive.
//!
//! Invariant: a node relies on a relay only as long as an answer of the store
//! to that relay was asked for less than [`RELAY_MAX_AGE`] ago ([`TIERED_RELAY_MAX_AGE`] with two
//! tiers). A relay that lost the
//! store, and one that fell silent, end within that time, and the node follows
//! the store by itself. Without it, a node whose relays are all cut off would
//! go on with an old configuration although its own path to the store is sound.

use crate::core::records::NodeRecord;
use beamtray_types::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How old a relay's last answer of the store may be.
pub const RELAY_MAX_AGE: Duration = Duration::from_millis(1_000);
/// The same for relays that stand by.
pub const STANDBY_RELAY_MAX_AGE: Duration = Duration::from_millis(700);
/// The same as [`RELAY_MAX_AGE`] with two tiers: the word of a relay's relay is older by one
/// pause between words, and one of them may get lost.
pub const TIERED_RELAY_MAX_AGE: Duration = Duration::from_millis(1_400);
/// The same for the first relays of zones that rely on another zone's.
const ZONE_RELAY_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Nodes of a zone for each of its relays.
const NODES_PER_RELAY: usize = 4;
/// Most relays of a zone: two that fail together leave one.
const MAX_RELAYS_PER_ZONE: usize = 3;

/// The relays of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relays {
    zones: BTreeMap<String, Vec<SocketAddr>>,
    /// Zones in the order in which their relays follow the store for the site.
    order: Vec<String>,
}

impl Relays {
    /// The relays among those nodes: in each zone the ones that can do most, in
    /// an order that every node computes alike.
    pub fn choose(nodes: &BTreeMap<String, NodeRecord>) -> Self {
        let mut zones: BTreeMap<String, Vec<&NodeRecord>> = BTreeMap::new();
        for node in nodes.values() {
            zones.entry(node.zone.clone()).or_default().push(node);
        }
        let relays = |(zone, mut nodes): (String, Vec<&NodeRecord>)| {
            nodes.sort_by_key(|node| (Reverse(node.capacity), xxh3_64(node.name.as_bytes())));
            let count = nodes
                .len()
                .div_ceil(NODES_PER_RELAY)
                .min(MAX_RELAYS_PER_ZONE);
            let relays = nodes.into_iter().take(count).map(|node| node.peers);
            (zone, relays.collect())
        };
        let mut first: Vec<(Reverse<u32>, u64, String)> = Vec::new();
        for (zone, nodes) in &zones {
            let highest = nodes.iter().map(|node| node.capacity).max();
            let capacity = Reverse(highest.unwrap_or_default());
            first.push((capacity, xxh3_64(zone.as_bytes()), zone.clone()));
        }
        first.sort();
        Self {
            order: first.into_iter().map(|(_, _, zone)| zone).collect(),
            zones: zones.into_iter().map(relays).collect(),
        }
    }

    /// The relays of the zones that come before a zone, for the site.
    pub fn in_zones_before<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let before = self.order.iter().take_while(move |other| *other != zone);
        before.flat_map(|zone| self.in_zone(zone)).copied()
    }

    /// Whether that node is a relay.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.zones.values().any(|relays| relays.contains(address))
    }

    /// The relays of a zone, the first one first.
    pub fn in_zone(&self, zone: &str) -> &[SocketAddr] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The relays of its zone that come before a relay; `None` if it is none.
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

/// What a relay tells of the store that another one follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedContact {
    /// Time since the last answer was asked for.
    pub age: Duration,
    /// Time since a call got no answer, if the other one told of that.
    pub failure_age: Option<Duration>,
}

/// The relays that this node hears.
#[derive(Clone, Debug, Default)]
pub struct RelayContacts {
    contacts: BTreeMap<SocketAddr, Contact>,
    tiered: bool,
}

impl RelayContacts {
    /// Takes the word of a relay whose last answer of the store was asked for
    /// `store_age` ago.
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

    /// States whether there are two tiers of relays.
    pub fn set_tiered(&mut self, tiered: bool) {
        self.tiered = tiered;
    }

    /// Relies no more on a relay that did not answer, until it is heard again.
    pub fn forget(&mut self, relay: SocketAddr) {
        self.contacts.remove(&relay);
    }

    /// Forgets relays that can't be relied on any more.
    pub fn expire(&mut self, now: Time) {
        let max_age = self.max_age();
        self.contacts
            .retain(|_, contact| contact.age(now) < max_age);
    }

    /// Whether some relay can be relied on.
    pub fn any_fresh(&self, now: Time) -> bool {
        let max_age = self.max_age();
        self.contacts
            .values()
            .any(|contact| contact.age(now) < max_age)
    }

    /// Whether one of those relays can be relied on by one that stands by.
    pub fn any_fresh_of(&self, now: Time, relays: &[SocketAddr]) -> bool {
        let contacts = relays.iter().filter_map(|relay| self.contacts.get(relay));
        contacts
            .map(|contact| contact.age(now))
            .any(|age| age < STANDBY_RELAY_MAX_AGE)
    }

    /// What the one of those relays tells that had the store's answer last, if a
    /// relay of another zone can rely on it.
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

    /// Whether some relay had answers of the store until now and no call without one.
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
