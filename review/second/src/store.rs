//! The platform's store: the project's emulator behind the platform's protocol.

use crate::http::{Message, answer, read_message};
use crate::record::Record;
use beamtray_adapter::reverse;
use beamtray_dialect::CallMethod;
use beamtray_emulator::{StoreEmulator, StoreReply, WatchWait};
use beamtray_metastore::{StoreCall, StoreOutcome};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Interval at which leases and watches are checked.
const POLL: Duration = Duration::from_millis(5);
/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The store.
pub struct Store {
    emulator: RefCell<StoreEmulator>,
    is_down: Cell<bool>,
    record: Rc<Record>,
}

impl Store {
    /// Starts a store on a free port.
    pub async fn start(record: &Rc<Record>) -> io::Result<(Rc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = Rc::new(Self {
            emulator: RefCell::new(StoreEmulator::new(HISTORY)),
            is_down: Cell::new(false),
            record: record.clone(),
        });
        tokio::task::spawn_local(accept(listener, store.clone()));
        tokio::task::spawn_local(run_timers(store.clone()));
        Ok((store, address))
    }

    /// Writes a key, as the operator and the upstreams do.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let mut emulator = self.emulator.borrow_mut();
        emulator.put(self.record.now(), key, value);
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.emulator.borrow().get(key).map(|item| item.value)
    }

    /// Stops answering, or answers again. Leases wait while it is down.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        let mut emulator = self.emulator.borrow_mut();
        emulator.lease_expiry_enabled = !is_down;
        if !is_down {
            emulator.renew_all_leases(self.record.now());
        }
    }

    async fn execute(&self, call: &StoreCall) -> StoreOutcome {
        let reply = self.emulator.borrow_mut().call(self.record.now(), call);
        match reply {
            StoreReply::Done(outcome) => outcome,
            StoreReply::Waits(wait) => self.wait(&wait).await,
        }
    }

    async fn wait(&self, wait: &WatchWait) -> StoreOutcome {
        loop {
            tokio::time::sleep(POLL).await;
            if self.is_down.get() {
                // A connection on which an answer was lost says nothing more.
                return pending().await;
            }
            if let Some(outcome) = self.emulator.borrow().watch(self.record.now(), wait) {
                return outcome;
            }
        }
    }
}

async fn run_timers(store: Rc<Store>) {
    loop {
        tokio::time::sleep(POLL).await;
        store.emulator.borrow_mut().advance(store.record.now());
    }
}

async fn accept(listener: TcpListener, store: Rc<Store>) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            // A node may end at any time.
            let _ = serve(stream, &store).await;
        });
    }
}

async fn serve(mut stream: TcpStream, store: &Store) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reading, mut writing) = stream.split();
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_message(&mut reader).await? {
        if store.is_down.get() {
            return pending().await;
        }
        tokio::time::sleep(ANSWER_TIME).await;
        let bytes = match read_call(&request) {
            None => answer(400, &[], b"{}"),
            Some(call) => {
                let outcome = store.execute(&call).await;
                if store.is_down.get() {
                    return pending().await;
                }
                match reverse::write_store_outcome(&outcome) {
                    Some(written) => answer(written.status, &[], &written.body),
                    None => return pending().await,
                }
            }
        };
        writing.write_all(&bytes).await?;
    }
    Ok(())
}

fn read_call(request: &Message) -> Option<StoreCall> {
    let (method, target) = request.request_line();
    let method = match method {
        "GET" => CallMethod::Get,
        "DELETE" => CallMethod::Delete,
        _ => CallMethod::Post,
    };
    reverse::read_store_call(method, target, &request.body)
}
