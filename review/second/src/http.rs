//! HTTP/1.1 messages, read and written by hand: the stand-ins send what no library would write.

use std::io::{self, ErrorKind};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// A message with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in the order in which they arrived.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        let method = words.next().unwrap_or_default();
        (method, words.next().unwrap_or_default())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads a message; `None` if the connection ends before one begins.
pub async fn read_message(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader).await? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader).await?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        message
            .headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
    message.body = read_body(reader, &message).await?;
    Ok(Some(message))
}

async fn read_body(
    reader: &mut (impl AsyncBufRead + Unpin),
    message: &Message,
) -> io::Result<Vec<u8>> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        return read_chunks(reader).await;
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(body)
}

async fn read_chunks(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader).await?.ok_or(ErrorKind::UnexpectedEof)?;
        let length = line.split(';').next().unwrap_or_default().trim().to_owned();
        let length = usize::from_str_radix(&length, 16).map_err(|_| ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk).await?;
        body.extend_from_slice(&chunk);
        let end = read_line(reader).await?.ok_or(ErrorKind::UnexpectedEof)?;
        if length == 0 {
            return Ok(body);
        }
        if !end.is_empty() {
            return Err(ErrorKind::InvalidData.into());
        }
    }
}

async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
