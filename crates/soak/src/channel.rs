//! The connection of a process to the driver.

use crate::clock;
use crate::message::{Command, Observation, Report};
use beamtray_wire::{FrameBuffer, encode};
use borsh::BorshDeserialize;
use eyre::{Result, WrapErr, bail};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const READ_BYTES: usize = 16 * 1024;

/// Reads framed messages from a stream.
pub(crate) struct MessageReader {
    stream: OwnedReadHalf,
    frames: FrameBuffer,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: OwnedReadHalf) -> Self {
        Self {
            stream,
            frames: FrameBuffer::default(),
            buffer: vec![0; READ_BYTES],
        }
    }

    /// The next message.
    pub async fn next<T: BorshDeserialize>(&mut self) -> Result<T> {
        loop {
            if let Some(message) = self.frames.next_message()? {
                return Ok(message);
            }
            let length = self.stream.read(&mut self.buffer).await?;
            if length == 0 {
                bail!("connection closed by the peer");
            }
            self.frames.extend(&self.buffer[..length]);
        }
    }
}

/// Sends this process's observations to the driver.
#[derive(Clone)]
pub(crate) struct Reporter {
    from: Rc<str>,
    reports: UnboundedSender<Report>,
}

impl Reporter {
    pub fn report(&self, observation: Observation) {
        let report = Report {
            at: clock::now(),
            from: self.from.to_string(),
            observation,
        };
        // Sending fails only when the driver has gone, and then reports are not needed.
        let _ = self.reports.send(report);
    }
}

/// Connects to the driver under the name `from`; returns the reporter and the command channel.
pub(crate) async fn connect(
    driver: SocketAddr,
    from: &str,
) -> Result<(Reporter, UnboundedReceiver<Command>)> {
    let stream = TcpStream::connect(driver)
        .await
        .wrap_err_with(|| format!("connect to the driver at {driver}"))?;
    stream.set_nodelay(true)?;
    let (reading, mut writing) = stream.into_split();
    let (reports, mut outgoing) = unbounded_channel::<Report>();
    let (incoming, commands) = unbounded_channel();
    tokio::task::spawn_local(async move {
        while let Some(report) = outgoing.recv().await {
            let Ok(frame) = encode(&report) else { continue };
            if writing.write_all(&frame).await.is_err() {
                return;
            }
        }
    });
    tokio::task::spawn_local(async move {
        let mut reader = MessageReader::new(reading);
        while let Ok(command) = reader.next().await {
            if incoming.send(command).is_err() {
                return;
            }
        }
    });
    let reporter = Reporter {
        from: from.into(),
        reports,
    };
    reporter.report(Observation::Started);
    Ok((reporter, commands))
}
