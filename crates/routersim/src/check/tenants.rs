//! Checks requests of tenants.

use super::{CONFIGURE_TIME, Checkers, Invariant, QUOTA_OVERAGE, QUOTA_SLACK, QUOTA_WINDOW};
use beamtray_catalog::Quota;
use beamtray_types::Time;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Requests of the tenant with a quota.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantRequests {
    arrived: BTreeSet<String>,
    recent: VecDeque<Time>,
}

impl Checkers {
    /// Records that a request reaches an upstream on behalf of a tenant.
    pub fn arrived_for_tenant(
        &mut self,
        at: Time,
        id: &str,
        tenant: Option<&str>,
        expected: Option<&str>,
    ) {
        if tenant != expected {
            let text = format!("{id} of {expected:?} is sent for {tenant:?}");
            self.record_violation(Invariant::Tenant, at, text);
        }
    }

    /// Records that a connected node sends a request whose key was taken away `age` before the
    /// client sent it.
    pub fn sent_with_old_key(&mut self, at: Time, node: usize, id: &str, age: Duration) {
        if age > CONFIGURE_TIME {
            let age = age.as_millis();
            let text = format!("node {node} sends {id}, whose key was taken away {age} ms before");
            self.record_violation(Invariant::Revocation, at, text);
        }
    }

    /// Records that a request of the tenant with a quota reaches an upstream. A request counts
    /// once, however often it is sent.
    pub fn arrived_under_quota(&mut self, at: Time, id: &str, quota: Quota) {
        let requests = &mut self.tenant_requests;
        if !requests.arrived.insert(id.to_owned()) {
            return;
        }
        requests.recent.push_back(at);
        while at.since(requests.recent[0]) >= QUOTA_WINDOW {
            requests.recent.pop_front();
        }
        let count = requests.recent.len();
        let in_window = quota.rate * QUOTA_WINDOW.as_secs_f64() + quota.burst;
        if count as f64 > in_window * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK {
            let text = format!("{count} requests of a tenant in a window");
            self.record_violation(Invariant::Quota, at, text);
        }
    }
}
