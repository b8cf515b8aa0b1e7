//! Types of requests, attempts and answers.

use beamtray_types::{Fence, KeyHash, Member, ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use std::time::Duration;

/// Identifies a caller's request at its ingress; unique within one run of a
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a gate's call to an upstream; unique within one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one attempt of a request. Includes the incarnation of the
/// ingress, so that a late answer to an earlier run of the node is not matched
/// to an attempt of the current run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct AttemptId {
    /// The ingress node and its incarnation.
    pub ingress: Member,
    /// Sequence number assigned by the ingress.
    pub number: u64,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CallerRequest {
    /// Requested service.
    pub service: ServiceName,
    /// Sharding key, for a keyed service.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path after the service and key segments, without the query.
    pub path: String,
    /// Complete request target as received, including the query.
    pub target: String,
    /// Headers to forward to the upstream.
    pub headers: Vec<(String, String)>,
    /// Message body.
    pub body: Vec<u8>,
    /// Time until the caller's deadline in microseconds, if the caller set one.
    pub deadline_micros: Option<u64>,
    /// Idempotency key set by the caller, forwarded to the owner.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// Returns the path that a service's rules match: the part after the key
    /// for a keyed service, and after the service name for a pool.
    pub fn rule_path(&self, keyed: bool) -> String {
        match &self.key {
            Some(key) if !keyed => format!("/{key}{}", self.path),
            _ => self.path.clone(),
        }
    }

    /// Returns the hash of the key.
    pub fn hash(&self) -> Option<KeyHash> {
        self.key.as_deref().map(KeyHash::of)
    }
}

/// An attempt sent from ingress to gate.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Forward {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Upstream that is to handle the request.
    pub server: ServerName,
    /// Fence of the owner's assignment, for a keyed service.
    pub fence: Option<Fence>,
    /// Time left before the caller's deadline, in microseconds.
    pub remaining_micros: u64,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The caller's request.
    pub request: CallerRequest,
}

/// A complete answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to return to the caller.
    pub headers: Vec<(String, String)>,
    /// Message body.
    pub body: Vec<u8>,
}

/// Why an attempt provably did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum NotRunReason {
    /// The server does not own the key under the attempt's fence.
    NotOwner,
    /// The upstream rejected the request because of overload.
    Shed,
    /// The gate's queue is full.
    QueueFull,
    /// The deadline passed while the attempt was in the gate's queue.
    Expired,
    /// The node is not the upstream's gate.
    NotGate,
    /// No connection to the upstream could be established.
    NotConnected,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum UpstreamOutcome {
    /// The upstream returned a complete answer.
    Answered(UpstreamAnswer),
    /// The request did not run.
    NotRun {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Delay before a retry in microseconds, if known.
        retry_after_micros: Option<u64>,
    },
    /// The request was sent, but no complete answer was received.
    Lost {
        /// Description of the failure.
        cause: String,
    },
}

/// Whether a request with a final answer was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The request ran; the answer is the upstream's.
    Complete,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Returns the value reported to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::Complete => "complete",
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the upstream's answer.
    pub headers: Vec<(String, String)>,
    /// Message body.
    pub body: Vec<u8>,
    /// Whether the request ran.
    pub run_state: RunState,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Builds a failure answer generated by beamtray rather than an upstream.
    pub fn failure(
        status: u16,
        run_state: RunState,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: format!("{}: {reason}\n", run_state.as_str()).into_bytes(),
            run_state,
            retry_after,
        }
    }
}
