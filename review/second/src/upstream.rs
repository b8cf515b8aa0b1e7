//! An upstream: holds keys, runs requests, and errs as it is told.

use crate::http::{Message, answer, read_message};
use crate::judge::Judge;
use crate::keys::{KeyTable, Range};
use crate::record::Record;
use crate::store::Store;
use beamtray_adapter::reverse;
use beamtray_catalog::{UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
use beamtray_sharding::{CallId, GrantOrder, OrderKind};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Requests that an upstream works on at once.
const SLOTS: u32 = 64;
/// Interval at which a release looks whether the work on its keys has ended.
const POLL: Duration = Duration::from_millis(2);
/// What a sound upstream says of its idle time, in seconds.
const IDLE_SECONDS: &str = "10";

/// How an upstream errs.
#[derive(Default)]
pub struct Faults {
    /// The number of seconds in `Keep-Alive`, if not the usual one.
    pub keep_alive: RefCell<Option<String>>,
    /// Grants get no answer and are taken later.
    pub late_grants: Cell<bool>,
    /// The next answer to an order is sent a second time, this much later.
    pub surplus: Cell<Option<Duration>>,
    /// One in so many requests gets this status line and no body in place of an answer.
    pub no_answer: RefCell<Option<(usize, &'static str)>>,
    /// No machine of the system reaches the upstream.
    pub is_cut: Cell<bool>,
}

/// One upstream.
pub struct Upstream {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// How it errs.
    pub faults: Faults,
    /// Requests that it ran to their end.
    pub runs: Cell<usize>,
    /// Grants that it left unanswered.
    pub unanswered: Cell<usize>,
    /// Answers that it sent a second time while another one was due.
    pub surplus_sent: Cell<usize>,
    service: String,
    is_sharded: bool,
    keys: RefCell<KeyTable>,
    handovers: Cell<u64>,
    late: RefCell<Vec<LateGrant>>,
    store: Rc<Store>,
    judge: Rc<Judge>,
    record: Rc<Record>,
}

/// A grant that was left unanswered.
struct LateGrant {
    range: Range,
    fence: u64,
    hold: Duration,
}

/// A connection on which answers are written.
struct Connection {
    writer: Mutex<OwnedWriteHalf>,
    /// Whether an answer is due.
    is_due: Cell<bool>,
}

impl Upstream {
    /// Starts an upstream on a free port and registers it.
    pub async fn start(
        id: &str,
        service: &str,
        is_sharded: bool,
        store: &Rc<Store>,
        judge: &Rc<Judge>,
        record: &Rc<Record>,
    ) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let upstream = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            faults: Faults::default(),
            runs: Cell::new(0),
            unanswered: Cell::new(0),
            surplus_sent: Cell::new(0),
            service: service.to_owned(),
            is_sharded,
            keys: RefCell::new(KeyTable::new()),
            handovers: Cell::new(1),
            late: RefCell::default(),
            store: store.clone(),
            judge: judge.clone(),
            record: record.clone(),
        });
        upstream.register(UpstreamState::Ready);
        tokio::task::spawn_local(accept(listener, upstream.clone()));
        Ok(upstream)
    }

    /// Writes its entry in the store.
    pub fn register(&self, state: UpstreamState) {
        let entry = UpstreamRecord {
            id: UpstreamId {
                name: UpstreamName(self.id.clone()),
                started_at: None,
            },
            service: self.service.as_str().into(),
            address: self.address,
            zone: "zone-0".into(),
            slots: SLOTS,
            state,
            warm_up_left: Duration::ZERO,
        };
        let value = reverse::write_upstream(&entry, 1);
        self.store.put(&format!("servers/{}", self.id), value);
        self.record
            .line(format_args!("{} registers as {state:?}", self.id));
    }

    /// Number of keys that it holds.
    pub fn held(&self) -> usize {
        let now = self.record.now();
        let keys = self.keys.borrow();
        (0..=u16::MAX).filter(|key| keys.holds(now, *key)).count()
    }

    /// Whether it holds a key.
    pub fn holds(&self, key: u16) -> bool {
        self.keys.borrow().holds(self.record.now(), key)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let seconds = self.faults.keep_alive.borrow();
        let seconds = seconds.as_deref().unwrap_or(IDLE_SECONDS);
        vec![
            ("X-Instance-Id", self.id.clone()),
            ("Keep-Alive", format!("timeout={seconds}")),
        ]
    }

    fn not_executed(&self, status: u16, id: Option<&str>) -> Vec<u8> {
        let mut headers = self.headers();
        headers.push(("X-Not-Executed", "1".to_owned()));
        headers.extend(id.map(|id| ("X-Attempt-Id", id.to_owned())));
        answer(status, &headers, b"")
    }

    async fn run(&self, request: &Message) -> Vec<u8> {
        let (method, target) = request.request_line();
        let Some(id) = request.header("x-attempt-id") else {
            return self.not_executed(400, None);
        };
        let key: Option<u16> = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok());
        let key = key.filter(|_| self.is_sharded);
        if key.is_none() && self.is_sharded {
            return self.not_executed(400, Some(id));
        }
        if let Some(key) = key {
            if !self.holds(key) {
                self.record
                    .line(format_args!("{} rejects {id}: key {key}", self.id));
                return self.not_executed(421, Some(id));
            }
            let lease_end = self.keys.borrow().held_until(key);
            self.judge.work_begins(&self.id, id, key, lease_end);
        }
        self.record.line(format_args!(
            "{} runs {id}: {method} {target} {key:?}",
            self.id
        ));
        let work = target.rsplit('/').next().and_then(|ms| ms.parse().ok());
        tokio::time::sleep(Duration::from_millis(work.unwrap_or(20))).await;
        self.judge.work_ends(id);
        self.runs.set(self.runs.get() + 1);
        self.record
            .line(format_args!("{} has run {id} to its end", self.id));
        let mut headers = self.headers();
        headers.push(("X-Attempt-Id", id.to_owned()));
        if let Some((one_in, line)) = *self.faults.no_answer.borrow()
            && self.runs.get().is_multiple_of(one_in)
        {
            self.record
                .line(format_args!("{} sends {line:?} for {id}", self.id));
            return format!("{line}\r\nX-Attempt-Id: {id}\r\n\r\n").into_bytes();
        }
        headers.push(("X-Response-Signature", format!("{}.{id}", self.id)));
        answer(200, &headers, format!("done {id}").as_bytes())
    }

    /// Carries out an order; `None` if it gets no answer.
    async fn order(&self, order: GrantOrder) -> Option<Vec<u8>> {
        let range = Range {
            first: order.range.first.0,
            last: order.range.last.0,
        };
        let fence = order.token.0;
        match order.kind {
            OrderKind::Grant { hold, .. } => {
                if self.faults.late_grants.get() {
                    self.leave_unanswered(range, fence, hold);
                    return None;
                }
                let status = match self.take(range, fence, hold, false) {
                    true => 200,
                    false => 409,
                };
                Some(answer(status, &self.headers(), b"{}"))
            }
            OrderKind::Release => {
                self.keys.borrow_mut().release(range, fence);
                while self.judge.works_on(&self.id, range) {
                    tokio::time::sleep(POLL).await;
                }
                // The question whether it is alive is a release under the lowest fence.
                if fence > 1 {
                    self.record.line(format_args!(
                        "{} released {}..{} fence {fence}",
                        self.id, range.first, range.last
                    ));
                }
                self.handovers.set(self.handovers.get() + 1);
                let handover = format!("{:016x}", self.handovers.get());
                let mut headers = self.headers();
                headers.push(("X-Handover", handover));
                Some(answer(200, &headers, b"{}"))
            }
        }
    }

    fn take(&self, range: Range, fence: u64, hold: Duration, is_late: bool) -> bool {
        let now = self.record.now();
        let is_taken = self.keys.borrow_mut().grant(now, range, fence, hold);
        let late = if is_late { ", late" } else { "" };
        let how = if is_taken { "takes" } else { "refuses" };
        self.record.line(format_args!(
            "{} {how} {}..{} fence {fence} for {} ms{late}",
            self.id,
            range.first,
            range.last,
            hold.as_millis()
        ));
        if is_taken {
            self.judge
                .keys_taken(&self.id, range, fence, now + hold, is_late);
        }
        is_taken
    }

    fn leave_unanswered(&self, range: Range, fence: u64, hold: Duration) {
        self.unanswered.set(self.unanswered.get() + 1);
        self.record.line(format_args!(
            "{} leaves a grant of {}..{} fence {fence} unanswered",
            self.id, range.first, range.last
        ));
        let grant = LateGrant { range, fence, hold };
        self.late.borrow_mut().push(grant);
    }

    /// Whether another upstream has keys that it was granted so.
    pub fn have_late_keys_gone_on(&self) -> bool {
        let late = self.late.borrow();
        late.iter()
            .any(|grant| self.judge.has_gone_on(&self.id, grant.range, grant.fence))
    }

    /// Carries out the grants that it left unanswered.
    pub fn carry_out_late_grants(&self) {
        for grant in self.late.take() {
            self.take(grant.range, grant.fence, grant.hold, true);
        }
    }
}

async fn accept(listener: TcpListener, upstream: Rc<Upstream>) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        tokio::task::spawn_local(async move {
            // A router may close a connection at any time.
            let _ = serve(stream, &upstream).await;
        });
    }
}

async fn serve(stream: TcpStream, upstream: &Rc<Upstream>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reading, writer) = stream.into_split();
    let mut reader = BufReader::new(reading);
    let connection = Rc::new(Connection {
        writer: Mutex::new(writer),
        is_due: Cell::new(false),
    });
    while let Some(request) = read_message(&mut reader).await? {
        if upstream.faults.is_cut.get() {
            // What was sent over a cut link is lost with its connection.
            return lose(&mut reader, upstream).await;
        }
        connection.is_due.set(true);
        let (_, target) = request.request_line();
        let wanted = request.header("x-target-instance");
        let is_other = wanted.is_some_and(|wanted| wanted != upstream.id);
        let holder = UpstreamId::from(upstream.id.clone());
        let order = reverse::read_order(target, &request.body, holder, CallId(0));
        let is_order = order.is_some();
        let bytes = match order {
            _ if is_other => upstream.not_executed(421, request.header("x-attempt-id")),
            Some(order) => match upstream.order(order).await {
                Some(bytes) => bytes,
                None => return pending().await,
            },
            None => upstream.run(&request).await,
        };
        if upstream.faults.is_cut.get() {
            return lose(&mut reader, upstream).await;
        }
        connection.is_due.set(false);
        connection.writer.lock().await.write_all(&bytes).await?;
        if is_order && let Some(delay) = upstream.faults.surplus.take() {
            tokio::task::spawn_local(send_again(
                upstream.clone(),
                connection.clone(),
                delay,
                bytes,
            ));
        }
    }
    Ok(())
}

/// Reads and discards what arrives while the link is cut, and then closes the connection.
async fn lose(
    reader: &mut (impl tokio::io::AsyncRead + Unpin),
    upstream: &Upstream,
) -> io::Result<()> {
    use tokio::io::AsyncReadExt;
    let mut bytes = [0; 4096];
    while upstream.faults.is_cut.get() {
        let read = tokio::time::timeout(POLL, reader.read(&mut bytes)).await;
        if matches!(read, Ok(Ok(0) | Err(_))) {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends an answer a second time, if another one is due on its connection then.
async fn send_again(
    upstream: Rc<Upstream>,
    connection: Rc<Connection>,
    delay: Duration,
    bytes: Vec<u8>,
) {
    tokio::time::sleep(delay).await;
    let is_due = connection.is_due.get();
    upstream.record.line(format_args!(
        "{} sends an answer to an order a second time; another one is due there: {is_due}",
        upstream.id
    ));
    let written = connection.writer.lock().await.write_all(&bytes).await;
    if is_due && written.is_ok() {
        upstream.surplus_sent.set(upstream.surplus_sent.get() + 1);
    }
}
