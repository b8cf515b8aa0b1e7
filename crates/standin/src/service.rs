//! Serves the models over HTTP for real processes.
//!
//! Every stand-in except the machine list also accepts `POST /control` with its fault
//! switches in the query, for
//! example `freeze_millis=2000`, `slow_millis=50`, `sheds=1`, `down=1`.

use crate::backend::{Backend, BackendConfig};
use crate::key_value::KeyValueStore;
use crate::keyed_server::{Effect, KeyedServer, ServerRefusal};
use crate::machines::MachineList;
use beamtray_http::{
    CallerServerConfig, HttpRequest, HttpResponse, Responder, Target, WorkerServer,
};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, MachineState, VERSION_HEADER};
use beamtray_ownership::GrantRequest;
use beamtray_types::{Fence, Incarnation, StepError, Time};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
const WORKERS: usize = 16;
const MAX_CONNECTIONS: usize = 4_096;
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Monotonic time since the start of the stand-in.
#[derive(Clone, Copy, Debug)]
struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }
}

/// Fault switches that all controllable stand-ins share.
#[derive(Debug, Default)]
struct Switches {
    /// Requests wait until this time, in microseconds of the stand-in's clock.
    frozen_until: AtomicU64,
    slow_millis: AtomicU64,
}

impl Switches {
    fn apply(&self, clock: &MonotonicClock, request: &HttpRequest) {
        if let Some(millis) = numeric_parameter(request, "freeze_millis") {
            let until = clock.now() + Duration::from_millis(millis);
            self.frozen_until.store(until.0, Ordering::SeqCst);
        }
        if let Some(millis) = numeric_parameter(request, "slow_millis") {
            self.slow_millis.store(millis, Ordering::SeqCst);
        }
    }

    /// Sleeps for the injected latency and for the rest of a freeze.
    fn delay(&self, clock: &MonotonicClock) {
        thread::sleep(Duration::from_millis(
            self.slow_millis.load(Ordering::SeqCst),
        ));
        let until = Time(self.frozen_until.load(Ordering::SeqCst));
        thread::sleep(until.since(clock.now()));
    }
}

fn numeric_parameter(request: &HttpRequest, name: &str) -> Option<u64> {
    request.query_value(name)?.parse().ok()
}

fn boolean_parameter(request: &HttpRequest, name: &str) -> Option<bool> {
    Some(request.query_value(name)? == "1")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(
    address: SocketAddr,
    workers: usize,
    handler: impl Fn(HttpRequest) -> Option<HttpResponse> + Send + Sync + 'static,
) -> Result<WorkerServer, StepError> {
    let config = CallerServerConfig {
        address,
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        head_timeout: HEAD_TIMEOUT,
        body_timeout: HEAD_TIMEOUT,
    };
    WorkerServer::start(config, workers, move |request, responder: Responder| {
        // A handler that returns nothing simulates a lost reply, which is sent as status 500.
        let response = handler(request).unwrap_or_else(|| HttpResponse::text(500, "lost\n"));
        responder.respond(response);
    })
}

fn control_response() -> Option<HttpResponse> {
    Some(HttpResponse::text(200, "done\n"))
}

/// Serves a key-value service.
///
/// # Errors
/// [`StepError`] when the address cannot be listened on.
pub fn serve_key_value(address: SocketAddr, per_second: u32) -> Result<WorkerServer, StepError> {
    let clock = MonotonicClock::start();
    let store = Mutex::new(KeyValueStore::new(per_second));
    let switches = Switches::default();
    start(address, WORKERS, move |request| {
        if request.path == "/control" {
            switches.apply(&clock, &request);
            let mut store = lock(&store);
            let faults = &mut store.faults;
            faults.down = boolean_parameter(&request, "down").unwrap_or(faults.down);
            let loses = boolean_parameter(&request, "loses_replies");
            faults.loses_replies = loses.unwrap_or(faults.loses_replies);
            return control_response();
        }
        switches.delay(&clock);
        if request.path == "/v1/leases" {
            return Some(serve_lease(&mut lock(&store), clock.now(), &request));
        }
        let key = request.path.strip_prefix("/v1/keys/")?.to_owned();
        if request.method == "GET" {
            watch(&store, &clock, &request, &key);
        }
        let call = match request.method.as_str() {
            "GET" => KeyValueRequest::Get { key },
            "PUT" => KeyValueRequest::Put {
                key,
                expected: numeric_parameter(&request, "expected")?,
                value: request.body.clone(),
            },
            _ => return Some(HttpResponse::text(405, "GET or PUT\n")),
        };
        let mut store = lock(&store);
        let now = clock.now();
        let lease = numeric_parameter(&request, "lease");
        let result = match (&call, lease) {
            (
                KeyValueRequest::Put {
                    key,
                    expected,
                    value,
                },
                Some(lease),
            ) => store.put_leased(now, key, *expected, value.clone(), lease)?,
            _ => match store.handle(now, &call) {
                Some(result) => result,
                None => return Some(HttpResponse::text(503, "outage\n")),
            },
        };
        Some(key_value_response(result))
    })
}

/// Blocks until the key's version differs from the parameter `after`, for at most `wait_millis`.
fn watch(store: &Mutex<KeyValueStore>, clock: &MonotonicClock, request: &HttpRequest, key: &str) {
    let Some(after) = numeric_parameter(request, "after") else {
        return;
    };
    let timeout = Duration::from_millis(numeric_parameter(request, "wait_millis").unwrap_or(0));
    let until = clock.now() + timeout;
    while clock.now() < until && lock(store).version(key) == after {
        thread::sleep(WATCH_POLL_INTERVAL);
    }
}

fn serve_lease(store: &mut KeyValueStore, now: Time, request: &HttpRequest) -> HttpResponse {
    let ttl = Duration::from_millis(numeric_parameter(request, "life_millis").unwrap_or(1_000));
    match numeric_parameter(request, "lease") {
        None => HttpResponse::text(200, format!("{}\n", store.grant_lease(now, ttl))),
        Some(lease) if store.keep_lease(now, lease, ttl) => HttpResponse::text(200, "kept\n"),
        Some(_) => HttpResponse::text(404, "lapsed\n"),
    }
}

fn key_value_response(result: KeyValueResult) -> HttpResponse {
    match result {
        KeyValueResult::Value { version, value } => HttpResponse {
            status: 200,
            headers: vec![(VERSION_HEADER.to_owned(), version.to_string())],
            body: value,
        },
        KeyValueResult::Absent => HttpResponse::text(404, "absent\n"),
        KeyValueResult::Stored { version } => {
            HttpResponse::text(200, "stored\n").with_header(VERSION_HEADER, version)
        }
        KeyValueResult::Conflict { version } => {
            HttpResponse::text(409, "conflict\n").with_header(VERSION_HEADER, version)
        }
        KeyValueResult::RateLimited { retry_after } => HttpResponse::text(429, "over the rate\n")
            .with_header("retry-after-millis", retry_after.as_millis()),
        KeyValueResult::Unavailable { cause } => HttpResponse::text(503, cause),
    }
}

/// Serves a machine list. `POST /v1/machines?name=N&state=live|leaving|gone`
/// changes it.
///
/// # Errors
/// [`StepError`] when the address cannot be listened on.
pub fn serve_machines(address: SocketAddr, lag: Duration) -> Result<WorkerServer, StepError> {
    let clock = MonotonicClock::start();
    let machines = Mutex::new(MachineList::new(lag));
    start(address, 4, move |request| {
        let mut machines = lock(&machines);
        if request.method == "POST" {
            let state = match request.query_value("state")? {
                "live" => MachineState::Live,
                "leaving" => MachineState::Leaving,
                "gone" => MachineState::Gone,
                _ => return Some(HttpResponse::text(400, "live, leaving or gone\n")),
            };
            machines.set(clock.now(), request.query_value("name")?, state);
            return control_response();
        }
        let list = serde_json::to_string(&machines.list(clock.now())).ok()?;
        Some(HttpResponse::text(200, list))
    })
}

/// Serves a keyed server. Request paths have the form `/SERVICE/KEY/...`; every method except
/// GET adds one to the key's count.
///
/// # Errors
/// [`StepError`] when the address cannot be listened on.
pub fn serve_keyed_server(
    address: SocketAddr,
    slots: u32,
    service_time: Duration,
    on_effect: fn(&Effect),
) -> Result<WorkerServer, StepError> {
    let clock = MonotonicClock::start();
    let server = Arc::new(Mutex::new(KeyedServer::new(new_incarnation(), slots)));
    let switches = Switches::default();
    // The extra workers keep grants from waiting behind requests that occupy every slot.
    let workers = slots as usize + WORKERS;
    start(address, workers, move |request| {
        match request.path.as_str() {
            "/control" => {
                switches.apply(&clock, &request);
                let mut server = lock(&server);
                server.sheds = boolean_parameter(&request, "sheds").unwrap_or(server.sheds);
                return control_response();
            }
            "/effects" => return Some(effects_response(&lock(&server))),
            "/grants" => {
                switches.delay(&clock);
                let grant: GrantRequest = serde_json::from_slice(&request.body).ok()?;
                let reply = lock(&server).on_grant(clock.now(), &grant);
                return Some(HttpResponse::text(200, serde_json::to_string(&reply).ok()?));
            }
            _ => {}
        }
        switches.delay(&clock);
        let response = serve_keyed_request(&server, &clock, service_time, &request, on_effect);
        Some(response)
    })
}

fn serve_keyed_request(
    server: &Mutex<KeyedServer>,
    clock: &MonotonicClock,
    service_time: Duration,
    request: &HttpRequest,
    on_effect: fn(&Effect),
) -> HttpResponse {
    let target = Target::parse(&request.path);
    let Some(key) = target.and_then(|target| target.key) else {
        return HttpResponse::text(400, "the path has no key\n");
    };
    let fence = request.header("beamtray-fence");
    let Some(fence) = fence.and_then(|fence| fence.parse::<Fence>().ok()) else {
        return HttpResponse::text(400, "no fence\n");
    };
    let admitted = match lock(server).begin(clock.now(), &key, fence) {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal_response(refusal),
    };
    if !service_time.is_zero() {
        thread::sleep(service_time);
    }
    let writes = request.method != "GET";
    let name = request.header("idempotency-key").map(str::to_owned);
    // One lock covers reading the clock, checking the grant and applying the effect.
    let mut server = lock(server);
    match server.commit(clock.now(), admitted, writes, name) {
        Ok(count) if writes => {
            server.effects.last().map(on_effect);
            HttpResponse::text(200, format!("{key} {count}\n"))
        }
        Ok(count) => HttpResponse::text(200, format!("{key} {count}\n")),
        Err(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: ServerRefusal) -> HttpResponse {
    match refusal {
        ServerRefusal::NotOwner => HttpResponse::text(421, "not the owner\n"),
        ServerRefusal::Shed => {
            HttpResponse::text(503, "over the limit\n").with_header("retry-after", 1)
        }
    }
}

/// Lists one effect per line: the key and the idempotency key, or `-` without one.
fn effects_response(server: &KeyedServer) -> HttpResponse {
    let lines: String = server
        .effects
        .iter()
        .map(|effect| {
            let name = effect.idempotency_key.as_deref().unwrap_or("-");
            format!("{} {name}\n", effect.key)
        })
        .collect();
    HttpResponse::text(200, lines)
}

fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(1, |elapsed| elapsed.as_micros() as u64))
}

/// Serves a back end of a pool.
///
/// # Errors
/// [`StepError`] when the address cannot be listened on.
pub fn serve_backend(
    address: SocketAddr,
    config: BackendConfig,
) -> Result<WorkerServer, StepError> {
    let clock = MonotonicClock::start();
    let backend = Mutex::new(Backend::new(config, clock.now()));
    let switches = Switches::default();
    let workers = config.slots as usize + WORKERS;
    start(address, workers, move |request| {
        match request.path.as_str() {
            "/control" => {
                switches.apply(&clock, &request);
                let mut backend = lock(&backend);
                backend.sheds = boolean_parameter(&request, "sheds").unwrap_or(backend.sheds);
                backend.drains = boolean_parameter(&request, "drains").unwrap_or(backend.drains);
                let health = boolean_parameter(&request, "health");
                backend.reported_health = health.or(backend.reported_health);
                return control_response();
            }
            "/health" => {
                let status = if lock(&backend).health() { 200 } else { 503 };
                return Some(HttpResponse::text(status, ""));
            }
            "/load" => return Some(HttpResponse::text(200, lock(&backend).load().to_string())),
            _ => {}
        }
        switches.delay(&clock);
        let Some(service_time) = lock(&backend).begin(clock.now()) else {
            return Some(refusal_response(ServerRefusal::Shed));
        };
        thread::sleep(service_time);
        let served = lock(&backend).finish();
        Some(HttpResponse::text(200, format!("served {served}\n")))
    })
}
