//! A drain before clients that read slowly: the answers that the forwarder counts are those that its clients read.

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

/// Only what hangs is caught by this.
const HANGS: Duration = Duration::from_secs(60);
const ANSWER_BYTES: usize = 8_000;
const REQUEST_BYTES: usize = 1_500;
const CLIENTS: usize = 8;
/// Of a client that reads slowly.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// Answers that the slow clients read before the drain begins.
const ANSWERS_BEFORE_DRAIN: u64 = 60;

const DRAINS: usize = 4;
/// More than slow clients take for all that is open, also where their system opens a closed window only when it is probed.
const ENOUGH_TIME: Duration = Duration::from_secs(20);
/// Less than that.
const SHORT_TIME: Duration = Duration::from_millis(500);

/// What the forwarder counted until its end.
#[derive(Clone, Copy, Debug)]
struct Counted {
    /// Answers that were given.
    answers: u64,
    /// Of these, those that had not reached their clients when the time was over.
    cut_off: u64,
    /// From the notice to the end.
    drain: Duration,
}

/// What clients read.
#[derive(Default)]
struct Seen {
    answers: Cell<u64>,
    slow_answers: Cell<u64>,
    streams_cut_in_frame: Cell<u64>,
    /// Nobody reads slowly any more.
    drain_ended: Cell<bool>,
}

/// Requests that a client has without an answer that it read.
#[derive(Clone, Copy)]
struct OpenRequests {
    prompt: usize,
    slow: usize,
}

/// As the protocol allows it.
const FEW_OPEN_REQUESTS: OpenRequests = OpenRequests {
    prompt: 31,
    slow: 31,
};
/// So many that the system cannot hold their answers, at most 4 MB a connection by default.
const MANY_OPEN_REQUESTS: usize = 1_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum OnNotice {
    GoOn,
    StopSending,
}

/// A member that answers each call at once.
async fn member() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_calls(stream));
        }
    });
    address
}

/// A member that never answers, and a notice that a connection to it was opened, for a request.
async fn silent_member() -> (SocketAddr, Rc<Notify>) {
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

/// The end of a stream, between two frames or in one.
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
    leave: oneshot::Sender<()>,
    ended: oneshot::Receiver<Counted>,
}

/// A forwarder on a thread of its own, whose sockets are closed at its end as a process's are.
async fn forwarder(member: SocketAddr, stop: Duration) -> Forwarder {
    let text = format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 10 s; outer-limit: 20 s }}\n\
         pool p {{ member n {{ address: \"{member}\" }} }}\nroute r {{ to: p }}"
    );
    let outcome = load(&Memory::new([("a.rain", text.as_str())]), "a.rain");
    let configuration = outcome.configuration.expect("a configuration");
    let (address_sender, address) = oneshot::channel();
    let (leave, left) = oneshot::channel();
    let (ended_sender, ended) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = runtime();
        let counted = LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let context = ForwarderContext::new(configuration, "", 3).unwrap();
            let noticed = Rc::new(Cell::new(Instant::now()));
            let notice = noticed.clone();
            run(context.clone(), listener, stop, async move {
                left.await.unwrap();
                notice.set(Instant::now());
            })
            .await;
            let fleet = context.fleet.borrow().counts();
            let counters = &context.counters;
            Counted {
                answers: fleet.served
                    + fleet.rejected
                    + fleet.failed
                    + counters.overload_rejections.get()
                    + counters.exceptions.get(),
                cut_off: counters.cut_off_answers.get(),
                drain: noticed.get().elapsed(),
            }
        });
        drop(runtime);
        let _ = ended_sender.send(counted);
    });
    Forwarder {
        address: address.await.unwrap(),
        leave,
        ended,
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

/// Starts a client that sends until its connection ends, or until it reads the notice.
async fn client(
    address: SocketAddr,
    is_slow: bool,
    open_requests: usize,
    on_notice: OnNotice,
    seen: &Rc<Seen>,
) -> JoinHandle<()> {
    let (read, write) = connect(address, is_slow).await.into_split();
    let places = Rc::new(Semaphore::new(open_requests));
    let sender = spawn_local(send_calls(write, places.clone()));
    let seen = seen.clone();
    spawn_local(async move {
        read_answers(read, is_slow, on_notice, &places, &seen).await;
        places.close();
        // Until here the writing side was open.
        drop(sender.await);
    })
}

/// Sends while there are places; the writing side stays open.
async fn send_calls(mut write: OwnedWriteHalf, places: Rc<Semaphore>) -> OwnedWriteHalf {
    let body = vec![b'r'; REQUEST_BYTES];
    let mut sequence_number = 0;
    while let Ok(place) = places.acquire().await {
        place.forget();
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
    places: &Semaphore,
    seen: &Seen,
) {
    loop {
        let frame = match read_frame(&mut read).await {
            Ok(frame) => frame,
            Err(StreamEnd::BetweenFrames) => return,
            Err(StreamEnd::InFrame) => {
                seen.streams_cut_in_frame
                    .set(seen.streams_cut_in_frame.get() + 1);
                return;
            }
        };
        if thrift::kind(&frame) == Some(thrift::ONEWAY) {
            if on_notice == OnNotice::StopSending {
                places.close();
            }
            continue;
        }
        seen.answers.set(seen.answers.get() + 1);
        if is_slow {
            seen.slow_answers.set(seen.slow_answers.get() + 1);
            if !seen.drain_ended.get() {
                sleep(SLOW_READ_PAUSE).await;
            }
        }
        places.add_permits(1);
    }
}

/// Every second client reads slowly; what was counted and what was read.
fn drain_before_slow_readers(
    stop: Duration,
    open_requests: OpenRequests,
    on_notice: OnNotice,
) -> (Counted, Rc<Seen>) {
    let runtime = runtime();
    let seen = Rc::new(Seen::default());
    let counted = LocalSet::new().block_on(&runtime, async {
        let played = async {
            let forwarder = forwarder(member().await, stop).await;
            let mut clients = Vec::new();
            for number in 0..CLIENTS {
                let is_slow = number % 2 == 1;
                let open = if is_slow {
                    open_requests.slow
                } else {
                    open_requests.prompt
                };
                clients.push(client(forwarder.address, is_slow, open, on_notice, &seen).await);
            }
            while seen.slow_answers.get() < ANSWERS_BEFORE_DRAIN {
                sleep(Duration::from_millis(1)).await;
            }
            forwarder.leave.send(()).unwrap();
            let counted = forwarder.ended.await.unwrap();
            seen.drain_ended.set(true);
            for client in clients {
                client.await.unwrap();
            }
            counted
        };
        timeout(HANGS, played).await
    });
    (counted.expect("a drain that ends"), seen)
}

/// Several drains, as it depends on the system's buffers how much is on its way at the end of one.
fn assert_drains_bring_all_answers(on_notice: OnNotice) {
    for _ in 0..DRAINS {
        let (counted, seen) = drain_before_slow_readers(ENOUGH_TIME, FEW_OPEN_REQUESTS, on_notice);
        assert_eq!(counted.cut_off, 0);
        assert_eq!(seen.answers.get(), counted.answers, "{counted:?}");
        assert_eq!(seen.streams_cut_in_frame.get(), 0);
    }
}

// Guards against answers that are counted and then thrown away by a close with requests unread.
#[test]
fn a_drain_brings_all_counted_answers_to_clients_that_read_slowly_and_go_on_sending() {
    assert_drains_bring_all_answers(OnNotice::GoOn);
}

// Guards against the same where clients heed the notice.
#[test]
fn a_drain_brings_all_counted_answers_to_clients_that_read_slowly_and_stop_sending() {
    assert_drains_bring_all_answers(OnNotice::StopSending);
}

// Guards against answers that the end of the drain cuts off and no counter holds, and against a drain past its kill.
#[test]
fn answers_that_do_not_arrive_by_the_end_of_a_short_drain_are_counted() {
    let open = OpenRequests {
        slow: MANY_OPEN_REQUESTS,
        ..FEW_OPEN_REQUESTS
    };
    let (counted, seen) = drain_before_slow_readers(SHORT_TIME, open, OnNotice::GoOn);
    let missing = counted.answers - seen.answers.get();
    assert!(counted.cut_off > 0, "the time was enough: {counted:?}");
    assert!(missing <= counted.cut_off, "{missing} missing: {counted:?}");
    assert!(counted.drain < SHORT_TIME, "{counted:?}");
}

// Guards against requests that the end of a drain fails and no counter holds.
#[test]
fn requests_that_fail_at_the_end_of_a_drain_are_counted() {
    let seen = Rc::new(Seen::default());
    let played = async {
        let (member, connected) = silent_member().await;
        let forwarder = forwarder(member, SHORT_TIME).await;
        let open = FEW_OPEN_REQUESTS.prompt;
        let client = client(forwarder.address, false, open, OnNotice::GoOn, &seen).await;
        connected.notified().await;
        forwarder.leave.send(()).unwrap();
        let counted = forwarder.ended.await.unwrap();
        client.await.unwrap();
        counted
    };
    let counted = LocalSet::new().block_on(&runtime(), async { timeout(HANGS, played).await });
    let counted = counted.expect("a drain that ends");
    assert!(seen.answers.get() > 0);
    assert_eq!(seen.answers.get(), counted.answers, "{counted:?}");
}

// Guards against a flood that holds up the drain's timers past the kill.
#[test]
fn a_drain_ends_in_time_while_clients_flood() {
    let open = OpenRequests {
        prompt: MANY_OPEN_REQUESTS,
        ..FEW_OPEN_REQUESTS
    };
    let (counted, _) = drain_before_slow_readers(SHORT_TIME, open, OnNotice::GoOn);
    assert!(counted.drain < SHORT_TIME, "{counted:?}");
}
