//! The caller process, which sends requests to all routers at a constant rate.

use crate::bodies;
use crate::channel::{Reporter, connect};
use crate::config::{CALLER_TIMEOUT, HOST, LOOK, ORDER, PROBE, READ, TRANSFER};
use crate::load::{KEYED_PERCENT, LOOKUP_PERCENT, MeanWork, POOL_PERCENT};
use crate::message::{CallerEnd, Command, Observation};
use crate::pool::Pool;
use crate::tenants::Identity;
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
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Percentage of requests that read by key. Requests that are neither reads nor probes must
/// not be retried.
const READ_PERCENT: u32 = 65;
/// Percentage of requests that probe the configuration.
const PROBE_PERCENT: u32 = 8;
/// Percentage of reads that are cancelled early.
const CANCELLED_PERCENT: u32 = 6;
/// Time after which these reads are cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(60);
/// Work of these reads, long enough to outlast the caller.
const LONG_WORK_MS: u64 = 1_200;
/// Percentage of reads that go to a single hot key.
const HOT_KEY_PERCENT: u32 = 20;
/// The hot key.
const HOT_KEY: u16 = 7;
/// Percentage of requests that must not be retried that have a key, if any has one.
const TRANSFER_PERCENT: u32 = 70;
/// Body size of a request that must not be retried.
const ORDER_BYTES: usize = 300;

/// Retries of most callers of a loaded run.
const RETRIES: u32 = 1;
/// Percentage of callers that retry at once and more often.
const IMPATIENT_PERCENT: u32 = 20;
/// Retries of these callers.
const IMPATIENT_RETRIES: u32 = 4;
/// Callers wait as told for up to this part of the time that they have left.
const RETRY_AFTER_SHARE: u32 = 3;

/// Tenant that all callers state.
const FORGED_TENANT: &str = "somebody-else";

/// Settings of the caller process.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// Address of the driver.
    pub driver: SocketAddr,
    /// Requests per second.
    pub rate: u32,
    /// Seed of the request generator.
    pub seed: u64,
    /// Mean execution times, if the load is high; callers then retry.
    pub work: Option<MeanWork>,
    /// Whether some of the requests that must not be retried have keys.
    pub transfers: bool,
}

struct PlannedRequest {
    id: String,
    node: usize,
    address: SocketAddr,
    path: String,
    key: Option<u16>,
    repeatable: bool,
    leaves: bool,
    identity: Identity,
}

/// Sends requests until the driver stops it.
///
/// # Errors
/// When the driver can't be reached.
pub async fn run(settings: CallerSettings) -> Result<()> {
    let (reporter, mut commands) = connect(settings.driver, "caller").await?;
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    // Drawn apart, so that a seed draws the same requests whoever sends them.
    let mut senders = ChaCha8Rng::seed_from_u64(!settings.seed);
    // Drawn apart for the same reason.
    let mut transfers = ChaCha8Rng::seed_from_u64(settings.seed ^ 0x7247);
    let probed = Rc::new(Cell::new(0u64));
    let pool = Pool::default();
    let mut begun = false;
    let pause = Duration::from_secs(1) / settings.rate.max(1);
    let mut ticks = tokio::time::interval(pause);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::StartTraffic) => {
                    begun = true;
                    if settings.work.is_some() || settings.transfers {
                        // Ticks from before would all be due at once.
                        ticks.reset();
                    }
                }
                Some(Command::Probe(version)) => probed.set(version),
                Some(Command::StopTraffic) => begun = false,
                Some(Command::Flush) => reporter.report(Observation::Flushed),
                Some(_) => {}
                None => return Ok(()),
            },
            _ = ticks.tick(), if begun => {
                let sender = Sender { reporter: reporter.clone(), pool: pool.clone() };
                match settings.work {
                    Some(work) => {
                        let planned = draw_loaded(&mut random, &settings, probed.get(), work);
                        let routers = settings.routers.clone();
                        tokio::task::spawn_local(sender.send_with_retries(planned, routers));
                    }
                    None => {
                        let mut planned = draw(&mut random, &settings, probed.get());
                        if settings.transfers && !planned.repeatable {
                            make_transfer(&mut transfers, &mut planned);
                        }
                        planned.identity = Identity::draw(&mut senders, probed.get());
                        tokio::task::spawn_local(sender.send_once(planned));
                    }
                }
            }
        }
    }
}

/// Draws a request of a loaded run: anonymous, not cancelled, with a key spread evenly but for
/// the hot one.
fn draw_loaded(
    random: &mut ChaCha8Rng,
    settings: &CallerSettings,
    probed: u64,
    work: MeanWork,
) -> PlannedRequest {
    let mut planned = draw(random, settings, probed);
    planned.leaves = false;
    planned.key = None;
    planned.repeatable = true;
    let percent = random.random_range(50..150);
    let kind = random.random_range(0..100);
    if kind < KEYED_PERCENT {
        let key = random.random_range(0..=u16::MAX);
        planned.key = Some(key);
        planned.path = format!("{READ}{key}/{}", work.keyed * percent / 100);
    } else if kind < KEYED_PERCENT + LOOKUP_PERCENT {
        planned.path = format!("{LOOK}{}", work.lookup * percent / 100);
    } else if kind < KEYED_PERCENT + LOOKUP_PERCENT + POOL_PERCENT {
        planned.path = format!("{ORDER}{}", work.pool * percent / 100);
        planned.repeatable = false;
    } else {
        planned.path = format!("{PROBE}{probed}/{}", work.pool * percent / 100);
    }
    planned
}

/// Gives most requests that must not be retried a key.
fn make_transfer(random: &mut ChaCha8Rng, planned: &mut PlannedRequest) {
    if random.random_range(0..100) >= TRANSFER_PERCENT {
        return;
    }
    let key = draw_key(random);
    let work: u64 = random.random_range(5..60);
    planned.path = format!("{TRANSFER}{key}/{work}");
    planned.key = Some(key);
}

fn draw_key(random: &mut ChaCha8Rng) -> u16 {
    match random.random_range(0..100) < HOT_KEY_PERCENT {
        true => HOT_KEY,
        false => random.random_range(0..=u16::MAX),
    }
}

fn draw(random: &mut ChaCha8Rng, settings: &CallerSettings, probed: u64) -> PlannedRequest {
    let node = random.random_range(0..settings.routers.len());
    // The process id keeps concurrent runs of the same seed from using the same request ids.
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
        identity: Identity::Anonymous,
    };
    if kind < PROBE_PERCENT {
        // Probes the route of the newest version, or that of the previous one, which is removed.
        let version = probed.saturating_sub(u64::from(random.random_bool(0.3)));
        planned.path = format!("{PROBE}{version}/{work}");
        planned.repeatable = true;
    } else if kind < PROBE_PERCENT + READ_PERCENT {
        let key = draw_key(random);
        planned.leaves = random.random_range(0..100) < CANCELLED_PERCENT;
        let work = if planned.leaves { LONG_WORK_MS } else { work };
        planned.path = format!("{READ}{key}/{work}");
        planned.key = Some(key);
        planned.repeatable = true;
    }
    planned
}

/// How a request ended, and when the router asked the caller to come back.
struct Outcome {
    end: CallerEnd,
    retry_after: Option<Duration>,
}

impl From<CallerEnd> for Outcome {
    fn from(end: CallerEnd) -> Self {
        Self {
            end,
            retry_after: None,
        }
    }
}

struct Sender {
    reporter: Reporter,
    pool: Pool,
}

impl Sender {
    async fn send_once(self, planned: PlannedRequest) {
        self.send(&planned, CALLER_TIMEOUT).await;
    }

    /// Retries a failed request within its deadline: most callers once and as told, some at once
    /// and more often.
    async fn send_with_retries(self, planned: PlannedRequest, routers: Vec<SocketAddr>) {
        let is_patient = rand::rng().random_range(0..100) >= IMPATIENT_PERCENT;
        let retries = if is_patient {
            RETRIES
        } else {
            IMPATIENT_RETRIES
        };
        let deadline = Instant::now() + CALLER_TIMEOUT;
        let mut planned = planned;
        for retry in 0..=retries {
            let outcome = self.send(&planned, left(deadline)).await;
            if !may_retry(&outcome.end, planned.repeatable) || retry == retries {
                return;
            }
            if is_patient {
                let longest = left(deadline) / RETRY_AFTER_SHARE;
                tokio::time::sleep(outcome.retry_after.unwrap_or_default().min(longest)).await;
            }
            if left(deadline).is_zero() {
                return;
            }
            let mut random = rand::rng();
            planned.node = random.random_range(0..routers.len());
            planned.address = routers[planned.node];
            planned.id = format!("{:016x}-{}", random.random::<u64>(), std::process::id());
        }
    }

    async fn send(&self, planned: &PlannedRequest, left: Duration) -> Outcome {
        self.reporter.report(Observation::RequestSent {
            id: planned.id.clone(),
            node: planned.node,
            path: planned.path.clone(),
            repeatable: planned.repeatable,
        });
        self.reporter.report(Observation::SentAs {
            id: planned.id.clone(),
            identity: planned.identity,
        });
        let (patience, late) = if planned.leaves {
            (CANCEL_AFTER, CallerEnd::Cancelled)
        } else {
            (left, CallerEnd::TimedOut)
        };
        let outcome = timeout(patience, exchange(&self.pool, planned, left))
            .await
            .unwrap_or(late.into());
        self.reporter.report(Observation::RequestEnded {
            id: planned.id.clone(),
            end: outcome.end.clone(),
        });
        outcome
    }
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Whether a request may be sent again: any that may run twice, others only if they have not run.
fn may_retry(end: &CallerEnd, repeatable: bool) -> bool {
    match end {
        CallerEnd::Answered { status, .. } => match status {
            408 | 421 | 429 | 503 => true,
            500..=599 => repeatable,
            _ => false,
        },
        CallerEnd::NotSent => true,
        CallerEnd::Disconnected => repeatable,
        CallerEnd::Cancelled | CallerEnd::TimedOut => false,
    }
}

async fn exchange(pool: &Pool, planned: &PlannedRequest, left: Duration) -> Outcome {
    let Some(mut connection) = pool.take(planned.address).await else {
        return CallerEnd::NotSent.into();
    };
    let Some(request) = request(planned, left) else {
        return CallerEnd::NotSent.into();
    };
    match connection.try_send_request(request).await {
        Ok(response) => {
            let retry_after = retry_after(&response);
            let end = classify_response(planned, response).await;
            if end != CallerEnd::Disconnected && connection.ready().await.is_ok() {
                pool.keep(planned.address, connection);
            }
            Outcome { end, retry_after }
        }
        // The router closed the connection; the message comes back if it was not yet written.
        Err(mut error) => match error.take_message() {
            Some(_) => CallerEnd::NotSent.into(),
            None => CallerEnd::Disconnected.into(),
        },
    }
}

/// The time after which the router asks the caller to come back.
fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(Platform.headers().retry_after)?;
    let seconds: f64 = value.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn request(planned: &PlannedRequest, left: Duration) -> Option<Request<Full<Bytes>>> {
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
        .header(names.deadline_ms, left.as_millis().max(1).to_string());
    if let Some(key) = planned.key {
        builder = builder.header(names.shard_key, key.to_string());
    }
    // A caller may state any tenant; upstreams are told that of its key.
    builder = builder.header(names.tenant, FORGED_TENANT);
    if let Some(key) = planned.identity.key() {
        builder = builder.header(names.api_key, key);
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
