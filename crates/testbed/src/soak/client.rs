//! Clients of a node that use their open connections until the node closes them, and record what they observe.

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

/// Pause between two connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Pause between an answer and the next request, so that the clients do not use all of the machine's CPU time.
const THINK_TIME: Duration = Duration::from_millis(4);

/// Open requests of a slow client.
const SLOW_CLIENT_DEPTH: usize = 31;
/// Time limit for a slow client to read an answer: reading the earlier answers takes 1 s, longer on a loaded machine.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two answers that a slow client reads.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// Receive buffer size of a slow client.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Size of each result that a slow client requests.
const SLOW_RESULT_BYTES: usize = 7_800;

/// Observations of all clients of one node.
#[derive(Default)]
pub struct ClientLog {
    /// Requests and their final answers, as observations of a history.
    pub observations: RefCell<Vec<Observation>>,
    /// Number of requests written.
    pub requests: Cell<u64>,
    /// Number of final answers read.
    pub answers: Cell<u64>,
    /// Number of answers without a matching open request on their connection.
    pub unexpected_answers: Cell<u64>,
    /// Number of connections that ended within a frame.
    pub cut_in_frame: Cell<u64>,
    /// Names of requests whose connection ended before an answer.
    pub unfinished: RefCell<Vec<String>>,
    /// Whether clients stop opening new connections.
    pub stopping: Cell<bool>,
    next_number: Cell<u64>,
}

impl ClientLog {
    fn push(&self, event: Event) {
        let mut observations = self.observations.borrow_mut();
        let line = observations.len() + 1;
        let observer = "client".to_owned();
        observations.push(Observation {
            at: now(),
            observer,
            line,
            event,
        });
    }
}

/// Time limit for a client to notice that its last connection ended.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// How a client reads its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPace {
    /// Reads answers as they arrive.
    Prompt,
    /// Reads one answer per [`SLOW_READ_PAUSE`] into a small receive buffer, and requests large results.
    Slow,
}

/// Starts a client whose requests must be answered within `answer_timeout`.
pub fn start_client(
    address: SocketAddr,
    depth: usize,
    answer_timeout: Duration,
    log: &Rc<ClientLog>,
) -> JoinHandle<()> {
    let client = Client {
        address,
        depth,
        answer_timeout,
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
        answer_timeout: SLOW_CLIENT_TIMEOUT,
        pace: ReadPace::Slow,
        log: log.clone(),
    };
    spawn_local(client.run())
}

/// Waits for clients whose server has ended.
pub async fn end_clients(log: &ClientLog, clients: impl IntoIterator<Item = JoinHandle<()>>) {
    log.stopping.set(true);
    for client in clients {
        let _ = timeout(END_TIMEOUT, client).await;
    }
}

/// One client.
pub struct Client {
    /// Address on which the node listens.
    pub address: SocketAddr,
    /// Number of concurrently open requests.
    pub depth: usize,
    /// Time limit for an answer.
    pub answer_timeout: Duration,
    /// How the client reads answers.
    pub pace: ReadPace,
    /// Log shared by all clients.
    pub log: Rc<ClientLog>,
}

impl Client {
    /// Sends requests until `stopping` is set in the log and the last connection has ended.
    pub async fn run(self) {
        while !self.log.stopping.get() {
            if let Ok(stream) = self.connect().await {
                let mut open = BTreeMap::new();
                let mut received = Vec::new();
                // Requests that are open when the connection ends have no answer, whatever the cause.
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
        let mut is_writable = true;
        loop {
            while is_writable && open.len() < self.depth {
                sequence += 1;
                let request = self.request(sequence, open);
                // If the write fails, answers sent before the server closed its side are still read.
                is_writable = stream.write_all(&request).await.is_ok();
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
        // Every second request must run at most once.
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
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let created_ms = since_epoch.as_millis().to_string();
        let mut fields = vec![
            ("route", route),
            ("trace", trace.as_str()),
            ("born", created_ms.as_str()),
            ("customer", "acme"),
        ];
        fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
        fields.extend(key.as_deref().map(|key| ("entity", key)));
        let deadline = now() + self.answer_timeout.as_nanos() as u64;
        log.push(Event::Requested {
            request: request.clone(),
            request_class: Some(route.to_owned()),
            key: key.clone(),
            body: Some(hash(body.as_bytes())),
            node: Some("n1".to_owned()),
            deadline,
        });
        log.requests.set(log.requests.get() + 1);
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
            // The notice that the node is draining; this client continues sending regardless.
            if thrift::kind(&frame) == Some(thrift::ONEWAY) {
                continue;
            }
            let answered = thrift::answered(&frame).map_err(io::Error::other)?;
            let Some(request) = open.remove(&answered.seq) else {
                // A second final answer, or one without a request. Counted separately: it must not offset a lost answer.
                self.log
                    .unexpected_answers
                    .set(self.log.unexpected_answers.get() + 1);
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
            self.log.answers.set(self.log.answers.get() + 1);
        }
        Ok(())
    }
}
