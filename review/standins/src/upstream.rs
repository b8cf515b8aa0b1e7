//! Stand-in of an upstream, by the page on the protocol.

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which an upstream writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_300);
/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Sequence number of the entry that says that an upstream drains.
const LAST_SEQUENCE: u64 = 1_000_000;
const KEYS: usize = 1 << 16;

/// What an upstream does with requests.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait; any more are rejected as not executed.
    pub queue: usize,
    /// How long it works on a request.
    pub work: Duration,
    /// Length of the body of an answer.
    pub answer_bytes: usize,
    /// Faulty: it sends each rejection a second time, late: in the place of the next answer on the
    /// connection.
    pub repeats_rejections: bool,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub at_ms: u128,
}

/// A grant that an upstream carried out.
#[derive(Clone, Debug)]
pub struct Taking {
    pub upstream: String,
    pub first: usize,
    pub last: usize,
    pub fence: u64,
    pub at_ms: u128,
    /// Whether it was left unanswered and carried out late.
    pub is_late: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct KeyState {
    /// Highest fence seen.
    fences: Vec<u64>,
    held_until: Vec<Option<Instant>>,
    /// Requests that run on each key.
    running: Vec<u32>,
}

/// An upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    /// The address in its entry: that of a proxy in front of it, if there is one.
    advertised: SocketAddr,
    service: String,
    zone: String,
    is_sharded: bool,
    behavior: Behavior,
    record: Record,
    stage: Arc<Mutex<Stage>>,
    takings: Arc<Mutex<Vec<Taking>>>,
    /// The next grant is left unanswered and carried out after this time.
    delay_of_next_grant: Arc<Mutex<Option<Duration>>>,
    /// Number of grants that were left unanswered.
    left_grants: Arc<AtomicUsize>,
    load: Arc<(Mutex<Load>, Condvar)>,
    keys: Arc<(Mutex<KeyState>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that arrived, and those that were rejected as not executed.
    counts: Arc<Mutex<(usize, usize)>>,
}

impl Upstream {
    /// Starts an upstream on a free port and keeps its entry in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        is_sharded: bool,
        behavior: Behavior,
    ) -> std::io::Result<Self> {
        Self::start_behind(None, store, record, id, service, zone, is_sharded, behavior)
    }

    /// The same, with a proxy in front of it at that address.
    pub fn start_behind(
        proxy: Option<SocketAddr>,
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        is_sharded: bool,
        behavior: Behavior,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let keys = KeyState {
            fences: vec![0; KEYS],
            held_until: vec![None; KEYS],
            running: vec![0; KEYS],
        };
        let upstream = Self {
            id: id.to_owned(),
            address,
            advertised: proxy.unwrap_or(address),
            service: service.to_owned(),
            zone: zone.to_owned(),
            is_sharded,
            behavior,
            record: record.clone(),
            stage: Arc::default(),
            takings: Arc::default(),
            delay_of_next_grant: Arc::default(),
            left_grants: Arc::default(),
            load: Arc::default(),
            keys: Arc::new((Mutex::new(keys), Condvar::new())),
            runs: Arc::default(),
            counts: Arc::default(),
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                thread::spawn(move || upstream.serve(Connection::new(stream)));
            }
        });
        let writing = (upstream.clone(), store.clone());
        thread::spawn(move || {
            let (upstream, store) = writing;
            for sequence in 1.. {
                upstream.write_entry(&store, sequence);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    /// Says that it drains, serves on for `drainMs` and half a second, and is gone.
    pub fn leave(&self, store: &Store) {
        self.record.line(format!("{} drains", self.id));
        *self.stage.lock().unwrap() = Stage::Draining;
        self.write_entry(store, LAST_SEQUENCE);
        thread::sleep(DRAIN + Duration::from_millis(500));
        *self.stage.lock().unwrap() = Stage::Gone;
        store.remove(&format!("servers/{}", self.id));
        self.record.line(format!("{} is gone", self.id));
    }

    fn stage(&self) -> Stage {
        *self.stage.lock().unwrap()
    }

    fn write_entry(&self, store: &Store, sequence: u64) {
        let state = match self.stage() {
            Stage::Ready => "ready",
            Stage::Draining => "draining",
            Stage::Gone => return,
        };
        let entry = json!({
            "address": self.advertised.to_string(),
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.behavior.slots,
            },
            "status": { "state": state, "sequence": sequence, "warmupLeftMs": 0 },
        });
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// The requests that began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Requests that run or wait now.
    pub fn load_now(&self) -> usize {
        let load = self.load.0.lock().unwrap();
        load.running + load.waiting
    }

    /// Number of requests that arrived, and of those that were rejected as not executed.
    pub fn counts(&self) -> (usize, usize) {
        *self.counts.lock().unwrap()
    }

    /// The grants that were carried out.
    pub fn takings(&self) -> Vec<Taking> {
        self.takings.lock().unwrap().clone()
    }

    /// Leaves the next grant unanswered and carries it out after that time.
    pub fn delay_next_grant(&self, delay: Duration) {
        *self.delay_of_next_grant.lock().unwrap() = Some(delay);
    }

    /// Number of grants that were left unanswered.
    pub fn left_grants(&self) -> usize {
        self.left_grants.load(Ordering::SeqCst)
    }

    /// Whether it holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        self.lock_keys().holds(key)
    }

    fn lock_keys(&self) -> MutexGuard<'_, KeyState> {
        self.keys.0.lock().unwrap()
    }

    fn serve(&self, mut connection: Connection) {
        let mut surplus: Option<Message> = None;
        while let Ok(Some(request)) = connection.read() {
            if let Some(late) = surplus.take() {
                let id = late.header("X-Attempt-Id").unwrap_or_default().to_owned();
                self.record
                    .line(format!("{} sends its rejection of {id} again", self.id));
                if connection.write(&late).is_err() {
                    return;
                }
            }
            if self.stage() == Stage::Gone {
                return;
            }
            let mut answer = self.answer(&request);
            if self.stage() != Stage::Ready {
                answer = answer.with("Connection", "close");
            }
            if connection.write(&answer).is_err() {
                return;
            }
            let is_rejection = answer.header("X-Not-Executed").is_some();
            if is_rejection && self.behavior.repeats_rejections {
                surplus = Some(answer);
            }
        }
    }

    fn answer(&self, request: &Message) -> Message {
        let target = request.header("X-Target-Instance");
        if target.is_some_and(|target| target != self.id) {
            return Message::response(421).with("X-Instance-Id", &self.id);
        }
        match request.target() {
            "/v1/grant" => self.receive_grant(&request.body),
            "/v1/release" => self.release(&request.body),
            "/health" => Message::response(200).with("X-Instance-Id", &self.id),
            _ => self.request(request),
        }
    }

    fn receive_grant(&self, body: &[u8]) -> Message {
        let delay = self.delay_of_next_grant.lock().unwrap().take();
        let Some(delay) = delay else {
            return self.grant(body, false);
        };
        self.record
            .line(format!("{} leaves a grant unanswered", self.id));
        self.left_grants.fetch_add(1, Ordering::SeqCst);
        thread::sleep(delay);
        self.grant(body, true)
    }

    fn grant(&self, body: &[u8], is_late: bool) -> Message {
        let order: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some((first, last)), Some(fence), Some(hold_ms)) = (
            range(&order),
            order["fence"].as_u64(),
            order["holdMs"].as_u64(),
        ) else {
            return Message::response(400);
        };
        let until = Instant::now() + Duration::from_millis(hold_ms);
        let mut keys = self.lock_keys();
        if keys.fences[first..=last].iter().any(|seen| *seen > fence) {
            return Message::response(409);
        }
        keys.fences[first..=last].fill(fence);
        for held in &mut keys.held_until[first..=last] {
            *held = (*held).max(Some(until));
        }
        self.takings.lock().unwrap().push(Taking {
            upstream: self.id.clone(),
            first,
            last,
            fence,
            at_ms: self.record.elapsed_ms(),
            is_late,
        });
        Message::response(200)
    }

    fn release(&self, body: &[u8]) -> Message {
        let order: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some((first, last)), Some(fence)) = (range(&order), order["fence"].as_u64()) else {
            return Message::response(400);
        };
        let mut keys = self.lock_keys();
        for key in first..=last {
            if keys.fences[key] <= fence {
                keys.fences[key] = fence;
                keys.held_until[key] = None;
            }
        }
        while keys.running[first..=last].iter().any(|count| *count > 0) {
            keys = self.keys.1.wait(keys).unwrap();
        }
        Message::response(200).with("X-Handover", format!("{fence:016x}"))
    }

    fn request(&self, request: &Message) -> Message {
        let arrived = Instant::now();
        let id = request
            .header("X-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let deadline_ms = request.header("X-Deadline-Ms");
        let deadline_ms = deadline_ms.and_then(|text| text.parse().ok());
        let deadline = arrived + Duration::from_millis(deadline_ms.unwrap_or(60_000));
        self.counts.lock().unwrap().0 += 1;
        self.record.line(format!("{} receives {id}", self.id));
        let key = request.header("X-Shard-Key");
        let key: Option<u16> = key.and_then(|key| key.parse().ok());
        let key = key.filter(|_| self.is_sharded);
        if self.is_sharded && key.is_none_or(|key| !self.lock_keys().holds(key)) {
            return self.reject(421, &id);
        }
        if !self.take_slot(deadline) {
            return self.reject(503, &id);
        }
        let is_begun = key.is_none_or(|key| self.lock_keys().begin(key));
        if !is_begun {
            self.leave_slot();
            return self.reject(421, &id);
        }
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            upstream: self.id.clone(),
            at_ms: self.record.elapsed_ms(),
        });
        self.record.line(format!("{} runs {id}", self.id));
        thread::sleep(self.behavior.work);
        if let Some(key) = key {
            self.lock_keys().running[usize::from(key)] -= 1;
            self.keys.1.notify_all();
        }
        self.leave_slot();
        self.record.line(format!("{} answers {id}", self.id));
        let body = vec![b'a'; self.behavior.answer_bytes];
        Message::response(200)
            .with("X-Attempt-Id", &id)
            .with("X-Response-Signature", format!("sig-{id}"))
            .with_body(body)
    }

    fn reject(&self, status: u16, id: &str) -> Message {
        self.counts.lock().unwrap().1 += 1;
        self.record.line(format!(
            "{} rejects {id} with {status}, not executed",
            self.id
        ));
        Message::response(status)
            .with("X-Attempt-Id", id)
            .with("X-Not-Executed", 1)
    }

    /// Waits for a slot; without one if the queue is full or the deadline passes.
    fn take_slot(&self, deadline: Instant) -> bool {
        let (lock, freed) = &*self.load;
        let mut load = lock.lock().unwrap();
        if load.running >= self.behavior.slots {
            if load.waiting >= self.behavior.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.behavior.slots {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.waiting -= 1;
                    return false;
                }
                (load, _) = freed.wait_timeout(load, left).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn leave_slot(&self) {
        self.load.0.lock().unwrap().running -= 1;
        self.load.1.notify_all();
    }
}

impl KeyState {
    fn holds(&self, key: u16) -> bool {
        let until = self.held_until[usize::from(key)];
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Begins work on a key, if it is held.
    fn begin(&mut self, key: u16) -> bool {
        let holds = self.holds(key);
        if holds {
            self.running[usize::from(key)] += 1;
        }
        holds
    }
}

fn range(order: &Value) -> Option<(usize, usize)> {
    let first = order["from"].as_u64()? as usize;
    let last = order["targetVersion"].as_u64()? as usize;
    (first <= last && last < KEYS).then_some((first, last))
}
