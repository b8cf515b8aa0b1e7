//! Lines of requests that end upstreams, and of what is doubted.

use super::Observer;
use crate::core::Liveness;
use crate::shell::metrics::TrialLabel;
use crate::shell::rate::LineKind;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{QuarantineEvent, TrialOutcome, UpstreamHash};
use slog::{info, warn};
use std::time::Duration;

impl Observer {
    /// The machine was suspended.
    pub fn woke(&self, asleep: Duration) {
        self.metrics.asleep.inc_by(asleep.as_secs_f64());
        warn!(self.log, "woke"; "asleep_ms" => asleep.as_millis() as u64);
    }

    /// It was tried whether an upstream to which a connection broke off still listens.
    pub fn probed(&self, upstream: &UpstreamId, liveness: Liveness) {
        if let Some(left_out) = self.admit(LineKind::Dependency) {
            info!(self.log, "upstream_probed"; "upstream" => %upstream,
                "short" => UpstreamHash::of(upstream).0, "found" => ?liveness, left_out);
        }
    }

    /// What is known of requests that end upstreams changed.
    pub fn quarantine(&self, notice: QuarantineEvent) {
        if let QuarantineEvent::TrialEnded { outcome, .. } = notice {
            let label = TrialLabel {
                outcome: trial_outcome(outcome),
            };
            self.metrics.trials.get_or_create(&label).inc();
        }
        // A request that is kept off is the one to look for.
        let kind = match notice {
            QuarantineEvent::Quarantined { .. } => LineKind::Failure,
            _ => LineKind::Suspicion,
        };
        let Some(left_out) = self.admit(kind) else {
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
                    "short" => upstream.0, "ended" => ended, "is_trial" => is_trial, left_out);
            }
            QuarantineEvent::Quarantined {
                fingerprint,
                ended,
                lasts,
            } => {
                warn!(log, "request_kept_off"; "fingerprint" => %fingerprint,
                    "ended" => ended, "for_s" => lasts.as_secs(), left_out);
            }
            QuarantineEvent::TrialEnded {
                fingerprint,
                outcome,
            } => {
                info!(log, "request_tried"; "fingerprint" => %fingerprint,
                    "outcome" => trial_outcome(outcome), left_out);
            }
            QuarantineEvent::Cleared { fingerprint } => {
                info!(log, "request_cleared"; "fingerprint" => %fingerprint, left_out);
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
