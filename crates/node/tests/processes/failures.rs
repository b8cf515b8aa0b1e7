//! Killed and suspended processes under load.

use crate::load::{Load, Transfer, check_transfers};
use crate::support::{Cluster, eventually};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::time::Instant;

/// Waits for a transfer of `key` that completed after `since`.
fn wait_until_served(load: &Load, key: &str, since: Instant) -> Transfer {
    eventually("the key to be served again", || {
        let transfers = load.transfers();
        let found = transfers.iter().find(|transfer| {
            transfer.key == key && transfer.outcome == "complete" && transfer.ended > since
        });
        found.cloned()
    })
}

#[test]
fn no_transfer_runs_twice_and_keys_recover_after_owner_and_leader_loss() {
    let mut cluster = Cluster::start("failures", 4);
    let key = "key-0";
    let report = |what: &str, since: Instant, transfer: &Transfer| {
        println!(
            "{what}: key served again after {:?}",
            transfer.ended - since
        );
    };

    let leader = cluster.leader();
    let callers: Vec<SocketAddr> = (0..3)
        .filter(|node| *node != leader)
        .chain([(leader + 1) % 3])
        .map(|node| cluster.nodes[node].callers)
        .collect();
    let load = Load::start("first", &callers);
    wait_until_served(&load, key, Instant::now());

    cluster.set_key_value("down=1");
    let owner = cluster.owner(key);
    let since = Instant::now();
    cluster.servers[owner].process.signal(Signal::SIGKILL);
    let transfer = wait_until_served(&load, key, since);
    report("owner killed, key-value service down", since, &transfer);

    let frozen = cluster.owner(key);
    let since = Instant::now();
    cluster.servers[frozen].process.signal(Signal::SIGSTOP);
    let transfer = wait_until_served(&load, key, since);
    report("owner frozen, key-value service down", since, &transfer);
    cluster.servers[frozen].process.signal(Signal::SIGCONT);

    let owner = cluster.owner(key);
    let since = Instant::now();
    cluster.nodes[leader].process.signal(Signal::SIGKILL);
    cluster.servers[owner].process.signal(Signal::SIGKILL);
    let transfer = wait_until_served(&load, key, since);
    report(
        "leader and owner killed, key-value service down",
        since,
        &transfer,
    );

    cluster.set_key_value("down=0");
    cluster.restart_node(leader);
    cluster.wait_for_group();
    eventually("the restarted node to vote", || {
        let voters = cluster.status()?.voters;
        (voters.len() == 3 && voters.iter().all(|voter| voter.live)).then_some(())
    });
    let second = cluster.leader();
    let since = Instant::now();
    cluster.nodes[second].process.signal(Signal::SIGKILL);
    let survivors: Vec<SocketAddr> = (0..3)
        .filter(|node| *node != second)
        .map(|node| cluster.nodes[node].callers)
        .collect();
    let more = Load::start("second", &survivors);
    let transfer = wait_until_served(&more, key, since);
    report("second leader killed", since, &transfer);

    let mut transfers = load.finish();
    transfers.extend(more.finish());
    check_transfers(&transfers, &cluster.effects());
    let complete = transfers.iter().filter(|t| t.outcome == "complete").count();
    println!("{} transfers, {complete} complete", transfers.len());
    assert!(complete > 0);
}
