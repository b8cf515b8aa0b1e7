//! Which holders of keys this node can connect to, and what that means for the granter's role.
//!
//! The right to grant depends on the store alone. Without this, a granter that loses its paths to
//! the holders keeps the role while its grants run out, although other nodes reach the holders.

use super::Control;
use crate::core::message::GRANT_TIMEOUT;
use beamtray_types::Time;
use std::time::Duration;

/// How much longer than others a node waits that can't connect to half of the holders or more; less
/// in proportion if it can't connect to fewer. It still takes the role if no other node does.
const UNREACHING_ELECTION_DELAY: Duration = Duration::from_millis(1_500);
/// Minimum interval between two times that a granter steps down. If the role returns to it, no other
/// node is better off.
const STEP_DOWN_INTERVAL: Duration = Duration::from_secs(10);
/// Number of holders behind broken paths below which a granter keeps the role.
const MIN_BROKEN: usize = 2;

/// The upstreams that may hold keys, by what is known of the paths to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderReach {
    /// All of them; not counted if no path failed.
    pub all: usize,
    /// Those to which the last connection failed.
    pub failed: usize,
    /// Those of them that responded to any node since.
    pub broken: usize,
}

impl HolderReach {
    /// Share of the holders that this node failed to connect to.
    fn failed_share(self) -> f64 {
        self.failed as f64 / self.all.max(1) as f64
    }

    /// Whether this node can't connect to half of the holders or more, while others can.
    fn is_lost(self) -> bool {
        self.broken >= MIN_BROKEN && self.broken * 2 >= self.all
    }
}

/// What this node knows of its paths to holders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReachState {
    reach: HolderReach,
    /// When this node may next step down.
    step_down_at: Time,
}

impl ReachState {
    /// How much longer than others this node waits before it takes the granter's role.
    pub fn election_delay(&self) -> Duration {
        let share = (self.reach.failed_share() * 2.0).min(1.0);
        UNREACHING_ELECTION_DELAY.mul_f64(share)
    }
}

impl Control {
    /// Sets which holders this node can connect to. As the granter it steps down if it can't connect
    /// to half of them or more. Returns whether it does so now.
    pub fn set_holder_reach(&mut self, now: Time, reach: HolderReach) -> bool {
        self.reach.reach = reach;
        let steps_down = reach.is_lost() && self.is_granter(now) && now >= self.reach.step_down_at;
        if steps_down {
            self.reach.step_down_at = now + STEP_DOWN_INTERVAL;
            self.election.step_down(now, GRANT_TIMEOUT);
        }
        steps_down
    }
}
