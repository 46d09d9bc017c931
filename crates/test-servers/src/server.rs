//! A test server on its own thread that follows a script.
//!
//! Answers that are ready at the same time are written together, so that a bench measures its client, not this server.

use crate::recorder::InvariantRecorder;
use crate::script::{Behaviour, Script};
use foldhash::{HashMap, HashMapExt, HashSet};
use nanorand::WyRand;
use rainstand_protocol::thrift::{self, ProcessArgs};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Size of one read from a socket.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What a server has observed, as far as its options enable it.
#[derive(Debug, Default)]
pub struct Observations {
    /// Number of runs by body.
    pub runs: BTreeMap<Vec<u8>, u32>,
    /// Calls that were read.
    pub calls: u64,
    /// Calls that were marked as a retry.
    pub retries: u64,
    /// Cancellations that were read.
    pub cancellations: u64,
    /// Time from the server's start to each call, in the order of arrival.
    pub arrival_times: Vec<Duration>,
    /// Connections that were accepted.
    pub connections: u64,
    /// Calls that are running.
    pub running: u64,
    /// Highest number of calls that ran concurrently.
    pub max_running: u64,
}

/// A script and its number, which increases with each replacement.
#[derive(Clone, Default)]
struct NumberedScript {
    script: Script,
    number: u64,
}

/// State shared by the handle and the server's thread.
struct Shared {
    script: Mutex<NumberedScript>,
    observations: Mutex<Observations>,
    released: Notify,
    killed: Notify,
    records_runs: bool,
    records_times: bool,
}

/// A handle to a running server, which stops with the process or by [`TestServer::kill`].
#[derive(Clone)]
pub struct TestServer {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A recorder, and the number under which the server is recorded.
#[derive(Clone)]
pub struct ServerRecorder {
    /// Records the server's runs.
    pub recorder: InvariantRecorder,
    /// Number of the server.
    pub server: u32,
}

/// Options of a server.
#[derive(Clone, Default)]
pub struct TestServerOptions {
    /// How the server behaves.
    pub script: Script,
    /// Records the server's runs, if present.
    pub recorder: Option<ServerRecorder>,
    /// Seed of the script's random draws.
    pub seed: u64,
    /// Address to listen on; `None` for a free port of 127.0.0.1.
    pub address: Option<SocketAddr>,
    /// Disables counting runs by body, for benches with millions of calls.
    pub forget_runs: bool,
    /// Enables recording the arrival time of each call.
    pub record_arrival_times: bool,
}

impl TestServerOptions {
    /// Starts the server.
    ///
    /// # Panics
    /// If it cannot listen on the address.
    pub fn start(self) -> TestServer {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = std::net::TcpListener::bind(self.address.unwrap_or(any_port))
            .expect("cannot bind the test server");
        listener
            .set_nonblocking(true)
            .expect("cannot make the listener non-blocking");
        let addr = listener.local_addr().expect("listener has no address");
        let shared = Arc::new(Shared {
            script: Mutex::new(NumberedScript {
                script: self.script,
                number: 1,
            }),
            observations: Mutex::default(),
            released: Notify::new(),
            killed: Notify::new(),
            records_runs: !self.forget_runs,
            records_times: self.record_arrival_times,
        });
        let context = ContextOptions {
            shared: shared.clone(),
            recorder: self.recorder,
            seed: self.seed,
        };
        std::thread::spawn(move || serve(listener, context));
        TestServer { addr, shared }
    }
}

/// Starts a server with a script.
///
/// # Panics
/// If the script is invalid.
pub fn test_server(script: &str) -> TestServer {
    TestServerOptions {
        script: Script::read(script).expect("invalid script"),
        ..TestServerOptions::default()
    }
    .start()
}

impl TestServer {
    /// Replaces the script; calls that are running finish under the old one. Times in a script count from the server's
    /// start.
    ///
    /// # Panics
    /// If the script is invalid.
    pub fn set_script(&self, script: &str) {
        let script = Script::read(script).expect("invalid script");
        let mut current = lock(&self.shared.script);
        let number = current.number + 1;
        *current = NumberedScript { script, number };
    }

    /// The observations so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.shared.observations)
    }

    /// Number of runs of this body.
    pub fn runs_of(&self, body: &[u8]) -> u32 {
        self.observations().runs.get(body).copied().unwrap_or(0)
    }

    /// Number of all runs.
    pub fn total_runs(&self) -> u32 {
        self.observations().runs.values().sum()
    }

    /// Lets all held calls be answered, or the next one if there is none.
    pub fn release(&self) {
        self.shared.released.notify_waiters();
        self.shared.released.notify_one();
    }

    /// Stops the server like a killed process: all connections break, and its listener is closed.
    pub fn kill(&self) {
        self.shared.killed.notify_one();
    }
}

/// Values from which the server's thread creates its [`ServerContext`].
struct ContextOptions {
    shared: Arc<Shared>,
    recorder: Option<ServerRecorder>,
    seed: u64,
}

/// State shared by the tasks of one server.
struct ServerContext {
    shared: Arc<Shared>,
    recorder: Option<ServerRecorder>,
    random: RefCell<WyRand>,
    start: Instant,
    /// The script as of the last update.
    script: RefCell<NumberedScript>,
    calls: Cell<u64>,
    /// Permits to run, if the script limits the number of concurrent runs.
    cores: RefCell<Option<Rc<Semaphore>>>,
}

/// Main function of a server's thread.
fn serve(listener: std::net::TcpListener, options: ContextOptions) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("cannot create the test server's runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::from_std(listener).expect("cannot register the listener");
        let shared = options.shared.clone();
        let context = Rc::new(ServerContext {
            shared: options.shared,
            recorder: options.recorder,
            random: RefCell::new(WyRand::new_seed(options.seed)),
            start: Instant::now(),
            script: RefCell::default(),
            calls: Cell::new(0),
            cores: RefCell::new(None),
        });
        tokio::select! {
            () = accept(context, listener) => {}
            () = shared.killed.notified() => {}
        }
    });
}

impl ServerContext {
    /// Adopts the shared script if it was replaced.
    fn update_script(&self) {
        let current = lock(&self.shared.script);
        let mut script = self.script.borrow_mut();
        if script.number != current.number {
            *script = current.clone();
            let cores = script.script.cores;
            *self.cores.borrow_mut() = (cores > 0).then(|| Rc::new(Semaphore::new(cores)));
        }
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.shared.observations)
    }
}

async fn accept(context: Rc<ServerContext>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        context.update_script();
        let now = context.start.elapsed();
        if context.script.borrow().script.refuses(now) {
            continue;
        }
        context.observations().connections += 1;
        // If this fails, small answers are delayed, with no other effect.
        let _ = stream.set_nodelay(true);
        spawn_local(serve_connection(context.clone(), stream));
    }
}

#[derive(Default)]
struct Connection {
    outgoing: RefCell<Vec<u8>>,
    wakeup: Notify,
    closing: Cell<bool>,
    /// Sequence numbers of calls that were cancelled.
    cancelled: RefCell<HashSet<i32>>,
    /// Number of calls without an answer.
    open: Cell<u32>,
    /// Whether the connection closes once no call is open.
    draining: Cell<bool>,
}

impl Connection {
    fn send(&self, frames: &[u8]) {
        self.outgoing.borrow_mut().extend_from_slice(frames);
        self.wakeup.notify_one();
    }

    /// Closes a draining connection without open calls.
    fn close_if_drained(&self) {
        if self.draining.get() && self.open.get() == 0 {
            self.closing.set(true);
        }
    }

    /// Writes as much as the socket accepts. Returns whether that was everything, or `None` if the connection broke.
    fn flush(&self, stream: &TcpStream) -> Option<bool> {
        let mut outgoing = self.outgoing.borrow_mut();
        match stream.try_write(&outgoing) {
            Ok(written) => drop(outgoing.drain(..written)),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        Some(outgoing.is_empty())
    }
}

async fn serve_connection(context: Rc<ServerContext>, stream: TcpStream) {
    let connection = Rc::new(Connection::default());
    let mut incoming = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let Some(flushed) = connection.flush(&stream) else {
            return;
        };
        if connection.closing.get() && (flushed || !connection.draining.get()) {
            return;
        }
        tokio::select! {
            ready = stream.readable() => {
                match ready.and_then(|()| stream.try_read(&mut chunk)) {
                    Ok(0) => return,
                    Ok(n) => incoming.extend_from_slice(&chunk[..n]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(_) => return,
                }
                context.update_script();
                if handle_frames(&context, &connection, &mut incoming) == FrameOutcome::Close {
                    return;
                }
            }
            _ = stream.writable(), if !flushed => {}
            () = connection.wakeup.notified() => {}
        }
    }
}

/// What to do with the connection after a frame.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FrameOutcome {
    Continue,
    /// It closes immediately.
    Close,
}

fn handle_frames(
    context: &Rc<ServerContext>,
    connection: &Rc<Connection>,
    incoming: &mut Vec<u8>,
) -> FrameOutcome {
    let mut consumed = 0;
    while let Ok(Some(length)) = thrift::frame(&incoming[consumed..]) {
        let start = consumed + thrift::FRAME_HEADER_BYTES;
        consumed = start + length;
        // An unreadable frame closes the connection, too.
        let outcome = handle_frame(context, connection, &incoming[start..consumed]);
        if outcome.unwrap_or(FrameOutcome::Close) == FrameOutcome::Close {
            return FrameOutcome::Close;
        }
    }
    incoming.drain(..consumed);
    FrameOutcome::Continue
}

/// Handles one frame.
fn handle_frame(
    context: &Rc<ServerContext>,
    connection: &Rc<Connection>,
    frame: &[u8],
) -> Result<FrameOutcome, thrift::ReasonCode> {
    let message = thrift::message(frame)?;
    match message.name {
        b"giveUp" => {
            context.observations().cancellations += 1;
            let cancelled = thrift::give_up_args(message.args)?;
            connection.cancelled.borrow_mut().extend(cancelled);
            Ok(FrameOutcome::Continue)
        }
        b"probe" => {
            connection.send(&thrift::answer(b"probe", message.seq, &[], true));
            Ok(FrameOutcome::Continue)
        }
        b"process" => {
            let arguments = thrift::process_args(message.args)?;
            let call = Call::new(context, message.seq, arguments);
            call.record(context);
            Ok(call.begin(context, connection))
        }
        _ => Ok(FrameOutcome::Continue),
    }
}

/// A call, with the behaviour that the script selects for it.
struct Call<'a> {
    sequence_number: i32,
    body: &'a [u8],
    trace: &'a [u8],
    is_retry: bool,
    behaviour: Behaviour,
    delay: Duration,
}

impl<'a> Call<'a> {
    fn new(context: &ServerContext, sequence_number: i32, arguments: ProcessArgs<'a>) -> Self {
        let fields = arguments.fields.unwrap_or_default();
        let field = |key: &[u8]| {
            let found = fields.iter().find(|(name, _)| *name == key);
            found.map_or(&b""[..], |(_, value)| value)
        };
        let number = context.calls.get() + 1;
        context.calls.set(number);
        let request_class = std::str::from_utf8(field(b"route")).unwrap_or("");
        let reaction = context.script.borrow().script.reaction(
            context.start.elapsed(),
            request_class,
            number,
            &mut context.random.borrow_mut(),
        );
        Self {
            sequence_number,
            body: arguments.body.unwrap_or_default(),
            trace: field(b"trace"),
            is_retry: field(b"redo") == b"1",
            behaviour: reaction.behaviour,
            delay: reaction.delay,
        }
    }

    fn record(&self, context: &ServerContext) {
        let runs = self.behaviour.runs();
        let mut observations = context.observations();
        observations.calls += 1;
        observations.retries += u64::from(self.is_retry);
        if context.shared.records_times {
            observations.arrival_times.push(context.start.elapsed());
        }
        if runs {
            observations.running += 1;
            observations.max_running = observations.max_running.max(observations.running);
            if context.shared.records_runs {
                *observations.runs.entry(self.body.to_vec()).or_default() += 1;
            }
        }
        drop(observations);
        if let (true, Some(ServerRecorder { recorder, server })) = (runs, &context.recorder) {
            recorder.on_run(self.trace, *server, self.is_retry);
        }
    }

    /// Starts the call, and finishes it if there is no delay.
    fn begin(&self, context: &Rc<ServerContext>, connection: &Rc<Connection>) -> FrameOutcome {
        if self.behaviour == Behaviour::Silent {
            // The call stays open forever, as on a server that hangs.
            return FrameOutcome::Continue;
        }
        let frames = self.answer();
        if self.behaviour == Behaviour::ShutDown {
            connection.draining.set(true);
            connection.send(&thrift::shutdown());
        }
        let cores = context.cores.borrow().clone();
        let cores = cores.filter(|_| self.behaviour.runs());
        let is_immediate =
            self.delay.is_zero() && cores.is_none() && self.behaviour != Behaviour::Hold;
        if is_immediate {
            end_run(context, self.behaviour);
            if frames.is_empty() {
                return FrameOutcome::Close;
            }
            connection.send(&frames);
            connection.close_if_drained();
        } else {
            connection.open.set(connection.open.get() + 1);
            let delayed = DelayedAnswer {
                sequence_number: self.sequence_number,
                behaviour: self.behaviour,
                delay: self.delay,
                frames,
            };
            spawn_local(delayed.run(context.clone(), connection.clone(), cores));
        }
        FrameOutcome::Continue
    }

    /// The frames of the answer; empty if the connection closes instead.
    fn answer(&self) -> Vec<u8> {
        let sequence_number = self.sequence_number;
        let served = || thrift::answer(b"process", sequence_number, self.body, true);
        match self.behaviour {
            Behaviour::Serve | Behaviour::AnswerLate | Behaviour::ShutDown | Behaviour::Hold => {
                served()
            }
            Behaviour::AnswerTwice => served().repeat(2),
            Behaviour::Fail => thrift::lost(sequence_number),
            Behaviour::Exception => thrift::exception(
                b"process",
                sequence_number,
                thrift::INTERNAL_ERROR,
                "requested by the script",
            ),
            Behaviour::Reject {
                retry_after,
                nowhere_else,
            } => {
                let pause = retry_after.as_millis().to_string();
                let mut texts = vec![("pause", pause.as_str())];
                texts.extend(nowhere_else.then_some(("terminal", "1")));
                thrift::backoff(sequence_number, &texts)
            }
            Behaviour::Silent | Behaviour::Reset | Behaviour::Cut | Behaviour::Refuse => Vec::new(),
        }
    }
}

fn end_run(context: &ServerContext, behaviour: Behaviour) {
    if behaviour.runs() {
        context.observations().running -= 1;
    }
}

/// An answer that is not sent immediately.
struct DelayedAnswer {
    sequence_number: i32,
    behaviour: Behaviour,
    delay: Duration,
    frames: Vec<u8>,
}

impl DelayedAnswer {
    async fn run(
        self,
        context: Rc<ServerContext>,
        connection: Rc<Connection>,
        cores: Option<Rc<Semaphore>>,
    ) {
        let core = match &cores {
            Some(cores) => cores.acquire().await.ok(),
            None => None,
        };
        if self.behaviour == Behaviour::Hold {
            context.shared.released.notified().await;
        }
        if !self.delay.is_zero() {
            sleep(self.delay).await;
        }
        drop(core);
        end_run(&context, self.behaviour);
        connection.open.set(connection.open.get() - 1);
        let sequence_number = self.sequence_number;
        let is_cancelled = connection.cancelled.borrow_mut().remove(&sequence_number);
        if self.frames.is_empty() {
            connection.closing.set(true);
        } else if !is_cancelled || matches!(self.behaviour, Behaviour::AnswerLate | Behaviour::Hold)
        {
            connection.send(&self.frames);
        }
        connection.close_if_drained();
        connection.wakeup.notify_one();
    }
}

/// Sums the runs of several servers by body.
pub fn runs_of_all(servers: &[TestServer]) -> HashMap<Vec<u8>, u32> {
    let mut all: HashMap<Vec<u8>, u32> = HashMap::new();
    for server in servers {
        for (body, runs) in &server.observations().runs {
            *all.entry(body.clone()).or_default() += runs;
        }
    }
    all
}
