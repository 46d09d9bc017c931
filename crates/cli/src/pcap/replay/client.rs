//! Sends a schedule's calls when they are due, and records what became of each.
//!
//! Invariant: `open_call_count` is the number of calls that have neither an outcome nor a caller that left.

use super::connection::{FlushOutcome, ReplayConnection};
use super::trace_text;
use indicatif::ProgressBar;
use nanorand::{Rng, WyRand};
use rainstand_capture::schedule::{Recorded, Schedule, What};
use rainstand_capture::tickets::Outcome;
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::{self, What as Reply};
use std::cell::{Cell, RefCell};
use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};

/// From the start to the first call, so that it is not late for what is done here.
const START_DELAY: Duration = Duration::from_millis(20);
/// Before a send is due the clock is polled, since timers are only good to a millisecond.
const POLL_BEFORE_DUE: Duration = Duration::from_millis(2);
/// A call that was sent within this before its connection closed is sent once more, as the protocol has it.
const RESEND_WINDOW: Duration = Duration::from_millis(50);
/// Bytes that are read with one call.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Bytes of a frame's length.
const LENGTH_PREFIX_BYTES: usize = 4;

/// What became of one call here.
#[derive(Clone, Default)]
pub(super) struct ReplayedCall {
    pub(super) trace: u64,
    /// When its last byte was written.
    pub(super) sent_at: Option<Instant>,
    /// How long after it was due.
    pub(super) lateness: Duration,
    pub(super) outcome: Option<Outcome>,
    /// From its last byte to its answer.
    pub(super) took: Option<Duration>,
    /// It was sent a second time, as it crossed the close of its connection.
    pub(super) resent: bool,
    /// Its caller gave it up.
    left: bool,
}

/// What happened to the connections.
#[derive(Default)]
pub(super) struct ConnectionCounters {
    pub(super) opened: Cell<u64>,
    /// Those that could not be opened.
    pub(super) refused: Cell<u64>,
    pub(super) broken: Cell<u64>,
    /// Frames that could not be decoded.
    pub(super) unreadable: Cell<u64>,
}

/// How reading from a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Nothing was open on it.
    Proper,
    Broken,
}

/// A replay under way.
pub(super) struct ReplayClient {
    to: SocketAddr,
    pub(super) schedule: Schedule,
    /// When each call is due, from the replay's start.
    due: Vec<Duration>,
    pub(super) calls: RefCell<Vec<ReplayedCall>>,
    /// The present connection for each of the schedule's.
    connections: RefCell<Vec<Option<Rc<ReplayConnection>>>>,
    open_call_count: Cell<usize>,
    started: Cell<Option<Instant>>,
    call_ended: Notify,
    pub(super) counters: ConnectionCounters,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ReplayClient {
    /// `seed`: of the new traces.
    pub(super) fn new(schedule: Schedule, to: SocketAddr, seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let new_call = |_: &Recorded| ReplayedCall {
            trace: rng.generate(),
            ..ReplayedCall::default()
        };
        let calls = schedule.calls.iter().map(new_call).collect();
        let mut due = vec![Duration::ZERO; schedule.calls.len()];
        for send in schedule.sends.iter().filter(|send| send.what == What::Call) {
            due[send.call] = send.after;
        }
        Self {
            to,
            due,
            calls: RefCell::new(calls),
            connections: RefCell::new(vec![None; schedule.connections]),
            open_call_count: Cell::new(schedule.calls.len()),
            started: Cell::new(None),
            call_ended: Notify::new(),
            counters: ConnectionCounters::default(),
            schedule,
        }
    }

    /// Sends everything when it is due, then waits for the last answers.
    pub(super) async fn run(self: Rc<Self>, wait: Duration) {
        let bar = if io::stderr().is_terminal() {
            ProgressBar::new(self.schedule.sends.len() as u64)
        } else {
            ProgressBar::hidden()
        };
        let started = Instant::now() + START_DELAY;
        self.started.set(Some(started));
        for send in &self.schedule.sends {
            sleep_until_due(started + send.after).await;
            match send.what {
                What::Call => self.send(send.call, send.connection),
                What::Left => self.leave(send.call, send.connection),
            }
            bar.inc(1);
        }
        bar.finish_and_clear();
        self.wait_for_answers(wait).await;
    }

    async fn wait_for_answers(&self, wait: Duration) {
        let deadline = tokio::time::Instant::now() + wait;
        while self.open_call_count.get() > 0 {
            let ended = self.call_ended.notified();
            if tokio::time::timeout_at(deadline, ended).await.is_err() {
                break;
            }
        }
        for call in self.calls.borrow_mut().iter_mut().filter(|call| call.left) {
            call.outcome.get_or_insert(Outcome::Gone);
        }
    }

    /// The connection of a slot that can take a call, opened now if there is none.
    fn connection(self: &Rc<Self>, slot: usize) -> Rc<ReplayConnection> {
        let mut connections = self.connections.borrow_mut();
        let current = connections[slot].as_ref();
        if let Some(connection) = current.filter(|connection| !connection.is_retired()) {
            return connection.clone();
        }
        let connection = Rc::new(ReplayConnection::new(slot));
        connections[slot] = Some(connection.clone());
        spawn_local(self.clone().run_connection(connection.clone()));
        connection
    }

    fn send(self: &Rc<Self>, call: usize, slot: usize) {
        let connection = self.connection(slot);
        let sequence_number = connection.take_sequence_number();
        let recorded = &self.schedule.calls[call];
        let frame = call_frame(recorded, sequence_number, self.calls.borrow()[call].trace);
        connection.queue_call(call, sequence_number, &frame);
        self.flush(&connection);
    }

    /// The caller of a call gives it up.
    fn leave(&self, call: usize, slot: usize) {
        self.mark_left(call);
        let Some(connection) = self.connections.borrow()[slot].clone() else {
            return;
        };
        if let Some(sequence_number) = connection.sequence_number_of(call) {
            connection.queue_notice(&thrift::give_up(sequence_number));
            self.flush(&connection);
        }
    }

    fn mark_left(&self, call: usize) {
        let mut calls = self.calls.borrow_mut();
        let call = &mut calls[call];
        if call.outcome.is_none() && !call.left {
            call.left = true;
            // Nothing is owed any more; an answer still counts if it comes.
            self.open_call_count.set(self.open_call_count.get() - 1);
        }
    }

    fn flush(&self, connection: &ReplayConnection) {
        match connection.flush() {
            FlushOutcome::AllSent => self.on_sent(&connection.take_sent_calls()),
            FlushOutcome::Blocked => connection.wake(),
            FlushOutcome::Broken | FlushOutcome::NotConnected => {}
        }
    }

    /// The last bytes of calls were written.
    fn on_sent(&self, sent: &[usize]) {
        let now = Instant::now();
        let started = self.started.get().unwrap_or(now);
        let mut calls = self.calls.borrow_mut();
        for number in sent {
            let call = &mut calls[*number];
            call.sent_at = Some(now);
            if !call.resent {
                call.lateness = now.saturating_duration_since(started + self.due[*number]);
            }
        }
    }

    fn on_outcome(&self, call: usize, outcome: Outcome) {
        let mut calls = self.calls.borrow_mut();
        let call = &mut calls[call];
        if call.outcome.is_some() {
            return;
        }
        let sent_at = call.sent_at.filter(|_| outcome != Outcome::Gone);
        call.took = sent_at.map(|sent_at| sent_at.elapsed());
        call.outcome = Some(outcome);
        if !call.left {
            self.open_call_count.set(self.open_call_count.get() - 1);
            self.call_ended.notify_one();
        }
    }

    /// A connection's whole life.
    async fn run_connection(self: Rc<Self>, connection: Rc<ReplayConnection>) {
        match TcpStream::connect(self.to).await {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                increment(&self.counters.opened);
                let stream = connection.stream.get_or_init(|| stream);
                self.flush(&connection);
                if self.exchange(&connection, stream).await == ConnectionEnd::Broken {
                    increment(&self.counters.broken);
                }
            }
            Err(_) => increment(&self.counters.refused),
        }
        self.on_disconnected(&connection);
    }

    /// Writes what is queued and reads answers until the connection is over.
    async fn exchange(&self, connection: &ReplayConnection, stream: &TcpStream) -> ConnectionEnd {
        let mut received = Ring::default();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            if connection.is_retired() && !connection.has_open_calls() {
                return ConnectionEnd::Proper;
            }
            tokio::select! {
                ready = stream.readable() => {
                    if ready.is_err() {
                        return ConnectionEnd::Broken;
                    }
                    match stream.try_read(&mut chunk) {
                        Ok(0) if connection.has_open_calls() => return ConnectionEnd::Broken,
                        Ok(0) => return ConnectionEnd::Proper,
                        Ok(bytes_read) => received.put(&chunk[..bytes_read]),
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        Err(_) => return ConnectionEnd::Broken,
                    }
                    if self.handle_frames(connection, &mut received).is_err() {
                        increment(&self.counters.unreadable);
                        return ConnectionEnd::Broken;
                    }
                }
                ready = stream.writable(), if connection.has_unsent_bytes() => {
                    if ready.is_err() {
                        return ConnectionEnd::Broken;
                    }
                    self.flush(connection);
                }
                () = connection.woken() => {}
            }
        }
    }

    /// Handles the frames that were received whole; an error if what follows is none.
    fn handle_frames(
        &self,
        connection: &ReplayConnection,
        received: &mut Ring,
    ) -> Result<(), thrift::ReasonCode> {
        while let Some(length) = thrift::frame(received.bytes())? {
            let end = LENGTH_PREFIX_BYTES + length;
            self.on_frame(connection, &received.bytes()[LENGTH_PREFIX_BYTES..end]);
            received.drop_front(end);
        }
        Ok(())
    }

    fn on_frame(&self, connection: &ReplayConnection, frame: &[u8]) {
        if thrift::kind(frame) == Some(thrift::ONEWAY) {
            // `shutdown`: nothing new here; what is open is still answered.
            connection.retire();
            return;
        }
        let Ok(answer) = thrift::answered(frame) else {
            increment(&self.counters.unreadable);
            return;
        };
        if let Some(call) = connection.remove_call(answer.seq) {
            self.on_outcome(call, outcome(answer.what));
        }
    }

    /// A connection is over; its open calls are, too, but for those that crossed its close.
    fn on_disconnected(self: &Rc<Self>, connection: &ReplayConnection) {
        connection.retire();
        let was_connected = connection.stream.get().is_some();
        for call in connection.take_open_calls() {
            if was_connected && self.mark_resent(call) {
                self.send(call, connection.slot);
            } else {
                self.on_outcome(call, Outcome::Gone);
            }
        }
    }

    /// Whether a call crossed the close of its connection and is sent once more.
    fn mark_resent(&self, call: usize) -> bool {
        let call = &mut self.calls.borrow_mut()[call];
        let is_recent = call
            .sent_at
            .is_none_or(|sent_at| sent_at.elapsed() <= RESEND_WINDOW);
        let is_resent_now = is_recent && !call.resent && !call.left;
        call.resent |= is_resent_now;
        is_resent_now
    }
}

async fn sleep_until_due(due: Instant) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        match left.checked_sub(POLL_BEFORE_DUE) {
            Some(pause) if !pause.is_zero() => tokio::time::sleep(pause).await,
            _ => yield_now().await,
        }
    }
}

/// A call as it goes out: new trace and birth, everything else as recorded.
fn call_frame(recorded: &Recorded, sequence_number: i32, trace: u64) -> Vec<u8> {
    let trace = trace_text(trace);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let born = now.as_millis().to_string();
    let fields: Vec<(&str, &str)> = recorded
        .call
        .fields
        .iter()
        .map(|(key, value)| match key.as_str() {
            "trace" => (key.as_str(), trace.as_str()),
            "born" => (key.as_str(), born.as_str()),
            _ => (key.as_str(), value.as_str()),
        })
        .collect();
    thrift::process(sequence_number, &fields, &recorded.body)
}

fn outcome(reply: Reply<'_>) -> Outcome {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    match reply {
        Reply::Answer { body, .. } => Outcome::Honoured {
            body_length: body.len(),
            body_hash: rainstand_capture::hash(body),
        },
        Reply::Backoff(fields) => Outcome::Dismissed {
            fields: fields
                .into_iter()
                .map(|(key, value)| (text(key), text(value)))
                .collect(),
        },
        Reply::Lost => Outcome::GivenUp,
        Reply::Exception { code, .. } => Outcome::Exception { code },
    }
}
