//! Log lines and metrics of requests that crash upstreams, of probes and of suspends.

use super::Observer;
use crate::core::Liveness;
use crate::shell::log_rate::LineKind;
use crate::shell::metrics::TrialLabel;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{QuarantineEvent, TrialOutcome, UpstreamHash};
use slog::{info, warn};
use std::time::Duration;

impl Observer {
    /// The machine resumed after a suspend.
    pub fn resumed(&self, suspended_for: Duration) {
        self.metrics
            .suspended_seconds
            .inc_by(suspended_for.as_secs_f64());
        warn!(self.log, "woke"; "asleep_ms" => suspended_for.as_millis() as u64);
    }

    /// An upstream whose connection broke off was probed.
    pub fn upstream_probed(&self, upstream: &UpstreamId, liveness: Liveness) {
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "upstream_probed"; "upstream" => %upstream,
                "short" => UpstreamHash::of(upstream).0, "found" => ?liveness, suppressed);
        }
    }

    /// The state of a request that may crash upstreams changed.
    pub fn quarantine_changed(&self, notice: QuarantineEvent) {
        if let QuarantineEvent::TrialEnded { outcome, .. } = notice {
            let label = TrialLabel {
                outcome: trial_outcome(outcome),
            };
            self.metrics.trials.get_or_create(&label).inc();
        }
        // Operators have to find a request that is kept off, so its line has a higher limit.
        let kind = match notice {
            QuarantineEvent::Quarantined { .. } => LineKind::Failure,
            _ => LineKind::Suspicion,
        };
        let Some(suppressed) = self.admit(kind) else {
            return;
        };
        let log = &self.log;
        match notice {
            QuarantineEvent::Suspected {
                fingerprint,
                upstream,
                ended,
                is_trial,
            } => {
                info!(log, "request_suspected"; "fingerprint" => %fingerprint,
                    "short" => upstream.0, "ended" => ended, "is_trial" => is_trial, suppressed);
            }
            QuarantineEvent::Quarantined {
                fingerprint,
                ended,
                lasts,
            } => {
                warn!(log, "request_kept_off"; "fingerprint" => %fingerprint,
                    "ended" => ended, "for_s" => lasts.as_secs(), suppressed);
            }
            QuarantineEvent::TrialEnded {
                fingerprint,
                outcome,
            } => {
                info!(log, "request_tried"; "fingerprint" => %fingerprint,
                    "outcome" => trial_outcome(outcome), suppressed);
            }
            QuarantineEvent::Cleared { fingerprint } => {
                info!(log, "request_cleared"; "fingerprint" => %fingerprint, suppressed);
            }
        }
    }
}

fn trial_outcome(outcome: TrialOutcome) -> &'static str {
    match outcome {
        TrialOutcome::Answered => "answered",
        TrialOutcome::Unused => "unused",
        TrialOutcome::UpstreamTerminated => "ended",
        TrialOutcome::Unknown => "unknown",
    }
}
