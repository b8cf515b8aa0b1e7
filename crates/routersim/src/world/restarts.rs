//! Upstreams that restart under the same name.

use super::network::Event;
use super::upstreams::{LATE_REGISTRATION_PERCENT, MISSED_HEARTBEATS};
use super::{HEARTBEAT, World};
use crate::event_log::LoggedEvent;
use std::time::Duration;

/// Whether the upstream with this index reports its birth, as most do.
pub(super) fn reports_birth(index: usize) -> bool {
    index % 3 != 2
}

impl World {
    /// Crashes an upstream. It restarts under its name if it reports its birth, otherwise under
    /// another name.
    pub(super) fn restart_upstream(&mut self, index: usize, dark: bool, duration: Duration) {
        if !reports_birth(index) {
            return self.crash(index, dark, duration);
        }
        let Some(upstream) = self.upstreams[index].take() else {
            return;
        };
        let record = upstream.record();
        self.event_log.add(self.now, || {
            LoggedEvent::UpstreamEnded(upstream.config.id.clone())
        });
        let state = &mut self.upstream_state[index];
        state.dark = dark;
        state.keeps_name = true;
        state.withdrawn = true;
        self.break_off(index);
        self.schedule(duration, Event::UpstreamStart { index });
        if self.chance(LATE_REGISTRATION_PERCENT) {
            // A delayed write of the crashed process.
            let delay = duration + self.millis(500, 4_000);
            self.schedule(delay, Event::LateRegistration { record });
        }
        let id = upstream.config.id;
        self.schedule(
            HEARTBEAT * MISSED_HEARTBEATS,
            Event::StaleRegistrationEnds { id },
        );
    }
}
