//! Drains with clients that read slowly: the answers that the forwarder counts are those that its clients receive.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, source::Memory};
use rainstand_forwarder::{run, ForwarderContext};
use rainstand_protocol::thrift;
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, Notify, Semaphore};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

/// Ends a test that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const ANSWER_BYTES: usize = 8_000;
const REQUEST_BYTES: usize = 1_500;
const CLIENTS: usize = 8;
/// Receive buffer of a client that reads slowly.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// Number of answers that the slow clients read before the drain starts.
const ANSWERS_BEFORE_DRAIN: u64 = 60;

const DRAINS: usize = 4;
/// Enough for slow clients to read all open answers, even if their kernel opens a closed window only when probed.
const LONG_DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Too short for slow clients to read all open answers.
const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The forwarder's counts at its end.
#[derive(Clone, Copy, Debug)]
struct ForwarderCounts {
    /// Answers that it sent.
    answers: u64,
    /// Of these, the answers that were not delivered in time.
    cut_off: u64,
    /// Time from the shutdown request to the end.
    drain_duration: Duration,
}

/// What all clients of a test received.
#[derive(Default)]
struct ClientObservations {
    answers: Cell<u64>,
    slow_answers: Cell<u64>,
    streams_cut_in_frame: Cell<u64>,
    /// Clients no longer read slowly.
    drain_ended: Cell<bool>,
}

/// Limits on requests of one client whose answers it has not read.
#[derive(Clone, Copy)]
struct OpenRequests {
    fast: usize,
    slow: usize,
}

/// Within the protocol's limit.
const FEW_OPEN_REQUESTS: OpenRequests = OpenRequests { fast: 31, slow: 31 };
/// Enough for the answers to exceed the kernel's buffers, by default at most 4 MB per connection.
const MANY_OPEN_REQUESTS: usize = 1_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum OnNotice {
    KeepSending,
    StopSending,
}

/// A member that answers each call immediately.
async fn start_member() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_calls(stream));
        }
    });
    address
}

/// A member that never answers; the [`Notify`] reports a connection to it, which the forwarder opens for a request.
async fn start_silent_member() -> (SocketAddr, Rc<Notify>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connected = Rc::new(Notify::new());
    let notify = connected.clone();
    spawn_local(async move {
        let mut connections = Vec::new();
        while let Ok(connection) = listener.accept().await {
            connections.push(connection);
            notify.notify_one();
        }
    });
    (address, connected)
}

async fn answer_calls(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let body = vec![b'a'; ANSWER_BYTES];
    loop {
        let frame = read_frame(&mut stream).await.ok()?;
        let message = thrift::message(&frame).ok()?;
        if message.name == b"process" {
            let answer = thrift::answer(b"process", message.seq, &body, true);
            stream.write_all(&answer).await.ok()?;
        }
    }
}

/// Whether a stream ended at a frame boundary.
#[derive(Debug, PartialEq, Eq)]
enum StreamEnd {
    BetweenFrames,
    InFrame,
}

async fn read_frame(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<Vec<u8>, StreamEnd> {
    let mut header = [0; 4];
    let mut filled = 0;
    while filled < header.len() {
        match stream.read(&mut header[filled..]).await {
            Ok(0) | Err(_) if filled == 0 => return Err(StreamEnd::BetweenFrames),
            Ok(0) | Err(_) => return Err(StreamEnd::InFrame),
            Ok(length) => filled += length,
        }
    }
    let mut frame = vec![0; u32::from_be_bytes(header) as usize];
    let read = stream.read_exact(&mut frame).await;
    read.map(|_| frame).map_err(|_| StreamEnd::InFrame)
}

struct Forwarder {
    address: SocketAddr,
    shutdown: oneshot::Sender<()>,
    counts: oneshot::Receiver<ForwarderCounts>,
}

/// Starts a forwarder on its own thread; all its sockets are closed at its end, like those of a process.
async fn start_forwarder(member: SocketAddr, drain_timeout: Duration) -> Forwarder {
    let text = format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 10 s; outer-limit: 20 s }}\n\
         pool p {{ member n {{ address: \"{member}\" }} }}\nroute r {{ to: p }}"
    );
    let outcome = load(&Memory::new([("a.rain", text.as_str())]), "a.rain");
    let configuration = outcome.configuration.expect("a configuration");
    let (address_sender, address) = oneshot::channel();
    let (shutdown, shutdown_requested) = oneshot::channel();
    let (counts_sender, counts) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = runtime();
        let counts = LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let context = ForwarderContext::new(configuration, "", 3).unwrap();
            let shutdown_at = Rc::new(Cell::new(Instant::now()));
            let set_shutdown_at = shutdown_at.clone();
            run(context.clone(), listener, drain_timeout, async move {
                shutdown_requested.await.unwrap();
                set_shutdown_at.set(Instant::now());
            })
            .await;
            let fleet = context.fleet.borrow().counts();
            let counters = &context.counters;
            ForwarderCounts {
                answers: fleet.served
                    + fleet.rejected
                    + fleet.failed
                    + counters.overload_rejections.get()
                    + counters.exceptions.get(),
                cut_off: counters.cut_off_answers.get(),
                drain_duration: shutdown_at.get().elapsed(),
            }
        });
        drop(runtime);
        let _ = counts_sender.send(counts);
    });
    Forwarder {
        address: address.await.unwrap(),
        shutdown,
        counts,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

async fn connect(address: SocketAddr, is_slow: bool) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_nonblocking(true).unwrap();
    let socket = TcpSocket::from_std_stream(socket.into());
    if is_slow {
        socket
            .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
            .unwrap();
    }
    let stream = socket.connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Starts a client that sends until its connection ends or, with [`OnNotice::StopSending`], until it reads the notice.
async fn start_client(
    address: SocketAddr,
    is_slow: bool,
    open_requests: usize,
    on_notice: OnNotice,
    observed: &Rc<ClientObservations>,
) -> JoinHandle<()> {
    let (read, write) = connect(address, is_slow).await.into_split();
    let permits = Rc::new(Semaphore::new(open_requests));
    let sender = spawn_local(send_calls(write, permits.clone()));
    let observed = observed.clone();
    spawn_local(async move {
        read_answers(read, is_slow, on_notice, &permits, &observed).await;
        permits.close();
        // Keeps the sending side open until here.
        drop(sender.await);
    })
}

/// Sends while there are permits. Returns the sending side, which stays open.
async fn send_calls(mut write: OwnedWriteHalf, permits: Rc<Semaphore>) -> OwnedWriteHalf {
    let body = vec![b'r'; REQUEST_BYTES];
    let mut sequence_number = 0;
    while let Ok(permit) = permits.acquire().await {
        permit.forget();
        sequence_number += 1;
        let call = thrift::process(sequence_number, &[("route", "check")], &body);
        if write.write_all(&call).await.is_err() {
            break;
        }
    }
    write
}

async fn read_answers(
    mut read: OwnedReadHalf,
    is_slow: bool,
    on_notice: OnNotice,
    permits: &Semaphore,
    observed: &ClientObservations,
) {
    loop {
        let frame = match read_frame(&mut read).await {
            Ok(frame) => frame,
            Err(StreamEnd::BetweenFrames) => return,
            Err(StreamEnd::InFrame) => {
                observed
                    .streams_cut_in_frame
                    .set(observed.streams_cut_in_frame.get() + 1);
                return;
            }
        };
        if thrift::kind(&frame) == Some(thrift::ONEWAY) {
            if on_notice == OnNotice::StopSending {
                permits.close();
            }
            continue;
        }
        observed.answers.set(observed.answers.get() + 1);
        if is_slow {
            observed.slow_answers.set(observed.slow_answers.get() + 1);
            if !observed.drain_ended.get() {
                sleep(SLOW_READ_PAUSE).await;
            }
        }
        permits.add_permits(1);
    }
}

/// Runs a drain in which every second client reads slowly. Returns the counts of the forwarder and of the clients.
fn drain_with_slow_readers(
    drain_timeout: Duration,
    open_requests: OpenRequests,
    on_notice: OnNotice,
) -> (ForwarderCounts, Rc<ClientObservations>) {
    let runtime = runtime();
    let observed = Rc::new(ClientObservations::default());
    let counts = LocalSet::new().block_on(&runtime, async {
        let scenario = async {
            let forwarder = start_forwarder(start_member().await, drain_timeout).await;
            let mut clients = Vec::new();
            for number in 0..CLIENTS {
                let is_slow = number % 2 == 1;
                let open = if is_slow {
                    open_requests.slow
                } else {
                    open_requests.fast
                };
                clients.push(
                    start_client(forwarder.address, is_slow, open, on_notice, &observed).await,
                );
            }
            while observed.slow_answers.get() < ANSWERS_BEFORE_DRAIN {
                sleep(Duration::from_millis(1)).await;
            }
            forwarder.shutdown.send(()).unwrap();
            let counts = forwarder.counts.await.unwrap();
            observed.drain_ended.set(true);
            for client in clients {
                client.await.unwrap();
            }
            counts
        };
        timeout(HANG_TIMEOUT, scenario).await
    });
    (counts.expect("the drain hangs"), observed)
}

/// Repeats the drain, because the amount of data in transit at its end depends on the kernel's buffers.
fn assert_drains_deliver_all_answers(on_notice: OnNotice) {
    for _ in 0..DRAINS {
        let (counts, observed) =
            drain_with_slow_readers(LONG_DRAIN_TIMEOUT, FEW_OPEN_REQUESTS, on_notice);
        assert_eq!(counts.cut_off, 0);
        assert_eq!(observed.answers.get(), counts.answers, "{counts:?}");
        assert_eq!(observed.streams_cut_in_frame.get(), 0);
    }
}

// Guards against a close with unread requests, whose reset discards answers that are already counted.
#[test]
fn drain_delivers_all_counted_answers_to_slow_clients_that_keep_sending() {
    assert_drains_deliver_all_answers(OnNotice::KeepSending);
}

// Guards against the same fault with clients that stop sending on the shutdown notice.
#[test]
fn drain_delivers_all_counted_answers_to_slow_clients_that_stop_sending() {
    assert_drains_deliver_all_answers(OnNotice::StopSending);
}

// Guards against answers that are cut off at the end of the drain without being counted, and against a drain that
// exceeds its timeout.
#[test]
fn answers_that_are_not_delivered_by_the_end_of_a_short_drain_are_counted() {
    let open = OpenRequests {
        slow: MANY_OPEN_REQUESTS,
        ..FEW_OPEN_REQUESTS
    };
    let (counts, observed) =
        drain_with_slow_readers(SHORT_DRAIN_TIMEOUT, open, OnNotice::KeepSending);
    let missing = counts.answers - observed.answers.get();
    assert!(counts.cut_off > 0, "all answers were delivered: {counts:?}");
    assert!(missing <= counts.cut_off, "{missing} missing: {counts:?}");
    assert!(counts.drain_duration < SHORT_DRAIN_TIMEOUT, "{counts:?}");
}

// Guards against requests that fail at the end of a drain without being counted.
#[test]
fn requests_that_fail_at_the_end_of_a_drain_are_counted() {
    let observed = Rc::new(ClientObservations::default());
    let scenario = async {
        let (member, connected) = start_silent_member().await;
        let forwarder = start_forwarder(member, SHORT_DRAIN_TIMEOUT).await;
        let open = FEW_OPEN_REQUESTS.fast;
        let client = start_client(
            forwarder.address,
            false,
            open,
            OnNotice::KeepSending,
            &observed,
        )
        .await;
        connected.notified().await;
        forwarder.shutdown.send(()).unwrap();
        let counts = forwarder.counts.await.unwrap();
        client.await.unwrap();
        counts
    };
    let counts =
        LocalSet::new().block_on(&runtime(), async { timeout(HANG_TIMEOUT, scenario).await });
    let counts = counts.expect("the drain hangs");
    assert!(observed.answers.get() > 0);
    assert_eq!(observed.answers.get(), counts.answers, "{counts:?}");
}

// Guards against a flood of requests that delays the drain's timers past its timeout.
#[test]
fn drain_ends_in_time_while_clients_flood() {
    let open = OpenRequests {
        fast: MANY_OPEN_REQUESTS,
        ..FEW_OPEN_REQUESTS
    };
    let (counts, _) = drain_with_slow_readers(SHORT_DRAIN_TIMEOUT, open, OnNotice::KeepSending);
    assert!(counts.drain_duration < SHORT_DRAIN_TIMEOUT, "{counts:?}");
}
