//! One node's core by itself.

use beamtray_metastore::Revision;
use beamtray_router::core::{Datagram, Input, NodeCore, Output, ViewHeads, ViewName};
use beamtray_routersim::{SimDialect, usual_settings};
use beamtray_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn core() -> NodeCore {
    let config = usual_settings(0).core_config(3);
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
    let heads = Datagram::Heads(ViewHeads {
        latest,
        contact: None,
    });
    core.handle(at(300), Input::Datagram(address(2), heads));
    assert_eq!(told(core.handle(at(310), Input::Tick)), [address(2)]);
    assert!(told(core.handle(at(4_000), Input::Tick)).is_empty());
}
