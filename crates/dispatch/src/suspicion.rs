//! Whether this node may be cut off, before any of its upstreams is heard of.
//!
//! Connections to upstreams of several services that fail in a row point at this node rather than
//! at the upstreams. Then a few requests ask other nodes to pass them on, which tells which it is.
//!
//! Invariant: a service that has ended makes no node ask others, and if all have, a node asks a few
//! times a second at most. Otherwise every request to a dead service would ask one node after the
//! other, at all nodes at the same time.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Number of upstreams to which connections must have failed in a row.
const MIN_UPSTREAMS: usize = 3;
/// Number of services that these must belong to, if there are as many.
const MIN_SERVICES: usize = 2;
/// Number of attempts through other nodes in a row that may fail before the suspicion is set aside.
/// Some of these nodes may be cut off as well.
const MAX_FAILED_ELSEWHERE: u32 = 6;
/// How long it is set aside.
const SET_ASIDE: Duration = Duration::from_secs(1);

/// Identifies a service among those that have upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceIndex(pub u16);

#[derive(Clone, Copy, Debug)]
struct FailedConnection {
    began: Time,
    service: ServiceIndex,
}

/// What points at this node being cut off.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// Upstreams to which a connection failed since the last one to any upstream was opened.
    failed: HashMap<UpstreamHash, FailedConnection>,
    /// The services of the registered upstreams.
    services: HashMap<UpstreamHash, ServiceIndex>,
    service_count: usize,
    /// Whether enough connections failed.
    is_founded: bool,
    /// Start of the last attempt that opened a connection.
    connected_at: Option<Time>,
    /// Number of attempts through other nodes in a row that failed.
    failed_elsewhere: u32,
    set_aside_until: Time,
}

impl Suspicion {
    /// Applies the registered upstreams with their services.
    pub fn set_services(&mut self, services: HashMap<UpstreamHash, ServiceIndex>) {
        let all: BTreeSet<ServiceIndex> = services.values().copied().collect();
        self.service_count = all.len();
        self.failed
            .retain(|upstream, _| services.contains_key(upstream));
        self.services = services;
        self.update();
    }

    /// Records that a connection attempt that began at `began` failed.
    pub fn connection_failed(&mut self, began: Time, upstream: UpstreamHash) {
        let Some(service) = self.services.get(&upstream).copied() else {
            return;
        };
        if Some(began) <= self.connected_at {
            return;
        }
        let failed = FailedConnection { began, service };
        self.failed.insert(upstream, failed);
        self.update();
    }

    /// Records that an attempt that began at `began` opened a connection.
    pub fn connected(&mut self, began: Time) {
        self.connected_at = self.connected_at.max(Some(began));
        self.failed.retain(|_, failed| failed.began > began);
        self.update();
    }

    /// Records whether a request was passed on by another node.
    pub fn tried_elsewhere(&mut self, now: Time, passed_on: bool) {
        if passed_on {
            self.failed_elsewhere = 0;
            return;
        }
        self.failed_elsewhere += 1;
        if self.failed_elsewhere >= MAX_FAILED_ELSEWHERE {
            self.failed_elsewhere = 0;
            self.set_aside_until = now + SET_ASIDE;
        }
    }

    /// Whether a request may ask another node to pass it on.
    pub fn holds(&self, now: Time) -> bool {
        self.is_founded && now >= self.set_aside_until
    }

    fn update(&mut self) {
        let services: BTreeSet<ServiceIndex> =
            self.failed.values().map(|one| one.service).collect();
        let upstreams = MIN_UPSTREAMS.min(self.services.len().max(1));
        let enough_services = services.len() >= MIN_SERVICES.min(self.service_count.max(1));
        self.is_founded = self.failed.len() >= upstreams && enough_services;
    }
}
