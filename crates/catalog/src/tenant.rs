//! Tenants, the API keys that identify them, and their quotas.
//!
//! Invariant: a key belongs to at most one tenant of a configuration. A configuration in which
//! two tenants hold the same key is rejected as a whole: whichever of them were chosen, the
//! upstreams would act for the wrong one.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// Name of a tenant, which upstreams are told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct TenantName(pub String);

impl fmt::Display for TenantName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A secret that identifies a tenant.
///
/// It is never shown: neither `Debug` nor any error or log line contains it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Creates a key from its bytes; `None` if there are none.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (!bytes.is_empty()).then(|| Self(bytes.into()))
    }

    /// The secret itself, for encoders of configurations.
    pub fn reveal(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Requests that a tenant may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; above zero.
    pub rate: f64,
    /// Requests allowed in addition at once.
    pub burst: f64,
}

/// A customer of the services, as operators declare it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique within a configuration.
    pub name: TenantName,
    /// Keys that identify the tenant. Without one, none of its requests are accepted.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, compared before that of their routes; 0 is the highest.
    pub priority: u32,
    /// Limit on its requests; none if they are not limited.
    pub quota: Option<Quota>,
}

/// What a request states about its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Missing,
    /// A key.
    Key(ApiKey),
    /// Several keys, which cannot all identify the sender.
    Ambiguous,
}

impl Credential {
    /// A short hash of the key that tells keys apart in log lines. The salt must be random, so that
    /// nobody can look for keys with a given digest.
    pub fn digest(&self, salt: &RandomState) -> Option<u32> {
        match self {
            Self::Key(key) => Some(salt.hash_one(key) as u32),
            Self::Missing | Self::Ambiguous => None,
        }
    }
}

/// Whom a request is sent for.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Sender {
    /// The configuration declares no tenants; keys have no meaning.
    #[default]
    Untracked,
    /// A request without a key, on a route that allows this.
    Anonymous,
    /// A request of a tenant.
    Tenant(Rc<Tenant>),
}

impl Sender {
    /// The tenant, if there is one.
    pub fn tenant(&self) -> Option<&Rc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untracked | Self::Anonymous => None,
        }
    }

    /// Priority of the sender; 0 is the highest. Anonymous senders come after all tenants.
    pub fn priority(&self) -> u32 {
        match self {
            Self::Untracked => 0,
            Self::Anonymous => u32::MAX,
            Self::Tenant(tenant) => tenant.priority,
        }
    }
}

/// The key of a request identifies no tenant, or a key is required and missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// The tenants of one configuration, indexed by key.
///
/// Keys are looked up by a hash that is seeded at random in each process, and are compared only
/// if their hashes are equal. So the time that a look-up takes tells nothing about the keys that
/// there are, though the comparison itself stops at the first different byte.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<ApiKey, Rc<Tenant>>,
    count: usize,
}

impl TenantTable {
    /// Indexes the tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.keys {
                by_key.insert(key.clone(), tenant.clone());
            }
        }
        Self {
            by_key,
            count: tenants.len(),
        }
    }

    /// Number of tenants.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Identifies the sender of a request.
    ///
    /// # Errors
    /// [`UnknownKey`] if the key belongs to no tenant, also on routes that allow anonymous
    /// senders: a key that was taken away must not be accepted anywhere.
    pub fn identify(
        &self,
        credential: &Credential,
        allow_anonymous: bool,
    ) -> Result<Sender, UnknownKey> {
        match credential {
            Credential::Missing if allow_anonymous => Ok(Sender::Anonymous),
            Credential::Key(key) => {
                let tenant = self.by_key.get(key).ok_or(UnknownKey)?;
                Ok(Sender::Tenant(tenant.clone()))
            }
            Credential::Missing | Credential::Ambiguous => Err(UnknownKey),
        }
    }
}
