//! Log lines and metrics of key ownership.

use super::Observer;
use super::names::loss_cause;
use crate::core::OwnershipNotice;
use crate::shell::log_rate::LineKind;
use crate::shell::metrics::UnownedLabel;
use beamtray_sharding::{DoubtNotice, FenceNotice, OwnedAgain, RenewalNotice};
use beamtray_types::ServiceName;
use slog::info;

impl Observer {
    /// The state of keys or of their former holders changed.
    pub fn ownership_changed(&self, service: &ServiceName, notice: &OwnershipNotice) {
        match notice {
            OwnershipNotice::OwnedAgain(owned) => self.owned_again(service, owned),
            OwnershipNotice::Fence(notice) => self.fence(service, notice),
            OwnershipNotice::Doubt(notice) => self.doubt(service, notice),
            OwnershipNotice::Renewal(notice) => self.renewal(service, *notice),
        }
    }

    fn renewal(&self, service: &ServiceName, notice: RenewalNotice) {
        info!(self.log, "recorded_holders_renewed"; "service" => %service,
            "slices" => notice.slices, "unfenced" => notice.unfenced,
            "after_ms" => notice.after.as_millis() as u64);
    }

    fn doubt(&self, service: &ServiceName, notice: &DoubtNotice) {
        self.metrics.doubted_keys.inc();
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "keys_wait_for_order_that_may_lie"; "service" => %service,
                "range" => %notice.range, "upstream" => %notice.holder,
                "left_ms" => notice.left.as_millis() as u64, suppressed);
        }
    }

    fn fence(&self, service: &ServiceName, notice: &FenceNotice) {
        let log = &self.log;
        match notice {
            FenceNotice::Unfenced(upstream) => {
                info!(log, "holder_unfenced"; "service" => %service, "upstream" => %upstream);
            }
            FenceNotice::Fenced(upstream, after) => {
                info!(log, "holder_fenced"; "service" => %service, "upstream" => %upstream,
                    "after_ms" => after.as_millis() as u64);
            }
            FenceNotice::Forgotten(upstream) => {
                info!(log, "holder_forgotten"; "service" => %service, "upstream" => %upstream);
            }
        }
    }

    fn owned_again(&self, service: &ServiceName, owned: &OwnedAgain) {
        let cause = loss_cause(owned.cause);
        let label = UnownedLabel {
            cause: cause.to_owned(),
        };
        let histogram = self.metrics.unowned.get_or_create(&label);
        histogram.observe(owned.after.as_secs_f64());
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "owned_again"; "service" => %service, "range" => %owned.range,
                "cause" => cause, "after_ms" => owned.after.as_millis() as u64, suppressed);
        }
    }
}
