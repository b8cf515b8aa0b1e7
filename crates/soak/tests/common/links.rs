//! Links of an upstream that a test can cut.

use beamtray_soak::{LinkFault, Proxy};
use beamtray_types::Time;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

/// Interval at which delayed deliveries are collected.
const STEP: Duration = Duration::from_millis(5);

/// Proxies on the links to some targets.
pub struct Links {
    /// Proxy address of each target, in the order of the targets.
    pub addresses: Vec<SocketAddr>,
    fault: UnboundedSender<LinkFault>,
    delayed_deliveries: Arc<Mutex<Vec<Time>>>,
}

impl Links {
    pub fn start(targets: &[SocketAddr]) -> Self {
        let (fault, commands) = unbounded_channel();
        let (ready, started) = mpsc::channel();
        let delayed_deliveries = Arc::<Mutex<Vec<Time>>>::default();
        let (targets, times) = (targets.to_vec(), delayed_deliveries.clone());
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            let links = pass_on(targets, ready, commands, &times);
            LocalSet::new().block_on(&runtime, links);
        });
        Self {
            addresses: started.recv().expect("the proxies start"),
            fault,
            delayed_deliveries,
        }
    }

    pub fn cut(&self) {
        self.fault.send(LinkFault::cut()).expect("the proxies run");
    }

    pub fn heal(&self) {
        let whole = LinkFault::default();
        self.fault.send(whole).expect("the proxies run");
    }

    /// Times at which delayed bytes reached a target.
    pub fn delayed_deliveries(&self) -> Vec<Time> {
        self.delayed_deliveries
            .lock()
            .expect("not poisoned")
            .clone()
    }
}

async fn pass_on(
    targets: Vec<SocketAddr>,
    ready: mpsc::Sender<Vec<SocketAddr>>,
    mut commands: UnboundedReceiver<LinkFault>,
    delayed_deliveries: &Mutex<Vec<Time>>,
) {
    let mut proxies = Vec::new();
    for target in targets {
        proxies.push(Proxy::start(target).await.expect("a free port"));
    }
    let addresses = proxies.iter().map(|proxy| proxy.address).collect();
    ready.send(addresses).expect("the test waits");
    loop {
        tokio::select! {
            fault = commands.recv() => match fault {
                Some(fault) => proxies.iter().for_each(|proxy| proxy.set_fault(fault)),
                None => return,
            },
            () = tokio::time::sleep(STEP) => {}
        }
        let times = proxies.iter().flat_map(Proxy::take_delayed_deliveries);
        delayed_deliveries
            .lock()
            .expect("not poisoned")
            .extend(times);
    }
}
