//! Upstreams that ask this node to stop sending requests for a while. The granter is informed so
//! that it moves keys to other upstreams.

use super::NodeCore;
use crate::core::message::{Datagram, Output, RestNotice};
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::UpstreamHash;
use beamtray_types::Time;
use std::time::Duration;

/// Shorter rests are not reported: they end before keys have moved to other upstreams.
const MIN_REPORTED_REST: Duration = Duration::from_millis(500);

impl NodeCore {
    /// Handles an upstream's request for a rest, and informs the granter.
    pub(super) fn handle_rest_request(&mut self, now: Time, upstream: &UpstreamId, rest: Duration) {
        self.dispatcher.begin_rest(now, upstream, rest);
        if rest < MIN_REPORTED_REST {
            return;
        }
        let notice = RestNotice {
            upstream: UpstreamHash::of(upstream),
            rest_ms: rest.as_millis().try_into().unwrap_or(u32::MAX),
        };
        if self.control.is_granter(now) {
            self.handle_rest_notice(now, &notice);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peer_address];
            self.outputs
                .push(Output::Send(Datagram::Rest(notice), peers));
        }
    }

    /// Handles a rest reported by another node, which only affects the assignment of keys.
    pub(super) fn handle_rest_notice(&mut self, now: Time, notice: &RestNotice) {
        let rest = Duration::from_millis(notice.rest_ms.into());
        self.dispatcher
            .note_rest_elsewhere(now, notice.upstream, rest);
    }
}
