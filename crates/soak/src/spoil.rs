//! Answers that an upstream spoils: surplus ones, late ones, such that belong to another request or
//! name none, unframed ones, and such that come early or break off.
//!
//! What no library writes is written to the socket directly, between the answers of the server. All
//! processes of a run are on one machine, so that such a write is not partial.

use crate::upstream::Answer;
use beamtray_adapter::Platform;
use beamtray_dialect::Dialect;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

/// When an answer is sent a second time if no further request comes.
const LATE_BY: std::ops::Range<u64> = 20..45;
/// When an answer is sent a second time right behind the first.
const BEHIND: Duration = Duration::from_millis(1);

/// How an answer is spoiled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Sent a second time right behind the first.
    Surplus,
    /// Sent a second time where the next answer on the connection is due.
    Late,
    /// The same, and the second one has no id.
    LateWithoutId,
    /// The same, and the second one has the id of the next request.
    LateWithNextId,
    /// Sent a second time after some milliseconds, whatever is due then.
    Timed,
    /// It has no id.
    WithoutId,
    /// It has the id of another request.
    ForeignId,
    /// It has no length and ends with its connection.
    Unframed,
    /// A rejection that is sent before the body of the request is read.
    Early,
    /// It breaks off.
    BrokenOff,
    /// Bytes that are no answer.
    NoAnswer,
}

/// All ways to spoil an answer, with their names.
const KINDS: [(&str, Spoil); 11] = [
    ("surplus", Spoil::Surplus),
    ("late", Spoil::Late),
    ("late-without-id", Spoil::LateWithoutId),
    ("late-with-next-id", Spoil::LateWithNextId),
    ("timed", Spoil::Timed),
    ("without-id", Spoil::WithoutId),
    ("foreign-id", Spoil::ForeignId),
    ("unframed", Spoil::Unframed),
    ("early", Spoil::Early),
    ("broken-off", Spoil::BrokenOff),
    ("no-answer", Spoil::NoAnswer),
];

/// Ways in which an answer is sent a second time while a retry may be under way.
const MET_BY_RETRIES: [Spoil; 3] = [Spoil::Late, Spoil::LateWithoutId, Spoil::Timed];

impl Spoil {
    /// Draws one of the ways in which a faulty upstream spoils rejections.
    pub fn draw_of_rejection() -> Self {
        MET_BY_RETRIES[rand::rng().random_range(0..MET_BY_RETRIES.len())]
    }

    /// Draws one of the ways in which a faulty upstream spoils answers. That an answer names the
    /// next request is not among them: such an upstream says of a request that it has not run it
    /// while it does.
    pub fn draw() -> Self {
        loop {
            let (_, kind) = KINDS[rand::rng().random_range(0..KINDS.len())];
            if kind != Self::LateWithNextId {
                return kind;
            }
        }
    }

    /// Whether the answer is sent a second time where the next one is due.
    fn is_late(self) -> bool {
        matches!(
            self,
            Self::Late | Self::LateWithoutId | Self::LateWithNextId
        )
    }
}

impl FromStr for Spoil {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = KINDS.iter().find(|(name, _)| *name == text);
        kind.map(|(_, kind)| *kind)
            .ok_or_else(|| format!("no such way to spoil answers: {text}"))
    }
}

/// An answer that is sent again.
struct Copied {
    kind: Spoil,
    answer: RawAnswer,
}

/// An answer as it was sent.
#[derive(Clone)]
struct RawAnswer {
    status: StatusCode,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl RawAnswer {
    async fn of(answer: &Answer) -> Self {
        // A body that is held in memory can be read without an error.
        let body = answer.body().clone().collect().await;
        let headers = answer.headers().iter();
        Self {
            status: answer.status(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect(),
            body: body.map(|body| body.to_bytes()).unwrap_or_default(),
        }
    }

    fn with_id(mut self, id: Option<&str>) -> Self {
        let name = Platform.headers().request_id;
        self.headers.retain(|(header, _)| header != name);
        if let Some(id) = id {
            self.headers.push((name.to_owned(), id.as_bytes().to_vec()));
        }
        self
    }

    fn head(&self, is_framed: bool) -> Vec<u8> {
        let mut bytes = format!("HTTP/1.1 {}\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        if is_framed {
            let length = format!("content-length: {}\r\n", self.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    fn bytes(&self) -> Vec<u8> {
        [self.head(true), self.body.to_vec()].concat()
    }
}

/// What an upstream does with an answer.
pub(crate) enum Delivery {
    /// It is sent as usual.
    Send(Box<Answer>),
    /// Nothing more is sent on the connection.
    Nothing,
}

/// A connection on which answers are spoiled.
pub(crate) struct SpoiledConnection {
    socket: Option<TcpStream>,
    late: RefCell<Option<Copied>>,
    is_broken: Cell<bool>,
}

impl SpoiledConnection {
    /// A connection with a second handle to its socket. Without one, answers are sent as usual.
    pub fn new(socket: Option<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            socket,
            late: RefCell::default(),
            is_broken: Cell::default(),
        })
    }

    /// A request has been read: what is late is sent in the place of its answer.
    pub fn request_read(&self, id: Option<&str>) {
        let Some(late) = self.late.borrow_mut().take() else {
            return;
        };
        let answer = match late.kind {
            Spoil::LateWithoutId => late.answer.with_id(None),
            Spoil::LateWithNextId => late.answer.with_id(id),
            _ => late.answer,
        };
        self.write(&answer.bytes());
    }

    /// Spoils the answer to a request.
    pub async fn spoil(self: &Rc<Self>, kind: Spoil, answer: Answer) -> Delivery {
        let copy = RawAnswer::of(&answer).await;
        match kind {
            Spoil::Surplus => self.send_again(copy, BEHIND),
            Spoil::Timed => {
                let millis = rand::rng().random_range(LATE_BY);
                self.send_again(copy, Duration::from_millis(millis));
            }
            kind if kind.is_late() => {
                *self.late.borrow_mut() = Some(Copied { kind, answer: copy });
            }
            Spoil::WithoutId => return self.replace(&copy.with_id(None).bytes()),
            Spoil::ForeignId => return self.replace(&copy.with_id(Some("foreign")).bytes()),
            Spoil::Unframed => {
                let whole = [copy.head(false), copy.body.to_vec()].concat();
                return self.end_with(&whole);
            }
            Spoil::BrokenOff => {
                let whole = copy.bytes();
                return self.end_with(&whole[..whole.len() - whole.len() / 4]);
            }
            Spoil::NoAnswer => return self.end_with(b"\x16\x03\x01 no answer\r\n\r\n"),
            _ => {}
        }
        Delivery::Send(Box::new(answer))
    }

    /// Sends the answer a second time after a while.
    fn send_again(self: &Rc<Self>, answer: RawAnswer, after: Duration) {
        let connection = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            connection.write(&answer.bytes());
        });
    }

    /// Sends these bytes in place of the answer; further requests on the connection get nothing.
    fn replace(&self, bytes: &[u8]) -> Delivery {
        self.write(bytes);
        Delivery::Nothing
    }

    fn end_with(&self, bytes: &[u8]) -> Delivery {
        self.write(bytes);
        self.is_broken.set(true);
        if let Some(socket) = &self.socket {
            // The other side may have closed the connection.
            let _ = socket.shutdown(Shutdown::Both);
        }
        Delivery::Nothing
    }

    fn write(&self, bytes: &[u8]) {
        if self.is_broken.get() {
            return;
        }
        if let Some(mut socket) = self.socket.as_ref() {
            // The other side may have closed the connection.
            let _ = socket.write_all(bytes);
        }
    }
}
