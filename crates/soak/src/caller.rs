//! The callers' process: requests at a steady rate to all routers.

use crate::bodies;
use crate::channel::{Reporter, connect};
use crate::config::{CALLER_TIMEOUT, HOST, ORDER, PROBE, READ};
use crate::message::{CallerEnd, Command, Observation};
use crate::pool::Pool;
use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Of a hundred requests, how many read by key; the others may not be repeated.
const READ_PERCENT: u32 = 65;
/// Of a hundred requests, how many are probes.
const PROBE_PERCENT: u32 = 8;
/// Of a hundred reads, how many are left by their callers early.
const CANCELLED_PERCENT: u32 = 6;
/// When those leave.
const CANCEL_AFTER: Duration = Duration::from_millis(60);
/// Work of those, so that it lasts longer than the caller stays.
const LONG_WORK_MS: u64 = 1_200;
/// Share of reads that go to one key, in percent.
const HOT_KEY_PERCENT: u32 = 20;
/// Bytes of the body of a request that may not be repeated.
const ORDER_BYTES: usize = 300;

/// Settings of the callers' process.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The routers.
    pub routers: Vec<SocketAddr>,
    /// The driver.
    pub driver: SocketAddr,
    /// Requests a second.
    pub rate: u32,
    /// Seed of what is drawn.
    pub seed: u64,
}

struct PlannedRequest {
    id: String,
    node: usize,
    address: SocketAddr,
    path: String,
    key: Option<u16>,
    repeatable: bool,
    leaves: bool,
}

/// Sends requests until it is told to end.
///
/// # Errors
/// When the driver can't be reached.
pub async fn run(settings: CallerSettings) -> Result<()> {
    let (reporter, mut commands) = connect(settings.driver, "caller").await?;
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let probed = Rc::new(Cell::new(0u64));
    let pool = Pool::default();
    let mut begun = false;
    let pause = Duration::from_secs(1) / settings.rate.max(1);
    let mut ticks = tokio::time::interval(pause);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::StartTraffic) => begun = true,
                Some(Command::Probe(version)) => probed.set(version),
                Some(Command::StopTraffic) | None => break,
                Some(_) => {}
            },
            _ = ticks.tick(), if begun => {
                let planned = draw(&mut random, &settings, probed.get());
                tokio::task::spawn_local(send_and_report(reporter.clone(), pool.clone(), planned));
            }
        }
    }
    tokio::time::sleep(CALLER_TIMEOUT * 2).await;
    Ok(())
}

fn draw(random: &mut ChaCha8Rng, settings: &CallerSettings, probed: u64) -> PlannedRequest {
    let node = random.random_range(0..settings.routers.len());
    // Runs that play the same seed at the same time must not take each other's for theirs.
    let id = format!("{:016x}-{}", random.random::<u64>(), std::process::id());
    let work: u64 = random.random_range(5..60);
    let kind = random.random_range(0..100);
    let address = settings.routers[node];
    let mut planned = PlannedRequest {
        id,
        node,
        address,
        path: format!("{ORDER}{work}"),
        key: None,
        repeatable: false,
        leaves: false,
    };
    if kind < PROBE_PERCENT {
        // The newest version's own route, and the one before, which is gone.
        let version = probed.saturating_sub(u64::from(random.random_bool(0.3)));
        planned.path = format!("{PROBE}{version}/{work}");
        planned.repeatable = true;
    } else if kind < PROBE_PERCENT + READ_PERCENT {
        let key = match random.random_range(0..100) < HOT_KEY_PERCENT {
            true => 7,
            false => random.random_range(0..=u16::MAX),
        };
        planned.leaves = random.random_range(0..100) < CANCELLED_PERCENT;
        let work = if planned.leaves { LONG_WORK_MS } else { work };
        planned.path = format!("{READ}{key}/{work}");
        planned.key = Some(key);
        planned.repeatable = true;
    }
    planned
}

async fn send_and_report(reporter: Reporter, pool: Pool, planned: PlannedRequest) {
    reporter.report(Observation::RequestSent {
        id: planned.id.clone(),
        node: planned.node,
        path: planned.path.clone(),
        repeatable: planned.repeatable,
    });
    let (patience, late) = if planned.leaves {
        (CANCEL_AFTER, CallerEnd::Cancelled)
    } else {
        (CALLER_TIMEOUT, CallerEnd::TimedOut)
    };
    let end = timeout(patience, exchange(&pool, &planned))
        .await
        .unwrap_or(late);
    let id = planned.id;
    reporter.report(Observation::RequestEnded { id, end });
}

async fn exchange(pool: &Pool, planned: &PlannedRequest) -> CallerEnd {
    let Some(mut connection) = pool.take(planned.address).await else {
        return CallerEnd::NotSent;
    };
    let Some(request) = request(planned) else {
        return CallerEnd::NotSent;
    };
    match connection.try_send_request(request).await {
        Ok(response) => {
            let end = classify_response(planned, response).await;
            if end != CallerEnd::Disconnected && connection.ready().await.is_ok() {
                pool.keep(planned.address, connection);
            }
            end
        }
        // It crossed the router's close.
        Err(mut error) => match error.take_message() {
            Some(_) => CallerEnd::NotSent,
            None => CallerEnd::Disconnected,
        },
    }
}

fn request(planned: &PlannedRequest) -> Option<Request<Full<Bytes>>> {
    let names = Platform.headers();
    let (method, body) = match planned.repeatable {
        true => (Method::GET, Bytes::new()),
        false => (Method::POST, Bytes::from(vec![b'o'; ORDER_BYTES])),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(&planned.path)
        .header(hyper::header::HOST, HOST)
        .header(names.request_id, &planned.id)
        .header(names.deadline_ms, CALLER_TIMEOUT.as_millis().to_string());
    if let Some(key) = planned.key {
        builder = builder.header(names.shard_key, key.to_string());
    }
    builder.body(Full::new(body)).ok()
}

async fn classify_response(planned: &PlannedRequest, response: Response<Incoming>) -> CallerEnd {
    let names = Platform.headers();
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return CallerEnd::Disconnected;
    };
    let body = body.to_bytes();
    let signature = head.headers.get(names.signature);
    let signed = signature.is_some_and(|value| *value == bodies::signature(&body));
    CallerEnd::Answered {
        status: head.status.as_u16(),
        signed,
        sound: bodies::answers(&planned.id, &body),
    }
}
