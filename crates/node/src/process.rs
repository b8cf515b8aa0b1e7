//! Lifecycle of a node process: bind, start, run, stop.

use crate::edge::{PlatformClient, ResponderPool, UpstreamClient, serve_callers, serve_operators};
use crate::event::EdgeEvent;
use crate::peer::PeerListener;
use crate::shell::{Shell, ShellParts};
use beamtray_control::{ControlConfig, Envelope, Guards, Input, PeerInfo};
use beamtray_http::{CallerServer, CallerServerConfig, HttpServer, ServerConfig};
use beamtray_placement::Policy;
use beamtray_settings::NodeSettings;
use beamtray_types::{Incarnation, Member, NodeId, StepError};
use eyre::{Result, WrapErr, eyre};
use slog::Logger;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{Stakker, actor, actor_new, call, fwd_to, ret_nop, ret_shutdown};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_POLL_WAIT: Duration = Duration::from_secs(1);
const POLL_EVENTS: usize = 1_024;
const WAKER_PRIORITY: u32 = 10;
/// Timeout for a request head, including idle time on a keep-alive connection.
const CALLER_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const CALLER_BODY_TIMEOUT: Duration = Duration::from_secs(10);
const OPERATOR_WORKERS: usize = 4;
const RESPONDER_WORKERS: usize = 8;
const MAX_OPERATOR_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Listen addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A node whose peer address is bound but whose loop has not started, so that
/// the address can be given to other nodes first.
pub struct BoundNode {
    settings: NodeSettings,
    listener: TcpListener,
    peers: SocketAddr,
}

/// A node running on its own thread.
pub struct RunningNode {
    /// Its listen addresses.
    pub addresses: NodeAddresses,
    events: Channel<EdgeEvent>,
    thread: JoinHandle<Result<()>>,
}

impl BoundNode {
    /// Binds the node's peer address.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn bind(settings: NodeSettings) -> Result<Self> {
        let failed = |error: std::io::Error| StepError::new("listen", settings.peers, error);
        let listener = TcpListener::bind(settings.peers).map_err(failed)?;
        let peers = listener.local_addr().map_err(failed)?;
        Ok(Self {
            settings,
            listener,
            peers,
        })
    }

    /// Returns the bound peer address.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Replaces the peers' addresses; used when they bound ephemeral ports.
    pub fn set_peer_addresses(&mut self, addresses: &BTreeMap<NodeId, SocketAddr>) {
        for peer in &mut self.settings.peer_nodes {
            if let Some(address) = addresses.get(&peer.node) {
                peer.address = *address;
            }
        }
    }

    /// Starts the event loop on its own thread.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub fn start(self, log: Logger) -> Result<RunningNode> {
        let (ready, started) = mpsc::channel();
        let thread = thread::Builder::new()
            .name(format!("node-{}", self.settings.node))
            .spawn(move || run(self, log, ready))
            .wrap_err("start the node's thread")?;
        match started.recv() {
            Ok((addresses, events)) => Ok(RunningNode {
                addresses,
                events,
                thread,
            }),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(eyre!("the node exited before startup completed")),
            },
        }
    }
}

impl RunningNode {
    /// Requests a planned stop.
    pub fn stop(&self) {
        self.events.send(EdgeEvent::Input(Input::Stop));
    }

    /// Returns a function that requests a planned stop, for a signal-handling thread.
    pub fn stop_function(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        move || {
            events.send(EdgeEvent::Input(Input::Stop));
        }
    }

    /// Waits until the node has stopped.
    ///
    /// # Errors
    /// When its event loop failed.
    pub fn join(self) -> Result<()> {
        self.thread
            .join()
            .map_err(|_| eyre!("the node's event loop panicked"))?
    }
}

/// Derives the incarnation from the wall clock, so that a restarted node has a
/// higher incarnation than its previous run. If the clock was set back, the
/// node is only recognized as newer once the clock has caught up.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(1, |elapsed| elapsed.as_micros() as u64))
}

fn control_config(settings: &NodeSettings) -> ControlConfig {
    let me = Member {
        node: settings.node,
        incarnation: new_incarnation(),
    };
    let others = settings
        .peer_nodes
        .iter()
        .filter(|peer| peer.node != settings.node);
    ControlConfig {
        me,
        group: settings.group,
        zone: settings.zone.clone(),
        peers: others
            .map(|peer| PeerInfo {
                node: peer.node,
                zone: peer.zone.clone(),
            })
            .collect(),
        voters: settings.voters,
        timing: settings.timing,
        stop_millis: settings.stop_millis,
        seed: rand::random(),
        policy: Policy::Balanced,
        guards: Guards::default(),
    }
}

type Started = (NodeAddresses, Channel<EdgeEvent>);

fn run(bound: BoundNode, log: Logger, ready: mpsc::Sender<Started>) -> Result<()> {
    let settings = bound.settings;
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let poll = Poll::new().wrap_err("create the poll")?;
    let poll = MioPoll::new(
        stakker,
        poll,
        Events::with_capacity(POLL_EVENTS),
        WAKER_PRIORITY,
    )
    .wrap_err("create the poll")?;

    let control = control_config(&settings);
    let log = log.new(slog::o!("node" => settings.node.0, "zone" => settings.zone.to_string()));
    let shell = actor_new!(stakker, Shell, ret_shutdown!(stakker));
    let (events, guard): (Channel<EdgeEvent>, ChannelGuard) = Channel::new(
        stakker,
        fwd_to!([shell], handle_edge_event() as (EdgeEvent)),
    );
    let parts = ShellParts {
        control,
        peers: settings
            .peer_nodes
            .iter()
            .map(|peer| (peer.node, peer.address))
            .collect(),
        upstreams: UpstreamClient::start(settings.upstream_workers, &events),
        platform: PlatformClient::start(settings.key_value, settings.machines, &events),
        responders: ResponderPool::start(RESPONDER_WORKERS),
        log: log.clone(),
    };
    call!([shell], Shell::init(parts));
    let messages = fwd_to!([shell], peer_message() as (usize, Envelope));
    let refusals = fwd_to!([shell], peer_refused() as (SocketAddr, String));
    let _listener = actor!(
        stakker,
        PeerListener::init(bound.listener, messages, refusals),
        ret_nop!()
    );
    let (callers, operators) = start_edges(&settings, &events)?;
    let addresses = NodeAddresses {
        callers: callers.address(),
        peers: bound.peers,
        operators: operators.address(),
    };
    slog::info!(log, "started"; "callers" => addresses.callers.to_string(),
        "peers" => addresses.peers.to_string(),
        "operators" => addresses.operators.to_string());
    // Sending fails only if the starting thread no longer waits for the addresses.
    let _ = ready.send((addresses, events));
    let result = run_loop(stakker, &poll);
    // Dropping the channel answers requests the loop has not received with `not-run`.
    drop(guard);
    callers.stop();
    result
}

fn start_edges(
    settings: &NodeSettings,
    events: &Channel<EdgeEvent>,
) -> Result<(CallerServer, HttpServer)> {
    let callers = CallerServerConfig {
        address: settings.callers,
        max_connections: settings.caller_connections,
        max_body_bytes: settings.max_body_bytes,
        head_timeout: CALLER_HEAD_TIMEOUT,
        body_timeout: CALLER_BODY_TIMEOUT,
    };
    let operators = ServerConfig {
        address: settings.operators,
        workers: OPERATOR_WORKERS,
        max_body_bytes: MAX_OPERATOR_BODY_BYTES,
    };
    Ok((
        serve_callers(callers, events.clone())?,
        serve_operators(operators, events.clone())?,
    ))
}

fn run_loop(stakker: &mut Stakker, poll: &MioPoll) -> Result<()> {
    let mut idle = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, idle || io_pending);
        let (activity, pending) = poll.poll(wait).wrap_err("poll for events")?;
        io_pending = pending;
        idle = stakker.run(Instant::now(), !activity);
    }
    match stakker.shutdown_reason() {
        Some(stakker::StopCause::Stopped) | None => Ok(()),
        Some(cause) => Err(eyre!("the event loop failed: {cause}")),
    }
}
