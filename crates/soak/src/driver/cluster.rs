//! The processes of a run and the proxies between them.

use super::RunSettings;
use super::faults::{ActiveFault, Target};
use super::ports::Ports;
use crate::channel::MessageReader;
use crate::checker::{
    DelayedDelivery, Disturbance, Disturbed, FaultEnd, History, PlannedStop, UpstreamEnd,
};
use crate::children::{Process, router_program};
use crate::clock;
use crate::config::{
    CONTACT, DRAIN, HEARTBEAT, KEYED, LONGEST_HOLD, LOOKUP, POOL, RETRY_ALLOWANCE, RETRY_RATIO,
    RETRY_WINDOW, STOP_GRACE, zones,
};
use crate::load::{HighLoad, Room};
use crate::message::{Command, Observation, Report};
use crate::plan::Plan;
use crate::processor_limit::ProcessorLimit;
use crate::proxy::Proxy;
use crate::size::Size;
use crate::tenants::{QUOTA_OVERAGE, QUOTA_WINDOW_S};
use beamtray_types::Time;
use beamtray_wire::encode;
use eyre::{Result, WrapErr, bail, ensure};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Shortest lease in milliseconds.
const LEAST_TTL_MS: u64 = 1_000;
/// Delay before an upstream that exited by itself is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// Longest time for the reports of all processes to arrive at the end of a run.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the arrival of reports is checked.
const FLUSH_POLL: Duration = Duration::from_millis(20);
/// Speed of the clock that times holds on the first upstream, to test clock drift.
const SLOW_CLOCK_PERCENT: u32 = 98;

/// Line of the settings of a router at the first start of all of them.
const FIRST_START: &str = "first_start = true\n";

/// What the settings of a router say of its machine.
struct RouterLimits {
    processor_share: f64,
    memory_mb: u64,
    descriptors: u64,
    zones: &'static [&'static str],
    /// Settings that only loaded runs have: that all routers start for the first time, and the
    /// bounds on cold upstreams.
    first_start: &'static str,
    cold_bounds: &'static str,
}

impl RouterLimits {
    fn of(size: Size, load: Option<HighLoad>) -> Self {
        let zones = zones(size);
        match load {
            None => Self {
                processor_share: 1.0,
                memory_mb: 256,
                descriptors: 1_024,
                zones,
                first_start: "",
                cold_bounds: "",
            },
            Some(load) => Self {
                processor_share: f64::from(load.router_processor_percent) / 100.0,
                memory_mb: 160,
                descriptors: 4_100,
                zones,
                first_start: FIRST_START,
                cold_bounds: "cold_overage = 1.5\ncold_slack = 8.0\n",
            },
        }
    }
}

type Commands = Rc<RefCell<HashMap<String, UnboundedSender<Command>>>>;
type Reports = Rc<RefCell<Vec<Report>>>;

/// A router, its settings and the proxy on its link to the store.
pub(super) struct RouterSlot {
    pub process: Option<Process>,
    pub store_proxy: Proxy,
    settings: PathBuf,
    pub clients: SocketAddr,
    /// Start of a planned stop that is in progress.
    pub stopping: Option<Time>,
}

/// The proxies on the links to an upstream and from it to the store.
pub(super) struct UpstreamLinks {
    pub proxy: Proxy,
    pub store_proxy: Proxy,
}

/// An upstream, its address, and its links if a fault of the plan concerns any.
pub(super) struct UpstreamSlot {
    pub process: Option<Process>,
    pub links: Option<UpstreamLinks>,
    listen: SocketAddr,
    generation: u32,
    /// When the upstream is replaced, if it exited by itself.
    pub replaced_at: Option<Time>,
}

/// All processes of a run.
pub(super) struct Cluster {
    pub routers: Vec<RouterSlot>,
    pub upstreams: Vec<UpstreamSlot>,
    _store: Process,
    _caller: Process,
    driver: SocketAddr,
    store: SocketAddr,
    folder: PathBuf,
    commands: Commands,
    reports: Reports,
    size: Size,
    load: Option<HighLoad>,
    spoils: bool,
    limit: Option<ProcessorLimit>,
    has_traffic: bool,
    /// Upstreams that exited by themselves.
    pub exits: usize,
    /// Start of the traffic, and times at which all routers were started again.
    pub returns: Vec<Time>,
    pub version: u64,
    pub active: Vec<ActiveFault>,
    pub disturbances: Vec<Disturbance>,
    pub stops: Vec<PlannedStop>,
    pub upstream_ends: Vec<UpstreamEnd>,
    pub fault_ends: Vec<FaultEnd>,
    pub delayed_deliveries: Vec<DelayedDelivery>,
}

impl Cluster {
    /// Starts all processes and proxies.
    pub async fn start(settings: &RunSettings, plan: &Plan) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let driver = listener.local_addr()?;
        let commands = Commands::default();
        let reports = Reports::default();
        tokio::task::spawn_local(accept_processes(
            listener,
            commands.clone(),
            reports.clone(),
        ));
        let folder = settings.folder.clone();
        let own = std::env::current_exe()?;
        let size = settings.size;
        let ports = Ports::claim(size)?;
        let store_address = ports.free_address()?;
        let load = HighLoad::of(size, settings.rate);
        let mut arguments = vec![
            "store".to_owned(),
            format!("--listen={store_address}"),
            format!("--driver={driver}"),
        ];
        arguments.extend(load.map(|load| format!("--cold-rate={}", load.cold_rate)));
        let store = Process::start(&folder, "store", &own, &arguments)?;
        let limits = RouterLimits::of(size, load);
        let mut routers = Vec::new();
        for node in 0..size.routers {
            routers.push(router_slot(&folder, node, store_address, &ports, &limits).await?);
        }
        let addresses: Vec<String> = routers.iter().map(|one| one.clients.to_string()).collect();
        let mut arguments = vec![
            "caller".to_owned(),
            format!("--driver={driver}"),
            format!("--routers={}", addresses.join(",")),
            format!("--rate={}", settings.rate),
            format!("--seed={}", settings.seed),
        ];
        arguments.extend(load.map(|load| format!("--work={}", load.work)));
        if settings.spoils {
            arguments.push("--transfers".to_owned());
        }
        let caller = Process::start(&folder, "caller", &own, &arguments)?;
        // Each connection through a link takes two descriptors of this process.
        let needs_links = load.is_none() || plan.has_upstream_link_faults();
        let mut upstreams = Vec::new();
        for _ in 0..size.upstreams() {
            let listen = ports.free_address()?;
            let links = match needs_links {
                true => Some(UpstreamLinks {
                    proxy: Proxy::start(listen).await?,
                    store_proxy: Proxy::start(store_address).await?,
                }),
                false => None,
            };
            upstreams.push(UpstreamSlot {
                process: None,
                links,
                listen,
                generation: 0,
                replaced_at: None,
            });
        }
        let mut cluster = Self {
            routers,
            upstreams,
            _store: store,
            _caller: caller,
            driver,
            store: store_address,
            folder,
            commands,
            reports,
            size,
            load,
            spoils: settings.spoils,
            limit: load.map(|load| ProcessorLimit::start(load.router_processor_percent)),
            has_traffic: false,
            exits: 0,
            returns: Vec::new(),
            version: 0,
            active: Vec::new(),
            disturbances: Vec::new(),
            stops: Vec::new(),
            upstream_ends: Vec::new(),
            fault_ends: Vec::new(),
            delayed_deliveries: Vec::new(),
        };
        for index in 0..size.upstreams() {
            cluster.start_upstream(index)?;
        }
        for node in 0..size.routers {
            cluster.start_router(node)?;
        }
        Ok(cluster)
    }

    /// Waits for the processes to start, then starts the traffic.
    pub async fn warm_up(&mut self, time: Duration) -> Result<()> {
        tokio::time::sleep(time / 4).await;
        self.configure();
        tokio::time::sleep(time * 3 / 4).await;
        self.send_command("caller", &Command::StartTraffic);
        self.has_traffic = true;
        self.returns.push(now());
        Ok(())
    }

    /// Publishes the next configuration.
    pub fn configure(&mut self) {
        self.version += 1;
        self.send_command("store", &Command::Configure(self.version));
        self.send_command("caller", &Command::Probe(self.version));
    }

    /// Sends a command to a process, if it is connected.
    pub fn send_command(&self, name: &str, command: &Command) {
        if let Some(sender) = self.commands.borrow().get(name) {
            // Sending fails only if the process has just ended.
            let _ = sender.send(command.clone());
        }
    }

    pub fn start_router(&mut self, node: usize) -> Result<()> {
        if self.has_traffic {
            forget_first_start(&self.routers[node].settings)?;
        }
        let slot = &mut self.routers[node];
        let settings = slot.settings.display().to_string();
        let arguments = vec!["route".to_owned(), "--settings".to_owned(), settings];
        let name = format!("router-{node}");
        let program = router_program()?;
        let mut process = Process::start(&self.folder, &name, &program, &arguments)?;
        if let Some(limit) = &self.limit {
            process.limit_processor(limit);
        }
        slot.process = Some(process);
        Ok(())
    }

    fn service(&self, index: usize) -> &'static str {
        if index < self.size.keyed {
            KEYED
        } else if index < self.size.keyed + self.size.pool {
            POOL
        } else {
            LOOKUP
        }
    }

    /// Index of the zone of an upstream.
    pub fn zone_of_upstream(&self, index: usize) -> usize {
        index % zones(self.size).len()
    }

    /// Upstreams in a zone.
    pub fn upstreams_of_zone(&self, zone: usize) -> Vec<usize> {
        let all = 0..self.size.upstreams();
        all.filter(|index| self.zone_of_upstream(*index) == zone)
            .collect()
    }

    /// Replaces upstreams that exited by themselves, as a platform does with its machines.
    pub fn replace_exited_upstreams(&mut self, at: Time) -> Result<()> {
        for index in 0..self.upstreams.len() {
            if self.is_upstream_faulted(index) {
                continue;
            }
            if let Some(due) = self.upstreams[index].replaced_at {
                if at >= due {
                    self.start_upstream(index)?;
                }
                continue;
            }
            let process = self.upstreams[index].process.as_mut();
            if process.is_some_and(Process::has_ended) {
                self.upstreams[index].process = None;
                self.upstreams[index].replaced_at = Some(at + REPLACEMENT_DELAY);
                self.exits += 1;
                self.upstream_ended(index);
                self.disturbances.push(Disturbance {
                    whom: Disturbed::Upstream,
                    from: at,
                    until: at + REPLACEMENT_DELAY,
                });
            }
        }
        Ok(())
    }

    /// Waits until the driver has read all that the other processes observed so far: judged
    /// before that, requests that routers served would count as not served.
    pub async fn collect_reports(&mut self) -> Result<()> {
        let names: Vec<String> = self.commands.borrow().keys().cloned().collect();
        let alive = names.into_iter().filter(|name| self.is_alive(name));
        let mut missing: HashSet<String> = alive.collect();
        for name in &missing {
            self.send_command(name, &Command::Flush);
        }
        let mut seen = self.reports.borrow().len();
        let end = now() + FLUSH_TIMEOUT;
        while !missing.is_empty() {
            if now() >= end {
                bail!("the reports of {missing:?} did not arrive; the run proves nothing");
            }
            tokio::time::sleep(FLUSH_POLL).await;
            let reports = self.reports.borrow();
            for report in &reports[seen..] {
                if report.observation == Observation::Flushed {
                    missing.remove(&report.from);
                }
            }
            seen = reports.len();
        }
        Ok(())
    }

    /// Whether a process with this name is running now.
    fn is_alive(&mut self, name: &str) -> bool {
        if name == "store" || name == "caller" {
            return true;
        }
        let of_name = (0..self.upstreams.len()).find(|index| self.upstream_name(*index) == name);
        let process = of_name.and_then(|index| self.upstreams[index].process.as_mut());
        process.is_some_and(|process| !process.has_ended())
    }

    /// Name of the current incarnation of an upstream.
    pub fn upstream_name(&self, index: usize) -> String {
        let service = self.service(index);
        format!("{service}-{index}-{}", self.upstreams[index].generation)
    }

    /// Records the end of the current incarnation of an upstream.
    pub fn upstream_ended(&mut self, index: usize) {
        let upstream = self.upstream_name(index);
        let at = now();
        self.upstream_ends.push(UpstreamEnd { upstream, at });
    }

    /// Starts the next incarnation of an upstream.
    pub fn start_upstream(&mut self, index: usize) -> Result<()> {
        self.upstreams[index].generation += 1;
        self.upstreams[index].replaced_at = None;
        let name = self.upstream_name(index);
        let service = self.service(index);
        let slot = &self.upstreams[index];
        let links = slot.links.as_ref();
        let advertised = links.map_or(slot.listen, |links| links.proxy.address);
        let store = links.map_or(self.store, |links| links.store_proxy.address);
        let clock = if index == 0 { SLOW_CLOCK_PERCENT } else { 100 };
        let mut arguments = vec![
            "upstream".to_owned(),
            format!("--id={name}"),
            format!("--service={service}"),
            format!("--zone={}", zones(self.size)[self.zone_of_upstream(index)]),
            format!("--listen={}", slot.listen),
            format!("--advertised={advertised}"),
            format!("--store={store}"),
            format!("--driver={}", self.driver),
            format!("--clock-percent={clock}"),
        ];
        let usual = if self.spoils {
            Room::NARROW
        } else {
            Room::default()
        };
        let room = self.load.map_or(usual, |load| load.room);
        if self.spoils {
            arguments.push("--rejects-when-full".to_owned());
        }
        arguments.push(format!("--slots={}", room.slots));
        arguments.push(format!("--queue={}", room.queue));
        let begins_cold = self.load.filter(|_| self.has_traffic);
        arguments.extend(begins_cold.map(|load| format!("--cold-rate={}", load.cold_rate)));
        let program = std::env::current_exe()?;
        self.upstreams[index].process =
            Some(Process::start(&self.folder, &name, &program, &arguments)?);
        Ok(())
    }

    /// Records a fault that lasted until `until`.
    pub fn record_disturbance(&mut self, fault: &ActiveFault, until: Time) {
        let from = fault.from;
        let whom = match fault.target {
            Target::Nobody => return,
            Target::Some(whom) => whom,
            Target::AllRouters => return self.disturb_all_routers(from, until),
            Target::RoutersAndUpstreams => {
                self.disturb_all_routers(from, until);
                Disturbed::Upstream
            }
        };
        self.disturbances.push(Disturbance { whom, from, until });
    }

    fn disturb_all_routers(&mut self, from: Time, until: Time) {
        let routers = (0..self.routers.len()).map(|node| Disturbance {
            whom: Disturbed::Router(node),
            from,
            until,
        });
        self.disturbances.extend(routers);
    }

    /// Fails if a router has exited unexpectedly, since a run without one of its routers proves
    /// nothing.
    pub fn require_routers(&mut self) -> Result<()> {
        for (node, slot) in self.routers.iter_mut().enumerate() {
            let has_ended = slot.process.as_mut().is_none_or(Process::has_ended);
            ensure!(!has_ended, "router {node} exited unexpectedly; see its log");
        }
        Ok(())
    }

    /// Fails if a link had no descriptors left: what routers and upstreams then saw was no fault of
    /// the plan.
    pub fn require_links(&self) -> Result<()> {
        let of_upstreams = self.upstreams.iter().filter_map(|slot| slot.links.as_ref());
        let of_upstreams = of_upstreams.flat_map(|links| [&links.proxy, &links.store_proxy]);
        let of_routers = self.routers.iter().map(|slot| &slot.store_proxy);
        let failures: u64 = of_upstreams.chain(of_routers).map(Proxy::failures).sum();
        ensure!(
            failures == 0,
            "links failed {failures} times; the run proves nothing"
        );
        Ok(())
    }

    /// Records a stall of the machine as a disturbance of all processes.
    pub fn record_stall(&mut self, from: Time, until: Time) {
        let routers = (0..self.routers.len()).map(Disturbed::Router);
        let all = routers.chain([Disturbed::Store, Disturbed::Upstream]);
        let stalls = all.map(|whom| Disturbance { whom, from, until });
        self.disturbances.extend(stalls);
    }

    /// The observations recorded so far.
    pub fn history(&mut self, recovered: Time) -> History {
        self.collect_delayed_deliveries();
        History {
            reports: self.reports.borrow().clone(),
            disturbances: self.disturbances.clone(),
            stops: self.stops.clone(),
            upstream_ends: self.upstream_ends.clone(),
            fault_ends: self.fault_ends.clone(),
            delayed_deliveries: self.delayed_deliveries.clone(),
            recovered,
        }
    }
}

async fn router_slot(
    folder: &std::path::Path,
    node: usize,
    store: SocketAddr,
    ports: &Ports,
    limits: &RouterLimits,
) -> Result<RouterSlot> {
    let store_proxy = Proxy::start(store).await?;
    let clients = ports.free_address()?;
    let text = router_settings(node, clients, store_proxy.address, ports, limits)?;
    let settings = folder.join(format!("router-{node}.toml"));
    std::fs::write(&settings, text).wrap_err_with(|| format!("write {}", settings.display()))?;
    Ok(RouterSlot {
        process: None,
        store_proxy,
        settings,
        clients,
        stopping: None,
    })
}

fn router_settings(
    node: usize,
    clients: SocketAddr,
    store: SocketAddr,
    ports: &Ports,
    limits: &RouterLimits,
) -> Result<String> {
    let zone = limits.zones[node % limits.zones.len()];
    let readiness = ports.free_address()?;
    let peers = ports.free_address()?;
    let metrics = ports.free_address()?;
    Ok(format!(
        "version = 1\nnode = \"router-{node}\"\nzone = \"{zone}\"\nip = \"127.0.0.1\"\n\
         {}[listen]\nclients = \"{clients}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
         metrics = \"{metrics}\"\n\
         [store]\naddress = \"{store}\"\nleast_ttl_ms = {LEAST_TTL_MS}\n\
         [bounds]\ndrain_ms = {}\ncontact_ms = {}\ngrace_s = {}\nretry_ratio = {RETRY_RATIO}\n\
         retry_allowance = {RETRY_ALLOWANCE:?}\nretry_window_s = {}\nlongest_hold_ms = {}\n\
         heartbeat_ms = {}\nquota_window_s = {QUOTA_WINDOW_S:?}\n\
         quota_overage = {QUOTA_OVERAGE:?}\n{}\
         [limits]\nprocessor_share = {:?}\nmemory_mb = {}\ndescriptors = {}\n",
        limits.first_start,
        DRAIN.as_millis(),
        CONTACT.as_millis(),
        STOP_GRACE.as_secs(),
        RETRY_WINDOW.as_secs(),
        LONGEST_HOLD.as_millis(),
        HEARTBEAT.as_millis(),
        limits.cold_bounds,
        limits.processor_share,
        limits.memory_mb,
        limits.descriptors,
    ))
}

/// Has the next start of a router count as a restart.
fn forget_first_start(settings: &std::path::Path) -> Result<()> {
    let text = std::fs::read_to_string(settings)?;
    std::fs::write(settings, text.replace(FIRST_START, ""))?;
    Ok(())
}

async fn accept_processes(listener: TcpListener, commands: Commands, reports: Reports) {
    while let Ok((stream, _)) = listener.accept().await {
        let commands = commands.clone();
        let reports = reports.clone();
        tokio::task::spawn_local(async move {
            // The connection ends with an error when the process is killed.
            let _ = serve_process(stream, commands, reports).await;
        });
    }
}

async fn serve_process(stream: TcpStream, commands: Commands, reports: Reports) -> Result<()> {
    stream.set_nodelay(true)?;
    let (reading, mut writing) = stream.into_split();
    let mut reader = MessageReader::new(reading);
    let first: Report = reader.next().await?;
    let (sender, mut outgoing) = unbounded_channel();
    commands.borrow_mut().insert(first.from, sender);
    tokio::task::spawn_local(async move {
        while let Some(command) = outgoing.recv().await {
            let Ok(frame) = encode(&command) else {
                continue;
            };
            if writing.write_all(&frame).await.is_err() {
                return;
            }
        }
    });
    loop {
        let report: Report = reader.next().await?;
        reports.borrow_mut().push(report);
    }
}

/// The current time.
pub(super) fn now() -> Time {
    clock::now()
}
