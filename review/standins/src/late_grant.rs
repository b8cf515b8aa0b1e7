//! An upstream leaves a renewal unanswered and carries it out late; the router that sent it is killed
//! at once, and the path to the upstream is cut.

use crate::gate::Gate;
use crate::routers::{self, Router};
use crate::store::Store;
use crate::upstream::{Behavior, Taking, Upstream};
use crate::{Setting, Verdict};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// How long after its arrival the renewal is carried out. By the list of kinds it is 2 to 12 s.
const DELAY: Duration = Duration::from_millis(9_000);
/// How long the run goes on after that.
const AFTERWARDS: Duration = Duration::from_secs(3);

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    store.put("op/config", &configuration());
    let mut upstreams = Vec::new();
    let mut gates = Vec::new();
    for zone in ["z1", "z2", "z3"] {
        let behavior = Behavior {
            slots: 2,
            queue: 8,
            work: Duration::from_millis(50),
            answer_bytes: 400,
            repeats_rejections: false,
        };
        let (gate, target) = Gate::start()?;
        let (proxy, id) = (Some(gate.address), format!("i-ledger-{zone}"));
        let upstream =
            Upstream::start_behind(proxy, &store, record, &id, "ledger", zone, true, behavior)?;
        target.connect_to(upstream.address);
        upstreams.push(upstream);
        gates.push(gate);
    }
    let mut routers = routers::start(&setting.program, &setting.temporary, &store, 3)?;
    if !routers
        .iter()
        .all(|router| router.wait_until_ready(Duration::from_secs(15)))
    {
        return Ok(Verdict::NotRun("a router did not become ready".to_owned()));
    }
    if !await_keys(&upstreams) {
        return Ok(Verdict::NotRun("the keys were not granted".to_owned()));
    }
    thread::sleep(Duration::from_secs(3));
    let Some(granter) = routers.iter().position(is_granter) else {
        return Ok(Verdict::NotRun("no router gives grants".to_owned()));
    };
    record.say(format!("router {} gives grants", granter + 1));
    if setting.trouble {
        upstreams[0].delay_next_grant(DELAY);
        let until = Instant::now() + Duration::from_secs(5);
        while upstreams[0].left_grants() == 0 {
            if Instant::now() > until {
                return Ok(Verdict::NotRun("no renewal came".to_owned()));
            }
            thread::sleep(Duration::from_millis(1));
        }
        routers[granter].kill();
        gates[0].close();
        record.say(format!(
            "router {} is killed, and the path to {} is cut",
            granter + 1,
            upstreams[0].id
        ));
    }
    thread::sleep(DELAY + AFTERWARDS);
    let takings: Vec<Taking> = upstreams.iter().flat_map(Upstream::takings).collect();
    let is_moved = takings
        .iter()
        .any(|taking| taking.upstream != upstreams[0].id);
    if !is_moved {
        return Ok(Verdict::NotRun("only one upstream held keys".to_owned()));
    }
    Ok(judge(setting, takings))
}

fn configuration() -> serde_json::Value {
    json!({
        "version": "00000001",
        "routes": [{
            "name": "r-ledger", "host": "ledger.example", "pathPrefix": "/ledger/",
            "routeType": "safe", "timeoutMs": 1000, "targetLatencyMs": 500, "priority": 1,
            "service": "ledger", "maxAttempts": 2,
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

fn await_keys(upstreams: &[Upstream]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let mut keys = (0..=u16::MAX).step_by(64);
        if keys.all(|key| upstreams.iter().any(|upstream| upstream.holds(key))) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Whether a router says that it gives grants. This only chooses the process that is killed.
fn is_granter(router: &Router) -> bool {
    let lines = router.figures(&["is_granter"]);
    lines.iter().any(|line| line.trim_end().ends_with(" 1"))
}

/// The rule: an upstream takes a key with a fence that is not above all those with which other
/// upstreams had the key.
fn judge(setting: &Setting, mut takings: Vec<Taking>) -> Verdict {
    let record = &setting.record;
    takings.sort_by_key(|taking| taking.at_ms);
    let mut broken = 0;
    for (number, taking) in takings.iter().enumerate() {
        let overlaps = |other: &&Taking| other.first <= taking.last && taking.first <= other.last;
        let before = takings[..number].iter().filter(overlaps);
        let higher = before
            .filter(|other| other.upstream != taking.upstream && other.fence >= taking.fence)
            .max_by_key(|other| other.fence);
        if let Some(other) = higher {
            broken += 1;
            record.say(format!(
                "OWNER: {} takes {}..{} with fence {} at {} ms{}; {} had them with fence {} at {} ms",
                taking.upstream,
                taking.first,
                taking.last,
                taking.fence,
                taking.at_ms,
                if taking.is_late { " (late)" } else { "" },
                other.upstream,
                other.fence,
                other.at_ms
            ));
        }
    }
    record.say(format!(
        "{} grants carried out, {broken} below another",
        takings.len()
    ));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
