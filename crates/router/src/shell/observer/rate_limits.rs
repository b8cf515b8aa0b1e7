//! Log lines of the rate limits that upstreams announce.

use super::Observer;
use crate::shell::log_rate::LineKind;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{RateLimitEvent, RateLimitState};
use slog::{Record, info, warn};

/// Log fields of the rate limit for which a request was refused.
pub(super) struct LimitFields(pub Option<RateLimitState>);

impl slog::KV for LimitFields {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        let Some(facts) = self.0 else {
            return Ok(());
        };
        serializer.emit_u32("limited_by", facts.upstream.0)?;
        let rate = facts.rate.map_or(f64::INFINITY, |rate| rate.per_second());
        serializer.emit_f64("a_second", rate)?;
        serializer.emit_u64("next_in_ms", facts.next_in.as_millis() as u64)?;
        serializer.emit_u64("room_in_ms", facts.room_in.as_millis() as u64)
    }
}

impl Observer {
    /// The known rate limit of an upstream changed. `short` is the hash that stands for the
    /// upstream in messages between nodes and in the lines of requests refused for its limit.
    pub fn rate_limit_changed(&self, upstream: Option<&UpstreamId>, notice: RateLimitEvent) {
        let Some(suppressed) = self.admit(LineKind::RateLimit) else {
            return;
        };
        let log = &self.log;
        let short = notice.upstream().0;
        let name = upstream.map_or("-", |upstream| upstream.name.0.as_str());
        match notice {
            RateLimitEvent::Limited { rate, is_local, .. } => {
                info!(log, "rate_limited"; "upstream" => name, "short" => short, "a_second" => rate.per_second(),
                    "heard_from" => heard_from(is_local), suppressed);
            }
            RateLimitEvent::Ended { is_local, .. } => {
                info!(log, "rate_limit_ended"; "upstream" => name, "short" => short,
                    "heard_from" => heard_from(is_local), suppressed);
            }
            RateLimitEvent::Unreadable { .. } => {
                warn!(log, "rate_unreadable"; "upstream" => name, "short" => short, suppressed);
            }
        }
    }
}

fn heard_from(is_local: bool) -> &'static str {
    if is_local { "answer" } else { "node" }
}
