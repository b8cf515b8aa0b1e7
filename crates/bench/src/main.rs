//! `beamtray-bench`: an open-loop load generator that compares routed and direct requests
//! on loopback.
//!
//! Each request has a scheduled start time that does not depend on earlier
//! requests. Latency is measured from that time, which corrects for coordinated
//! omission. `tools/bench` starts the processes and runs this program.

use beamtray_control::{OperatorAnswer, OperatorRequest};
use beamtray_http::{ClientConfig, HttpCall, HttpClient};
use beamtray_node::client::send_operator_request;
use beamtray_settings::{Declaration, Division};
use beamtray_types::{KeyHash, ServiceName};
use eyre::{Result, bail, eyre};
use gumdrop::Options;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const KEYS: u64 = 2_000;
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Kernel clock ticks per second, the unit of processor time in `/proc`.
const CLOCK_TICKS: f64 = 100.0;
const PAGE_KIB: u64 = 4;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "a node's address for callers", no_short, required)]
    callers: Option<SocketAddr>,
    #[options(help = "a node's address for operators", no_short, required)]
    operators: Option<SocketAddr>,
    #[options(help = "declaration in force", no_short, meta = "FILE", required)]
    declaration: String,
    #[options(help = "requests per second", no_short, default = "6200")]
    rate: u64,
    #[options(help = "length of each part, in seconds", no_short, default = "10")]
    seconds: u64,
    #[options(help = "threads that call", no_short, default = "64")]
    threads: u64,
    #[options(
        help = "process of the node, for its memory and processor time",
        no_short
    )]
    pid: Option<u32>,
}

/// A request that the benchmark repeats.
#[derive(Clone, Debug)]
struct Target {
    url: String,
    fence: Option<String>,
}

/// Measurements of one part of the benchmark.
struct RunResult {
    latency: Histogram<u64>,
    failures: u64,
    elapsed: Duration,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let declaration = Declaration::load(&arguments.declaration)?;
    let (Some(callers), Some(operators)) = (arguments.callers, arguments.operators) else {
        bail!("--callers and --operators are needed");
    };
    let keyed = declaration
        .services
        .iter()
        .find(|service| service.division == Division::Keyed)
        .ok_or_else(|| eyre!("the declaration has no keyed service"))?;
    let routed: Vec<Target> = (0..KEYS)
        .map(|key| Target {
            url: format!("http://{callers}/{}/key-{key}/balance", keyed.name),
            fence: None,
        })
        .collect();
    let direct = direct_targets(&declaration, &keyed.name, operators)?;

    let idle = process_usage(arguments.pid);
    thread::sleep(Duration::from_secs(arguments.seconds));
    report_usage(
        "idle node",
        idle,
        process_usage(arguments.pid),
        arguments.seconds,
    );
    let before = process_usage(arguments.pid);
    let routed = run(&arguments, &routed)?;
    report_usage(
        "loaded node",
        before,
        process_usage(arguments.pid),
        arguments.seconds,
    );
    let direct = run(&arguments, &direct)?;
    report("routed", &routed);
    report("direct", &direct);
    let ratio = |quantile| {
        let of = |outcome: &RunResult| outcome.latency.value_at_quantile(quantile) as f64;
        of(&routed) / of(&direct).max(1.0)
    };
    println!(
        "routed/direct: p50 {:.2} p99 {:.2}",
        ratio(0.5),
        ratio(0.99)
    );
    Ok(())
}

/// Returns the same keys addressed directly to their owners, with the fence that the routing
/// node would send.
fn direct_targets(
    declaration: &Declaration,
    service: &ServiceName,
    operators: SocketAddr,
) -> Result<Vec<Target>> {
    let request = OperatorRequest::Assignments {
        service: service.clone(),
        key: None,
    };
    let OperatorAnswer::Assignments(rows) = send_operator_request(operators, &request)? else {
        bail!("{service}: no assignments");
    };
    let mut owners = BTreeMap::new();
    for row in rows {
        let first = row.slice.split('-').next().unwrap_or_default();
        let first = u64::from_str_radix(first, 16)?;
        owners.insert(first, (row.server.unwrap_or_default(), row.fence));
    }
    (0..KEYS)
        .map(|key| {
            let name = format!("key-{key}");
            let (_, (server, fence)) = owners
                .range(..=KeyHash::of(&name).0)
                .next_back()
                .ok_or_else(|| eyre!("{name} has no slice"))?;
            let (_, declared) = declaration
                .server(&server.as_str().into())
                .ok_or_else(|| eyre!("{server} is not declared"))?;
            Ok(Target {
                url: format!("http://{}/{service}/{name}/balance", declared.address),
                fence: fence.clone(),
            })
        })
        .collect()
}

fn run(arguments: &Arguments, targets: &[Target]) -> Result<RunResult> {
    let client = HttpClient::new(ClientConfig {
        idle_connections: arguments.threads as usize,
        max_body_bytes: MAX_RESPONSE_BYTES,
        connect_timeout: Duration::from_secs(1),
    });
    let total = arguments.rate * arguments.seconds;
    let interval = Duration::from_secs(1).div_f64(arguments.rate as f64);
    let next = AtomicU64::new(0);
    let start = Instant::now();
    let work = || -> Result<(Histogram<u64>, u64)> {
        let mut latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?;
        let mut failures = 0;
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= total {
                return Ok((latency, failures));
            }
            let due = start + interval.mul_f64(number as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let target = &targets[(number * 7 % targets.len() as u64) as usize];
            failures += u64::from(!call(&client, target));
            let elapsed = due.elapsed().as_micros() as u64;
            latency.saturating_record(elapsed.max(1));
        }
    };
    let mut all = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?;
    let mut failures = 0;
    thread::scope(|scope| -> Result<()> {
        let workers: Vec<_> = (0..arguments.threads).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            let (latency, failed) = worker.join().map_err(|_| eyre!("a caller panicked"))??;
            all.add(latency)?;
            failures += failed;
        }
        Ok(())
    })?;
    Ok(RunResult {
        latency: all,
        failures,
        elapsed: start.elapsed(),
    })
}

fn call(client: &HttpClient, target: &Target) -> bool {
    let headers: Vec<(&str, String)> = target
        .fence
        .iter()
        .map(|fence| ("beamtray-fence", fence.clone()))
        .collect();
    let call = HttpCall {
        method: "GET",
        url: &target.url,
        headers: &headers,
        body: &[],
        timeout: TIMEOUT,
        fresh_connection: false,
    };
    client.call(&call).is_ok_and(|reply| reply.status == 200)
}

fn report(name: &str, outcome: &RunResult) {
    let millis = |quantile| outcome.latency.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name}: {:.0} requests/s, {} failed, p50 {:.2} ms p99 {:.2} ms p99.9 {:.2} ms max {:.2} ms",
        outcome.latency.len() as f64 / outcome.elapsed.as_secs_f64(),
        outcome.failures,
        millis(0.5),
        millis(0.99),
        millis(0.999),
        outcome.latency.max() as f64 / 1_000.0,
    );
}

/// Returns the processor seconds used and the resident memory in KiB of a process.
fn process_usage(pid: Option<u32>) -> Option<(f64, u64)> {
    let pid = pid?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let memory = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = memory.split(' ').nth(1)?.parse().ok()?;
    Some((ticks / CLOCK_TICKS, pages * PAGE_KIB))
}

fn report_usage(name: &str, before: Option<(f64, u64)>, after: Option<(f64, u64)>, seconds: u64) {
    if let (Some((from, _)), Some((to, kib))) = (before, after) {
        println!(
            "{name}: {:.2}% of a core, {:.1} MB resident",
            (to - from) / seconds as f64 * 100.0,
            kib as f64 / 1_024.0
        );
    }
}
