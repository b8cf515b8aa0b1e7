//! An upstream tells a very long time in `Keep-Alive`: are its answers passed on? And are the keys
//! of one that tells it for some seconds renewed? The second is told beside the verdict.

use super::Verdict;
use crate::client::{Outcome, Request};
use crate::site::{DEADLINE, Folders, KEYED, LOOK, PAY, POOL, ROUTE_TIMEOUT, Site, Size};
use eyre::Result;
use std::time::Duration;

/// Requests that are sent, one after the other: lookups and payments by turns.
const REQUESTS: usize = 20;
/// How much later than `timeoutMs` an answer may come.
const ALLOWED: Duration = Duration::from_millis(500);
/// The rule: eight or more requests are unanswered.
const LEAST_UNANSWERED: usize = 8;
/// All keys.
const KEYS: usize = 1 << 16;
/// How long one of the two holders of keys tells it.
const KEYED_FOR: Duration = Duration::from_secs(3);
/// No limit, in whole seconds.
const NO_LIMIT: u64 = u64::MAX;

/// Runs the case.
pub async fn run(folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let size = Size {
        routers: 2,
        keyed: 2,
        pool: 2,
    };
    let site = Site::start(folders, &size).await?;
    if has_trouble {
        for upstream in site.of_service(POOL).chain(site.of_service(KEYED).take(1)) {
            let text = NO_LIMIT.to_string();
            *upstream.faults.keep_alive.borrow_mut() = Some(text);
            site.record.line(format_args!(
                "{} says Keep-Alive: timeout={NO_LIMIT}",
                upstream.id
            ));
        }
    }
    tokio::time::sleep(KEYED_FOR).await;
    for upstream in site.of_service(KEYED) {
        upstream.faults.keep_alive.take();
        site.record
            .line(format_args!("{} says the usual time", upstream.id));
    }
    let mut unanswered = 0;
    let mut served = 0;
    for number in 0..REQUESTS {
        let router = &site.routers[number / 2 % site.routers.len()];
        let (method, prefix) = match number % 2 {
            0 => ("GET", LOOK),
            _ => ("POST", PAY),
        };
        let outcome = site
            .clients
            .send(&Request {
                router: router.clients,
                method,
                path: &format!("{prefix}20"),
                key: None,
                deadline: DEADLINE,
                patience: ROUTE_TIMEOUT + ALLOWED,
            })
            .await;
        served += usize::from(outcome.status() == 200);
        unanswered += usize::from(matches!(outcome, Outcome::Unanswered));
    }
    let runs: usize = site.of_service(POOL).map(|one| one.runs.get()).sum();
    let held: usize = site.of_service(KEYED).map(|one| one.held()).sum();
    site.record.tell(format_args!(
        "{REQUESTS} requests: {served} served, {unanswered} without an answer {} ms after \
         timeoutMs; the upstreams answered {runs}",
        ALLOWED.as_millis()
    ));
    site.record.tell(format_args!(
        "{} of {KEYS} keys have no holder at the end",
        KEYS - held
    ));
    let is_broken = unanswered >= LEAST_UNANSWERED && unanswered * 4 > REQUESTS;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
