//! Load generator that records the outcome of each request.

use crate::support::{SERVICE, call};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const KEYS: u64 = 40;
const TIMEOUT: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A transfer as observed by its caller.
#[derive(Clone, Debug)]
pub struct Transfer {
    pub name: String,
    pub key: String,
    /// `complete`, `not-run` or `unknown`; `unknown` if there was no response.
    pub outcome: String,
    pub body: String,
    pub ended: Instant,
}

/// A running load generator.
pub struct Load {
    stop: Arc<AtomicBool>,
    transfers: Arc<Mutex<Vec<Transfer>>>,
    workers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts one caller per address; `label` is the prefix of its transfers' names.
    pub fn start(label: &str, callers: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let transfers = Arc::new(Mutex::new(Vec::new()));
        let workers = callers
            .iter()
            .enumerate()
            .map(|(worker, address)| {
                let (stop, transfers, address) = (stop.clone(), transfers.clone(), *address);
                let label = format!("{label}-{worker}");
                thread::spawn(move || run(&label, worker, address, &stop, &transfers))
            })
            .collect();
        Self {
            stop,
            transfers,
            workers,
        }
    }

    /// Returns the transfers finished so far.
    pub fn transfers(&self) -> Vec<Transfer> {
        self.transfers.lock().expect("not poisoned").clone()
    }

    /// Stops the load and returns all transfers.
    pub fn finish(self) -> Vec<Transfer> {
        self.stop.store(true, Ordering::SeqCst);
        for worker in self.workers {
            worker.join().expect("the caller thread finishes");
        }
        let transfers = self.transfers.lock().expect("not poisoned");
        transfers.clone()
    }
}

fn run(
    label: &str,
    worker: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    log: &Mutex<Vec<Transfer>>,
) {
    for number in 0u64.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let key = format!("key-{}", (number * 7 + worker as u64) % KEYS);
        let name = format!("{label}-{number}");
        let url = format!("http://{address}/{SERVICE}/{key}/transfer");
        let (outcome, body) = match call("POST", &url, Some(&name), TIMEOUT) {
            Ok(reply) => {
                let outcome = reply.header("beamtray-outcome").unwrap_or("unknown");
                let body = String::from_utf8_lossy(&reply.body).trim_end().to_owned();
                (outcome.to_owned(), body)
            }
            Err(beamtray_http::CallError::NotConnected(cause)) => {
                thread::sleep(RECONNECT_DELAY);
                ("not-run".to_owned(), cause)
            }
            Err(error) => ("unknown".to_owned(), error.to_string()),
        };
        let ended = Instant::now();
        log.lock().expect("not poisoned").push(Transfer {
            name,
            key,
            outcome,
            body,
            ended,
        });
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// Checks every transfer's outcome against the effects reported by the servers.
pub fn check_transfers(transfers: &[Transfer], effects: &[String]) {
    for transfer in transfers {
        let wanted = format!("{} {}", transfer.key, transfer.name);
        let ran = effects.iter().filter(|effect| **effect == wanted).count();
        assert!(ran <= 1, "{} ran {ran} times", transfer.name);
        match transfer.outcome.as_str() {
            "complete" => {
                assert_eq!(ran, 1, "{transfer:?} was answered and did not run");
                let whose = transfer.body.split(' ').next();
                assert_eq!(
                    whose,
                    Some(transfer.key.as_str()),
                    "the response belongs to another key"
                );
            }
            "not-run" => assert_eq!(ran, 0, "{transfer:?} was refused and ran"),
            _ => {}
        }
    }
}
