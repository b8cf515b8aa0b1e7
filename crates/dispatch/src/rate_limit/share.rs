//! An issuer's share of the rate that an upstream advertises.
//!
//! Invariant: in any [`RATE_LIMIT_WINDOW`], the requests sent with permits stay below the
//! advertised rate over that time plus [`BURST_PERMITS`] requests per issuer. Buckets fill more
//! slowly than the rate, by what they may hold at once and by how long a permit may stay unused,
//! which makes up for permits that are used together or late.

use crate::permit::{Share, Tenure};
use beamtray_catalog::RequestRate;
use beamtray_types::Time;
use std::time::Duration;

/// Time over which an upstream's rate limit is enforced.
pub(super) const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// How long after the permit request a permit may be used.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(150);
/// Number of permits that a bucket may hold at once, in addition to [`BURST_TIME`]. With only
/// one, the bucket would stay full, and stop filling, whenever a permit is fetched slightly
/// late.
const BURST_PERMITS: f64 = 1.5;
/// Additional capacity of a bucket, as time at its rate: at high rates many permits are
/// requested at once.
const BURST_TIME: Duration = Duration::from_millis(150);
/// Minimum rate in requests per second, even if the upstream accepts none: this is the only way
/// to learn that it accepts requests again.
const MIN_RATE: f64 = 0.2;

/// Returns the share of each issuer.
pub(super) fn share_of(rate: RequestRate, issuers: usize) -> Share {
    let shares = issuers.max(1) as f64;
    let each = rate.per_second().max(MIN_RATE) / shares;
    let window = RATE_LIMIT_WINDOW.as_secs_f64();
    let excess = PERMIT_LIFETIME + BURST_TIME;
    let rate = each * window / (window + excess.as_secs_f64());
    Share {
        rate,
        capacity: BURST_PERMITS + rate * BURST_TIME.as_secs_f64(),
        in_window: each * window,
        shares,
    }
}

/// Returns from when an issuer fills its bucket.
pub(super) fn tenure_of(rate: RequestRate, learned: Time, issuer_since: Time) -> Tenure {
    Tenure {
        learned,
        issuer_since,
        is_closed: rate.per_second() < MIN_RATE,
    }
}
