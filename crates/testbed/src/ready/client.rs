//! A caller's connection that sends requests to one process until it answers.

use rainstand_protocol::thrift;
use rainstand_protocol::thrift::What;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// After an answer that was none, if it named no pause.
const AGAIN: Duration = Duration::from_millis(20);

/// What is asked of a process.
#[derive(Clone, Debug, Default)]
pub(super) struct Question {
    pub(super) traffic: &'static str,
    pub(super) customer: String,
    pub(super) entity: String,
}

pub(super) enum Reply {
    Honoured(Vec<u8>),
    Else {
        pause: Duration,
        exception: Option<String>,
    },
}

thread_local! {
    /// Tickets of this run have different traces.
    static TICKETS: Cell<u64> = const { Cell::new(1) };
}

/// A caller's connection.
pub(super) struct Line {
    pub(super) stream: TcpStream,
    pub(super) back: Vec<u8>,
    pub(super) seq: i32,
}

impl Line {
    pub(super) async fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            back: Vec::new(),
            seq: 0,
        })
    }

    pub(super) async fn ask(&mut self, question: &Question) -> io::Result<Reply> {
        self.seq += 1;
        let ticket = TICKETS.with(|tickets| tickets.replace(tickets.get() + 1));
        let trace = format!("{ticket:016x}");
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let born = unix.as_millis().to_string();
        let mut fields = vec![
            ("route", question.traffic),
            ("trace", &trace),
            ("born", &born),
        ];
        fields.push(("customer", &question.customer));
        fields
            .extend((!question.entity.is_empty()).then_some(("entity", question.entity.as_str())));
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        self.stream
            .write_all(&thrift::process(self.seq, &fields, b"ready"))
            .await?;
        loop {
            if let Some(length) = thrift::frame(&self.back).map_err(io::Error::other)? {
                let frame: Vec<u8> = self.back.drain(..4 + length).skip(4).collect();
                // The notice to leave, or an answer to what was asked before.
                if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                    continue;
                }
                let answered = thrift::answered(&frame).map_err(io::Error::other)?;
                let (mut pause, mut exception) = (AGAIN, None);
                match answered.what {
                    What::Answer { body, .. } => return Ok(Reply::Honoured(body.to_vec())),
                    What::Backoff(texts) => {
                        let told = texts
                            .iter()
                            .find(|(name, _)| *name == b"pause")
                            .map(|(_, ms)| *ms);
                        let ms = told.and_then(|ms| std::str::from_utf8(ms).ok()?.parse().ok());
                        pause = ms.map_or(AGAIN, Duration::from_millis).max(AGAIN);
                    }
                    What::Exception { why, .. } => {
                        exception = Some(String::from_utf8_lossy(why).into_owned());
                    }
                    What::Lost => {}
                }
                return Ok(Reply::Else { pause, exception });
            }
            if self.stream.read_buf(&mut self.back).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Asks until the answer is a result.
pub(super) async fn honoured(line: &mut Line, question: &Question) -> io::Result<Vec<u8>> {
    loop {
        match line.ask(question).await? {
            Reply::Honoured(result) => return Ok(result),
            Reply::Else { pause, .. } => sleep(pause).await,
        }
    }
}
