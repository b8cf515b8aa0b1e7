//! Old grants that come after their keys went to others.
//!
//! Seen: two upstreams held the same keys and both ran requests on them, one of them under
//! a token lower than the other's. How: an upstream was unreachable for five seconds. The
//! granter had just written renewals to it; it gave them up after half a second and closed
//! the connections, waited until the holds were over, and gave the keys to others. A second
//! after the cut the upstream took the old renewals. Cause: a wait that ends at the sender
//! does not end the message. What was written to a connection that is then closed in the
//! ordinary way is sent again, at doubling pauses, until it is acknowledged; nothing tells
//! the upstream of a higher token before. Proof: the pauses add up to the moment at which
//! the renewals were taken, 6.2 s after they were written (0.2 + 0.4 + 0.8 + 1.6 + 3.2), and
//! below, where nothing else goes wrong, the promise breaks.

use beamtray_routersim::{
    CloseMode, CutFrom, Fault, FaultKind, FaultPlan, Invariant, Violation, WorldConfig, run_plan,
};
use beamtray_types::Time;
use std::time::Duration;

const SEEDS: u64 = 12;
/// Longer than a hold and its transit.
const CUT: Duration = Duration::from_secs(5);
/// The same, and the time in which a successor finds the granter gone.
const CUT_WITH_SUCCESSION: Duration = Duration::from_millis(7_000);

/// The first upstream can't be reached from 8 s on.
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

/// However connections of orders that are given up are closed: the promise does not rest on
/// a transport that drops what was written.
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

/// A process that stands still gives nothing up, and its kernel goes on sending.
#[test]
fn old_grants_of_a_paused_granter_are_harmless() {
    let stands_still = Fault {
        at: Time(8_150_000),
        duration: Duration::from_secs(20),
        kind: FaultKind::NodeFreeze { node: None },
    };
    keeps_sole_owners(&[unreachable(CUT_WITH_SUCCESSION), stands_still]);
}

/// Nobody is left to close the connection, or to know of the order.
#[test]
fn old_grants_of_a_killed_granter_are_harmless() {
    let killed = Fault {
        at: Time(8_150_000),
        duration: Duration::from_secs(3),
        kind: FaultKind::NodeKill { node: None },
    };
    keeps_sole_owners(&[unreachable(CUT_WITH_SUCCESSION), killed]);
}

/// A drawn history in which a slow granter stands still and is killed while the path to a
/// lost holder is whole again, so that nobody tells it in time. Resets were missed here until
/// an order without an answer was the last one under its token; that they are missed at all
/// is shown by the search (`grantsearch/tests/transport.rs`), which takes every history of
/// a small world.
const GRANTER_LOST_AS_A_PATH_HEALS: u64 = 823;

#[test]
fn old_grants_are_harmless_if_a_lost_holder_is_not_told() {
    let seed = GRANTER_LOST_AS_A_PATH_HEALS;
    let faults = FaultPlan::draw(seed, &WorldConfig::drawn(seed)).faults;
    assert_eq!(owners_broken(seed, CloseMode::Close, &faults), []);
    assert_eq!(owners_broken(seed, CloseMode::Reset, &faults), []);
}
