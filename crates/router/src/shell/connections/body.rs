//! Reading of response bodies within the memory of the process.
//!
//! Invariant: a body whose length was not announced may hold no more than is left for others. Bytes
//! that never end, on however many connections, so leave room for the bodies of others.

use crate::shell::connections::CallFailure;
use crate::shell::held_body::{BodyCollector, HeldBody};
use beamtray_resources::{Account, Purpose};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// Reads a body to its end.
///
/// # Errors
/// [`CallFailure::ConnectionLost`] if it breaks off, [`CallFailure::AnswerTooLarge`] if it needs
/// more memory than it may hold or more than `max_bytes`.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    account: &Rc<Account>,
    purpose: Purpose,
) -> Result<HeldBody, CallFailure> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(CallFailure::AnswerTooLarge);
    }
    let collector = BodyCollector::begin(account, purpose, announced);
    let mut collector = collector.ok_or(CallFailure::AnswerTooLarge)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallFailure::ConnectionLost)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collector.length() + data.len() > max_bytes {
            return Err(CallFailure::AnswerTooLarge);
        }
        let lacking = collector.lacks(data.len());
        let left = account.left(purpose);
        let exceeds_others =
            lacking > 0 && collector.held() + lacking > left.saturating_sub(lacking);
        if exceeds_others || !collector.grow(lacking) {
            return Err(CallFailure::AnswerTooLarge);
        }
        collector.add(&data);
    }
    Ok(collector.finish())
}
