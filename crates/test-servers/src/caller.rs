//! A dispatcher on one connection: asks, reads what comes, gives up.

use crate::watch::{trace, Watch};
use foldhash::{HashMap, HashMapExt};
use rainstand_invariants::{Answer, Kind};
use rainstand_protocol::thrift::{self, What};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Honoured(Vec<u8>),
    Dismissed { pause: Duration, nowhere_else: bool },
    GivenUp,
    Exception(String),
}

impl Told {
    fn answer(&self) -> Answer {
        match self {
            Told::Honoured(_) => Answer::Honoured,
            Told::Dismissed { .. } => Answer::Dismissed,
            Told::GivenUp => Answer::GivenUp,
            Told::Exception(_) => Answer::Exception,
        }
    }
}

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub route: &'a str,
    pub customer: &'a str,
    pub entity: &'a str,
    pub body: &'a [u8],
    pub kind: Kind,
    /// An answer is due within this.
    pub within: Duration,
}

impl Default for Ask<'_> {
    fn default() -> Self {
        Self {
            route: "check",
            customer: "acme",
            entity: "",
            body: b"body",
            kind: Kind::Rerunnable,
            within: Duration::from_secs(60),
        }
    }
}

pub struct Caller {
    stream: TcpStream,
    back: Vec<u8>,
    /// The last number used on this connection.
    pub seq: i32,
    watch: Option<Watch>,
    /// Tickets by their number here: those without an answer, and all there were.
    open: HashMap<i32, u64>,
    asked: HashMap<i32, u64>,
    /// The ticket of the next call; callers of one run begin far apart.
    next: u64,
    /// `shutdown` came: nothing new is wanted here.
    pub told_to_leave: bool,
}

impl Caller {
    /// # Errors
    /// Why there is no connection.
    pub async fn new(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (open, asked) = (HashMap::new(), HashMap::new());
        Ok(Self {
            stream,
            back: Vec::new(),
            seq: 0,
            watch: None,
            open,
            asked,
            next: 1,
            told_to_leave: false,
        })
    }

    /// Tells a watch of all it asks and hears; its tickets are numbered from `first`.
    pub fn watched(mut self, watch: &Watch, first: u64) -> Self {
        (self.watch, self.next) = (Some(watch.clone()), first);
        self
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Asks; the number of the call on this connection.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn ask(&mut self, ask: &Ask<'_>) -> io::Result<i32> {
        self.seq += 1;
        let (ticket, seq) = (self.next, self.seq);
        self.next += 1;
        let trace = trace(ticket);
        let mut fields = vec![
            ("route", ask.route),
            ("customer", ask.customer),
            ("trace", &trace),
        ];
        if !ask.entity.is_empty() {
            fields.push(("entity", ask.entity));
        }
        if let Some(watch) = &self.watch {
            watch.asked(ticket, ask.kind, ask.within);
        }
        self.open.insert(seq, ticket);
        self.asked.insert(seq, ticket);
        self.stream
            .write_all(&thrift::process(seq, &fields, ask.body))
            .await?;
        Ok(seq)
    }

    /// Says that it does not wait for a call any more.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn give_up(&mut self, seq: i32) -> io::Result<()> {
        if let (Some(ticket), Some(watch)) = (self.open.remove(&seq), &self.watch) {
            watch.left(ticket);
        }
        self.stream.write_all(&thrift::give_up(seq)).await
    }

    /// The next answer: the number of its call, and what it says.
    ///
    /// # Errors
    /// If the connection ends first, or what comes is no answer.
    pub async fn next(&mut self) -> io::Result<(i32, Told)> {
        loop {
            let whole = thrift::frame(&self.back).map_err(io::Error::other)?;
            if let Some(length) = whole {
                let frame: Vec<u8> = self.back.drain(..4 + length).skip(4).collect();
                if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                    self.told_to_leave = true;
                    continue;
                }
                return self.read(&frame);
            }
            let mut chunk = [0; 16 << 10];
            match self.stream.read(&mut chunk).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.back.extend_from_slice(&chunk[..n]),
            }
        }
    }

    fn read(&mut self, frame: &[u8]) -> io::Result<(i32, Told)> {
        let answered = thrift::answered(frame).map_err(io::Error::other)?;
        let told = match answered.what {
            What::Answer { body, .. } => Told::Honoured(body.to_vec()),
            What::Backoff(texts) => {
                let text = |key: &[u8]| {
                    texts
                        .iter()
                        .find(|(name, _)| *name == key)
                        .map(|(_, value)| *value)
                };
                let ms = text(b"pause").and_then(|ms| std::str::from_utf8(ms).ok()?.parse().ok());
                Told::Dismissed {
                    pause: Duration::from_millis(ms.unwrap_or(0)),
                    nowhere_else: text(b"terminal") == Some(b"1"),
                }
            }
            What::Lost => Told::GivenUp,
            What::Exception { why, .. } => {
                Told::Exception(String::from_utf8_lossy(why).into_owned())
            }
        };
        self.open.remove(&answered.seq);
        if let Some(watch) = &self.watch {
            // A second answer, or one to nothing, is the watch's to find.
            let ticket = self.asked.get(&answered.seq).copied().unwrap_or(u64::MAX);
            watch.answered(ticket, told.answer());
        }
        Ok((answered.seq, told))
    }

    /// Its connection ends; nobody waits for what is open.
    pub fn hang_up(self) {
        if let Some(watch) = &self.watch {
            self.open.values().for_each(|ticket| watch.left(*ticket));
        }
    }
}
