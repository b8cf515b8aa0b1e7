//! A client: one request on a connection of its own.

use crate::http::{Message, read_message};
use crate::record::Record;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How a client's request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It was answered.
    Answered(Message),
    /// The connection ended without an answer.
    Closed,
    /// There was no answer in the time that the client gave it.
    Unanswered,
}

impl Outcome {
    /// The status of the answer; 0 if there was none.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(message) => message.status(),
            Self::Closed | Self::Unanswered => 0,
        }
    }
}

/// What a client asks for.
pub struct Request<'a> {
    /// Where it connects.
    pub router: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key, if the service is sharded.
    pub key: Option<u16>,
    /// What it says it will wait.
    pub deadline: Duration,
    /// How long it waits.
    pub patience: Duration,
}

/// Sends requests, each with an id of its own.
pub struct Clients {
    next: Cell<u64>,
    record: Rc<Record>,
}

impl Clients {
    /// No request was sent yet.
    pub fn new(record: &Rc<Record>) -> Rc<Self> {
        Rc::new(Self {
            next: Cell::new(1),
            record: record.clone(),
        })
    }

    /// Sends a request and waits for its end.
    pub async fn send(&self, request: &Request<'_>) -> Outcome {
        let number = self.next.get();
        self.next.set(number + 1);
        let id = format!("{number:016x}");
        self.record.line(format_args!(
            "client sends {id}: {} {} {:?}",
            request.method, request.path, request.key
        ));
        let exchange = exchange(&id, request);
        let outcome = match timeout(request.patience, exchange).await {
            Ok(Ok(Some(message))) => Outcome::Answered(message),
            Ok(Ok(None) | Err(_)) => Outcome::Closed,
            Err(_) => Outcome::Unanswered,
        };
        let text = match &outcome {
            Outcome::Answered(message) => message.start.clone(),
            other => format!("{other:?}"),
        };
        self.record.line(format_args!("client got {id}: {text}"));
        outcome
    }
}

async fn exchange(id: &str, request: &Request<'_>) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(request.router).await?;
    stream.set_nodelay(true)?;
    let key = request.key.map(|key| format!("X-Shard-Key: {key}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: bank.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n{}\
         Content-Length: 0\r\n\r\n",
        request.method,
        request.path,
        request.deadline.as_millis(),
        key.unwrap_or_default(),
    );
    stream.write_all(head.as_bytes()).await?;
    read_answer(&mut BufReader::new(stream)).await
}

/// Reads the answer. A status below 200 tells that the answer follows: it is returned only if the
/// connection ends and none did.
async fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut interim = None;
    loop {
        match read_message(reader).await {
            Ok(Some(message)) if message.status() < 200 => interim = Some(message),
            Ok(None) | Err(_) if interim.is_some() => return Ok(interim),
            answer => return answer,
        }
    }
}
