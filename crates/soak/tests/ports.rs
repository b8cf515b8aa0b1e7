//! Port allocation of concurrent runs.

mod common;

use beamtray_soak::{Ports, Size};
use std::collections::BTreeSet;
use std::net::TcpListener;

/// So many that a block chosen without regard to them would overlap with some.
const SMALL_RUNS: usize = 150;

/// First port that the system gives to sockets that ask for none.
fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the system tells its ephemeral ports");
    let first = range.split_whitespace().next();
    first.and_then(|first| first.parse().ok()).expect("a port")
}

/// Guards against two runs with the same ports, where upstreams of one answered requests of
/// the other.
#[test]
fn runs_at_the_same_time_have_ports_of_their_own() {
    let runs: Vec<Ports> = (0..3)
        .map(|_| Ports::claim(Size::SMALL).expect("there are enough"))
        .collect();
    let mut addresses = BTreeSet::new();
    for ports in &runs {
        for _ in 0..20 {
            let address = ports.free_address().expect("some are free");
            assert!(addresses.insert(address), "{address} twice");
        }
    }
}

/// Guards against a larger run whose ports reach into those of a smaller one.
#[test]
fn runs_of_different_sizes_have_ports_of_their_own() {
    let sizes = std::iter::repeat_n(Size::SMALL, SMALL_RUNS).chain([Size::LARGE]);
    let runs: Vec<(Size, Ports)> = sizes
        .map(|size| (size, Ports::claim(size).expect("there are enough")))
        .collect();
    let mut addresses = BTreeSet::new();
    for (size, ports) in &runs {
        for _ in 0..size.routers * 4 + size.upstreams() {
            let address = ports.free_address().expect("some are free");
            assert!(addresses.insert(address), "{address} twice");
        }
    }
}

/// Guards against an upstream that exited because another socket had been given its port before
/// it listened: the router then had no upstream and the test timed out.
#[test]
fn addresses_of_processes_to_come_are_given_to_no_other_socket() {
    let addresses = common::free_addresses(20);
    for address in &addresses {
        assert!(address.port() < first_ephemeral_port(), "{address}");
    }
    let others: Vec<TcpListener> = (0..200)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    for address in addresses {
        TcpListener::bind(address).expect("the address is free");
    }
    drop(others);
}
