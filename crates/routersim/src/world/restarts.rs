//! Upstreams that start again under their names.

use super::network::Event;
use super::upstreams::{LATE_REGISTRATION_PERCENT, MISSED_HEARTBEATS};
use super::{HEARTBEAT, World};
use std::time::Duration;

/// Whether the upstream of that number says when it was born, as most do.
pub(super) fn reports_birth(index: usize) -> bool {
    index % 3 != 2
}

impl World {
    /// An upstream ends without a word and starts again under its name, if it tells its
    /// birth; else it comes back as another.
    pub(super) fn restart_upstream(&mut self, index: usize, dark: bool, duration: Duration) {
        if !reports_birth(index) {
            return self.crash(index, dark, duration);
        }
        let Some(upstream) = self.upstreams[index].take() else {
            return;
        };
        let record = upstream.record();
        let state = &mut self.upstream_state[index];
        state.dark = dark;
        state.keeps_name = true;
        state.withdrawn = true;
        self.break_off(index);
        self.schedule(duration, Event::UpstreamStart { index });
        if self.chance(LATE_REGISTRATION_PERCENT) {
            // A write of the dead one that was on its way for long.
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
