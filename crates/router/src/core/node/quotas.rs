//! Exchange of permits from the quotas of tenants.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_dispatch::{LocatedNode, NodeHash, QuotaRequest};
use beamtray_types::Time;
use std::net::SocketAddr;

impl NodeCore {
    /// Tells the dispatcher which nodes may issue permits.
    pub(super) fn update_quota_issuers(&mut self, now: Time) {
        let nodes = self.views.nodes.values().map(|node| LocatedNode {
            node: NodeHash::of(&node.name),
            zone: node.zone.as_str().into(),
        });
        let nodes: Vec<LocatedNode> = nodes.collect();
        self.dispatcher.set_quota_issuers(now, &nodes);
    }

    /// Requests permits from an issuer. An issuer that is no longer registered can't be reached and
    /// counts as silent.
    pub(super) fn request_quota(&mut self, request: QuotaRequest) {
        let issuer = self.membership.address(request.issuer);
        let datagram = Datagram::QuotaRequest(request);
        self.outputs
            .push(Output::Send(datagram, issuer.into_iter().collect()));
    }

    /// As an issuer, answers a quota request.
    pub(super) fn issue_quota(&mut self, now: Time, from: SocketAddr, request: &QuotaRequest) {
        let reply = self.dispatcher.issue_quota(now, request);
        let datagram = Datagram::QuotaReply(reply);
        self.outputs.push(Output::Send(datagram, vec![from]));
    }
}
