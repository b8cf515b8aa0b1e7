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
//! to that relay was asked for less than [`TRUST`] ago ([`TIERED_TRUST`] with two
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
pub const TRUST: Duration = Duration::from_millis(1_000);
/// The same for relays that stand by.
pub const STANDBY_TRUST: Duration = Duration::from_millis(700);
/// The same as [`TRUST`] with two tiers: the word of a relay's relay is older by one
/// pause between words, and one of them may get lost.
pub const TIERED_TRUST: Duration = Duration::from_millis(1_400);
/// The same for the first relays of zones that rely on another zone's.
const ZONE_TRUST: Duration = Duration::from_millis(1_000);
/// Nodes of a zone for each of its relays.
const NODES_A_RELAY: usize = 4;
/// Most relays of a zone: two that fail together leave one.
const MOST_RELAYS: usize = 3;

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
            let count = nodes.len().div_ceil(NODES_A_RELAY).min(MOST_RELAYS);
            let relays = nodes.into_iter().take(count).map(|node| node.peers);
            (zone, relays.collect())
        };
        let mut first: Vec<(Reverse<u32>, u64, String)> = Vec::new();
        for (zone, nodes) in &zones {
            let ablest = nodes.iter().map(|node| node.capacity).max();
            let capacity = Reverse(ablest.unwrap_or_default());
            first.push((capacity, xxh3_64(zone.as_bytes()), zone.clone()));
        }
        first.sort();
        Self {
            order: first.into_iter().map(|(_, _, zone)| zone).collect(),
            zones: zones.into_iter().map(relays).collect(),
        }
    }

    /// The relays of the zones that come before a zone, for the site.
    pub fn of_zones_before<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let before = self.order.iter().take_while(move |other| *other != zone);
        before.flat_map(|zone| self.of_zone(zone)).copied()
    }

    /// Whether that node is a relay.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.zones.values().any(|relays| relays.contains(address))
    }

    /// The relays of a zone, the first one first.
    pub fn of_zone(&self, zone: &str) -> &[SocketAddr] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The relays of its zone that come before a relay; `None` if it is none.
    pub fn before(&self, address: &SocketAddr) -> Option<&[SocketAddr]> {
        self.zones.values().find_map(|relays| {
            let index = relays.iter().position(|relay| relay == address)?;
            Some(&relays[..index])
        })
    }

    /// The relays of all other zones.
    pub fn of_others<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let others = self.zones.iter().filter(move |(other, _)| *other != zone);
        others.flat_map(|(_, relays)| relays.iter().copied())
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    store_age: Duration,
    trouble_age: Option<Duration>,
}

impl Heard {
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
    pub trouble_age: Option<Duration>,
}

/// The relays that this node hears.
#[derive(Clone, Debug, Default)]
pub struct RelaysHeard {
    heard: BTreeMap<SocketAddr, Heard>,
    tiered: bool,
}

impl RelaysHeard {
    /// Takes the word of a relay whose last answer of the store was asked for
    /// `store_age` ago.
    pub fn hear(
        &mut self,
        now: Time,
        relay: SocketAddr,
        store_age: Duration,
        trouble_age: Option<Duration>,
    ) {
        let heard = Heard {
            at: now,
            store_age,
            trouble_age,
        };
        self.heard.insert(relay, heard);
    }

    /// States whether there are two tiers of relays.
    pub fn set_tiered(&mut self, tiered: bool) {
        self.tiered = tiered;
    }

    /// Relies no more on a relay that did not answer, until it is heard again.
    pub fn distrust(&mut self, relay: SocketAddr) {
        self.heard.remove(&relay);
    }

    /// Forgets relays that can't be relied on any more.
    pub fn expire(&mut self, now: Time) {
        let trust = self.trust();
        self.heard.retain(|_, heard| heard.age(now) < trust);
    }

    /// Whether some relay can be relied on.
    pub fn any(&self, now: Time) -> bool {
        let trust = self.trust();
        self.heard.values().any(|heard| heard.age(now) < trust)
    }

    /// Whether one of those relays can be relied on by one that stands by.
    pub fn any_of(&self, now: Time, relays: &[SocketAddr]) -> bool {
        let heard = relays.iter().filter_map(|relay| self.heard.get(relay));
        heard
            .map(|heard| heard.age(now))
            .any(|age| age < STANDBY_TRUST)
    }

    /// What the one of those relays tells that had the store's answer last, if a
    /// relay of another zone can rely on it.
    pub fn newest_of(
        &self,
        now: Time,
        relays: impl Iterator<Item = SocketAddr>,
    ) -> Option<RelayedContact> {
        let heard = relays.filter_map(|relay| self.heard.get(&relay));
        let newest = heard.min_by_key(|heard| heard.age(now))?;
        (newest.age(now) < ZONE_TRUST).then_some(RelayedContact {
            age: newest.age(now),
            trouble_age: newest.trouble_age.map(|age| age + now.since(newest.at)),
        })
    }

    /// Whether some relay had answers of the store until now and no call without one.
    pub fn any_untroubled(&self, now: Time) -> bool {
        let mut heard = self.heard.values();
        heard.any(|heard| heard.age(now) < STANDBY_TRUST && heard.trouble_age.is_none())
    }

    fn trust(&self) -> Duration {
        if self.tiered { TIERED_TRUST } else { TRUST }
    }

    /// The relays that can be relied on.
    pub fn trusted(&self, now: Time) -> impl Iterator<Item = SocketAddr> + '_ {
        let trust = self.trust();
        let trusted = self.heard.iter();
        trusted
            .filter(move |(_, heard)| heard.age(now) < trust)
            .map(|(relay, _)| *relay)
    }
}
