//! The callers' process: requests at a steady rate to all routers.

use crate::bodies;
use crate::channel::{Reporter, connect};
use crate::config::{HOST, ORDER, PATIENCE, PROBE, READ};
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
const READS: u32 = 65;
/// Of a hundred requests, how many are probes.
const PROBES: u32 = 8;
/// Of a hundred reads, how many are left by their callers early.
const LEFT_EARLY: u32 = 6;
/// When those leave.
const LEAVE_AFTER: Duration = Duration::from_millis(60);
/// Work of those, so that it lasts longer than the caller stays.
const LONG_WORK_MS: u64 = 1_200;
/// Share of reads that go to one key, in percent.
const HOT: u32 = 20;
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

struct Asking {
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
                Some(Command::Begin) => begun = true,
                Some(Command::Probe(version)) => probed.set(version),
                Some(Command::End) | None => break,
                Some(_) => {}
            },
            _ = ticks.tick(), if begun => {
                let asking = draw(&mut random, &settings, probed.get());
                tokio::task::spawn_local(ask(reporter.clone(), pool.clone(), asking));
            }
        }
    }
    tokio::time::sleep(PATIENCE * 2).await;
    Ok(())
}

fn draw(random: &mut ChaCha8Rng, settings: &CallerSettings, probed: u64) -> Asking {
    let node = random.random_range(0..settings.routers.len());
    // Runs that play the same seed at the same time must not take each other's for theirs.
    let id = format!("{:016x}-{}", random.random::<u64>(), std::process::id());
    let work: u64 = random.random_range(5..60);
    let kind = random.random_range(0..100);
    let address = settings.routers[node];
    let mut asking = Asking {
        id,
        node,
        address,
        path: format!("{ORDER}{work}"),
        key: None,
        repeatable: false,
        leaves: false,
    };
    if kind < PROBES {
        // The newest version's own route, and the one before, which is gone.
        let version = probed.saturating_sub(u64::from(random.random_bool(0.3)));
        asking.path = format!("{PROBE}{version}/{work}");
        asking.repeatable = true;
    } else if kind < PROBES + READS {
        let key = match random.random_range(0..100) < HOT {
            true => 7,
            false => random.random_range(0..=u16::MAX),
        };
        asking.leaves = random.random_range(0..100) < LEFT_EARLY;
        let work = if asking.leaves { LONG_WORK_MS } else { work };
        asking.path = format!("{READ}{key}/{work}");
        asking.key = Some(key);
        asking.repeatable = true;
    }
    asking
}

async fn ask(reporter: Reporter, pool: Pool, asking: Asking) {
    reporter.tell(Observation::Asked {
        id: asking.id.clone(),
        node: asking.node,
        path: asking.path.clone(),
        repeatable: asking.repeatable,
    });
    let (patience, late) = if asking.leaves {
        (LEAVE_AFTER, CallerEnd::Left)
    } else {
        (PATIENCE, CallerEnd::TimedOut)
    };
    let end = timeout(patience, exchange(&pool, &asking))
        .await
        .unwrap_or(late);
    let id = asking.id;
    reporter.tell(Observation::Ended { id, end });
}

async fn exchange(pool: &Pool, asking: &Asking) -> CallerEnd {
    let Some(mut connection) = pool.take(asking.address).await else {
        return CallerEnd::Unsent;
    };
    let Some(request) = request(asking) else {
        return CallerEnd::Unsent;
    };
    match connection.try_send_request(request).await {
        Ok(response) => {
            let end = judge(asking, response).await;
            if end != CallerEnd::BrokenOff && connection.ready().await.is_ok() {
                pool.keep(asking.address, connection);
            }
            end
        }
        // It crossed the router's close.
        Err(mut error) => match error.take_message() {
            Some(_) => CallerEnd::Unsent,
            None => CallerEnd::BrokenOff,
        },
    }
}

fn request(asking: &Asking) -> Option<Request<Full<Bytes>>> {
    let names = Platform.headers();
    let (method, body) = match asking.repeatable {
        true => (Method::GET, Bytes::new()),
        false => (Method::POST, Bytes::from(vec![b'o'; ORDER_BYTES])),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(&asking.path)
        .header(hyper::header::HOST, HOST)
        .header(names.request_id, &asking.id)
        .header(names.deadline_ms, PATIENCE.as_millis().to_string());
    if let Some(key) = asking.key {
        builder = builder.header(names.shard_key, key.to_string());
    }
    builder.body(Full::new(body)).ok()
}

async fn judge(asking: &Asking, response: Response<Incoming>) -> CallerEnd {
    let names = Platform.headers();
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return CallerEnd::BrokenOff;
    };
    let body = body.to_bytes();
    let signature = head.headers.get(names.signature);
    let signed = signature.is_some_and(|value| *value == bodies::signature(&body));
    CallerEnd::Answered {
        status: head.status.as_u16(),
        signed,
        sound: bodies::answers(&asking.id, &body),
    }
}
