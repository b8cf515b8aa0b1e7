//! Tests of planned stops and of conflicting confirmations.

use crate::load::{Load, check_transfers};
use crate::support::{Cluster, SERVICE, call};
use beamtray_control::{OperatorAnswer, OperatorRequest};
use beamtray_node::client::send_operator_request;
use beamtray_types::{OperationId, Revision};
use nix::sys::signal::Signal;
use std::time::Duration;

#[test]
fn sigterm_interrupts_no_request_and_exits_0() {
    let mut cluster = Cluster::start("planned-stop", 3);
    let leader = cluster.leader();
    let load = Load::start("stop", &[cluster.nodes[leader].callers]);
    std::thread::sleep(Duration::from_millis(500));
    cluster.nodes[leader].process.signal(Signal::SIGTERM);
    assert_eq!(cluster.nodes[leader].process.wait(), Some(0));
    let transfers = load.finish();
    check_transfers(&transfers, &cluster.effects());
    let unknown: Vec<_> = transfers
        .iter()
        .filter(|t| t.outcome == "unknown")
        .collect();
    if !unknown.is_empty() {
        let log = cluster.nodes[leader].log();
        panic!("cut off: {unknown:?}\nthe stopped node's log:\n{log}");
    }
    assert!(transfers.iter().any(|t| t.outcome == "complete"));

    let other = (leader + 1) % 3;
    let url = format!(
        "http://{}/{SERVICE}/key-1/balance",
        cluster.nodes[other].callers
    );
    let reply =
        call("GET", &url, None, Duration::from_secs(10)).expect("the other nodes keep serving");
    assert_eq!(reply.status, 200);
}

/// Callers send requests until the process exits. Guards against a failure in which requests
/// that arrived after the core stopped but before the process exited got an unknown outcome,
/// and some connections were reset.
#[test]
fn requests_arriving_during_shutdown_get_a_definite_outcome() {
    const CALLERS: usize = 24;
    let mut cluster = Cluster::start("last-callers", 3);
    let leader = cluster.leader();
    let load = Load::start("last", &[cluster.nodes[leader].callers; CALLERS]);
    std::thread::sleep(Duration::from_millis(500));
    cluster.nodes[leader].process.signal(Signal::SIGTERM);
    assert_eq!(cluster.nodes[leader].process.wait(), Some(0));
    let transfers = load.finish();
    check_transfers(&transfers, &cluster.effects());
    let unknown = transfers.iter().filter(|t| t.outcome == "unknown");
    let unknown: Vec<_> = unknown.collect();
    assert!(unknown.is_empty(), "cut off: {unknown:?}");
}

#[test]
fn one_of_two_conflicting_confirmations_is_accepted() {
    let cluster = Cluster::start("conflict", 2);
    let mut one = cluster.declaration.clone();
    one.services[0].queue = 100;
    let mut other = cluster.declaration.clone();
    other.services[0].queue = 200;
    let confirm = |node: usize, operation: u64, declaration| OperatorRequest::Confirm {
        operation: OperationId(operation + node as u64),
        base: Revision(1),
        declaration,
    };
    let answers: Vec<OperatorAnswer> = std::thread::scope(|scope| {
        let requests = [(0, confirm(0, 100, one)), (1, confirm(1, 200, other))];
        let running: Vec<_> = requests
            .into_iter()
            .map(|(node, request)| {
                let operators = cluster.nodes[node].operators;
                scope.spawn(move || send_operator_request(operators, &request).expect("a response"))
            })
            .collect();
        running
            .into_iter()
            .map(|job| job.join().expect("the thread finishes"))
            .collect()
    });
    let accepted = answers.iter().filter(|answer| {
        **answer
            == OperatorAnswer::InForce {
                revision: Revision(2),
            }
    });
    assert_eq!(accepted.count(), 1, "{answers:?}");
    let conflict_reported = answers.iter().any(
        |answer| matches!(answer, OperatorAnswer::Conflict { changed, .. } if !changed.is_empty()),
    );
    assert!(conflict_reported, "{answers:?}");
}
