//! The process: one thread, one loop.

use crate::core::{Input, NodeCore};
use crate::settings::NodeSettings;
use crate::shell::actor::{RouterActor, Turn};
use crate::shell::calls::ORDER_UNACKNOWLEDGED;
use crate::shell::connections::Connections;
use crate::shell::handle::Shared;
use crate::shell::observer::Observer;
use crate::shell::outputs::carry_out;
use crate::shell::{clients, peers, readiness, reload};
use beamtray_catalog::ClientLimits;
use beamtray_clock::{BootClock, SuspendDetector, SystemClocks};
use beamtray_dialect::Dialect;
use slog::{Logger, info};
use stakker::{Fwd, Stakker, actor, ret_nop};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet};

/// Between looks at resting connections.
const PRUNE: Duration = Duration::from_secs(1);
/// After the order to stop, clients may still be led here for so long.
const LINGER: Duration = Duration::from_millis(3_000);
/// Kept back from the time that a stop may take.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Between looks at whether everything has ended.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Why the process could not start or go on.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// An address can't be listened on.
    #[error("listen for {purpose} on {address}: {cause}")]
    Listen {
        /// What for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The runtime or the signals could not be set up.
    #[error("start: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs a node until it is told to stop. `file` is where the settings came
/// from; they are read again from there.
///
/// # Errors
/// [`ProcessError`] when it can't start.
pub fn run(
    file: &str,
    settings: &NodeSettings,
    dialect: Rc<dyn Dialect>,
    log: &Logger,
) -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(serve(file, settings, dialect, log.clone())))
}

struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    metrics: Option<TcpListener>,
}

async fn bind(settings: &NodeSettings) -> Result<Listeners, ProcessError> {
    let listen = settings.listen;
    let tcp = async |purpose, address| {
        let listener = TcpListener::bind(address).await;
        listener.map_err(|cause| ProcessError::Listen {
            purpose,
            address,
            cause,
        })
    };
    let metrics = match listen.metrics {
        Some(address) => Some(tcp("metrics", address).await?),
        None => None,
    };
    Ok(Listeners {
        metrics,
        clients: tcp("clients", listen.clients).await?,
        readiness: tcp("readiness", listen.readiness).await?,
        peers: tcp("peers", listen.peers).await?,
        datagrams: UdpSocket::bind(listen.peers)
            .await
            .map_err(|cause| ProcessError::Listen {
                purpose: "reports",
                address: listen.peers,
                cause,
            })?,
    })
}

async fn serve(
    file: &str,
    settings: &NodeSettings,
    dialect: Rc<dyn Dialect>,
    log: Logger,
) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listeners = bind(settings).await?;
    let run: u64 = rand::random();
    info!(log, "start"; "node" => &settings.node, "zone" => &settings.zone, "run" => run,
        "clients" => %settings.listen.clients, "store" => %settings.store.address);
    let clock = Rc::new(BootClock::start(SystemClocks::new()?));
    let core = NodeCore::new(settings.core_config(run), dialect.clone());
    let shared = Rc::new(Shared {
        dialect,
        connections: Connections::default(),
        order_connections: Connections::that_end_after(ORDER_UNACKNOWLEDGED),
        clients: RefCell::new(HashMap::new()),
        actor: RefCell::new(None),
        wake: Notify::new(),
        clock,
        woke: Notify::new(),
        next_ticket: Cell::new(0),
        limits: Cell::new(ClientLimits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        stop: Notify::new(),
        run,
        store: settings.store.address,
        store_era: Cell::new(None),
        datagrams: listeners.datagrams,
        last_answer: peers::LastAnswer::default(),
        observer: Observer::new(log),
    });
    let turn = Rc::new(Turn::default());
    let stakker = start_actor(&shared, core, &turn);
    tokio::task::spawn_local(turns(shared.clone(), turn, stakker));
    tokio::task::spawn_local(readiness::serve(shared.clone(), listeners.readiness));
    tokio::task::spawn_local(peers::serve(shared.clone(), listeners.peers));
    tokio::task::spawn_local(peers::receive(shared.clone()));
    if let Some(listener) = listeners.metrics {
        tokio::task::spawn_local(readiness::serve_metrics(shared.clone(), listener));
    }
    tokio::task::spawn_local(prune(shared.clone()));
    let accepting = tokio::task::spawn_local(clients::accept(shared.clone(), listeners.clients));
    let following = reload::follow(shared.clone(), file.to_owned(), settings.clone(), hangup);
    tokio::task::spawn_local(following);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared, settings.grace(), &accepting).await;
    info!(shared.observer.log, "stopped");
    Ok(())
}

fn start_actor(shared: &Rc<Shared>, core: NodeCore, turn: &Rc<Turn>) -> Stakker {
    let mut stakker = Stakker::new(Instant::now());
    let for_outputs = Rc::downgrade(shared);
    let outputs = Fwd::new(move |output| {
        if let Some(shared) = for_outputs.upgrade() {
            carry_out(&shared, output);
        }
    });
    let turn = turn.clone();
    let owner = actor!(stakker, RouterActor::init(core, turn, outputs), ret_nop!());
    *shared.actor.borrow_mut() = Some(owner);
    stakker.run(Instant::now(), false);
    stakker
}

/// Lets the actor work after each batch of events and when something is due.
async fn turns(shared: Rc<Shared>, turn: Rc<Turn>, mut stakker: Stakker) {
    let mut ticked = None;
    let mut sleep_watch = SuspendDetector::new(shared.clock.source());
    loop {
        if let Some(asleep) = sleep_watch.suspended_for(shared.clock.source()) {
            wake(&shared, asleep);
        }
        turn.now.set(shared.now());
        let now = Instant::now();
        let pause = turn.tick_pause.get();
        if ticked.is_none_or(|ticked| now >= ticked + pause) {
            ticked = Some(now);
            shared.input(Input::Tick);
        }
        stakker.run(now, false);
        shared.ready.set(turn.ready.get());
        let tick_at = ticked.unwrap_or(now) + turn.tick_pause.get();
        let due = turn
            .due
            .get()
            .map(|time| now + shared.clock.time_until(time));
        let wait = due.map_or(tick_at, |due| tick_at.min(due));
        tokio::select! {
            () = shared.wake.notified() => {}
            () = tokio::time::sleep_until(wait.into()) => {}
        }
        if turn.due.get().is_some_and(|due| shared.now() >= due) {
            shared.input(Input::Tick);
        }
    }
}

/// The machine was suspended: what was known before is as old as the boot clock says, and
/// what hung on connections is doubted until something new is heard. Attempts whose time
/// is over end, orders whose right is over are not written; both look at the boot clock.
fn wake(shared: &Shared, asleep: Duration) {
    shared.observer.woke(asleep);
    shared.connections.forget_all();
    shared.order_connections.forget_all();
    shared.woke.notify_waiters();
    shared.input(Input::Woke);
}

async fn prune(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(PRUNE).await;
        shared.connections.prune();
        shared.order_connections.prune();
    }
}

/// Takes what is still led here, lets what is under way end, then closes.
///
/// Invariant: once connections are being closed none is accepted. A connection
/// accepted later would not hear of the stop, and be cut with its request.
async fn stop(shared: &Rc<Shared>, grace: Duration, accepting: &JoinHandle<()>) {
    let begin = Instant::now();
    shared.stopping.set(true);
    shared.input(Input::Stop);
    info!(shared.observer.log, "stopping"; "requests" => shared.clients.borrow().len());
    tokio::time::sleep(LINGER.min(grace / 2)).await;
    accepting.abort();
    tokio::task::yield_now().await;
    shared.stop.notify_waiters();
    let end = begin + grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < end {
        tokio::time::sleep(STOP_POLL).await;
        if shared.clients.borrow().is_empty() {
            return;
        }
    }
}
