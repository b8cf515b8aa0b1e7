//! Clients that leave while their request waits to be sent again. With real processes.

mod common;

use common::keyed::{KeyedCluster, WORK_MS, begin, send};
use std::thread;
use std::time::Duration;

/// After this the request has been rejected, and its retry is not yet due.
const LEAVES_AFTER: Duration = Duration::from_millis(15);
/// After this the retry would have been sent.
const RETRIED: Duration = Duration::from_millis(300);
const DEPARTED: usize = 4;

/// Guards against a request being sent again for a client that has left: it was sent by nobody and
/// counted as in flight at its upstream for good, which then got nothing any more.
#[test]
fn requests_of_departed_clients_do_not_count_as_in_flight() {
    let cluster = KeyedCluster::start("departed", &["--rejects-first"]);
    for departed in 0..DEPARTED {
        let client = begin(cluster.router, &format!("departed-{departed}"), WORK_MS);
        thread::sleep(LEAVES_AFTER);
        drop(client);
        thread::sleep(RETRIED);
    }
    assert_eq!(send(cluster.router, "later", WORK_MS), 200);
    let lines = cluster.lines("later");
    let first = lines.iter().find(|line| line.contains("msg=sent"));
    let first = first.unwrap_or_else(|| panic!("no line: {lines:?}"));
    assert!(first.contains(" occupied=0 "), "{first}");
}
