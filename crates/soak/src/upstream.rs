//! The upstream process: holds keys, executes requests and may drop responses.

use crate::bodies;
use crate::channel::{Reporter, connect};
use crate::clock;
use crate::config::{DRAIN, HEARTBEAT, KEYED};
use crate::load::{COLD_PERIOD, COLD_SLOWNESS_PERCENT, Room, cold_limit};
use crate::message::{Command, Observation};
use crate::spoil::{Delivery, Spoil, SpoiledConnection};
use crate::store::REGISTRATION_PREFIX;
use beamtray_adapter::{Platform, reverse};
use beamtray_catalog::{UpstreamId, UpstreamState};
use beamtray_dialect::Dialect;
use beamtray_emulator::{Arrival, FullPolicy, Run, UpstreamConfig, UpstreamEmulator, WorkRequest};
use beamtray_sharding::{CallId, GrantReply, Handover, OrderKind, ShardKey};
use beamtray_types::Time;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the upstream continues to serve after the drain time.
const EXIT_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which releases that wait for requests to finish are checked.
const RELEASE_POLL: Duration = Duration::from_millis(5);

/// Share of the rejections that an upstream spoils while it spoils answers.
const SPOILED_REJECTIONS: f64 = 0.6;

/// Window in which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// A request with this in its path kills the process that executes it.
pub const POISON: &str = "/poison/";
/// Execution time of such a request before the process exits.
const POISON_WORK: Duration = Duration::from_millis(15);

/// Settings of an upstream process.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Name of the incarnation.
    pub id: String,
    /// Service name.
    pub service: String,
    /// Zone name.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address advertised to routers.
    pub advertised: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the driver.
    pub driver: SocketAddr,
    /// Speed of the clock that times holds, in percent.
    pub clock_percent: u32,
    /// Initial rate limit announced in responses for all routers together, in requests per
    /// 1000 seconds.
    pub rate_milli: Option<u32>,
    /// Slots and queue.
    pub room: Room,
    /// Requests per second that the upstream bears after its start; it exits well above that.
    pub cold_rate: Option<f64>,
    /// What happens to requests beyond the queue: they are rejected, or never answered.
    pub rejects_when_full: bool,
    /// Whether the first sending of each request is rejected as if the upstream were full.
    pub rejects_first: bool,
    /// How all rejections are spoiled.
    pub spoil: Option<Spoil>,
    /// How all answers to grants are spoiled.
    pub spoil_grants: Option<Spoil>,
}

pub(crate) type Answer = Response<Full<Bytes>>;

struct Upstream {
    settings: UpstreamSettings,
    emulator: RefCell<UpstreamEmulator>,
    /// Requests waiting for a slot.
    waiting: RefCell<HashMap<String, oneshot::Sender<Option<Run>>>>,
    lost_percent: Cell<u32>,
    spoiled_percent: Cell<u32>,
    /// Requests that were rejected at their first sending.
    rejected_first: RefCell<HashSet<String>>,
    rate_milli: Cell<Option<u32>>,
    /// If set, all requests are rejected with a pause of this many milliseconds.
    rest_ms: Cell<Option<u32>>,
    calls: Cell<u64>,
    /// End of the cold period, if the upstream began cold.
    cold_until: Option<Time>,
    /// Requests of the last second while the upstream is cold.
    recent: RefCell<VecDeque<Time>>,
    reporter: Reporter,
}

/// Runs an upstream until it is terminated and has drained.
///
/// # Errors
/// When it can't listen or reach the driver.
pub async fn run(settings: UpstreamSettings) -> Result<()> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .wrap_err_with(|| format!("listen on {}", settings.listen))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (reporter, mut commands) = connect(settings.driver, &settings.id).await?;
    let emulator = UpstreamEmulator::new(UpstreamConfig {
        id: UpstreamId::from(settings.id.clone()),
        service: settings.service.as_str().into(),
        address: settings.advertised,
        zone: settings.zone.as_str().into(),
        slots: settings.room.slots,
        queue: settings.room.queue,
        is_sharded: settings.service == KEYED,
        full: if settings.rejects_when_full {
            FullPolicy::Shed
        } else {
            FullPolicy::Hang
        },
        slowness_percent: if settings.cold_rate.is_some() {
            COLD_SLOWNESS_PERCENT
        } else {
            100
        },
    });
    let rate_milli = settings.rate_milli;
    let cold_until = settings.cold_rate.map(|_| clock::now() + COLD_PERIOD);
    let upstream = Rc::new(Upstream {
        settings,
        emulator: RefCell::new(emulator),
        waiting: RefCell::default(),
        lost_percent: Cell::new(0),
        spoiled_percent: Cell::new(0),
        rejected_first: RefCell::default(),
        rate_milli: Cell::new(rate_milli),
        rest_ms: Cell::new(None),
        calls: Cell::new(0),
        cold_until,
        recent: RefCell::default(),
        reporter,
    });
    tokio::task::spawn_local(accept(listener, upstream.clone()));
    tokio::task::spawn_local(refresh_entry(upstream.clone()));
    if cold_until.is_some() {
        tokio::task::spawn_local(warm_up(upstream.clone()));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            command = commands.recv() => match command {
                Some(Command::DropResponses(percent)) => upstream.lost_percent.set(percent),
                Some(Command::SpoilAnswers(percent)) => upstream.spoiled_percent.set(percent),
                Some(Command::AnnounceRate(rate_milli)) => upstream.set_rate(rate_milli),
                Some(Command::RequestPause(rest_ms)) => upstream.rest_ms.set(rest_ms),
                Some(Command::Flush) => upstream.reporter.report(Observation::Flushed),
                Some(_) => {}
                None => return Ok(()),
            },
        }
    }
    upstream.emulator.borrow_mut().state = UpstreamState::Draining;
    // If the store does not respond, the next heartbeat writes the draining state.
    let _ = timeout(STORE_TIMEOUT, upstream.write_entry(Method::POST)).await;
    tokio::time::sleep(DRAIN + EXIT_DELAY).await;
    let _ = timeout(STORE_TIMEOUT, upstream.write_entry(Method::DELETE)).await;
    Ok(())
}

async fn refresh_entry(upstream: Rc<Upstream>) {
    loop {
        // A failed write is repaired by the next heartbeat.
        let _ = timeout(STORE_TIMEOUT, upstream.write_entry(Method::POST)).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Ends the cold period when its time is over.
async fn warm_up(upstream: Rc<Upstream>) {
    tokio::time::sleep(COLD_PERIOD).await;
    upstream.emulator.borrow_mut().config.slowness_percent = 100;
}

async fn accept(listener: TcpListener, upstream: Rc<Upstream>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let upstream = upstream.clone();
        tokio::task::spawn_local(async move {
            let (stream, connection) = spoilable(stream);
            let Some(stream) = stream else {
                return;
            };
            let service =
                service_fn(move |request| serve(upstream.clone(), connection.clone(), request));
            // A client may disconnect at any time.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Splits off a second handle to a connection, on which answers are spoiled.
fn spoilable(stream: TcpStream) -> (Option<TcpStream>, Rc<SpoiledConnection>) {
    let Ok(stream) = stream.into_std() else {
        return (None, SpoiledConnection::new(None));
    };
    let connection = SpoiledConnection::new(stream.try_clone().ok());
    (TcpStream::from_std(stream).ok(), connection)
}

async fn serve(
    upstream: Rc<Upstream>,
    connection: Rc<SpoiledConnection>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let (head, body) = request.into_parts();
    let request_id = header(&head.headers, Platform.headers().request_id);
    connection.request_read(request_id.as_deref());
    let drawn = request_id.as_ref().and_then(|_| upstream.draw_spoil());
    if let (Some(id), Some(Spoil::Early)) = (&request_id, drawn) {
        return Ok(upstream.reject_early(id));
    }
    let Ok(body) = body.collect().await else {
        return Ok(upstream.status(400));
    };
    let body = body.to_bytes();
    let path = head.uri.path().to_owned();
    if upstream.is_misrouted(&head.headers) {
        return Ok(upstream.not_executed(421, request_id.as_deref()));
    }
    let call = CallId(upstream.calls.get());
    upstream.calls.set(call.0 + 1);
    let holder = UpstreamId::from(upstream.settings.id.clone());
    if let Some(order) = reverse::read_order(&path, &body, holder, call) {
        let is_grant = matches!(order.kind, OrderKind::Grant { .. });
        // A received order is executed even if its sender has disconnected.
        let task = tokio::task::spawn_local({
            let upstream = upstream.clone();
            async move { upstream.order(order).await }
        });
        let answer = task.await;
        let answer = answer.unwrap_or_else(|_| upstream.status(500));
        let kind = upstream.settings.spoil_grants.filter(|_| is_grant);
        return deliver(&connection, kind, answer).await;
    }
    let mut answer = upstream.request(&head.headers, &path).await;
    upstream.add_rate_header(&mut answer);
    upstream.announce_leaving(&head.headers, &mut answer);
    let kind = drawn.or(upstream.spoil_of_rejections(&answer));
    deliver(&connection, kind, answer).await
}

/// Sends an answer, spoiled if it is to be.
async fn deliver(
    connection: &Rc<SpoiledConnection>,
    kind: Option<Spoil>,
    answer: Answer,
) -> Result<Answer, Infallible> {
    let Some(kind) = kind else {
        return Ok(answer);
    };
    match connection.spoil(kind, answer).await {
        Delivery::Send(answer) => Ok(*answer),
        Delivery::Nothing => pending().await,
    }
}

/// A request being executed. Reports its end on drop, also when the caller has disconnected.
struct RunningRequest {
    upstream: Rc<Upstream>,
    run: Run,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.upstream.finish(&self.run);
    }
}

/// A request waiting for a slot; removed from the queue on drop.
struct Queued {
    upstream: Rc<Upstream>,
    id: String,
    receiver: oneshot::Receiver<Option<Run>>,
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.upstream.waiting.borrow_mut().remove(&self.id);
        self.upstream.emulator.borrow_mut().drop_request(&self.id);
        // The slot may have been assigned just as the caller disconnected.
        if let Ok(Some(run)) = self.receiver.try_recv() {
            self.upstream.finish(&run);
        }
    }
}

impl Upstream {
    fn is_misrouted(&self, headers: &HeaderMap) -> bool {
        let target = header(headers, Platform.headers().target_upstream);
        target.is_some_and(|target| target != self.settings.id)
    }

    fn status(&self, status: u16) -> Answer {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        self.set_header(
            &mut response,
            Platform.headers().answering_upstream,
            &self.settings.id,
        );
        response
    }

    fn set_header(&self, response: &mut Answer, name: &'static str, value: &str) {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }

    /// Sets the rate limit that responses announce.
    fn set_rate(&self, rate_milli: Option<u32>) {
        self.rate_milli.set(rate_milli);
        self.reporter
            .report(Observation::RateAnnounced { rate_milli });
    }

    /// Adds the rate limit header, if a limit is set.
    fn add_rate_header(&self, response: &mut Answer) {
        if let Some(milli) = self.rate_milli.get() {
            let rate = f64::from(milli) / 1e3;
            self.set_header(response, Platform.headers().rate_limit, &rate.to_string());
        }
    }

    /// Adds the header that announces draining, if the upstream is draining.
    fn announce_leaving(&self, headers: &HeaderMap, response: &mut Answer) {
        if self.emulator.borrow().state != UpstreamState::Draining {
            return;
        }
        self.set_header(response, Platform.headers().leaving, "1");
        if let Some(id) = header(headers, Platform.headers().request_id) {
            self.reporter.report(Observation::LeaveAnnounced { id });
        }
    }

    /// Rejects a request with a `Retry-After` header.
    fn reject_with_pause(&self, id: &str, rest_ms: u32) -> Answer {
        let mut response = self.not_executed(503, Some(id));
        let seconds = f64::from(rest_ms) / 1e3;
        self.set_header(
            &mut response,
            Platform.headers().retry_after,
            &seconds.to_string(),
        );
        self.reporter.report(Observation::PauseRequested {
            id: id.to_owned(),
            rest_ms,
        });
        response
    }

    /// How the answer to the next request is spoiled, if it is.
    fn draw_spoil(&self) -> Option<Spoil> {
        let is_spoiled = rand::rng().random_range(0..100) < self.spoiled_percent.get();
        is_spoiled.then(Spoil::draw)
    }

    /// How an answer is spoiled if it is a rejection.
    fn spoil_of_rejections(&self, answer: &Answer) -> Option<Spoil> {
        let is_rejection = answer
            .headers()
            .contains_key(Platform.headers().not_executed);
        if !is_rejection {
            return None;
        }
        let is_faulty = self.spoiled_percent.get() > 0;
        let is_spoiled = is_faulty && rand::rng().random_bool(SPOILED_REJECTIONS);
        self.settings
            .spoil
            .or(is_spoiled.then(Spoil::draw_of_rejection))
    }

    /// Rejects a request before its body is read.
    fn reject_early(&self, id: &str) -> Answer {
        self.reporter
            .report(Observation::RequestArrived { id: id.to_owned() });
        self.not_executed(503, Some(id))
    }

    fn not_executed(&self, status: u16, id: Option<&str>) -> Answer {
        let mut response = self.status(status);
        if let Some(id) = id {
            self.set_header(&mut response, Platform.headers().request_id, id);
        }
        self.set_header(&mut response, Platform.headers().not_executed, "1");
        response
    }

    async fn order(&self, mut order: beamtray_sharding::GrantOrder) -> Answer {
        if let OrderKind::Grant { hold, .. } = &mut order.kind {
            *hold = *hold * 100 / self.settings.clock_percent;
        }
        let reply = self.emulator.borrow_mut().order(clock::now(), &order);
        if matches!(order.kind, OrderKind::Release) {
            let (first, last) = (order.range.first.0, order.range.last.0);
            self.reporter
                .report(Observation::KeysReleased { first, last });
        }
        let reply = match reply {
            Some(reply) => reply,
            None => self.released(order.call).await,
        };
        if reply == GrantReply::Granted {
            self.report_grant(&order);
        }
        let Some(written) = reverse::write_order_reply(&reply) else {
            return pending().await;
        };
        let mut response = self.status(written.status);
        if let Some(handover) = written.handover {
            self.set_header(&mut response, Platform.headers().handover, &handover);
        }
        *response.body_mut() = Full::from(written.body);
        response
    }

    fn report_grant(&self, order: &beamtray_sharding::GrantOrder) {
        self.reporter.report(Observation::GrantAccepted {
            first: order.range.first.0,
            last: order.range.last.0,
            token: order.token.0,
        });
        let emulator = self.emulator.borrow();
        if let Some(grant) = emulator.grant(clock::now(), order.range.first) {
            self.reporter.report(Observation::KeysHeld {
                first: order.range.first.0,
                last: order.range.last.0,
                since: grant.since,
                ends: grant.ends,
            });
        }
    }

    /// Waits until requests on the released keys have finished.
    async fn released(&self, call: CallId) -> GrantReply {
        loop {
            tokio::time::sleep(RELEASE_POLL).await;
            let done = self.emulator.borrow_mut().take_completed_releases();
            if done.contains(&call.0) {
                let handover = format!("{:016x}", rand::random::<u64>());
                return GrantReply::Released(Some(Handover(handover)));
            }
        }
    }

    async fn request(self: &Rc<Self>, headers: &HeaderMap, path: &str) -> Answer {
        let names = Platform.headers();
        let Some(id) = header(headers, names.request_id) else {
            return self.not_executed(400, None);
        };
        self.reporter
            .report(Observation::RequestArrived { id: id.clone() });
        self.reporter.report(Observation::SenderTold {
            id: id.clone(),
            tenant: header(headers, names.tenant),
            has_key: headers.contains_key(names.api_key),
        });
        if let Some(rest_ms) = self.rest_ms.get() {
            return self.reject_with_pause(&id, rest_ms);
        }
        if self.settings.rejects_first && self.rejected_first.borrow_mut().insert(id.clone()) {
            return self.not_executed(503, Some(&id));
        }
        let key = header(headers, names.shard_key).and_then(|key| key.parse().ok());
        let request = WorkRequest {
            id: id.clone(),
            key: key.map(ShardKey),
            target: UpstreamId::from(self.settings.id.clone()),
            work: work(path),
        };
        let arrival = self.emulator.borrow_mut().arrive(clock::now(), request);
        if !matches!(arrival, Arrival::Misdirected) {
            self.bear_cold_request();
        }
        let run = match arrival {
            Arrival::Runs(run) => run,
            Arrival::Queued => match self.queued(&id).await {
                Some(run) => run,
                None => return self.not_executed(421, Some(&id)),
            },
            Arrival::Full => return self.not_executed(503, Some(&id)),
            Arrival::Misdirected => return self.not_executed(421, Some(&id)),
            Arrival::Hangs => return pending().await,
        };
        self.work(run, &id, path).await
    }

    /// Counts a request, and exits if a cold upstream got too many in a second.
    fn bear_cold_request(&self) {
        let now = clock::now();
        let Some(cold_rate) = self.settings.cold_rate else {
            return;
        };
        if self.cold_until.is_none_or(|end| now >= end) {
            return;
        }
        let mut recent = self.recent.borrow_mut();
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            recent.pop_front();
        }
        if recent.len() > cold_limit(cold_rate) {
            eprintln!("exits: {} requests in a second while cold", recent.len());
            std::process::exit(1);
        }
    }

    /// Waits for a slot; `None` if the key is no longer held by then.
    async fn queued(self: &Rc<Self>, id: &str) -> Option<Run> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id.to_owned(), sender);
        let mut queued = Queued {
            upstream: self.clone(),
            id: id.to_owned(),
            receiver,
        };
        (&mut queued.receiver).await.ok().flatten()
    }

    async fn work(self: &Rc<Self>, run: Run, id: &str, path: &str) -> Answer {
        let now = clock::now();
        let key = run.request.key;
        let held_since = {
            let emulator = self.emulator.borrow();
            let grant = key.and_then(|key| emulator.grant(now, key).copied());
            grant.map_or(now, |grant| grant.since)
        };
        let divided = self.settings.service == KEYED;
        self.reporter.report(Observation::WorkStarted {
            id: id.to_owned(),
            path: path.to_owned(),
            key: key.filter(|_| divided).map(|key| key.0),
            held_since,
        });
        if path.contains(POISON) {
            tokio::time::sleep(POISON_WORK).await;
            std::process::exit(1);
        }
        let lasts = run.ends.since(now);
        let running = RunningRequest {
            upstream: self.clone(),
            run,
        };
        tokio::time::sleep(lasts).await;
        drop(running);
        if rand::rng().random_range(0..100) < self.lost_percent.get() {
            return pending().await;
        }
        let body = bodies::body(id, &self.settings.id);
        let mut response = self.status(200);
        let names = Platform.headers();
        self.set_header(&mut response, names.request_id, id);
        self.set_header(
            &mut response,
            names.signature,
            &bodies::signature(body.as_bytes()),
        );
        *response.body_mut() = Full::from(body);
        response
    }

    fn finish(&self, run: &Run) {
        let id = run.request.id.clone();
        self.reporter.report(Observation::WorkFinished { id });
        let mut ended = vec![run.id];
        while let Some(run) = ended.pop() {
            let (_, begun, refused) = self.emulator.borrow_mut().end(clock::now(), run);
            let mut waiting = self.waiting.borrow_mut();
            for request in refused {
                if let Some(waiter) = waiting.remove(&request.id) {
                    // Sending fails only if the caller has just disconnected.
                    let _ = waiter.send(None);
                }
            }
            for run in begun {
                let waiter = waiting.remove(&run.request.id);
                let sent = waiter.map(|waiter| waiter.send(Some(run.clone())));
                if !matches!(sent, Some(Ok(()))) {
                    ended.push(run.id);
                }
            }
        }
    }

    async fn write_entry(&self, method: Method) -> Result<()> {
        let stream = TcpStream::connect(self.settings.store).await?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let mut record = self.emulator.borrow().record();
        if let Some(end) = self.cold_until {
            record.warm_up_left = end.since(clock::now());
        }
        let body = reverse::write_upstream(&record, 0);
        let request = Request::builder()
            .method(method)
            .uri(format!("{REGISTRATION_PREFIX}{}", self.settings.id))
            .header(HOST, self.settings.store.to_string())
            .body(Full::new(Bytes::from(body)))?;
        sender.send_request(request).await?;
        Ok(())
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Execution time of a request: the last segment of its path, in milliseconds.
fn work(path: &str) -> Duration {
    let last = path.rsplit('/').next().unwrap_or_default();
    Duration::from_millis(last.parse().unwrap_or(10))
}
