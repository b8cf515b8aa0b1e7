//! Start-up, main loop and shutdown of the process, all on one thread.

use crate::core::{Input, NodeCore, TransferPace};
use crate::settings::NodeSettings;
use crate::shell::actor::{LoopState, RouterActor};
use crate::shell::calls::ORDER_ACK_TIMEOUT;
use crate::shell::clients::ClientRegistry;
use crate::shell::connections::ConnectionPool;
use crate::shell::handle::Shared;
use crate::shell::observer::{Observer, Wakeup};
use crate::shell::outputs::execute_output;
use crate::shell::tunnel::Tunnels;
use crate::shell::{clients, peers, readiness, reload, startup};
use beamtray_catalog::ClientLimits;
use beamtray_clock::{BootClock, SuspendDetector, SystemClocks};
use beamtray_dialect::Dialect;
use beamtray_resources::{Account, Shares};
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

/// Interval at which idle connections are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// How long new connections are still accepted after the stop signal: load balancers may still
/// route clients here.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(3_000);
/// Part of the shutdown grace period that is kept in reserve.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How long before the end of shutdown the last requests end, so that their answers are written.
const STOP_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Interval at which shutdown checks whether all client requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reasons why the process could not start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A listening socket could not be bound.
    #[error("cannot listen for {purpose} on {address}: {cause}")]
    Listen {
        /// What the socket serves.
        purpose: &'static str,
        /// The address to bind.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The runtime or the signal handlers could not be set up.
    #[error("cannot start the runtime: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs a node until SIGTERM or SIGINT. `file` is the path of `settings`; changed settings are
/// read again from there.
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
    let limits = &settings.limits;
    let account = Account::new(Shares::of_process(limits.memory_mb, limits.descriptors));
    let shared = Rc::new(Shared {
        dialect,
        connections: ConnectionPool::new(account.clone()),
        release_answers: RefCell::default(),
        order_connections: ConnectionPool::new(account.clone()).with_ack_timeout(ORDER_ACK_TIMEOUT),
        account,
        clients_state: Rc::new(ClientRegistry::default()),
        clients: RefCell::new(HashMap::new()),
        actor: RefCell::new(None),
        core_wakeup: Notify::new(),
        clock,
        resumed: Notify::new(),
        next_ticket: Cell::new(0),
        limits: Cell::new(ClientLimits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        isolated: Cell::new(false),
        shutdown: Notify::new(),
        run,
        store: settings.store.address,
        store_era: Cell::new(None),
        datagrams: listeners.datagrams,
        answer_cache: peers::AnswerCache::default(),
        tunnels: Tunnels::default(),
        transfer_pace: RefCell::new(TransferPace::new(settings.limits.link_mbps)),
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
    tokio::task::spawn_local(startup::report_waits(shared.clone()));
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

/// Runs the actor after each batch of inputs and whenever the core has work due.
async fn run_core_loop(shared: Rc<Shared>, loop_state: Rc<LoopState>, mut stakker: Stakker) {
    let mut last_tick = None;
    let mut sleep_watch = SuspendDetector::new(shared.clock.source());
    loop {
        if let Some(suspended_for) = sleep_watch.suspended_for(shared.clock.source()) {
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
        set_isolated(&shared, loop_state.isolated.get());
        let (work, waiting) = (loop_state.work.get(), loop_state.waiting.get());
        shared.observer.review_decisions(work, waiting);
        let tick_at = last_tick.unwrap_or(now) + loop_state.tick_interval.get();
        let due = loop_state
            .due
            .get()
            .map(|time| now + shared.clock.time_until(time));
        let wait = due.map_or(tick_at, |due| tick_at.min(due));
        let woken_by = tokio::select! {
            () = shared.core_wakeup.notified() => Wakeup::Input,
            () = tokio::time::sleep_until(wait.into()) => Wakeup::Tick,
        };
        if loop_state.due.get().is_some_and(|due| shared.now() >= due) {
            shared.observer.woken(Wakeup::Due);
            shared.input(Input::Tick);
        } else {
            shared.observer.woken(woken_by);
        }
    }
}

fn set_isolated(shared: &Shared, is_isolated: bool) {
    if shared.isolated.replace(is_isolated) != is_isolated {
        shared.observer.isolated_changed(is_isolated);
    }
}

/// Called after the machine was suspended. Idle connections are closed, because the other
/// sides may have dropped them, and the core learns that its data is as old as the boot clock
/// says. Attempts past their deadline end and orders past their validity are not written; both
/// are checked against the boot clock.
fn handle_resume(shared: &Shared, suspended_for: Duration) {
    shared.observer.resumed(suspended_for);
    shared.connections.close_all_idle();
    shared.order_connections.close_all_idle();
    shared.resumed.notify_waiters();
    shared.input(Input::Resumed);
}

async fn prune(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        shared.connections.prune();
        shared.order_connections.prune();
        clients::close_late_heads(&shared);
    }
}

/// Goes on accepting connections for a while, lets running requests finish and clients read their
/// answers, then closes all connections.
///
/// Invariant: no connection is accepted once connections are being closed. One accepted later
/// would miss the shutdown notification and be cut together with its request.
async fn shut_down(shared: &Rc<Shared>, grace: Duration, accept_task: &JoinHandle<()>) {
    let stop_requested_at = Instant::now();
    shared.stopping.set(true);
    let time_left = grace.saturating_sub(STOP_MARGIN);
    let end = shared.now() + time_left.saturating_sub(STOP_ANSWER_TIME);
    shared.input(Input::Stop { end });
    info!(shared.observer.log, "stopping"; "requests" => shared.clients.borrow().len());
    tokio::time::sleep(STOP_ACCEPT_PERIOD.min(grace / 2)).await;
    accept_task.abort();
    tokio::task::yield_now().await;
    shared.shutdown.notify_waiters();
    let end = stop_requested_at + time_left;
    while Instant::now() < end {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        shared.tunnels.close_idle();
        let is_answered =
            shared.clients.borrow().is_empty() && !shared.clients_state.any_unfinished();
        if is_answered && shared.tunnels.count() == 0 {
            return;
        }
    }
}
