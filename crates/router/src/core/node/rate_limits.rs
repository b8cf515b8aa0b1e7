//! Rates that upstreams name.

use super::NodeCore;
use crate::core::message::Output;

impl NodeCore {
    /// Passes on what became known of rates.
    pub(super) fn follow_rate_limits(&mut self) {
        let notices = self.dispatcher.take_limit_notices().into_iter();
        self.outputs.extend(notices.map(Output::RateLimit));
    }
}
