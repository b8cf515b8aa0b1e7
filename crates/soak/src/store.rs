//! The store process: serves the emulated store through the platform's protocol.

use crate::channel::{Reporter, connect};
use crate::clock;
use crate::config::{HEARTBEAT, configuration};
use crate::message::{Command, Observation, StoreFaults};
use beamtray_adapter::{Platform, reverse};
use beamtray_dialect::{CallMethod, Dialect};
use beamtray_emulator::{StoreEmulator, StoreReply, WatchWait};
use beamtray_metastore::{StoreCall, StoreOutcome};
use beamtray_types::Time;
use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path prefix of upstream registrations.
pub(crate) const REGISTRATION_PREFIX: &str = "/soak/register/";
/// How long the store keeps its change history.
const HISTORY: Duration = Duration::from_secs(20);
/// Number of missed heartbeats after which a registration expires.
const MISSED_HEARTBEATS: u32 = 3;
/// Interval at which watches, leases and registrations are checked.
const POLL: Duration = Duration::from_millis(10);
/// Interval between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// How long snapshots are kept.
const SNAPSHOT_RETENTION: Duration = Duration::from_secs(20);
/// Initial era of the store.
const FIRST_ERA: u32 = 1;
/// Range of the delay of a late write in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;

/// Settings of the store process.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the driver.
    pub driver: SocketAddr,
    /// Requests per second that the configuration allows to a cold upstream.
    pub cold_rate: Option<f64>,
    /// Largest request body that the configuration allows, in bytes, if not the default.
    pub max_body_bytes: Option<usize>,
}

struct Entry {
    value: Vec<u8>,
    written: Time,
}

struct Store {
    emulator: RefCell<StoreEmulator>,
    entries: RefCell<BTreeMap<String, Entry>>,
    faults: Cell<StoreFaults>,
    era: Cell<u32>,
    /// Snapshots of the store, oldest first.
    snapshots: RefCell<VecDeque<(Time, StoreEmulator)>>,
    /// The newest configuration.
    configuration: RefCell<Option<Vec<u8>>>,
    cold_rate: Option<f64>,
    max_body_bytes: Option<usize>,
    reporter: Reporter,
}

/// Runs the store until the driver disconnects.
///
/// # Errors
/// When it can't listen or reach the driver.
pub async fn run(settings: StoreSettings) -> Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let (reporter, mut commands) = connect(settings.driver, "store").await?;
    let store = Rc::new(Store {
        emulator: RefCell::new(StoreEmulator::new(HISTORY)),
        entries: RefCell::default(),
        faults: Cell::default(),
        era: Cell::new(FIRST_ERA),
        snapshots: RefCell::default(),
        configuration: RefCell::default(),
        cold_rate: settings.cold_rate,
        max_body_bytes: settings.max_body_bytes,
        reporter,
    });
    tokio::task::spawn_local(accept(listener, store.clone()));
    tokio::task::spawn_local(run_timers(store.clone()));
    while let Some(command) = commands.recv().await {
        store.command(&command);
    }
    Ok(())
}

async fn accept(listener: TcpListener, store: Rc<Store>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let store = store.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(store.clone(), request));
            // A client may disconnect at any time.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn run_timers(store: Rc<Store>) {
    loop {
        tokio::time::sleep(POLL).await;
        store.run_timers();
    }
}

type Answer = Response<Full<Bytes>>;

async fn answer(store: Rc<Store>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let faults = store.faults.get();
    let method = request.method().clone();
    let target = request.uri().to_string();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(status(400)),
    };
    if faults.silent {
        return pending().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms.into())).await;
    let mut answer = handle_call(&store, faults, &method, &target, &body).await;
    store.add_era_header(&mut answer);
    Ok(answer)
}

async fn handle_call(
    store: &Rc<Store>,
    faults: StoreFaults,
    method: &Method,
    target: &str,
    body: &Bytes,
) -> Answer {
    if faults.busy {
        return status(503);
    }
    if let Some(id) = target.strip_prefix(REGISTRATION_PREFIX) {
        store.register(id, method, body);
        return status(200);
    }
    let method = match *method {
        Method::GET => CallMethod::Get,
        Method::DELETE => CallMethod::Delete,
        _ => CallMethod::Post,
    };
    let Some(call) = reverse::read_store_call(method, target, body) else {
        return status(400);
    };
    if store.loses(&call) {
        return pending().await;
    }
    let outcome = store.execute(&call).await;
    match reverse::write_store_outcome(&outcome) {
        Some(answer) => {
            let mut response = Response::new(Full::from(answer.body));
            *response.status_mut() = code(answer.status);
            response
        }
        None => pending().await,
    }
}

fn code(status: u16) -> hyper::StatusCode {
    hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR)
}

fn status(status: u16) -> Answer {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = code(status);
    response
}

impl Store {
    fn add_era_header(&self, answer: &mut Answer) {
        // A store that never goes back need not tell its era; loaded runs have such a store.
        if self.cold_rate.is_some() && self.era.get() == FIRST_ERA {
            return;
        }
        let era = self.era.get().into();
        answer
            .headers_mut()
            .insert(Platform.headers().store_era, era);
    }

    fn command(self: &Rc<Self>, command: &Command) {
        let now = clock::now();
        match command {
            Command::Store(faults) => self.set_faults(now, *faults),
            Command::Compact => self.emulator.borrow_mut().compact(),
            Command::RestoreSnapshot(millis) => {
                self.restore_snapshot(now, Duration::from_millis((*millis).into()));
            }
            Command::Configure(version) => {
                let mut configuration = configuration(*version, self.cold_rate);
                if let Some(bytes) = self.max_body_bytes {
                    configuration.limits.max_body_bytes = bytes;
                }
                let value = reverse::write_configuration(&configuration);
                let key = Platform.keys().configuration;
                self.emulator.borrow_mut().put(now, key, value.clone());
                self.configuration.replace(Some(value));
                let version = *version;
                self.reporter
                    .report(Observation::ConfigurationAccepted { version });
            }
            Command::Flush => self.reporter.report(Observation::Flushed),
            Command::DropResponses(_)
            | Command::SpoilAnswers(_)
            | Command::AnnounceRate(_)
            | Command::RequestPause(_)
            | Command::Probe(_)
            | Command::StartTraffic
            | Command::StopTraffic => {}
        }
    }

    /// Restores an older snapshot, then writes the current registrations and configuration
    /// again, as upstreams and operators would.
    fn restore_snapshot(&self, now: Time, age: Duration) {
        let mut snapshots = self.snapshots.borrow_mut();
        let old = snapshots.iter().rev().find(|(at, _)| now.since(*at) >= age);
        let Some((_, snapshot)) = old.or(snapshots.front()).cloned() else {
            return;
        };
        snapshots.clear();
        self.era.set(self.era.get() + 1);
        let mut emulator = self.emulator.borrow_mut();
        emulator.restore(snapshot);
        emulator.renew_all_leases(now);
        if let Some(value) = self.configuration.borrow().clone() {
            emulator.put(now, Platform.keys().configuration, value);
        }
        let prefix = Platform.keys().upstream_prefix;
        let entries = self.entries.borrow();
        for key in emulator.keys_with_prefix(prefix) {
            if !entries.contains_key(&key[prefix.len()..]) {
                emulator.delete(now, &key);
            }
        }
        for (id, entry) in entries.iter() {
            emulator.put(now, &format!("{prefix}{id}"), entry.value.clone());
        }
    }

    /// Takes a snapshot of the store if one is due.
    fn snapshot(&self, now: Time) {
        let mut snapshots = self.snapshots.borrow_mut();
        let last = snapshots.back().map(|(at, _)| *at);
        if last.is_some_and(|last| now.since(last) < SNAPSHOT_INTERVAL) {
            return;
        }
        snapshots.push_back((now, self.emulator.borrow().clone()));
        while now.since(snapshots[0].0) > SNAPSHOT_RETENTION {
            snapshots.pop_front();
        }
    }

    fn set_faults(&self, now: Time, faults: StoreFaults) {
        let before = self.faults.replace(faults);
        let mut emulator = self.emulator.borrow_mut();
        emulator.lease_expiry_enabled = !faults.silent || faults.lapse;
        if before.silent && !faults.silent {
            if !before.lapse {
                emulator.renew_all_leases(now);
            }
            for entry in self.entries.borrow_mut().values_mut() {
                entry.written = entry.written.max(now);
            }
        }
    }

    fn run_timers(&self) {
        let now = clock::now();
        self.emulator.borrow_mut().advance(now);
        let faults = self.faults.get();
        if !faults.silent {
            self.snapshot(now);
        }
        if faults.silent && !faults.lapse {
            return;
        }
        let limit = HEARTBEAT * MISSED_HEARTBEATS;
        let silent: Vec<String> = {
            let entries = self.entries.borrow();
            let silent = entries.iter();
            silent
                .filter(|(_, entry)| now.since(entry.written) >= limit)
                .map(|(id, _)| id.clone())
                .collect()
        };
        for id in silent {
            self.remove_entry(now, &id);
        }
    }

    fn register(&self, id: &str, method: &Method, value: &[u8]) {
        let now = clock::now();
        if *method == Method::DELETE {
            self.remove_entry(now, id);
            self.report_left(id);
            return;
        }
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(id);
        let changed = known.is_none_or(|entry| entry.value != value);
        let written = now;
        let entry = Entry {
            value: value.to_vec(),
            written,
        };
        entries.insert(id.to_owned(), entry);
        if !changed {
            return;
        }
        let key = format!("{}{id}", Platform.keys().upstream_prefix);
        let draining = Platform
            .decode_upstream(&key, value)
            .is_ok_and(|record| record.state == beamtray_catalog::UpstreamState::Draining);
        self.emulator.borrow_mut().put(now, &key, value.to_vec());
        if draining {
            self.report_left(id);
        }
    }

    fn report_left(&self, id: &str) {
        let upstream = id.to_owned();
        self.reporter.report(Observation::UpstreamLeft { upstream });
    }

    fn remove_entry(&self, now: Time, id: &str) {
        self.entries.borrow_mut().remove(id);
        let key = format!("{}{id}", Platform.keys().upstream_prefix);
        self.emulator.borrow_mut().delete(now, &key);
    }

    /// Whether the response to a call is lost; the call is then applied, at once or late.
    fn loses(self: &Rc<Self>, call: &StoreCall) -> bool {
        let faults = self.faults.get();
        let writes = matches!(call, StoreCall::Commit(_) | StoreCall::GrantLease { .. });
        let mut random = rand::rng();
        if !writes || random.random_range(0..100) >= faults.lost_percent {
            return false;
        }
        let delay = if faults.late {
            Duration::from_millis(random.random_range(LATE_MS))
        } else {
            Duration::ZERO
        };
        let store = self.clone();
        let call = call.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            store.emulator.borrow_mut().call(clock::now(), &call);
        });
        true
    }

    async fn execute(&self, call: &StoreCall) -> StoreOutcome {
        let reply = self.emulator.borrow_mut().call(clock::now(), call);
        match reply {
            StoreReply::Done(outcome) => outcome,
            StoreReply::Waits(wait) => self.wait(&wait).await,
        }
    }

    async fn wait(&self, wait: &WatchWait) -> StoreOutcome {
        loop {
            tokio::time::sleep(POLL).await;
            let faults = self.faults.get();
            if faults.silent || faults.watches_silent {
                continue;
            }
            if let Some(outcome) = self.emulator.borrow().watch(clock::now(), wait) {
                return outcome;
            }
        }
    }
}
