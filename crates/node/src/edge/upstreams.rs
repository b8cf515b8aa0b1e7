//! HTTP client for servers and backends.

use crate::edge::callers::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, end_to_end_headers};
use crate::event::EdgeEvent;
use beamtray_control::Input;
use beamtray_http::{CallError, ClientConfig, HttpCall, HttpClient, HttpReply};
use beamtray_routing::{CallId, Forward, NotRunReason, UpstreamAnswer, UpstreamOutcome};
use crossbeam_channel::{Sender, unbounded};
use stakker::sync::Channel;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Header with the fencing token under which a request is sent to an owner.
const FENCE_HEADER: &str = "beamtray-fence";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_CONNECTIONS: usize = 64;
/// Maximum size of an upstream's response body, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
/// Subtracted from the caller's deadline to get the timeout of a call, so that its
/// result is known before the caller is answered.
const DEADLINE_MARGIN: Duration = Duration::from_millis(2);

struct Job {
    call: CallId,
    address: SocketAddr,
    forward: Forward,
    timeout: Duration,
}

/// Calls upstreams from a fixed number of threads.
pub(crate) struct UpstreamClient {
    jobs: Sender<Job>,
}

impl UpstreamClient {
    /// Starts `workers` threads that report results to `events`.
    pub(crate) fn start(workers: usize, events: &Channel<EdgeEvent>) -> Self {
        let client = HttpClient::new(ClientConfig {
            idle_connections: IDLE_CONNECTIONS,
            max_body_bytes: MAX_ANSWER_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
        });
        let (jobs, queue) = unbounded::<Job>();
        for _ in 0..workers {
            let (queue, client, events) = (queue.clone(), client.clone(), events.clone());
            thread::spawn(move || {
                for job in queue {
                    let call = job.call;
                    let outcome = execute(&client, &job);
                    events.send(EdgeEvent::Input(Input::CallResult { call, outcome }));
                }
            });
        }
        Self { jobs }
    }

    /// Queues a call. A call that is not repeatable uses a new connection.
    pub(crate) fn call(
        &self,
        call: CallId,
        address: SocketAddr,
        forward: Forward,
        timeout: Duration,
    ) {
        let job = Job {
            call,
            address,
            forward,
            timeout,
        };
        let _ = self.jobs.send(job);
    }
}

fn execute(client: &HttpClient, job: &Job) -> UpstreamOutcome {
    let request = &job.forward.request;
    let timeout = job
        .timeout
        .saturating_sub(DEADLINE_MARGIN)
        .max(DEADLINE_MARGIN);
    let mut headers: Vec<(&str, String)> = request
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.clone()))
        .collect();
    headers.push((DEADLINE_HEADER, timeout.as_millis().to_string()));
    if let Some(fence) = job.forward.fence {
        headers.push((FENCE_HEADER, fence.to_string()));
    }
    if let Some(name) = &request.idempotency_key {
        headers.push((IDEMPOTENCY_HEADER, name.clone()));
    }
    let url = format!("http://{}{}", job.address, request.target);
    let call = HttpCall {
        method: &request.method,
        url: &url,
        headers: &headers,
        body: &request.body,
        timeout,
        fresh_connection: !job.forward.repeatable,
    };
    match client.call(&call) {
        Ok(reply) => read_reply(reply),
        Err(CallError::NotConnected(_)) => not_run_outcome(NotRunReason::NotConnected, None),
        Err(CallError::Lost(cause)) => UpstreamOutcome::Lost { cause },
    }
}

/// Converts a response. With status 421 or 503 the upstream states that the
/// request did not run.
fn read_reply(reply: HttpReply) -> UpstreamOutcome {
    match reply.status {
        421 => not_run_outcome(NotRunReason::NotOwner, None),
        503 => {
            let seconds = reply.header("retry-after");
            let seconds = seconds.and_then(|seconds| seconds.parse::<u64>().ok());
            not_run_outcome(
                NotRunReason::Shed,
                seconds.map(|seconds| seconds * 1_000_000),
            )
        }
        status => UpstreamOutcome::Answered(UpstreamAnswer {
            status,
            headers: end_to_end_headers(reply.headers),
            body: reply.body,
        }),
    }
}

fn not_run_outcome(reason: NotRunReason, retry_after_micros: Option<u64>) -> UpstreamOutcome {
    UpstreamOutcome::NotRun {
        reason,
        retry_after_micros,
    }
}
