//! Tenants of a world, and the senders of its requests.
//!
//! Senders are drawn apart from everything else, so that a history without tenants is the same as
//! before there were any.

use super::{ClientRequest, World};
use beamtray_catalog::{ApiKey, Credential, Quota, Tenant, TenantName};
use beamtray_dispatch::Forward;
use rand::RngExt;

/// Quota of the limited tenant.
const QUOTA: Quota = Quota {
    rate: 1.0,
    burst: 2.0,
};
/// Percentage of requests of each sender; the others are anonymous.
const STEADY_PERCENT: u32 = 40;
const LIMITED_PERCENT: u32 = 25;
const FLEETING_PERCENT: u32 = 15;
/// Percentage of fleeting keys that were replaced by the newest configuration.
const OLD_KEY_PERCENT: u32 = 40;

/// Who sends a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestSender {
    #[default]
    Anonymous,
    /// A tenant without a quota.
    Steady,
    /// A tenant that sends more than its quota.
    Limited,
    /// A tenant whose key changes with each configuration: the key of this version.
    Fleeting(u64),
}

impl RequestSender {
    fn tenant(self) -> Option<&'static str> {
        match self {
            Self::Anonymous => None,
            Self::Steady => Some("steady"),
            Self::Limited => Some("limited"),
            Self::Fleeting(_) => Some("fleeting"),
        }
    }

    fn key(self) -> Option<ApiKey> {
        let text = match self {
            Self::Fleeting(version) => format!("key of version {version}"),
            other => format!("key of {}", other.tenant()?),
        };
        ApiKey::new(text.as_bytes())
    }

    pub fn credential(self) -> Credential {
        self.key().map_or(Credential::Missing, Credential::Key)
    }

    /// Whether all requests of the sender are to be served.
    pub fn is_entitled(self) -> bool {
        matches!(self, Self::Anonymous | Self::Steady)
    }
}

/// The tenants of a version of the configuration.
pub(super) fn tenants(version: u64) -> Vec<Tenant> {
    [
        (RequestSender::Steady, None),
        (RequestSender::Limited, Some(QUOTA)),
        (RequestSender::Fleeting(version), None),
    ]
    .into_iter()
    .map(|(sender, quota)| Tenant {
        name: TenantName(sender.tenant().unwrap_or_default().to_owned()),
        keys: sender.key().into_iter().collect(),
        priority: 0,
        quota,
    })
    .collect()
}

impl World {
    pub(super) fn draw_sender(&mut self) -> RequestSender {
        if !self.config.has_tenants {
            return RequestSender::Anonymous;
        }
        let percent = self.senders.random_range(0..100);
        let is_old = self.senders.random_range(0..100) < OLD_KEY_PERCENT;
        let mut versions = self
            .configurations
            .iter()
            .rev()
            .map(|(_, version)| *version);
        let newest = versions.next();
        let version = versions.next().filter(|_| is_old).or(newest);
        if percent < STEADY_PERCENT {
            RequestSender::Steady
        } else if percent < STEADY_PERCENT + LIMITED_PERCENT {
            RequestSender::Limited
        } else if percent < STEADY_PERCENT + LIMITED_PERCENT + FLEETING_PERCENT {
            RequestSender::Fleeting(version.unwrap_or_default())
        } else {
            RequestSender::Anonymous
        }
    }

    /// Checks a request that a node sends.
    pub(super) fn check_key(&mut self, node: usize, asked: &ClientRequest) {
        let RequestSender::Fleeting(version) = asked.sender else {
            return;
        };
        let mut newer = self.configurations.iter();
        if let Some((replaced, _)) = newer.find(|(_, other)| *other > version) {
            let age = asked.at.since(*replaced);
            self.checkers
                .sent_with_old_key(self.now, node, &asked.id, age);
        }
    }

    /// Checks a request that reaches an upstream.
    pub(super) fn check_tenant(&mut self, asked: &ClientRequest, forward: &Forward) {
        let tenant = forward.sender.tenant().map(|tenant| tenant.name.0.as_str());
        self.checkers
            .arrived_for_tenant(self.now, &asked.id, tenant, asked.sender.tenant());
        if asked.sender == RequestSender::Limited {
            self.checkers
                .arrived_under_quota(self.now, &asked.id, QUOTA);
        }
    }
}
