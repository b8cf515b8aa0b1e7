//! The process: one thread, one loop.

use crate::core::{Input, NodeCore};
use crate::settings::NodeSettings;
use crate::shell::actor::{LoopState, RouterActor};
use crate::shell::calls::ORDER_ACK_TIMEOUT;
use crate::shell::connections::ConnectionPool;
use crate::shell::handle::Shared;
use crate::shell::observer::Observer;
use crate::shell::outputs::execute_output;
use crate::shell::{clients, peers, readiness, reload};
use beamtray_catalog::ClientLimits;
use beamtray_clock::{BootClock, SleepWatch, SystemClocks};
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
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// After the order to stop, clients may still be led here for so long.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(3_000);
/// Kept back from the time that a stop may take.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Between looks at whether everything has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
        connections: ConnectionPool::default(),
        order_connections: ConnectionPool::with_ack_timeout(ORDER_ACK_TIMEOUT),
        clients: RefCell::new(HashMap::new()),
        actor: RefCell::new(None),
        core_wakeup: Notify::new(),
        clock,
        resumed: Notify::new(),
        next_ticket: Cell::new(0),
        limits: Cell::new(ClientLimits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        shutdown: Notify::new(),
        run,
        store: settings.store.address,
        store_era: Cell::new(None),
        datagrams: listeners.datagrams,
        answer_cache: peers::AnswerCache::default(),
        observer: Observer::new(log),
    });
    let loop_state = Rc::new(LoopState::default());
    let stakker = start_actor(&shared, core, &loop_state);
    tokio::task::spawn_local(run_core_loop(shared.clone(), loop_state, stakker));
    tokio::task::spawn_local(readiness::serve(shared.clone(), listeners.readiness));
    tokio::task::spawn_local(peers::serve(shared.clone(), listeners.peers));
    tokio::task::spawn_local(peers::receive(shared.clone()));
    if let Some(listener) = listeners.metrics {
        tokio::task::spawn_local(readiness::serve_metrics(shared.clone(), listener));
    }
    tokio::task::spawn_local(prune(shared.clone()));
    let accept_task = tokio::task::spawn_local(clients::accept(shared.clone(), listeners.clients));
    let reload_task =
        reload::watch_settings(shared.clone(), file.to_owned(), settings.clone(), hangup);
    tokio::task::spawn_local(reload_task);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&shared, settings.shutdown_grace(), &accept_task).await;
    info!(shared.observer.log, "stopped");
    Ok(())
}

fn start_actor(shared: &Rc<Shared>, core: NodeCore, loop_state: &Rc<LoopState>) -> Stakker {
    let mut stakker = Stakker::new(Instant::now());
    let weak_shared = Rc::downgrade(shared);
    let outputs = Fwd::new(move |output| {
        if let Some(shared) = weak_shared.upgrade() {
            execute_output(&shared, output);
        }
    });
    let loop_state = loop_state.clone();
    let owner = actor!(
        stakker,
        RouterActor::init(core, loop_state, outputs),
        ret_nop!()
    );
    *shared.actor.borrow_mut() = Some(owner);
    stakker.run(Instant::now(), false);
    stakker
}

/// Lets the actor work after each batch of events and when something is due.
async fn run_core_loop(shared: Rc<Shared>, loop_state: Rc<LoopState>, mut stakker: Stakker) {
    let mut last_tick = None;
    let mut sleep_watch = SleepWatch::new(shared.clock.source());
    loop {
        if let Some(suspended_for) = sleep_watch.asleep(shared.clock.source()) {
            handle_resume(&shared, suspended_for);
        }
        loop_state.now.set(shared.now());
        let now = Instant::now();
        let pause = loop_state.tick_interval.get();
        if last_tick.is_none_or(|last_tick| now >= last_tick + pause) {
            last_tick = Some(now);
            shared.input(Input::Tick);
        }
        stakker.run(now, false);
        shared.ready.set(loop_state.ready.get());
        let tick_at = last_tick.unwrap_or(now) + loop_state.tick_interval.get();
        let due = loop_state
            .due
            .get()
            .map(|time| now + shared.clock.until(time));
        let wait = due.map_or(tick_at, |due| tick_at.min(due));
        tokio::select! {
            () = shared.core_wakeup.notified() => {}
            () = tokio::time::sleep_until(wait.into()) => {}
        }
        if loop_state.due.get().is_some_and(|due| shared.now() >= due) {
            shared.input(Input::Tick);
        }
    }
}

/// The machine was suspended: what was known before is as old as the boot clock says, and
/// what hung on connections is doubted until something new is heard. Attempts whose time
/// is over end, orders whose right is over are not written; both look at the boot clock.
fn handle_resume(shared: &Shared, suspended_for: Duration) {
    shared.observer.resumed(suspended_for);
    shared.connections.close_all_idle();
    shared.order_connections.close_all_idle();
    shared.resumed.notify_waiters();
    shared.input(Input::Woke);
}

async fn prune(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        shared.connections.prune();
        shared.order_connections.prune();
    }
}

/// Takes what is still led here, lets what is under way end, then closes.
///
/// Invariant: once connections are being closed none is accepted. A connection
/// accepted later would not hear of the stop, and be cut with its request.
async fn shut_down(shared: &Rc<Shared>, grace: Duration, accept_task: &JoinHandle<()>) {
    let stop_requested_at = Instant::now();
    shared.stopping.set(true);
    shared.input(Input::Stop);
    info!(shared.observer.log, "stopping"; "requests" => shared.clients.borrow().len());
    tokio::time::sleep(STOP_ACCEPT_PERIOD.min(grace / 2)).await;
    accept_task.abort();
    tokio::task::yield_now().await;
    shared.shutdown.notify_waiters();
    let end = stop_requested_at + grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < end {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        if shared.clients.borrow().is_empty() {
            return;
        }
    }
}
