//! An upstream that sends its answers to grants a second time, where the answer to the next order
//! is due. With real processes.

mod common;

use beamtray_soak::{Observation, Report};
use beamtray_types::Time;
use common::keyed::{KeyedCluster, send_with_key};
use std::collections::HashMap;
use std::thread;
use std::time::Duration;

const FIRST: &str = "keyed-0-0";
const SECOND: &str = "keyed-1-0";
/// Requests that run at the same time, with keys spread over all.
const REQUESTS: u16 = 48;
const WORK_MS: u64 = 1_200;
/// Rounds of requests while keys move to the second upstream.
const ROUNDS: usize = 12;
const PAUSE: Duration = Duration::from_millis(500);
/// Time for the last requests to end.
const LAST: Duration = Duration::from_secs(2);

/// Keys that the second upstream was given while the first one worked on them.
fn given_too_early(told: &[Report]) -> Vec<String> {
    let mut begun: HashMap<&str, (u16, Time)> = HashMap::new();
    let mut worked: Vec<(u16, Time, Time)> = Vec::new();
    let mut given: Vec<(u16, u16, Time)> = Vec::new();
    for report in told {
        match &report.observation {
            Observation::WorkStarted {
                id, key: Some(key), ..
            } if report.from == FIRST => {
                begun.insert(id, (*key, report.at));
            }
            Observation::WorkFinished { id } if report.from == FIRST => {
                let ended = begun.remove(id.as_str());
                worked.extend(ended.map(|(key, since)| (key, since, report.at)));
            }
            Observation::GrantAccepted { first, last, .. } if report.from == SECOND => {
                given.push((*first, *last, report.at));
            }
            _ => {}
        }
    }
    let early = given.iter().flat_map(|(first, last, at)| {
        let worked = worked.iter();
        worked
            .filter(move |(key, since, until)| {
                (first..=last).contains(&key) && since < at && at < until
            })
            .map(move |(key, _, until)| format!("{key} {:?} early", until.since(*at)))
    });
    early.collect()
}

/// Adds an upstream while requests run at the first; returns the keys that it got too early.
fn move_keys(name: &str, options: &[&str]) -> Vec<String> {
    let options = [&["--slots=64"], options].concat();
    let mut cluster = KeyedCluster::start(name, &options);
    cluster.add_upstream(SECOND);
    for round in 0..ROUNDS {
        for request in 0..REQUESTS {
            let router = cluster.router;
            let id = format!("{round}-{request}");
            let key = request * (u16::MAX / REQUESTS);
            thread::spawn(move || send_with_key(router, &id, key, WORK_MS));
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(LAST);
    let told = cluster.told.lock().expect("not poisoned");
    let is_given = |report: &Report| {
        report.from == SECOND && matches!(report.observation, Observation::GrantAccepted { .. })
    };
    assert!(told.iter().any(is_given), "no keys moved");
    given_too_early(&told)
}

/// Guards against a grant's answer that is sent again being taken for that of a release: keys went
/// to another upstream while requests on them ran.
#[test]
fn a_release_is_not_answered_by_the_answer_to_a_grant() {
    let early = move_keys("grants-late", &["--spoil-grants=late"]);
    assert!(early.is_empty(), "{early:?}");
}

/// Guards against the test before passing or failing for another reason.
#[test]
fn keys_move_once_the_requests_on_them_have_ended() {
    let early = move_keys("grants-sound", &[]);
    assert!(early.is_empty(), "{early:?}");
}
