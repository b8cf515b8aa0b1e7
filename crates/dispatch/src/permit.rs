//! Permits that a few nodes issue and all nodes use: a token bucket that is distributed.
//!
//! No node knows what the others are about to send, so a limit over all nodes is divided among
//! issuers, each with a [`Share`](bucket::Share) of it in a bucket. A node that needs permits asks
//! one issuer after the other and uses them within their lifetime. A permit that is lost on its way
//! or not used is never replaced, so that failures let through fewer requests, not more.
//!
//! The limits are of two kinds: rates that upstreams advertise ([`crate::rate_limit`]) and quotas of
//! tenants ([`crate::quota`]). They differ in who issues, in what a bucket holds, and in whether
//! permits are requested in advance.

mod account;
mod bucket;

pub(crate) use account::{PERMIT_REPLY_TIMEOUT, PermitPolicy, PermitStep, Permits};
pub(crate) use bucket::{Buckets, Share, Tenure};

use std::time::Duration;

/// Counts of permits since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Permit requests to other nodes.
    pub asked: u64,
    /// Permits that were used.
    pub used: u64,
    /// As an issuer: permits that were issued.
    pub issued: u64,
    /// As an issuer: permits that were requested and denied.
    pub denied: u64,
}

/// Converts to milliseconds, rounded up: a retry that comes too early would find no permit.
pub(crate) fn millis(time: Duration) -> u32 {
    time.as_micros()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u32::MAX)
}
