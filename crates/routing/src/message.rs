//! Requests, attempts and answers.

use beamtray_types::{Fence, KeyHash, Member, ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use std::time::Duration;

/// A caller's request at its ingress; unique within one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A gate's call to an upstream; unique within one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One try of a request. Carries the ingress's run, so that an answer to an
/// earlier run of a node is never taken for one of the present.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct AttemptId {
    /// The ingress.
    pub ingress: Member,
    /// Counted by the ingress.
    pub number: u64,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CallerRequest {
    /// The service.
    pub service: ServiceName,
    /// The key, for a keyed service.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path below service and key, without query.
    pub path: String,
    /// The whole target as the caller wrote it, with query.
    pub target: String,
    /// Headers that concern the upstream.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// How long the caller still waits, in microseconds, when it said so.
    pub deadline_micros: Option<u64>,
    /// The caller's own name for the request, passed on to the owner.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// The path that a service's rules look at: below the key of a keyed
    /// service, below the service's name of a pool.
    pub fn rule_path(&self, keyed: bool) -> String {
        match &self.key {
            Some(key) if !keyed => format!("/{key}{}", self.path),
            _ => self.path.clone(),
        }
    }

    /// Point of the key in the hash space.
    pub fn hash(&self) -> Option<KeyHash> {
        self.key.as_deref().map(KeyHash::of)
    }
}

/// One try on its way from ingress to gate.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Forward {
    /// The try.
    pub attempt: AttemptId,
    /// The upstream.
    pub server: ServerName,
    /// Fence of the owner's assignment, for a keyed service.
    pub fence: Option<Fence>,
    /// Time left before the caller's deadline, in microseconds.
    pub remaining_micros: u64,
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// The request.
    pub request: CallerRequest,
}

/// A whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that concern the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a try provably did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum NotRunReason {
    /// The server does not own the key under this fence.
    NotOwner,
    /// The upstream is over its limit.
    Shed,
    /// The gate's queue is full.
    QueueFull,
    /// The deadline passed in the gate's queue.
    Expired,
    /// The node is not the upstream's gate.
    NotGate,
    /// No connection could be made.
    NotConnected,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum UpstreamOutcome {
    /// The whole answer.
    Answered(UpstreamAnswer),
    /// It did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in microseconds, when known.
        retry_after_micros: Option<u64>,
    },
    /// It was sent and no whole answer came.
    Lost {
        /// What happened.
        cause: String,
    },
}

/// What is known of a request that has its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It ran, and the answer is the upstream's.
    Complete,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// The word for it in answers to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::Complete => "complete",
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}

/// A caller's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the upstream's answer.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the request ran.
    pub run_state: RunState,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// An answer of beamtray itself.
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
