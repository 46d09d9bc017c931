//! Sends the calls of a schedule at their due times, and records the outcome of each.
//!
//! Invariant: `open_call_count` is the number of calls without an outcome that were not abandoned.

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

/// Time from the start of the replay to its time zero, so that setup does not delay the first call.
const START_DELAY: Duration = Duration::from_millis(20);
/// For this long before a send is due the clock is polled, since timers have a resolution of one millisecond.
const POLL_BEFORE_DUE: Duration = Duration::from_millis(2);
/// A call that was sent at most this long before its connection closed is sent once more, as the protocol requires.
const RESEND_WINDOW: Duration = Duration::from_millis(50);
/// Size of the buffer for one read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Size of a frame's length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A call in this replay.
#[derive(Clone, Default)]
pub(super) struct ReplayedCall {
    pub(super) trace: u64,
    /// When its last byte was written.
    pub(super) sent_at: Option<Instant>,
    /// Time from when the call was due until it was sent first.
    pub(super) lateness: Duration,
    pub(super) outcome: Option<Outcome>,
    /// Time from writing the last byte to the answer.
    pub(super) took: Option<Duration>,
    /// The connection closed before the answer, and the call was sent a second time.
    pub(super) resent: bool,
    /// The recorded caller gave up on the call, and so did the replay.
    abandoned: bool,
}

/// Counters of connection events.
#[derive(Default)]
pub(super) struct ConnectionCounters {
    pub(super) opened: Cell<u64>,
    /// Connections that could not be opened.
    pub(super) refused: Cell<u64>,
    pub(super) broken: Cell<u64>,
    /// Frames that could not be decoded.
    pub(super) unreadable: Cell<u64>,
}

/// How reading from a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// No call was open.
    Proper,
    Broken,
}

/// A replay in progress.
pub(super) struct ReplayClient {
    to: SocketAddr,
    pub(super) schedule: Schedule,
    /// When each call is due, as time after `started`.
    due: Vec<Duration>,
    pub(super) calls: RefCell<Vec<ReplayedCall>>,
    /// The current connection for each connection of the schedule ("slot").
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
    /// `seed`: seeds the generator of the new traces.
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

    /// Sends all calls and notices when they are due, then waits up to `wait` for the last answers.
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
                What::Left => self.abandon(send.call, send.connection),
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
        for call in self
            .calls
            .borrow_mut()
            .iter_mut()
            .filter(|call| call.abandoned)
        {
            call.outcome.get_or_insert(Outcome::Gone);
        }
    }

    /// The usable connection of a slot; opens one if there is none.
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

    /// Abandons a call, as its recorded caller did, and notifies the other side.
    fn abandon(&self, call: usize, slot: usize) {
        self.mark_abandoned(call);
        let Some(connection) = self.connections.borrow()[slot].clone() else {
            return;
        };
        if let Some(sequence_number) = connection.sequence_number_of(call) {
            connection.queue_notice(&thrift::give_up(sequence_number));
            self.flush(&connection);
        }
    }

    fn mark_abandoned(&self, call: usize) {
        let mut calls = self.calls.borrow_mut();
        let call = &mut calls[call];
        if call.outcome.is_none() && !call.abandoned {
            call.abandoned = true;
            // The replay no longer waits for the call; an answer that still arrives is recorded.
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

    /// Records the send time of calls whose last bytes were written.
    fn on_sent(&self, sent: &[usize]) {
        let now = Instant::now();
        let started = self.started.get().unwrap_or(now);
        let mut calls = self.calls.borrow_mut();
        for index in sent {
            let call = &mut calls[*index];
            call.sent_at = Some(now);
            if !call.resent {
                call.lateness = now.saturating_duration_since(started + self.due[*index]);
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
        if !call.abandoned {
            self.open_call_count.set(self.open_call_count.get() - 1);
            self.call_ended.notify_one();
        }
    }

    /// Opens a connection, serves it until it ends, and handles its open calls.
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

    /// Writes queued bytes and reads answers until the connection ends.
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

    /// Handles the complete frames in the buffer.
    ///
    /// # Errors
    /// If the bytes after them do not begin a frame.
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
            // `shutdown`: the other side accepts no new calls here, but still answers the open ones.
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

    /// Ends the open calls of a closed connection, except those that are sent once more on a new one.
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

    /// Whether a call is sent once more after its connection closed; marks it as resent if so.
    fn mark_resent(&self, call: usize) -> bool {
        let call = &mut self.calls.borrow_mut()[call];
        let is_recent = call
            .sent_at
            .is_none_or(|sent_at| sent_at.elapsed() <= RESEND_WINDOW);
        let is_resent_now = is_recent && !call.resent && !call.abandoned;
        call.resent |= is_resent_now;
        is_resent_now
    }
}

async fn sleep_until_due(due: Instant) {
    loop {
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        match remaining.checked_sub(POLL_BEFORE_DUE) {
            Some(pause) if !pause.is_zero() => tokio::time::sleep(pause).await,
            _ => yield_now().await,
        }
    }
}

/// The frame of a call, with a new `trace` and `born`, and everything else as recorded.
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
