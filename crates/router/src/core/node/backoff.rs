//! Upstreams that ask this node to stop sending requests for a while. The granter is informed so
//! that it moves keys to other upstreams.

use super::NodeCore;
use crate::core::message::{BackoffNotice, Datagram, Output};
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::UpstreamHash;
use beamtray_types::Time;
use std::time::Duration;

/// Shorter backoffs are not reported: they end before keys have moved to other upstreams.
const MIN_REPORTED_BACKOFF: Duration = Duration::from_millis(500);

impl NodeCore {
    /// Handles an upstream's request for a backoff, and informs the granter.
    pub(super) fn handle_backoff_request(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        backoff: Duration,
    ) {
        self.dispatcher.start_backoff(now, upstream, backoff);
        if backoff < MIN_REPORTED_BACKOFF {
            return;
        }
        let notice = BackoffNotice {
            upstream: UpstreamHash::of(upstream),
            backoff_ms: backoff.as_millis().try_into().unwrap_or(u32::MAX),
        };
        if self.control.is_granter(now) {
            self.handle_backoff_notice(now, &notice);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peer_address];
            self.outputs
                .push(Output::Send(Datagram::Backoff(notice), peers));
        }
    }

    /// Handles a backoff reported by another node, which only affects the assignment of keys.
    pub(super) fn handle_backoff_notice(&mut self, now: Time, notice: &BackoffNotice) {
        let backoff = Duration::from_millis(notice.backoff_ms.into());
        self.dispatcher
            .note_backoff_elsewhere(now, notice.upstream, backoff);
    }
}
