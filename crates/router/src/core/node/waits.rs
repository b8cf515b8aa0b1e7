//! What a node waits for before it can serve all requests.

use super::NodeCore;
use beamtray_types::Time;
use std::time::Duration;

/// What a node has of what it needs to serve requests, and how old that is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waits {
    /// Time since the last call that the store answered; `None` if it has answered none.
    pub store_age: Option<Duration>,
    /// Whether the other nodes are known.
    pub has_members: bool,
    /// Whether the registrations of upstreams have been read.
    pub has_upstreams: bool,
    /// Whether a configuration is in force.
    pub has_configuration: bool,
    /// Term of the granter that the store names, if it names one.
    pub granter_epoch: Option<u64>,
    /// Smallest share of the keys of a sharded service whose holder is known; `None` if no
    /// service has an assignment.
    pub held_share: Option<f64>,
    /// Number of requests that wait here.
    pub waiting: usize,
}

impl NodeCore {
    /// What the node has of what it needs.
    pub fn waits(&self, now: Time) -> Waits {
        let contact = self.control.last_store_contact();
        let shares = self.views.assignments.values();
        let granter = self.views.granter.as_ref();
        Waits {
            store_age: contact.map(|at| now.since(at)),
            has_members: !self.views.nodes.is_empty(),
            has_upstreams: self.views.knows_upstreams(),
            has_configuration: self.views.configuration.is_some(),
            granter_epoch: granter.map(|record| record.epoch.0),
            held_share: shares.map(|one| one.held_share()).reduce(f64::min),
            waiting: self.dispatcher.request_counts().0,
        }
    }
}
