//! Upstreams that ask this node for rest: the granter is told, so that keys go to others.

use super::NodeCore;
use crate::core::message::{Datagram, Output, RestNotice};
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::UpstreamHash;
use beamtray_types::Time;
use std::time::Duration;

/// Shorter rests are over before keys have gone to others.
const LEAST_REST_TOLD: Duration = Duration::from_millis(500);

impl NodeCore {
    /// Takes an upstream's wish for rest, and tells the granter.
    pub(super) fn asked_to_rest(&mut self, now: Time, upstream: &UpstreamId, rest: Duration) {
        self.dispatcher.asked_to_rest(now, upstream, rest);
        if rest < LEAST_REST_TOLD {
            return;
        }
        let notice = RestNotice {
            upstream: UpstreamHash::of(upstream),
            rest_ms: rest.as_millis().try_into().unwrap_or(u32::MAX),
        };
        if self.control.is_granter(now) {
            self.take_rest_notice(now, &notice);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peer_address];
            self.outputs
                .push(Output::Send(Datagram::Rest(notice), peers));
        }
    }

    /// Takes another node's word of a rest: only where keys go hangs on it.
    pub(super) fn take_rest_notice(&mut self, now: Time, notice: &RestNotice) {
        let rest = Duration::from_millis(notice.rest_ms.into());
        self.dispatcher
            .asked_any_to_rest(now, notice.upstream, rest);
    }
}
