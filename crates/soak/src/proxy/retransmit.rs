//! Copies one direction of a connection with the retransmission behaviour of TCP.

use super::{DirectionFault, Link, LinkFault};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep, sleep_until};

const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes buffered for a receiver that is cut off, about the size of socket buffers.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Initial retransmission timeout, doubled after each attempt. The minimum that Linux uses
/// (`TCP_RTO_MIN`).
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// After a retransmission the next packet waits for the acknowledgement, so the FIN follows
/// the preceding bytes after this delay.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// How a direction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyEnd {
    /// The sender closed the connection, and all data was delivered.
    Closed,
    /// The sender reset the connection or the receiver is gone; undelivered data is dropped.
    Reset,
}

/// Data that was sent but not acknowledged.
struct Unacknowledged {
    bytes: Vec<u8>,
    /// Whether the sender's FIN follows the bytes.
    closes: bool,
    wait: Duration,
    /// Time of the next retransmission.
    again: Instant,
}

impl Unacknowledged {
    fn first_sent_now() -> Self {
        let wait = FIRST_RETRANSMISSION;
        Self {
            bytes: Vec::new(),
            closes: false,
            wait,
            again: Instant::now() + wait,
        }
    }

    fn wait_longer(&mut self) {
        self.wait *= 2;
        self.again = Instant::now() + self.wait;
    }

    fn has_room(&self) -> bool {
        !self.closes && self.bytes.len() < MAX_BUFFERED_BYTES
    }
}

/// Copies until one side ends; calls `on_delayed_delivery` when buffered bytes are delivered.
pub(super) async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    link: &Link,
    side: impl Fn(LinkFault) -> DirectionFault,
    on_delayed_delivery: impl Fn(),
) -> CopyEnd {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut unacknowledged: Option<Unacknowledged> = None;
    loop {
        let again = unacknowledged
            .as_ref()
            .map(|unacknowledged| unacknowledged.again);
        let has_room = unacknowledged.as_ref().is_none_or(Unacknowledged::has_room);
        let read = tokio::select! {
            read = from.read(&mut buffer), if has_room => Some(read),
            () = sleep_until(again.unwrap_or_else(Instant::now)), if again.is_some() => None,
        };
        let is_silent = || side(link.fault()).silent;
        match (read, &mut unacknowledged) {
            (Some(Err(_)), _) => return CopyEnd::Reset,
            (Some(Ok(length)), Some(unacknowledged)) => {
                unacknowledged.bytes.extend(&buffer[..length]);
                unacknowledged.closes = length == 0;
            }
            (Some(Ok(length)), None) if is_silent() => {
                let mut first = Unacknowledged::first_sent_now();
                first.bytes.extend(&buffer[..length]);
                first.closes = length == 0;
                unacknowledged = Some(first);
            }
            (Some(Ok(0)), None) => return CopyEnd::Closed,
            (Some(Ok(length)), None) => {
                sleep(side(link.fault()).delay).await;
                if to.write_all(&buffer[..length]).await.is_err() {
                    return CopyEnd::Reset;
                }
            }
            (None, Some(unacknowledged)) if is_silent() => unacknowledged.wait_longer(),
            (None, _) => {
                let Some(unacknowledged) = unacknowledged.take() else {
                    continue;
                };
                if !unacknowledged.bytes.is_empty() {
                    on_delayed_delivery();
                }
                if to.write_all(&unacknowledged.bytes).await.is_err() {
                    return CopyEnd::Reset;
                }
                if unacknowledged.closes {
                    sleep(CLOSE_DELAY).await;
                    return CopyEnd::Closed;
                }
            }
        }
    }
}
