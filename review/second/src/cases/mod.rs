//! The cases.

pub mod granter;
pub mod keep_alive;
pub mod standby;
pub mod surplus;
pub mod switching;

use crate::upstream::Upstream;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval at which a worker looks whether it goes on.
const POLL: Duration = Duration::from_millis(5);

/// Has an upstream carry out the grants that it left unanswered: at `from` at the earliest, once
/// another upstream has taken some of the keys, and at `until` at the latest.
async fn carry_out_late_grants(upstream: &Upstream, from: Instant, until: Instant) {
    sleep_until(from).await;
    while Instant::now() < until && !upstream.have_late_keys_gone_on() {
        sleep(POLL).await;
    }
    upstream.carry_out_late_grants();
}

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}
