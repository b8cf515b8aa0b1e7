//! An upstream that is leaving has sent one answer to an order twice: do its keys go to another
//! upstream while it is still at work on them?

use super::Verdict;
use crate::client::{Clients, Request};
use crate::site::{DEADLINE, Folders, KEYED, READ, Site, Size};
use beamtray_catalog::UpstreamState;
use eyre::{Result, bail};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Clients that each send one request after the other.
const CLIENTS: u16 = 96;
/// Parts of the keys, of which each client reads one.
const PARTS: u16 = 32;
/// Work of a request.
const WORK_MS: u32 = 900;
/// Traffic before the upstream leaves.
const BEFORE: Duration = Duration::from_secs(4);
/// Traffic after that.
const AFTER: Duration = Duration::from_secs(4);
/// How much later the answer is sent a second time.
const LATER: Duration = Duration::from_millis(100);
/// How long the upstream may have to wait for an order.
const ORDER_WAIT: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(1);

/// Runs the case.
pub async fn run(folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let size = Size {
        routers: 3,
        keyed: 3,
        pool: 0,
    };
    let site = Site::start(folders, &size).await?;
    for number in 0..CLIENTS {
        let router = &site.routers[usize::from(number) % site.routers.len()];
        let traffic = send_requests(site.clients.clone(), router.clients, number);
        tokio::task::spawn_local(traffic);
    }
    tokio::time::sleep(BEFORE).await;
    let Some(leaver) = site.of_service(KEYED).next() else {
        bail!("there is no upstream");
    };
    if has_trouble {
        leaver.faults.surplus.set(Some(LATER));
        let end = site.record.now() + ORDER_WAIT;
        while leaver.faults.surplus.get().is_some() {
            if site.record.now() >= end {
                bail!("the upstream got no order");
            }
            tokio::time::sleep(POLL).await;
        }
    }
    leaver.register(UpstreamState::Draining);
    tokio::time::sleep(AFTER).await;
    let broken = site.judge.broken();
    let surplus = leaver.surplus_sent.get();
    site.record.tell(format_args!(
        "{} grants were taken; {surplus} answers to orders sent a second time where another was \
         due; the rule was broken {} times",
        site.judge.taken(),
        broken.len()
    ));
    for text in &broken {
        site.record.tell(text);
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

async fn send_requests(clients: Rc<Clients>, router: SocketAddr, number: u16) {
    let width = u16::MAX / PARTS + 1;
    let mut offset = number;
    // The requests of the clients don't end together.
    tokio::time::sleep(Duration::from_millis(u64::from(number) * 29)).await;
    loop {
        let path = format!("{READ}{WORK_MS}");
        let outcome = clients
            .send(&Request {
                router,
                method: "GET",
                path: &path,
                key: Some(number % PARTS * width + offset % width),
                deadline: DEADLINE,
                patience: DEADLINE,
            })
            .await;
        if outcome.status() != 200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        offset = offset.wrapping_add(911);
    }
}
