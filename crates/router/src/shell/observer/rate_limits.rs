//! Lines of the rates that upstreams name.

use super::Observer;
use crate::shell::rate::LineKind;
use beamtray_dispatch::LimitNotice;
use slog::{info, warn};

impl Observer {
    /// What is known of an upstream's rate changed. `short` is the upstream's name in what
    /// nodes tell each other.
    pub fn rate_limit(&self, notice: LimitNotice) {
        let Some(left_out) = self.admit(LineKind::Limit) else {
            return;
        };
        let log = &self.log;
        match notice {
            LimitNotice::Limited { upstream, rate } => {
                info!(log, "rate_limited"; "short" => upstream.0, "a_second" => rate.a_second(),
                    left_out);
            }
            LimitNotice::Ended { upstream } => {
                info!(log, "rate_limit_ended"; "short" => upstream.0, left_out);
            }
            LimitNotice::Unreadable { upstream } => {
                warn!(log, "rate_unreadable"; "short" => upstream.0, left_out);
            }
        }
    }
}
