//! An upstream sends bytes that are no answer, the head of a change of protocol: does a client get
//! them?

use super::Verdict;
use crate::client::{Outcome, Request};
use crate::site::{DEADLINE, Folders, LOOK, Site, Size};
use eyre::Result;

/// Requests that are sent, one after the other.
const REQUESTS: usize = 300;
/// One in so many answers of one of the two upstreams is spoiled.
const ONE_IN: usize = 50;
/// What it sends in place of an answer. No client asked for another protocol.
const LINE: &str = "HTTP/1.1 101 Switching Protocols";

/// Runs the case.
pub async fn run(folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let size = Size {
        routers: 2,
        keyed: 0,
        pool: 2,
    };
    let site = Site::start(folders, &size).await?;
    if has_trouble {
        *site.upstreams[0].faults.no_answer.borrow_mut() = Some((ONE_IN, LINE));
    }
    let mut served = 0;
    let mut no_answers = 0;
    for number in 0..REQUESTS {
        let router = &site.routers[number % site.routers.len()];
        let outcome = site
            .clients
            .send(&Request {
                router: router.clients,
                method: "GET",
                path: &format!("{LOOK}20"),
                key: None,
                deadline: DEADLINE,
                patience: DEADLINE,
            })
            .await;
        served += usize::from(outcome.status() == 200);
        // A status below 200 tells that the answer follows; it is the outcome only if none did.
        let is_interim = matches!(&outcome, Outcome::Answered(message) if message.status() < 200);
        no_answers += usize::from(is_interim);
    }
    let runs: Vec<usize> = site.upstreams.iter().map(|one| one.runs.get()).collect();
    site.record.tell(format_args!(
        "{REQUESTS} requests: {served} served, {no_answers} clients got bytes that are no answer; \
         the upstreams ran {runs:?}"
    ));
    Ok(match no_answers {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
