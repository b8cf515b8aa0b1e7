//! A keyed read and a transfer through separate processes, with the key's owner
//! killed in between.

use crate::support::{Cluster, SERVICE, call, eventually};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

#[test]
fn a_read_and_a_transfer_are_served_across_the_loss_of_the_owner() {
    let mut cluster = Cluster::start("thin-path", 3);
    let key = "account-7";
    let callers = cluster.nodes[0].callers;
    let timeout = Duration::from_secs(10);

    let read = call(
        "GET",
        &format!("http://{callers}/{SERVICE}/{key}/balance"),
        None,
        timeout,
    );
    let read = read.expect("the read is served");
    assert_eq!(read.status, 200);
    assert_eq!(read.body, format!("{key} 0\n").as_bytes());
    assert_eq!(read.header("beamtray-outcome"), Some("complete"));

    let owner = cluster.owner(key);
    cluster.servers[owner].process.signal(Signal::SIGKILL);
    cluster.servers[owner].process.wait();
    let killed = Instant::now();

    let url = format!("http://{callers}/{SERVICE}/{key}/transfer");
    let transfer = eventually("the transfer to be served", || {
        let reply = call("POST", &url, Some("transfer-1"), timeout).ok()?;
        // Only a transfer that certainly did not run may be retried.
        let outcome = reply.header("beamtray-outcome").map(str::to_owned);
        match outcome.as_deref() {
            Some("not-run") => None,
            _ => Some(reply),
        }
    });
    println!("served again after {:?}", killed.elapsed());
    assert_eq!(transfer.status, 200, "{transfer:?}");
    assert_eq!(transfer.body, format!("{key} 1\n").as_bytes());
    assert_ne!(cluster.owner(key), owner);
    let effects = cluster.effects();
    let ran = effects
        .iter()
        .filter(|effect| effect.ends_with(" transfer-1"));
    assert_eq!(ran.count(), 1, "{effects:?}");
}
