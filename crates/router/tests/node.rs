//! One node's core by itself.

use beamtray_catalog::DirectoryPolicy;
use beamtray_dispatch::{BudgetConfig, DispatchConfig};
use beamtray_metastore::{LeaseTiming, Revision};
use beamtray_router::core::{
    ControlConfig, CoreConfig, Datagram, Input, NodeCore, NodeRecord, Output, Timing, ViewHeads,
    ViewName,
};
use beamtray_routersim::SimDialect;
use beamtray_sharding::{BalanceLimits, GranterGuards, GranterTiming};
use beamtray_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn core() -> NodeCore {
    let lease = LeaseTiming {
        ttl: Duration::from_secs(2),
        renewal: Duration::from_millis(500),
    };
    let config = CoreConfig {
        dispatch: DispatchConfig {
            node: "node".to_owned(),
            run: 3,
            zone: "zone".into(),
            budget: BudgetConfig {
                ratio: 0.2,
                allowance: 10.0,
                window: Duration::from_secs(10),
            },
            queue_limit: 10,
            most_queued: 6,
            zone_cost: Duration::ZERO,
            leaver_grace: Duration::from_secs(1),
            proves_before_repeat: true,
        },
        control: ControlConfig {
            record: NodeRecord {
                name: "node".to_owned(),
                run: 3,
                zone: "zone".to_owned(),
                peers: address(1),
            },
            node_lease: lease,
            granter_lease: lease,
            patience: Duration::from_millis(20),
            grants: GranterTiming {
                hold: Duration::from_secs(8),
                renewal: Duration::from_secs(2),
                hold_bound: Duration::from_millis(8_160),
                transit: Duration::from_millis(300),
                silence: Duration::from_millis(1_500),
                settle: Duration::from_secs(1),
                notice: Duration::from_millis(12),
                guards: GranterGuards::default(),
            },
            balance: BalanceLimits {
                moves: 8,
                busy: 0.45,
                difference: 0.3,
                least_requests: 2.0,
                rest: Duration::from_millis(700),
                window: 1.8,
            },
        },
        directory: DirectoryPolicy {
            distrust: Duration::from_millis(500),
            patience: Duration::from_millis(1_600),
        },
        watch_wait: Duration::from_secs(8),
        seeds: Vec::new(),
        timing: Timing::default(),
    };
    NodeCore::new(config, Rc::new(SimDialect::default()))
}

/// Whom the node tells of the newest changes it has seen.
fn told(outputs: Vec<Output>) -> Vec<SocketAddr> {
    outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Send(Datagram::Heads(_), addresses) => Some(addresses),
            _ => None,
        })
        .flatten()
        .collect()
}

/// Found by an incident: half of the nodes lost the store, so their entries
/// lapsed and the granter told them of no further assignment.
#[test]
fn a_node_without_an_entry_is_told_as_long_as_it_is_heard() {
    let mut core = core();
    assert!(told(core.handle(at(10), Input::Tick)).is_empty());
    let latest = [Revision(0); ViewName::ALL.len()];
    let heads = Datagram::Heads(ViewHeads { latest });
    core.handle(at(300), Input::Datagram(address(2), heads));
    assert_eq!(told(core.handle(at(310), Input::Tick)), [address(2)]);
    assert!(told(core.handle(at(4_000), Input::Tick)).is_empty());
}
