//! Clients pause for a moment while they read answers on kept connections. Nothing else happens.

use crate::client::{Outcome, Pause, SlowReader};
use crate::routers;
use crate::stop_while_reading::{ANSWER_BYTES, Exchange, MEDIUM_BYTES_PER_S};
use crate::stop_while_reading::{configuration, exchange};
use crate::store::Store;
use crate::upstream::{Behavior, Upstream};
use crate::{Setting, Verdict};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Requests of each client, one after the other on its connection.
const REQUESTS: usize = 3;
const PAUSE: Pause = Pause {
    after_bytes: 200_000,
    lasts: Duration::from_millis(500),
};
/// Cut requests that the rule allows.
const ALLOWED_CUTS: usize = 3;

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    store.put("op/config", &configuration());
    for zone in ["z1", "z2"] {
        let behavior = Behavior {
            slots: 4,
            queue: 8,
            work: Duration::from_millis(110),
            answer_bytes: ANSWER_BYTES,
            repeats_rejections: false,
        };
        let id = format!("i-extract-{zone}");
        Upstream::start(&store, record, &id, "extract", zone, false, behavior)?;
    }
    let routers = routers::start(&setting.program, &setting.temporary, &store, 2)?;
    if !routers
        .iter()
        .all(|router| router.wait_until_ready(Duration::from_secs(15)))
    {
        return Ok(Verdict::NotRun("a router did not become ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, trouble) = (record.clone(), setting.trouble);
            let router = routers[number % routers.len()].clients;
            thread::spawn(move || {
                let Ok(mut reader) = SlowReader::connect(router, MEDIUM_BYTES_PER_S) else {
                    return Vec::new();
                };
                if trouble {
                    reader.set_pause(PAUSE);
                }
                let mut exchanges: Vec<Exchange> = Vec::new();
                for request in 0..REQUESTS {
                    let id = format!("client{number}-{request}");
                    exchanges.push(exchange(&record, &mut reader, &id));
                    let last = exchanges.last().map(|last| &last.outcome);
                    if !last.is_some_and(Outcome::is_success) {
                        break;
                    }
                }
                exchanges
            })
        })
        .collect();
    let exchanges = clients.into_iter().filter_map(|client| client.join().ok());
    let exchanges: Vec<Exchange> = exchanges.flatten().collect();
    let whole = exchanges
        .iter()
        .filter(|one| one.outcome.is_success())
        .count();
    let cut = |one: &&Exchange| matches!(one.outcome, Outcome::Cut { .. });
    let cut = exchanges.iter().filter(cut).count();
    record.say(format!(
        "{} requests, {whole} answered whole, {cut} cut",
        exchanges.len()
    ));
    match (cut > ALLOWED_CUTS, whole) {
        (true, _) => Ok(Verdict::Broken),
        (false, 0) => Ok(Verdict::NotRun("no whole answer".to_owned())),
        (false, _) => Ok(Verdict::Held),
    }
}
