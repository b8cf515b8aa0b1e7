//! Lines and metrics of limits on what the process takes.

use super::Observer;
use crate::shell::log_rate::LineKind;
use crate::shell::metrics::LimitLabel;
use beamtray_catalog::ClientLimits;
use beamtray_resources::{Account, Purpose};
use slog::{info, warn};

/// A limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Limit {
    /// No descriptor or memory for another client: it was closed at once.
    ClientConnections,
    /// A stalled or resting connection was closed for another one.
    StalledConnection,
    /// A head took too long.
    HeadTime,
    /// No memory for a request body: it was refused.
    BodyMemory,
    /// A body that was stalled was given up for another one.
    StalledBody,
    /// A body is longer than the configuration allows.
    BodyLength,
    /// A body took too long.
    BodyTime,
    /// No descriptor for another node.
    PeerConnections,
}

impl Limit {
    fn name(self) -> &'static str {
        match self {
            Self::ClientConnections => "client_connections",
            Self::StalledConnection => "stalled_connection",
            Self::HeadTime => "head_time",
            Self::BodyMemory => "body_memory",
            Self::StalledBody => "stalled_body",
            Self::BodyLength => "body_length",
            Self::BodyTime => "body_time",
            Self::PeerConnections => "peer_connections",
        }
    }
}

impl Observer {
    /// A limit was reached.
    pub fn limit_reached(&self, limit: Limit) {
        let name = limit.name();
        let label = LimitLabel { limit: name };
        self.metrics.limits_reached.get_or_create(&label).inc();
        if let Some(suppressed) = self.admit(LineKind::LimitReached) {
            info!(self.log, "limit_reached"; "limit" => name, suppressed);
        }
    }

    /// The configuration allows bodies for which this process never has memory.
    pub fn check_client_limits(&self, account: &Account, limits: ClientLimits) {
        let most = account.most(Purpose::Body);
        if limits.max_body_bytes > most {
            warn!(self.log, "body_limit_over_memory"; "max_body_bytes" => limits.max_body_bytes,
                "most_held" => most);
        }
    }
}
