//! Reading of request bodies within the memory of the process.
//!
//! Invariant: the memory of a body is held before its bytes are read, all of it where its length was
//! announced. A body that finds no room is refused at once, and nothing of it was sent, so the refusal
//! is a true promise.

use crate::shell::clients::state::ClientState;
use crate::shell::handle::Shared;
use crate::shell::held_body::{BodyCollector, HeldBody, SMALL_BODY_BYTES};
use beamtray_resources::Purpose;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reasons why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
    /// It did not arrive in time.
    Late,
    /// It was stalled, and others needed its memory.
    Stalled,
    /// It broke off or is malformed.
    Broken,
}

impl BodyError {
    /// The status with which the request is refused.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late | Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a body of at most the allowed length, for no longer than the client waits.
///
/// # Errors
/// [`BodyError`] when it can't be read to its end.
pub(crate) async fn read_body(
    shared: &Shared,
    state: &ClientState,
    body: Incoming,
    client_timeout: Option<Duration>,
) -> Result<HeldBody, BodyError> {
    let limit = client_timeout.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let collected = tokio::select! {
        biased;
        () = state.end_body.notified() => Err(BodyError::Stalled),
        collected = timeout(limit, collect(shared, state, body)) => {
            collected.unwrap_or(Err(BodyError::Late))
        }
    };
    state.held.set(0);
    collected
}

async fn collect(
    shared: &Shared,
    state: &ClientState,
    mut body: Incoming,
) -> Result<HeldBody, BodyError> {
    let max_bytes = shared.limits.get().max_body_bytes;
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut collector = begin(shared, announced).await?;
    state.held.set(collector.held());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collector.length() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        add(shared, &mut collector, &data).await?;
        state.held.set(collector.held());
    }
    Ok(collector.finish())
}

async fn begin(shared: &Shared, announced: Option<usize>) -> Result<BodyCollector, BodyError> {
    let length = announced.unwrap_or_default();
    let purpose = if length > SMALL_BODY_BYTES {
        Purpose::Body
    } else {
        Purpose::Small
    };
    let attempt = || BodyCollector::begin(&shared.account, purpose, announced);
    match attempt() {
        Some(collector) => Ok(collector),
        None => {
            make_room(shared, purpose, length).await?;
            attempt().ok_or(BodyError::NoMemory)
        }
    }
}

async fn add(
    shared: &Shared,
    collector: &mut BodyCollector,
    data: &Bytes,
) -> Result<(), BodyError> {
    let lacking = collector.lacks(data.len());
    if lacking > 0 {
        let was_small = collector.held() <= SMALL_BODY_BYTES;
        let is_large = collector.held() + lacking > SMALL_BODY_BYTES;
        let becomes_large = was_small && is_large;
        if becomes_large && !collector.become_large() {
            return Err(BodyError::NoMemory);
        }
        if !collector.grow(lacking) {
            let purpose = if is_large {
                Purpose::Body
            } else {
                Purpose::Small
            };
            make_room(shared, purpose, lacking).await?;
            if !collector.grow(lacking) {
                return Err(BodyError::NoMemory);
            }
        }
    }
    collector.add(data);
    Ok(())
}

/// Has stalled bodies give way, and lets them end.
async fn make_room(shared: &Shared, purpose: Purpose, bytes: usize) -> Result<(), BodyError> {
    let lacking = bytes.saturating_sub(shared.account.left(purpose));
    if shared.clients_state.end_stalled_bodies(lacking) == 0 {
        return Err(BodyError::NoMemory);
    }
    // Their tasks run before this one does again.
    tokio::task::yield_now().await;
    Ok(())
}
