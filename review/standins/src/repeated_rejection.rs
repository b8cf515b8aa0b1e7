//! A faulty upstream sends a rejection a second time, late, where the answer to the second sending
//! of the same request is due.

use crate::client::{self, Outcome, Request};
use crate::routers::{self, Router};
use crate::store::Store;
use crate::upstream::{Behavior, Run, Upstream};
use crate::{Setting, Verdict};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "pay.example";
const ROUNDS: usize = 40;
const ROUND: Duration = Duration::from_millis(500);
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(100);
/// Requests that fill the upstream: two run and two wait.
const FILLERS: usize = 4;
/// When the observed request is sent, after those that fill the upstream.
const DELAY: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_millis(4_000);

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    store.put("op/config", &configuration());
    let upstream = |id: &str, zone: &str, repeats_rejections| {
        let behavior = Behavior {
            slots: 2,
            queue: 2,
            work: WORK,
            answer_bytes: 400,
            repeats_rejections,
        };
        Upstream::start(&store, record, id, "ledger", zone, true, behavior)
    };
    let faulty = upstream("i-ledger-1", "z1", setting.trouble)?;
    let sound = upstream("i-ledger-2", "z2", false)?;
    let routers = routers::start(&setting.program, &setting.temporary, &store, 2)?;
    if !routers
        .iter()
        .all(|router| router.wait_until_ready(Duration::from_secs(15)))
    {
        return Ok(Verdict::NotRun("a router did not become ready".to_owned()));
    }
    let Some(key) = await_key(&faulty, &sound) else {
        return Ok(Verdict::NotRun("no keys were granted".to_owned()));
    };
    record.say(format!("key {key} is held by {}", faulty.id));
    let outcomes = play(setting, &routers, &faulty, key);
    thread::sleep(Duration::from_secs(1));
    let mut runs = faulty.runs();
    runs.extend(sound.runs());
    Ok(judge(setting, &outcomes, &runs))
}

fn configuration() -> serde_json::Value {
    json!({
        "version": "00000001",
        "routes": [{
            "name": "r-transfer", "host": HOST, "pathPrefix": "/transfer/",
            "routeType": "unsafe", "timeoutMs": 4000, "targetLatencyMs": 800, "priority": 0,
            "service": "ledger", "maxAttempts": 3,
        }],
        "services": [{
            "name": "ledger", "healthCheckPath": "/health", "maxConnections": 110,
            "sharded": true, "warmS": 0.0,
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    })
}

/// Waits until all keys are held, and names one that the first upstream holds.
fn await_key(first: &Upstream, second: &Upstream) -> Option<u16> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let is_all_held = (0..=u16::MAX)
            .step_by(64)
            .all(|key| first.holds(key) || second.holds(key));
        if is_all_held {
            // The routers learn of the assignment meanwhile.
            thread::sleep(Duration::from_secs(2));
            return key_of(first);
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

fn key_of(upstream: &Upstream) -> Option<u16> {
    (0..=u16::MAX).step_by(64).find(|key| upstream.holds(*key))
}

fn play(
    setting: &Setting,
    routers: &[Router],
    faulty: &Upstream,
    first_key: u16,
) -> Vec<(String, Outcome)> {
    let record = &setting.record;
    let mut key = first_key;
    let mut outcomes = Vec::new();
    for round in 0..ROUNDS {
        let began = Instant::now();
        if !faulty.holds(key) {
            key = key_of(faulty).unwrap_or(key);
        }
        let send = |id: String, router: SocketAddr, delay: Duration| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let request = request(&id, key);
                record.line(format!("client sends {id}"));
                let outcome = client::send(router, &request, None);
                record.line(format!("client has for {id}: {outcome:?}"));
                (id, outcome)
            })
        };
        let mut clients = Vec::new();
        for filler in 0..FILLERS {
            let id = format!("{round:04}000{filler}");
            clients.push(send(id, routers[1].clients, Duration::ZERO));
        }
        clients.push(send(format!("{round:04}aaaa"), routers[0].clients, DELAY));
        outcomes.extend(clients.into_iter().filter_map(|client| client.join().ok()));
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
    }
    outcomes
}

fn request(id: &str, key: u16) -> Request {
    Request {
        id: id.to_owned(),
        method: "POST",
        host: HOST,
        path: format!("/transfer/{id}"),
        key: Some(key),
        deadline: DEADLINE,
        body: format!("transfer {id}").into_bytes(),
    }
}

fn judge(setting: &Setting, outcomes: &[(String, Outcome)], runs: &[Run]) -> Verdict {
    let record = &setting.record;
    let mut run_counts: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        run_counts.entry(&run.id).or_default().push(run);
    }
    let mut twice = 0;
    let mut refused = 0;
    for (id, outcome) in outcomes {
        let runs = run_counts.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        if runs.len() > 1 {
            twice += 1;
            let at: Vec<String> = runs
                .iter()
                .map(|run| format!("{} at {} ms", run.upstream, run.at_ms))
                .collect();
            record.line(format!(
                "TWICE {id}: {}; client: {outcome:?}",
                at.join(", ")
            ));
        }
        if outcome.is_promise() && !runs.is_empty() {
            refused += 1;
            record.line(format!("REFUSED {id}: ran, and client has {outcome:?}"));
        }
    }
    let served = outcomes.iter().filter(|(_, one)| one.is_success()).count();
    record.say(format!(
        "{} unsafe requests, {served} served, {twice} ran twice, {refused} refused though they ran",
        outcomes.len()
    ));
    // The rule of this case is the first one; the second one is told beside it.
    match (twice, served) {
        (0, 0) => Verdict::NotRun("nothing was served".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
