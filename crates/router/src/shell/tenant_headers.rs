//! Headers that tell an upstream whom a request is sent for.

use beamtray_catalog::Sender;
use beamtray_dialect::HeaderNames;
use hyper::header::{HeaderMap, HeaderValue};

/// Replaces the sender's key, and whatever tenant the client stated, by the name of the tenant.
/// Without tenants in the configuration both headers are like any other.
///
/// Returns `None` if the name cannot be sent; the request must not be sent then, since the
/// upstream would act for nobody.
pub(crate) fn apply_sender(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    sender: &Sender,
) -> Option<()> {
    if matches!(sender, Sender::Untracked) {
        return Some(());
    }
    headers.remove(names.api_key);
    headers.remove(names.tenant);
    if let Some(tenant) = sender.tenant() {
        let name = HeaderValue::from_str(&tenant.name.0).ok()?;
        headers.insert(names.tenant, name);
    }
    Some(())
}
