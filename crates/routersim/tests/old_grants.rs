//! Old grants that arrive after their keys have moved to other upstreams.
//!
//! Guards against a granter that assumes an order is void once its timeout has passed: two
//! upstreams held the same keys and both ran requests on them, one under a lower token. An
//! upstream was unreachable for five seconds. The granter had just written renewals to it, gave
//! up on them after half a second, closed the connections, waited until the holds had expired
//! and granted the keys to others. A second after the partition the upstream accepted the old
//! renewals. Data written to a connection that is closed normally is retransmitted with
//! doubling delays until it is acknowledged, and the upstream learns of no higher token before.
//! The delays add up to 6.2 s after the write, when the renewals were accepted (0.2 + 0.4 + 0.8
//! + 1.6 + 3.2). Below, this fault alone violates the invariant.

use beamtray_routersim::{
    CloseMode, CutFrom, Fault, FaultKind, FaultPlan, Invariant, Violation, WorldConfig, run_plan,
};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 12;
/// Longer than a hold plus its transit time.
const CUT: Duration = Duration::from_secs(5);
/// `CUT` plus the time in which a successor detects the loss of the granter.
const CUT_WITH_SUCCESSION: Duration = Duration::from_millis(7_000);

/// The first upstream is unreachable from 8 s on.
fn unreachable(duration: Duration) -> Fault {
    Fault {
        at: Time(8_000_000),
        duration,
        kind: FaultKind::UpstreamUnreachable {
            upstream: 0,
            from: CutFrom::Everything,
        },
    }
}

fn owners_broken(seed: u64, close_mode: CloseMode, faults: &[Fault]) -> Vec<Violation> {
    let plan = FaultPlan {
        faults: faults.to_vec(),
    };
    let config = WorldConfig {
        close_mode,
        ..WorldConfig::drawn(seed)
    };
    let mut violations = run_plan(config, plan, None).violations;
    violations.retain(|one| {
        matches!(
            one.invariant,
            Invariant::SoleOwner | Invariant::RisingTokens
        )
    });
    violations
}

/// The invariant must not depend on a transport that drops written data, so both ways to close
/// the connection of a timed-out order are tested.
fn keeps_sole_owners(faults: &[Fault]) {
    let mut broken = Vec::new();
    for close_mode in [CloseMode::Close, CloseMode::Reset] {
        for seed in 0..SEEDS {
            let violations = owners_broken(seed, close_mode, faults).into_iter();
            broken.extend(violations.map(|one| format!("{close_mode:?}, seed {seed}: {one}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn old_grants_are_harmless_after_a_partition() {
    keeps_sole_owners(&[unreachable(CUT)]);
}

/// A paused process does not time out its orders, and its kernel keeps retransmitting.
#[test]
fn old_grants_of_a_paused_granter_are_harmless() {
    let stands_still = Fault {
        at: Time(8_150_000),
        duration: Duration::from_secs(20),
        kind: FaultKind::NodeFreeze { node: None },
    };
    keeps_sole_owners(&[unreachable(CUT_WITH_SUCCESSION), stands_still]);
}

/// No process is left that could close the connection or knows of the order.
#[test]
fn old_grants_of_a_killed_granter_are_harmless() {
    let killed = Fault {
        at: Time(8_150_000),
        duration: Duration::from_secs(3),
        kind: FaultKind::NodeKill { node: None },
    };
    keeps_sole_owners(&[unreachable(CUT_WITH_SUCCESSION), killed]);
}

/// A drawn history in which a slow granter is paused and killed while the path to a lost holder
/// is restored, so that the holder is not told in time. Resets were missed here until an
/// unanswered order became the last one under its token. `grantsearch/tests/transport.rs`
/// searches every history of a small world and shows that resets matter.
const GRANTER_LOST_AS_A_PATH_HEALS: u64 = 823;

#[test]
fn old_grants_are_harmless_if_a_lost_holder_is_not_told() {
    let seed = GRANTER_LOST_AS_A_PATH_HEALS;
    let faults = FaultPlan::draw(seed, &WorldConfig::drawn(seed)).faults;
    assert_eq!(owners_broken(seed, CloseMode::Close, &faults), []);
    assert_eq!(owners_broken(seed, CloseMode::Reset, &faults), []);
}
