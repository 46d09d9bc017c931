//! Clients of a node that use their open connections until the node closes them, and note what they see.

use crate::history::{Event, Observation, RequestEnd};
use crate::peers::{hash, now};
use rainstand_protocol::thrift::{self, What};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Between two tries to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Between an answer and the next request, so that the clients do not take all of the machine.
const THINK_TIME: Duration = Duration::from_millis(4);

/// Open requests of a slow client.
const SLOW_CLIENT_DEPTH: usize = 31;
/// For a slow client to have read its answer: all answers before it take a second, and its system may be slower still.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two answers that a slow client reads.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// Of a slow client.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Of each result that a slow client asks for.
const SLOW_RESULT_BYTES: usize = 7_800;

/// What all clients of one node saw.
#[derive(Default)]
pub struct ClientLog {
    /// Requests and their final answers, in the form of a history.
    pub seen: RefCell<Vec<Observation>>,
    /// Requests that were written.
    pub asked: Cell<u64>,
    /// Final answers that were read.
    pub finals: Cell<u64>,
    /// Answers to no open request of their connection.
    pub unasked: Cell<u64>,
    /// Connections that ended within a frame.
    pub cut_in_frame: Cell<u64>,
    /// Names of requests whose connection ended without an answer.
    pub unfinished: RefCell<Vec<String>>,
    /// No new connection is opened any more.
    pub stopping: Cell<bool>,
    next_number: Cell<u64>,
}

impl ClientLog {
    fn push(&self, event: Event) {
        let mut seen = self.seen.borrow_mut();
        let line = seen.len() + 1;
        let observer = "client".to_owned();
        seen.push(Observation {
            at: now(),
            observer,
            line,
            event,
        });
    }
}

/// For a client to note that its last connection ended.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// How a client reads its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPace {
    /// As they come.
    Prompt,
    /// An answer each [`SLOW_READ_PAUSE`], into a small receive buffer; it asks for large ones.
    Slow,
}

/// Starts a client; `within`: for an answer.
pub fn start_client(
    address: SocketAddr,
    depth: usize,
    within: Duration,
    log: &Rc<ClientLog>,
) -> JoinHandle<()> {
    let client = Client {
        address,
        depth,
        within,
        pace: ReadPace::Prompt,
        log: log.clone(),
    };
    spawn_local(client.run())
}

/// Starts a client that reads slowly and has as many requests open as the protocol allows.
pub fn start_slow_client(address: SocketAddr, log: &Rc<ClientLog>) -> JoinHandle<()> {
    let client = Client {
        address,
        depth: SLOW_CLIENT_DEPTH,
        within: SLOW_CLIENT_TIMEOUT,
        pace: ReadPace::Slow,
        log: log.clone(),
    };
    spawn_local(client.run())
}

/// Waits for clients whose server is gone.
pub async fn end_clients(log: &ClientLog, clients: impl IntoIterator<Item = JoinHandle<()>>) {
    log.stopping.set(true);
    for client in clients {
        let _ = timeout(END_TIMEOUT, client).await;
    }
}

/// One client.
pub struct Client {
    /// Where the node listens.
    pub address: SocketAddr,
    /// Requests that are open at once.
    pub depth: usize,
    /// For an answer.
    pub within: Duration,
    /// How it reads.
    pub pace: ReadPace,
    /// Shared by all clients.
    pub log: Rc<ClientLog>,
}

impl Client {
    /// Asks until the log says that the node is gone and the last connection has ended.
    pub async fn run(self) {
        while !self.log.stopping.get() {
            if let Ok(stream) = self.connect().await {
                let mut open = BTreeMap::new();
                let mut received = Vec::new();
                // However the connection ends, what is open on it has no answer.
                let _ = self.serve(stream, &mut open, &mut received).await;
                let cut_in_frame = u64::from(!received.is_empty());
                let counter = &self.log.cut_in_frame;
                counter.set(counter.get() + cut_in_frame);
                self.log.unfinished.borrow_mut().extend(open.into_values());
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if self.pace == ReadPace::Slow {
            socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
        }
        socket.connect(self.address).await
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        open: &mut BTreeMap<i32, String>,
        received: &mut Vec<u8>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut sequence = 0;
        let (chunk_bytes, pause) = match self.pace {
            ReadPace::Prompt => (16 << 10, THINK_TIME),
            ReadPace::Slow => (SLOW_RESULT_BYTES, SLOW_READ_PAUSE),
        };
        let mut chunk = vec![0; chunk_bytes];
        let mut takes_requests = true;
        loop {
            while takes_requests && open.len() < self.depth {
                sequence += 1;
                let request = self.request(sequence, open);
                // Answers may have come before the server closed its side: they are read all the same.
                takes_requests = stream.write_all(&request).await.is_ok();
            }
            let length = stream.read(&mut chunk).await?;
            if length == 0 {
                return Ok(());
            }
            received.extend_from_slice(&chunk[..length]);
            self.read_answers(received, open)?;
            sleep(pause).await;
        }
    }

    fn request(&self, sequence: i32, open: &mut BTreeMap<i32, String>) -> Vec<u8> {
        let log = &self.log;
        let number = log.next_number.get() + 1;
        log.next_number.set(number);
        let request = format!("t{number}");
        // Every second request may run once only.
        let key = number.is_multiple_of(2).then(|| format!("k{number}"));
        let (route, body) = match &key {
            Some(key) => ("register", format!("key={key};v={number}")),
            None => ("check", "v=0".to_owned()),
        };
        let body = match self.pace {
            ReadPace::Prompt => body,
            ReadPace::Slow => format!("{body};result-bytes={SLOW_RESULT_BYTES}"),
        };
        let trace = hash(format!("soak/{number}").as_bytes());
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let born = unix.as_millis().to_string();
        let mut fields = vec![
            ("route", route),
            ("trace", trace.as_str()),
            ("born", born.as_str()),
            ("customer", "acme"),
        ];
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        fields.extend(key.as_deref().map(|key| ("entity", key)));
        let deadline = now() + self.within.as_nanos() as u64;
        log.push(Event::Requested {
            request: request.clone(),
            request_class: Some(route.to_owned()),
            key: key.clone(),
            body: Some(hash(body.as_bytes())),
            node: Some("n1".to_owned()),
            deadline,
        });
        log.asked.set(log.asked.get() + 1);
        open.insert(sequence, request);
        thrift::process(sequence, &fields, body.as_bytes())
    }

    fn read_answers(
        &self,
        received: &mut Vec<u8>,
        open: &mut BTreeMap<i32, String>,
    ) -> io::Result<()> {
        while let Some(length) = thrift::frame(received).map_err(io::Error::other)? {
            let frame: Vec<u8> = received.drain(..4 + length).skip(4).collect();
            // The notice that the node leaves; this client goes on all the same.
            if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                continue;
            }
            let answered = thrift::answered(&frame).map_err(io::Error::other)?;
            let Some(request) = open.remove(&answered.seq) else {
                // A second final answer, or one to no request. Counted apart: it must not make up for a lost one.
                self.log.unasked.set(self.log.unasked.get() + 1);
                continue;
            };
            let (end, result) = match answered.what {
                What::Answer { body, .. } => {
                    let body = String::from_utf8_lossy(body).into_owned();
                    (RequestEnd::Served, Some(body))
                }
                What::Backoff(_) => (RequestEnd::Rejected, None),
                What::Lost | What::Exception { .. } => (RequestEnd::Failed, None),
            };
            self.log.push(Event::Ended {
                request,
                end,
                result,
            });
            self.log.finals.set(self.log.finals.get() + 1);
        }
        Ok(())
    }
}
