//! HTTP client for the platform's services and for grants to servers.

use crate::event::EdgeEvent;
use beamtray_control::{Input, KeyValueCall};
use beamtray_http::{ClientConfig, HttpCall, HttpClient, HttpReply};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, Machine, VERSION_HEADER};
use beamtray_ownership::{GrantReply, PendingGrant};
use crossbeam_channel::{Sender, unbounded};
use stakker::sync::Channel;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const KEY_VALUE_TIMEOUT: Duration = Duration::from_millis(2_000);
const GRANT_TIMEOUT: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
const IDLE_CONNECTIONS: usize = 4;
/// Threads for the key-value service and the machine list.
const PLATFORM_WORKERS: usize = 4;
/// Threads for grants: an unresponsive server blocks one for [`GRANT_TIMEOUT`].
const GRANT_WORKERS: usize = 32;

enum Job {
    KeyValue(KeyValueCall, KeyValueRequest),
    Machines,
    Grant(PendingGrant),
}

/// Calls the platform and sends grants, using separate thread pools.
pub(crate) struct PlatformClient {
    platform: Sender<Job>,
    grants: Sender<Job>,
}

#[derive(Clone)]
struct Worker {
    client: HttpClient,
    key_value: SocketAddr,
    machines: Option<SocketAddr>,
    events: Channel<EdgeEvent>,
}

impl PlatformClient {
    /// Starts the threads, which report results to `events`.
    pub(crate) fn start(
        key_value: SocketAddr,
        machines: Option<SocketAddr>,
        events: &Channel<EdgeEvent>,
    ) -> Self {
        let client = HttpClient::new(ClientConfig {
            idle_connections: IDLE_CONNECTIONS,
            max_body_bytes: MAX_ANSWER_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
        });
        let worker = Worker {
            client,
            key_value,
            machines,
            events: events.clone(),
        };
        Self {
            platform: worker.clone().start(PLATFORM_WORKERS),
            grants: worker.start(GRANT_WORKERS),
        }
    }

    pub(crate) fn call_key_value(&self, call: KeyValueCall, request: KeyValueRequest) {
        let _ = self.platform.send(Job::KeyValue(call, request));
    }

    pub(crate) fn read_machines(&self) {
        let _ = self.platform.send(Job::Machines);
    }

    pub(crate) fn grant(&self, grant: PendingGrant) {
        let _ = self.grants.send(Job::Grant(grant));
    }
}

impl Worker {
    fn start(self, count: usize) -> Sender<Job> {
        let (jobs, queue) = unbounded::<Job>();
        for _ in 0..count {
            let (queue, worker) = (queue.clone(), self.clone());
            thread::spawn(move || {
                for job in queue {
                    let input = worker.run(job);
                    worker.events.send(EdgeEvent::Input(input));
                }
            });
        }
        jobs
    }

    fn run(&self, job: Job) -> Input {
        match job {
            Job::KeyValue(call, request) => Input::KeyValue {
                call,
                result: self.key_value(&request),
            },
            Job::Machines => Input::Machines {
                list: self.fetch_machines(),
            },
            Job::Grant(grant) => {
                let reply = self.send_grant(&grant);
                let server = grant.server;
                Input::Grant { server, reply }
            }
        }
    }

    fn key_value(&self, request: &KeyValueRequest) -> KeyValueResult {
        let (method, url, body): (_, _, &[u8]) = match request {
            KeyValueRequest::Get { key } => (
                "GET",
                format!("http://{}/v1/keys/{key}", self.key_value),
                &[],
            ),
            KeyValueRequest::Put {
                key,
                expected,
                value,
            } => {
                let address = self.key_value;
                let url = format!("http://{address}/v1/keys/{key}?expected={expected}");
                ("PUT", url, value)
            }
        };
        match self.call(method, &url, body, KEY_VALUE_TIMEOUT) {
            Ok(reply) => read_key_value(method == "GET", reply),
            Err(cause) => KeyValueResult::Unavailable { cause },
        }
    }

    fn fetch_machines(&self) -> Option<Vec<Machine>> {
        let url = format!("http://{}/v1/machines", self.machines?);
        let reply = self.call("GET", &url, &[], KEY_VALUE_TIMEOUT).ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    fn send_grant(&self, grant: &PendingGrant) -> Option<GrantReply> {
        let url = format!("http://{}/grants", grant.address);
        let body = serde_json::to_vec(&grant.request).ok()?;
        let reply = self.call("POST", &url, &body, GRANT_TIMEOUT).ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    fn call(
        &self,
        method: &str,
        url: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<HttpReply, String> {
        let call = HttpCall {
            method,
            url,
            headers: &[],
            body,
            timeout,
            fresh_connection: false,
        };
        self.client.call(&call).map_err(|error| error.to_string())
    }
}

fn read_key_value(is_read: bool, reply: HttpReply) -> KeyValueResult {
    let version = reply.header(VERSION_HEADER);
    let version = version.and_then(|version| version.parse::<u64>().ok());
    match (reply.status, version) {
        (200, Some(version)) if is_read => KeyValueResult::Value {
            version,
            value: reply.body,
        },
        (200, Some(version)) => KeyValueResult::Stored { version },
        (404, _) => KeyValueResult::Absent,
        (409, Some(version)) => KeyValueResult::Conflict { version },
        (429, _) => {
            let millis = reply.header("retry-after-millis");
            let millis = millis.and_then(|millis| millis.parse().ok());
            KeyValueResult::RateLimited {
                retry_after: millis.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis),
            }
        }
        (status, _) => KeyValueResult::Unavailable {
            cause: format!("status {status}"),
        },
    }
}
