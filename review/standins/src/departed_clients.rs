//! Clients of requests that may run once only leave before their deadline, while the path to one
//! upstream after the other is cut. Later, one upstream is taken away as planned.

use crate::client::{self, Outcome, Request};
use crate::gate::Gate;
use crate::routers;
use crate::store::Store;
use crate::upstream::{Behavior, Upstream};
use crate::{Setting, Verdict};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DAY: Duration = Duration::from_secs(75);
/// Requests of each kind per second, all day.
const ORDERS_PER_S: f64 = 60.0;
const VIEWS_PER_S: f64 = 10.0;
/// The time in which clients leave and paths are cut.
const TROUBLE_FROM: Duration = Duration::from_secs(4);
const TROUBLE_UNTIL: Duration = Duration::from_secs(34);
/// How long one path is cut, and the pause before the next.
const CUT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(400);
/// Of ten clients so many leave in that time, within [`LEAVE_WITHIN`].
const LEAVING_OF_TEN: usize = 6;
/// Half of the objective.
const LEAVE_WITHIN: Duration = Duration::from_millis(300);
const LEAVE_STEPS: u32 = 6;
/// Requests from which on the rule applies.
const LEAST_REQUESTS: usize = 20;
/// When an upstream drains, which it does with and without the disruption.
const LEAVES_AT: Duration = Duration::from_secs(40);
/// From here on all of that is over for longer than all bounds of the rules.
const CALM_FROM: Duration = Duration::from_secs(50);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// May run once only.
    Order,
    /// May be repeated.
    View,
}

struct Ending {
    kind: Kind,
    at: Duration,
    outcome: Outcome,
}

pub fn run(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    store.put("op/config", &configuration(1, &[VIEWS]));
    let start = |proxy, id: String, service: &str, zone: &str, slots, work| {
        let behavior = Behavior {
            slots,
            queue: 8,
            work: Duration::from_millis(work),
            answer_bytes: 400,
            repeats_rejections: false,
        };
        Upstream::start_behind(proxy, &store, record, &id, service, zone, false, behavior)
    };
    let mut orders = Vec::new();
    let mut gates = Vec::new();
    for zone in ["z1", "z2", "z1"] {
        let id = format!("i-orders-{}", orders.len() + 1);
        let (gate, target) = Gate::start()?;
        let upstream = start(Some(gate.address), id, "orders", zone, 4, 60)?;
        target.connect_to(upstream.address);
        orders.push(upstream);
        gates.push(gate);
    }
    for zone in ["z1", "z2"] {
        start(None, format!("i-views-{zone}"), "views", zone, 4, 50)?;
    }
    let routers = routers::start(&setting.program, &setting.temporary, &store, 2)?;
    if !routers
        .iter()
        .all(|router| router.wait_until_ready(Duration::from_secs(15)))
    {
        return Ok(Verdict::NotRun("a router did not become ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(2));
    store.put("op/config", &configuration(2, &[VIEWS, ORDERS]));
    record.line("the operator adds the route of the orders");
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.clients).collect();
    let cutter = setting.trouble.then(|| {
        let record = record.clone();
        thread::spawn(move || cut_in_turn(&record, &gates))
    });
    let leaver = {
        let (store, orders) = (store.clone(), orders.clone());
        thread::spawn(move || take_away_busiest(&store, &orders))
    };
    let endings = play(setting, &addresses);
    let _ = leaver.join();
    if let Some(cutter) = cutter {
        let _ = cutter.join();
    }
    for upstream in &orders {
        let (arrived, rejected) = upstream.counts();
        record.say(format!(
            "{}: {arrived} arrived, {rejected} rejected, {} in it at the end",
            upstream.id,
            upstream.load_now()
        ));
    }
    for (number, router) in routers.iter().enumerate() {
        for line in router.figures(&["under_way", "slots_in_use"]) {
            record.say(format!("router {}: {line}", number + 1));
        }
    }
    Ok(judge(setting, &endings))
}

/// A route and its service.
#[derive(Clone, Copy)]
struct RouteText {
    service: &'static str,
    host: &'static str,
    path_prefix: &'static str,
    route_type: &'static str,
    timeout_ms: u32,
    target_latency_ms: u32,
}

const VIEWS: RouteText = RouteText {
    service: "views",
    host: "views.example",
    path_prefix: "/view/",
    route_type: "safe",
    timeout_ms: 1_000,
    target_latency_ms: 500,
};
const ORDERS: RouteText = RouteText {
    service: "orders",
    host: "orders.example",
    path_prefix: "/order/",
    route_type: "unsafe",
    timeout_ms: 1_200,
    target_latency_ms: 600,
};

fn configuration(version: u32, routes: &[RouteText]) -> Value {
    let services = routes.iter().map(|route| {
        json!({ "name": route.service, "healthCheckPath": "/health", "maxConnections": 110 })
    });
    let routes = routes.iter().map(|route| {
        json!({
            "name": format!("r-{}", route.service), "host": route.host,
            "pathPrefix": route.path_prefix, "routeType": route.route_type,
            "timeoutMs": route.timeout_ms, "targetLatencyMs": route.target_latency_ms,
            "priority": 1, "service": route.service, "maxAttempts": 2,
        })
    });
    json!({
        "version": format!("{version:08x}"),
        "routes": routes.collect::<Vec<Value>>(),
        "services": services.collect::<Vec<Value>>(),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    })
}

/// Drains the upstream that has had most requests and takes it away, as planned work. The others
/// have room for all requests.
fn take_away_busiest(store: &Store, upstreams: &[Upstream]) {
    thread::sleep(LEAVES_AT);
    let busiest = upstreams.iter().max_by_key(|upstream| upstream.counts().0);
    if let Some(busiest) = busiest {
        busiest.leave(store);
    }
}

/// Cuts the path to one upstream after the other.
fn cut_in_turn(record: &crate::record::Record, gates: &[Gate]) {
    let start = Instant::now();
    thread::sleep(TROUBLE_FROM);
    for gate in gates.iter().cycle() {
        if start.elapsed() + CUT > TROUBLE_UNTIL {
            return;
        }
        record.line(format!("the path to {} is cut", gate.address));
        gate.close();
        thread::sleep(CUT);
        gate.open();
        record.line(format!("the path to {} is whole", gate.address));
        thread::sleep(PAUSE);
    }
}

/// Sends the requests of the day and collects how they ended.
fn play(setting: &Setting, routers: &[SocketAddr]) -> Vec<Ending> {
    let mut plan: Vec<(Duration, Kind, Option<Duration>)> = Vec::new();
    for (kind, per_s) in [(Kind::Order, ORDERS_PER_S), (Kind::View, VIEWS_PER_S)] {
        for number in 0..(DAY.as_secs_f64() * per_s) as usize {
            let at = Duration::from_secs_f64(number as f64 / per_s);
            let in_trouble = at >= TROUBLE_FROM && at < TROUBLE_UNTIL;
            let is_leaving = kind == Kind::Order && number % 10 < LEAVING_OF_TEN;
            let leaves = setting.trouble && in_trouble && is_leaving;
            let step = number as u32 % LEAVE_STEPS + 1;
            let patience = leaves.then_some(LEAVE_WITHIN * step / LEAVE_STEPS);
            plan.push((at, kind, patience));
        }
    }
    plan.sort_by_key(|(at, ..)| *at);
    let start = Instant::now();
    let mut clients: Vec<JoinHandle<Ending>> = Vec::new();
    for (number, (at, kind, patience)) in plan.into_iter().enumerate() {
        thread::sleep(at.saturating_sub(start.elapsed()));
        let routers = [routers[number % 2], routers[(number + 1) % 2]];
        let record = setting.record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("{number:06}");
            let outcome = ask(&record, routers, kind, &id, patience);
            Ending { kind, at, outcome }
        }));
    }
    let endings = clients.into_iter().filter_map(|client| client.join().ok());
    endings.collect()
}

/// Sends a request, and once more, to the other router, after a failure that allows it.
fn ask(
    record: &crate::record::Record,
    routers: [SocketAddr; 2],
    kind: Kind,
    id: &str,
    patience: Option<Duration>,
) -> Outcome {
    let began = Instant::now();
    let deadline = match kind {
        Kind::Order => Duration::from_millis(2_500),
        Kind::View => Duration::from_millis(2_000),
    };
    let first = exchange(
        record,
        routers[0],
        kind,
        &format!("{id}-1"),
        deadline,
        patience,
    );
    let may_repeat = match kind {
        Kind::Order => first.is_promise(),
        Kind::View => !first.is_success(),
    };
    if !may_repeat || patience.is_some() {
        return first;
    }
    let left = deadline.saturating_sub(began.elapsed());
    let pause = match first {
        Outcome::Answer { retry_after, .. } => retry_after.unwrap_or_default().min(left / 3),
        _ => Duration::ZERO,
    };
    thread::sleep(pause);
    let left = deadline.saturating_sub(began.elapsed());
    if left.is_zero() {
        return first;
    }
    exchange(record, routers[1], kind, &format!("{id}-2"), left, None)
}

fn exchange(
    record: &crate::record::Record,
    router: SocketAddr,
    kind: Kind,
    id: &str,
    deadline: Duration,
    patience: Option<Duration>,
) -> Outcome {
    let (method, route) = match kind {
        Kind::Order => ("POST", ORDERS),
        Kind::View => ("GET", VIEWS),
    };
    let request = Request {
        id: id.to_owned(),
        method,
        host: route.host,
        path: format!("{}{id}", route.path_prefix),
        key: None,
        deadline,
        body: match kind {
            Kind::Order => format!("order {id}").into_bytes(),
            Kind::View => Vec::new(),
        },
    };
    record.line(format!("client sends {id}"));
    let outcome = client::send(router, &request, patience);
    record.line(format!("client has for {id}: {outcome:?}"));
    outcome
}

/// Share of the requests that were served, of those that the client did not give up early.
fn served_share<'a>(endings: impl Iterator<Item = &'a Ending>) -> (usize, usize, f64) {
    let owed: Vec<&Ending> = endings
        .filter(|ending| ending.outcome != Outcome::Left)
        .collect();
    let served = owed.iter().filter(|ending| ending.outcome.is_success());
    let served = served.count();
    (served, owed.len(), served as f64 / owed.len().max(1) as f64)
}

/// The rule: in steady state, routes that were added later get 20 requests or more and are served
/// less than a quarter as often as the first ones.
fn judge(setting: &Setting, endings: &[Ending]) -> Verdict {
    let record = &setting.record;
    let of_kind = |kind, from| {
        let of_kind = endings.iter().filter(move |ending| ending.kind == kind);
        served_share(of_kind.filter(move |ending| ending.at >= from))
    };
    for (name, from) in [
        ("over the day", Duration::ZERO),
        ("in steady state", CALM_FROM),
    ] {
        for kind in [Kind::Order, Kind::View] {
            let (served, owed, share) = of_kind(kind, from);
            record.say(format!(
                "{kind:?}: {served} of {owed} served {name} ({share:.3})"
            ));
        }
    }
    let (_, owed, later) = of_kind(Kind::Order, CALM_FROM);
    let (_, _, first) = of_kind(Kind::View, CALM_FROM);
    if owed < LEAST_REQUESTS || first == 0.0 {
        return Verdict::NotRun("too few requests, or none served on the first route".to_owned());
    }
    match later < first / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
