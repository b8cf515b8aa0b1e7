//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Longest message head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn response(status: u16) -> Self {
        Self {
            first: format!("HTTP/1.1 {status} {}", reason(status)),
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }

    /// The message as it is written, with the length of its body.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.first);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// A connection from which messages are read one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        self.stream.write_all(&message.encode())
    }

    /// Reads the next message; `None` if the other side closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Reads the head of the next message and leaves its body unread.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    /// Reads and says nothing until the other side ends the connection.
    pub fn wait_for_end(&mut self) -> io::Result<()> {
        while self.fill()? > 0 {
            self.buffer.clear();
        }
        Ok(())
    }

    /// Takes what has been read beyond the last message.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
