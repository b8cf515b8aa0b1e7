//! Checks of the tenants: whom upstreams act for, keys that were taken away, quotas.

use super::{Checker, Promise, Request};
use crate::config::CONFIGURE_TIMEOUT;
use crate::message::CallerEnd;
use crate::tenants::{Identity, QUOTA_BURST, QUOTA_OVERAGE, QUOTA_RATE, QUOTA_WINDOW_S};
use beamtray_types::Time;
use std::time::Duration;

const UNAUTHORIZED: u16 = 401;
/// Besides a rejection of the key: there is no such route, or the router has no configuration.
const STATUSES_OF_UNKNOWN_KEYS: [u16; 3] = [UNAUTHORIZED, 404, 503];

/// What an upstream was told of the sender of a request.
#[derive(Clone, Debug)]
pub(super) struct ToldSender {
    pub at: Time,
    pub upstream: String,
    pub tenant: Option<String>,
    pub has_key: bool,
}

impl Checker<'_> {
    pub(super) fn check_tenants(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        for (id, request) in &requests {
            self.check_sender(id, request);
            self.check_key(id, request);
        }
        self.requests = requests;
        self.check_quota();
    }

    /// An upstream is told the tenant that holds the key, and never the key.
    fn check_sender(&mut self, id: &str, request: &Request) {
        for told in &request.told {
            let expected = request.identity.tenant();
            let holds = told.tenant.as_deref() == expected && !told.has_key;
            self.verdict.test(Promise::Tenant, holds, told.at, || {
                format!(
                    "{} got {id} of {expected:?} for {:?}, with its key: {}",
                    told.upstream, told.tenant, told.has_key
                )
            });
        }
    }

    /// A key that no configuration has held is rejected by every router. One that was taken away
    /// is rejected, and a new one accepted, by routers that are connected.
    fn check_key(&mut self, id: &str, request: &Request) {
        let Some(asked) = request.asked else { return };
        let status = match &request.ended {
            Some((_, CallerEnd::Answered { status, .. })) => *status,
            _ => return,
        };
        let is_known = match request.identity {
            Identity::Stranger => false,
            Identity::Fleeting(version) => {
                let Some(in_force) = self.version_in_force(request.node, asked) else {
                    return;
                };
                if version > in_force {
                    return;
                }
                version == in_force
            }
            Identity::Anonymous | Identity::Steady | Identity::Limited => true,
        };
        let holds = if is_known {
            status != UNAUTHORIZED
        } else {
            STATUSES_OF_UNKNOWN_KEYS.contains(&status)
        };
        self.verdict.test(Promise::Key, holds, asked, || {
            format!(
                "router {} answers {id} of {:?} with {status}",
                request.node, request.identity
            )
        });
    }

    /// The version that is in force at a connected router; `None` while that is not certain.
    pub(super) fn version_in_force(&self, node: usize, asked: Time) -> Option<u64> {
        if !self.is_connected(node, asked - CONFIGURE_TIMEOUT, asked) {
            return None;
        }
        // The version that must be in force, and the newest one that may already be.
        let mut configured = self.configured.iter().rev();
        let newest = configured
            .clone()
            .find(|(at, _)| *at <= asked + CONFIGURE_TIMEOUT);
        let in_force = configured.find(|(at, _)| *at + CONFIGURE_TIMEOUT < asked);
        (newest == in_force).then_some(in_force?.1)
    }

    /// Over all routers, also those that are not connected.
    fn check_quota(&mut self) {
        let limited = self.requests.values();
        let limited = limited.filter(|request| request.identity == Identity::Limited);
        let mut begun: Vec<Time> = limited
            .filter_map(|request| Some(request.begun.first()?.at))
            .collect();
        begun.sort_unstable();
        let window = Duration::from_secs_f64(QUOTA_WINDOW_S);
        let allowed = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * (1.0 + QUOTA_OVERAGE);
        let counts = begun.iter().enumerate().map(|(index, end)| {
            let first = begun.partition_point(|at| *at + window <= *end);
            (index + 1 - first, *end)
        });
        let Some((count, at)) = counts.max() else {
            return;
        };
        self.verdict
            .test(Promise::Quota, count as f64 <= allowed, at, || {
                format!("{count} requests of a tenant in a window, allowed {allowed}")
            });
    }
}
