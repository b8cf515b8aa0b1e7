//! The network paths to upstreams: this node's own, and those through other nodes.

use super::{Attempt, Dispatcher, Request};
use crate::gateways::GatewayFailure;
use crate::reachability::{PathNotice, Reachability};
use crate::report::UpstreamHash;
use crate::request::{AttemptOutcome, NotExecuted};
use beamtray_catalog::UpstreamId;
use beamtray_types::{Time, Zone};
use std::net::SocketAddr;

impl Dispatcher {
    /// Records that a connection attempt to an upstream that began at `began` failed.
    pub fn connection_failed(&mut self, began: Time, upstream: &UpstreamId, address: SocketAddr) {
        self.suspicion
            .connection_failed(began, UpstreamHash::of(upstream));
        self.reachability
            .connection_failed(began, upstream, address);
    }

    /// Records that a connection to an upstream was opened by an attempt that began at `began`.
    pub fn connected(&mut self, now: Time, began: Time, upstream: &UpstreamId) {
        let hash = UpstreamHash::of(upstream);
        self.suspicion.connected(began);
        if self.reachability.connected(now, began, hash) {
            self.gateways.forget_exhaustion();
        }
    }

    /// Records that an upstream responded to this or another node. If that shows that only the path
    /// from this node has failed, the upstream is used again at once, through another node.
    pub(super) fn upstream_responded(&mut self, now: Time, upstream: UpstreamHash) {
        self.last_answers.insert(upstream, now);
        if self.reachability.responded(now, upstream) && self.config.uses_gateways {
            self.health.remove(&upstream);
        }
    }

    /// Sets the other nodes; each comes with its zone.
    pub fn set_gateways(&mut self, nodes: impl Iterator<Item = (SocketAddr, Zone)>) {
        self.gateways.set(nodes);
    }

    /// The node through which a request is sent to an upstream; `None` if this node sends it
    /// itself.
    ///
    /// A request whose own connection failed while this node may be cut off is sent through another
    /// node at once. Whether that works also tells whether this node is cut off, sooner than a
    /// response to somebody else is heard of. Other requests try this node's own path meanwhile, which
    /// ends a wrong suspicion.
    pub(super) fn gateway(
        &self,
        now: Time,
        request: &Request,
        upstream: UpstreamHash,
    ) -> Option<SocketAddr> {
        if !self.config.uses_gateways {
            return None;
        }
        if self.reachability.avoids_own_path(upstream) {
            return self.gateways.choose(now, upstream);
        }
        let may_ask = request.own_path_failed && self.may_ask_gateway(now, upstream);
        if may_ask {
            self.gateways.choose_in_any_zone(now, upstream)
        } else {
            None
        }
    }

    /// Whether a request that failed to connect may be sent through another node although its
    /// upstream was not heard of since.
    fn may_ask_gateway(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.suspicion.holds(now) && !self.reachability.may_have_ended(upstream)
    }

    /// Whether a request whose connection to an upstream failed can go on through another node.
    pub(super) fn has_other_path(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.config.uses_gateways
            && self.may_ask_gateway(now, upstream)
            && self.gateways.any_usable(now, upstream)
    }

    /// Other nodes that can tell whether an upstream is running.
    pub fn witnesses(&self, now: Time, upstream: UpstreamHash) -> Vec<SocketAddr> {
        match self.config.uses_gateways {
            true => self.gateways.of_each_zone(now, upstream),
            false => Vec::new(),
        }
    }

    /// Whether no path to a running upstream is known: this node can't connect to it, and no other
    /// node can either.
    pub(super) fn lacks_gateway(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.config.uses_gateways
            && !self.gateways.is_empty()
            && self.reachability.avoids_own_path(upstream)
            && !self.gateways.any_usable(now, upstream)
    }

    /// Whether this node can pass on nothing: it can connect to no upstream, and no other node does
    /// so for it.
    pub fn is_isolated(&self) -> bool {
        let is_cut_off = self.reachability.cut_off_since().is_some();
        let has_gateways = self.config.uses_gateways && !self.gateways.is_empty();
        is_cut_off && (!has_gateways || self.gateways.are_exhausted())
    }

    /// Updates the path through another node after an attempt that used it.
    pub(super) fn record_path(&mut self, now: Time, attempt: &Attempt, outcome: AttemptOutcome) {
        let Some(gateway) = attempt.gateway else {
            return;
        };
        let AttemptOutcome::NotExecuted(NotExecuted::GatewayFailed(failure)) = outcome else {
            if matches!(outcome, AttemptOutcome::Answered { .. }) {
                self.gateways.succeeded(gateway);
                self.reachability.tried_elsewhere(now, attempt.hash, true);
                self.suspicion.tried_elsewhere(now, true);
            }
            return;
        };
        self.suspicion.tried_elsewhere(now, false);
        self.gateways.failed(now, gateway, attempt.hash, failure);
        if failure != GatewayFailure::Declined {
            self.reachability.tried_elsewhere(now, attempt.hash, false);
        }
    }

    /// Takes the upstreams to which a connection is to be tried now, to find out whether the path
    /// is whole again.
    pub fn take_path_probes(&mut self, now: Time) -> Vec<(UpstreamId, SocketAddr)> {
        self.reachability.take_probes(now)
    }

    /// The paths from this node to upstreams.
    pub fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Takes the changes of the paths since the last call.
    pub fn take_path_notices(&mut self) -> Vec<PathNotice> {
        self.reachability.take_notices()
    }
}
