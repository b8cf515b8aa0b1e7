//! A small deployment: a store, upstreams, routers and clients.

use crate::client::Clients;
use crate::judge::Judge;
use crate::record::Record;
use crate::routers::{self, Router};
use crate::store::Store;
use crate::upstream::Upstream;
use beamtray_adapter::reverse;
use beamtray_catalog::{
    ClientLimits, Configuration, ConfigurationVersion, Route, ServiceConfig, WeightedBackend,
};
use eyre::{Result, bail};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The service that is divided by key.
pub const KEYED: &str = "ledger";
/// The service that is not.
pub const POOL: &str = "lookup";
/// Path of reads by key; the work in milliseconds follows.
pub const READ: &str = "/read/";
/// Path of reads without a key; the work in milliseconds follows.
pub const LOOK: &str = "/look/";
/// Path of payments, which may run once; the work in milliseconds follows.
pub const PAY: &str = "/pay/";
/// `timeoutMs` of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// What a client says that it will wait.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// How long the routers may take until they are ready.
const START_TIME: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
/// How often the routers are started at most.
const START_TRIES: u32 = 5;
/// How long a router takes to listen.
const BIND_TIME: Duration = Duration::from_millis(300);

/// The deployment.
pub struct Site {
    /// The platform's store.
    pub store: Rc<Store>,
    /// All upstreams.
    pub upstreams: Vec<Rc<Upstream>>,
    /// All routers.
    pub routers: Vec<Router>,
    /// The clients.
    pub clients: Rc<Clients>,
    /// Judges what the upstreams take and run.
    pub judge: Rc<Judge>,
    /// The record of the run.
    pub record: Rc<Record>,
}

/// The folders of a run.
pub struct Folders {
    /// The case's own, for the record.
    pub case: PathBuf,
    /// A temporary one, for settings and logs.
    pub work: PathBuf,
}

/// How many processes and upstreams a deployment has.
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Upstreams of [`KEYED`].
    pub keyed: usize,
    /// Upstreams of [`POOL`].
    pub pool: usize,
}

fn configuration() -> Configuration {
    let route = |name: &str, prefix: &str, service: &str, repeatable| Route {
        name: name.to_owned(),
        host: "bank.example".to_owned(),
        path_prefix: prefix.to_owned(),
        repeatable,
        timeout: ROUTE_TIMEOUT,
        target_latency: Duration::from_millis(500),
        priority: 1,
        max_attempts: 2,
        backends: vec![WeightedBackend {
            service: service.into(),
            weight: 1,
        }],
        allow_anonymous: false,
    };
    let service = |name: &str, sharded| ServiceConfig {
        name: name.into(),
        health_path: "/health".to_owned(),
        max_connections: 110,
        sharded,
        warm_up: Duration::ZERO,
        cold_start: None,
    };
    Configuration {
        version: ConfigurationVersion(1),
        routes: vec![
            route("read", READ, KEYED, true),
            route("look", LOOK, POOL, true),
            route("pay", PAY, POOL, false),
        ],
        services: vec![service(KEYED, true), service(POOL, false)],
        limits: ClientLimits::default(),
        tenants: None,
    }
}

impl Site {
    /// Starts a deployment and waits until it serves.
    pub async fn start(folders: &Folders, size: &Size) -> Result<Self> {
        let record = Rc::new(Record::create(&folders.case)?);
        let judge = Judge::new(&record);
        let (store, address) = Store::start(&record).await?;
        store.put("op/config", reverse::write_configuration(&configuration()));
        let mut upstreams = Vec::new();
        for (service, count) in [(KEYED, size.keyed), (POOL, size.pool)] {
            for number in 0..count {
                let id = format!("i-{service}-{number}");
                let is_sharded = service == KEYED;
                let upstream =
                    Upstream::start(&id, service, is_sharded, &store, &judge, &record).await?;
                upstreams.push(upstream);
            }
        }
        let routers = start_routers(folders, size.routers, address, &record).await?;
        let site = Self {
            clients: Clients::new(&record),
            store,
            upstreams,
            routers,
            judge,
            record,
        };
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let end = self.record.now() + START_TIME;
        let keyed: Vec<&Rc<Upstream>> = self.of_service(KEYED).collect();
        loop {
            let mut is_ready = true;
            for router in &self.routers {
                is_ready &= is_ready_at(router.readiness).await;
            }
            let held: usize = keyed.iter().map(|upstream| upstream.held()).sum();
            if is_ready && (keyed.is_empty() || held == 1 << 16) {
                self.record.line("all routers are ready");
                return Ok(());
            }
            if self.record.now() >= end {
                bail!("the routers are not ready; {held} keys are held");
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// The upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let prefix = format!("i-{service}-");
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |upstream| upstream.id.starts_with(&prefix))
    }
}

/// Starts the routers, on other ports if one of them finds its ports taken.
async fn start_routers(
    folders: &Folders,
    count: usize,
    store: SocketAddr,
    record: &Rc<Record>,
) -> Result<Vec<Router>> {
    for _ in 0..START_TRIES {
        let mut routers = routers::prepare(&folders.work, count, store, record)?;
        for router in &mut routers {
            router.start()?;
        }
        tokio::time::sleep(BIND_TIME).await;
        if !routers.iter_mut().any(Router::has_ended) {
            return Ok(routers);
        }
        record.line("a router has ended; all are started on other ports");
    }
    bail!("the routers end at their start")
}

async fn is_ready_at(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let request = "GET /v1/ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.ok()?;
        Some(&answer == b"HTTP/1.1 200")
    };
    let answer = tokio::time::timeout(Duration::from_secs(1), ask).await;
    answer.ok().flatten().unwrap_or_default()
}
