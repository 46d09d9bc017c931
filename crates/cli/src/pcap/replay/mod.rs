//! `rainstand pcap replay`: the calls of a capture, sent again with their timing.
//!
//! Open loop: what is sent when was decided before ([`rainstand_capture::schedule`]), and a slow node does
//! not slow it. Each recorded connection is one here; a connection that breaks ends its open calls, and the
//! next call opens it anew. Calls get a new `trace` and `born`, all else goes as it was recorded.

use crate::output::{self as out, Code};
use crate::pcap::{look, trouble, Stretch};
use clap::Args;
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use nanorand::{Rng, WyRand};
use rainstand_capture::schedule::{Choice, Collector, Connections, Recorded, Schedule, What};
use rainstand_capture::tickets::Outcome;
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::{self, What as Told};
use serde_json::{json, Value};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, LocalSet};

/// Before a send is due the clock is watched closely, since timers are only good to a millisecond.
const CLOSE: Duration = Duration::from_millis(2);
/// A call that crosses the close of its connection within this is sent once more, as the protocol has it.
const CROSSING: Duration = Duration::from_millis(50);
/// Longest time told in histograms, µs.
const LONGEST: u64 = 600_000_000;
/// Differences shown to a person.
const SHOWN: usize = 20;

#[derive(Args)]
pub struct Options {
    file: String,
    /// Address of a node or forwarder
    #[arg(long = "to", id = "address")]
    to: SocketAddr,
    /// 2.0: twice as fast as recorded
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Seconds after the capture's first call
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Seconds after the capture's first call; to its end if not said
    #[arg(long)]
    until: Option<f64>,
    /// `as-recorded`, or how many
    #[arg(long, default_value = "as-recorded")]
    connections: String,
    /// Exit with 1 if an answer differs from the recorded one, and name its ticket
    #[arg(long)]
    compare: bool,
    /// Compare kinds of answers only, not what honoured ones say
    #[arg(long, requires = "compare")]
    kinds: bool,
    /// Seconds to wait for the last answers
    #[arg(long, default_value_t = 10.0)]
    wait: f64,
    /// For the new traces
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write each ticket's recorded and new trace to a file, a JSON object a line
    #[arg(long)]
    mapping: Option<PathBuf>,
    #[arg(long)]
    json: bool,
}

pub fn run(options: &Options) -> io::Result<Code> {
    let connections = match options.connections.as_str() {
        "as-recorded" => Connections::AsRecorded,
        number => match number.parse() {
            Ok(number) if (1..=10_000).contains(&number) => Connections::Number(number),
            _ => {
                return Ok(trouble(
                    "--connections",
                    format!("`{number}` is neither `as-recorded` nor 1 to 10000"),
                ))
            }
        },
    };
    let (from, to) = match (Stretch {
        from: options.from,
        to: options.until,
    })
    .times()
    {
        Ok(times) => times,
        Err(why) => return Ok(trouble("pcap replay", why)),
    };
    if !(options.speed > 0.0 && options.speed <= 1_000.0) {
        return Ok(trouble(
            "--speed",
            format!("{} is not above 0 and up to 1000", options.speed),
        ));
    }
    let Ok(wait) = Duration::try_from_secs_f64(options.wait) else {
        return Ok(trouble("--wait", format!("{} is no time", options.wait)));
    };
    let mut collector = Collector::default();
    if let Err(code) = look(&options.file, |event| collector.take(&event)) {
        return Ok(code);
    }
    if collector.left_out > 0 {
        let why = format!(
            "{} calls do not fit in memory; choose a stretch with --from and --until",
            collector.left_out
        );
        return Ok(trouble(&options.file, why));
    }
    let schedule = collector.schedule(&Choice {
        from,
        to,
        speed: options.speed,
        connections,
    });
    if schedule.calls.is_empty() {
        return Ok(trouble(&options.file, "no calls in this stretch"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let shared = Rc::new(Shared::new(schedule, options));
    LocalSet::new().block_on(&runtime, go(shared.clone(), wait));
    if let Some(path) = &options.mapping {
        if let Err(error) = mapping(&shared, path) {
            return Ok(trouble(&path.to_string_lossy(), error));
        }
    }
    report(&shared, options)
}

/// What became of one call here.
#[derive(Clone, Default)]
struct Now {
    trace: u64,
    /// When its last byte was written.
    sent: Option<Instant>,
    late: Duration,
    outcome: Option<Outcome>,
    took: Option<Duration>,
    resent: bool,
    left: bool,
}

struct Shared {
    to: SocketAddr,
    schedule: Schedule,
    /// When each call is due, from the replay's start.
    due: Vec<Duration>,
    calls: RefCell<Vec<Now>>,
    slots: RefCell<Vec<Option<Rc<Link>>>>,
    open: Cell<usize>,
    begun: Cell<Option<Instant>>,
    ended: Notify,
    broken: Cell<u64>,
    refused: Cell<u64>,
    opened: Cell<u64>,
    unreadable: Cell<u64>,
}

/// One connection, from its opening to its end.
struct Link {
    slot: usize,
    stream: OnceCell<TcpStream>,
    out: RefCell<Ring>,
    /// Calls by number; their frames go out in this order.
    open: RefCell<HashMap<i32, usize>>,
    unsent: RefCell<Vec<usize>>,
    next: Cell<i32>,
    /// The other side wants nothing new here, or it is broken.
    retired: Cell<bool>,
    wake: Notify,
}

impl Shared {
    fn new(schedule: Schedule, options: &Options) -> Self {
        let mut chance = WyRand::new_seed(options.seed);
        let calls = schedule
            .calls
            .iter()
            .map(|_| Now {
                trace: chance.generate(),
                ..Now::default()
            })
            .collect();
        let mut due = vec![Duration::ZERO; schedule.calls.len()];
        for send in schedule.sends.iter().filter(|send| send.what == What::Call) {
            due[send.call] = send.after;
        }
        Self {
            due,
            to: options.to,
            slots: RefCell::new(vec![None; schedule.connections]),
            calls: RefCell::new(calls),
            schedule,
            open: Cell::new(0),
            begun: Cell::new(None),
            ended: Notify::new(),
            broken: Cell::new(0),
            refused: Cell::new(0),
            opened: Cell::new(0),
            unreadable: Cell::new(0),
        }
    }

    /// The link of a slot that can take a call, opened now if there is none.
    fn link(self: &Rc<Self>, slot: usize) -> Rc<Link> {
        let mut slots = self.slots.borrow_mut();
        if let Some(link) = slots[slot].as_ref().filter(|link| !link.retired.get()) {
            return link.clone();
        }
        let link = Rc::new(Link {
            slot,
            stream: OnceCell::new(),
            out: RefCell::default(),
            open: RefCell::default(),
            unsent: RefCell::default(),
            next: Cell::new(1),
            retired: Cell::new(false),
            wake: Notify::new(),
        });
        slots[slot] = Some(link.clone());
        spawn_local(follow(self.clone(), link.clone()));
        link
    }

    fn send(self: &Rc<Self>, call: usize, slot: usize) {
        let link = self.link(slot);
        let seq = link.next.replace(link.next.get() + 1);
        let recorded = &self.schedule.calls[call];
        let frame = frame(recorded, seq, self.calls.borrow()[call].trace);
        link.out.borrow_mut().put(&frame);
        link.open.borrow_mut().insert(seq, call);
        link.unsent.borrow_mut().push(call);
        self.flush(&link);
    }

    fn leave(self: &Rc<Self>, call: usize, slot: usize) {
        {
            let mut calls = self.calls.borrow_mut();
            let one = &mut calls[call];
            if one.outcome.is_none() && !std::mem::replace(&mut one.left, true) {
                // Nothing is owed any more; an answer still counts if it comes.
                self.open.set(self.open.get() - 1);
            }
        }
        let Some(link) = self.slots.borrow()[slot].clone() else {
            return;
        };
        let seq = link
            .open
            .borrow()
            .iter()
            .find(|(_, open)| **open == call)
            .map(|(seq, _)| *seq);
        if let Some(seq) = seq {
            link.out.borrow_mut().put(&thrift::give_up(seq));
            self.flush(&link);
        }
    }

    /// Writes what the socket takes now; the rest goes when it takes more.
    fn flush(&self, link: &Link) {
        let Some(stream) = link.stream.get() else {
            return;
        };
        let mut out = link.out.borrow_mut();
        while !out.is_empty() {
            match stream.try_write(out.front()) {
                Ok(written) => out.drop_front(written),
                // A broken one is noticed by its reader.
                Err(_) => break,
            }
        }
        if out.is_empty() {
            self.written(link);
        } else {
            link.wake.notify_one();
        }
    }

    /// All frames of a link are out.
    fn written(&self, link: &Link) {
        let (now, mut calls) = (Instant::now(), self.calls.borrow_mut());
        let begun = self.begun.get().unwrap_or(now);
        for call in link.unsent.borrow_mut().drain(..) {
            let one = &mut calls[call];
            one.sent = Some(now);
            if !one.resent {
                one.late = now.saturating_duration_since(begun + self.due[call]);
            }
        }
    }

    fn over(&self, call: usize, outcome: Outcome) {
        let mut calls = self.calls.borrow_mut();
        let one = &mut calls[call];
        if one.outcome.is_some() {
            return;
        }
        one.took = one
            .sent
            .filter(|_| outcome != Outcome::Gone)
            .map(|sent| sent.elapsed());
        one.outcome = Some(outcome);
        if !one.left {
            self.open.set(self.open.get() - 1);
            self.ended.notify_one();
        }
    }

    /// A link is over; its open calls are, too, but for those that crossed its close.
    fn end(self: &Rc<Self>, link: &Rc<Link>) {
        link.retired.set(true);
        let open: Vec<usize> = link
            .open
            .borrow_mut()
            .drain()
            .map(|(_, call)| call)
            .collect();
        for call in open {
            let crossed = {
                let one = &mut self.calls.borrow_mut()[call];
                let fresh = one.sent.is_none_or(|sent| sent.elapsed() <= CROSSING);
                let again = fresh && !one.resent && !one.left && link.stream.get().is_some();
                one.resent |= again;
                again
            };
            if crossed {
                self.send(call, link.slot);
            } else {
                self.over(call, Outcome::Gone);
            }
        }
    }
}

/// A call as it goes out: new trace and birth, everything else as recorded.
fn frame(recorded: &Recorded, seq: i32, trace: u64) -> Vec<u8> {
    let trace = format!("{trace:016x}");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
        .to_string();
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
    thrift::process(seq, &fields, &recorded.body)
}

async fn go(shared: Rc<Shared>, wait: Duration) {
    let sends = shared.schedule.sends.len();
    let bar = if io::stderr().is_terminal() {
        ProgressBar::new(sends as u64)
    } else {
        ProgressBar::hidden()
    };
    shared.open.set(shared.schedule.calls.len());
    // A little later, so that the first call is not late for what is done here.
    let begun = Instant::now() + Duration::from_millis(20);
    shared.begun.set(Some(begun));
    for at in 0..sends {
        let send = shared.schedule.sends[at];
        let due = begun + send.after;
        loop {
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            } else if left > CLOSE {
                tokio::time::sleep_until((due - CLOSE).into()).await;
            } else {
                yield_now().await;
            }
        }
        match send.what {
            What::Call => shared.send(send.call, send.connection),
            What::Left => shared.leave(send.call, send.connection),
        }
        bar.inc(1);
    }
    bar.finish_and_clear();
    let over = Instant::now() + wait;
    while shared.open.get() > 0 {
        if tokio::time::timeout_at(over.into(), shared.ended.notified())
            .await
            .is_err()
        {
            break;
        }
    }
    for one in shared.calls.borrow_mut().iter_mut().filter(|one| one.left) {
        one.outcome.get_or_insert(Outcome::Gone);
    }
}

/// A connection's whole life.
async fn follow(shared: Rc<Shared>, link: Rc<Link>) {
    match TcpStream::connect(shared.to).await {
        Ok(stream) => {
            let _ = stream.set_nodelay(true);
            shared.opened.set(shared.opened.get() + 1);
            let _ = link.stream.set(stream);
            shared.flush(&link);
            if !answers(&shared, &link).await {
                shared.broken.set(shared.broken.get() + 1);
            }
        }
        Err(_) => shared.refused.set(shared.refused.get() + 1),
    }
    shared.end(&link);
}

/// Reads answers until the connection is over; whether that was its proper end.
async fn answers(shared: &Rc<Shared>, link: &Rc<Link>) -> bool {
    let Some(stream) = link.stream.get() else {
        return false;
    };
    let mut back = Ring::default();
    let mut chunk = [0; 16 * 1024];
    loop {
        if link.retired.get() && link.open.borrow().is_empty() {
            return true;
        }
        let more = !link.out.borrow().is_empty();
        tokio::select! {
            ready = stream.readable() => {
                if ready.is_err() {
                    return false;
                }
                match stream.try_read(&mut chunk) {
                    Ok(0) => return link.open.borrow().is_empty(),
                    Ok(n) => back.put(&chunk[..n]),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
                while let Ok(Some(length)) = thrift::frame(back.bytes()) {
                    told(shared, link, &back.bytes()[4..4 + length]);
                    back.drop_front(4 + length);
                }
                if thrift::frame(back.bytes()).is_err() {
                    shared.unreadable.set(shared.unreadable.get() + 1);
                    return false;
                }
            }
            ready = stream.writable(), if more => {
                if ready.is_err() {
                    return false;
                }
                shared.flush(link);
            }
            () = link.wake.notified() => {}
        }
    }
}

fn told(shared: &Rc<Shared>, link: &Link, frame: &[u8]) {
    if thrift::kind(frame) == Some(thrift::ONEWAY) {
        // `shutdown`: nothing new here; what is open is still answered.
        link.retired.set(true);
        return;
    }
    let Ok(answered) = thrift::answered(frame) else {
        shared.unreadable.set(shared.unreadable.get() + 1);
        return;
    };
    let Some(call) = link.open.borrow_mut().remove(&answered.seq) else {
        return;
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let outcome = match answered.what {
        Told::Answer { body, .. } => Outcome::Honoured {
            body_length: body.len(),
            body_hash: rainstand_capture::hash(body),
        },
        Told::Backoff(fields) => Outcome::Dismissed {
            fields: fields
                .into_iter()
                .map(|(key, value)| (text(key), text(value)))
                .collect(),
        },
        Told::Lost => Outcome::GivenUp,
        Told::Exception { code, .. } => Outcome::Exception { code },
    };
    shared.over(call, outcome);
}

fn mapping(shared: &Shared, path: &std::path::Path) -> io::Result<()> {
    let mut file = io::BufWriter::new(std::fs::File::create(path)?);
    for (recorded, now) in shared
        .schedule
        .calls
        .iter()
        .zip(shared.calls.borrow().iter())
    {
        let line =
            json!({"recorded": recorded.call.field("trace"), "new": format!("{:016x}", now.trace)});
        writeln!(file, "{line}")?;
    }
    file.flush()
}

/// Whether an answer is another one than was recorded; where the recording shows none, nothing is.
fn differs(recorded: &Recorded, now: &Now, kinds: bool) -> bool {
    let Some(before) = &recorded.outcome else {
        return false;
    };
    let after = now.outcome.as_ref().unwrap_or(&Outcome::None);
    if before.word() != after.word() {
        return true;
    }
    match (before, after) {
        (
            Outcome::Honoured {
                body_hash: before, ..
            },
            Outcome::Honoured {
                body_hash: after, ..
            },
        ) => !kinds && before != after,
        (Outcome::Exception { code: before }, Outcome::Exception { code: after }) => {
            !kinds && before != after
        }
        _ => false,
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    // Three digits, and values up to ten minutes: bounds that always fit.
    let mut all = Histogram::new_with_bounds(1, LONGEST, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("three digits"));
    for time in times {
        all.saturating_record((time.as_micros() as u64).max(1));
    }
    all
}

fn told_times(all: &Histogram<u64>) -> Value {
    let at = |quantile| all.value_at_quantile(quantile);
    json!({"count": all.len(), "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99), "max_us": all.max()})
}

fn report(shared: &Shared, options: &Options) -> io::Result<Code> {
    let calls = shared.calls.borrow();
    let both = || shared.schedule.calls.iter().zip(calls.iter());
    let differences: Vec<_> = both()
        .filter(|(recorded, now)| differs(recorded, now, options.kinds))
        .collect();
    let mut kinds: Vec<(&str, [u64; 2])> = [
        "honoured",
        "dismissed",
        "given_up",
        "exception",
        "gone",
        "none",
    ]
    .map(|kind| (kind, [0, 0]))
    .into();
    for (recorded, now) in both() {
        let words =
            [&recorded.outcome, &now.outcome].map(|o| o.as_ref().unwrap_or(&Outcome::None).word());
        for (k, word) in words.into_iter().enumerate() {
            kinds
                .iter_mut()
                .filter(|(kind, _)| *kind == word)
                .for_each(|(_, counts)| counts[k] += 1);
        }
    }
    let late = histogram(
        calls
            .iter()
            .filter(|now| now.sent.is_some())
            .map(|now| now.late),
    );
    let before = histogram(
        shared
            .schedule
            .calls
            .iter()
            .filter_map(|recorded| recorded.took),
    );
    let after = histogram(calls.iter().filter_map(|now| now.took));
    if options.json {
        if options.compare {
            for (recorded, now) in &differences {
                out::json(&difference(recorded, now))?;
            }
        }
        let kinds: serde_json::Map<String, Value> = kinds
            .iter()
            .map(|(kind, [a, b])| ((*kind).to_owned(), json!({"recorded": a, "now": b})))
            .collect();
        out::json(&json!({"summary": {
            "calls": calls.len(), "connections": shared.opened.get(), "refused": shared.refused.get(),
            "broken": shared.broken.get(), "unreadable": shared.unreadable.get(),
            "resent": calls.iter().filter(|now| now.resent).count(), "differ": differences.len(),
            "ends": kinds, "late": told_times(&late),
            "took": {"recorded": told_times(&before), "now": told_times(&after)},
        }}))?;
    } else {
        let mut text = format!(
            "calls {}  connections {}  refused {}  broken {}  differ {}\n",
            calls.len(),
            shared.opened.get(),
            shared.refused.get(),
            shared.broken.get(),
            differences.len()
        );
        text.push_str("end           recorded        now\n");
        for (kind, [a, b]) in kinds.iter().filter(|(_, counts)| *counts != [0, 0]) {
            text.push_str(&format!("{kind:<12} {a:>9}  {b:>9}\n"));
        }
        text.push_str("time in us         p50        p90        p99        max\n");
        for (name, all) in [
            ("late", &late),
            ("took before", &before),
            ("took now", &after),
        ] {
            let at = |quantile| all.value_at_quantile(quantile);
            text.push_str(&format!(
                "{name:<12} {:>9}  {:>9}  {:>9}  {:>9}\n",
                at(0.5),
                at(0.9),
                at(0.99),
                all.max()
            ));
        }
        if options.compare {
            for (recorded, now) in differences.iter().take(SHOWN) {
                text.push_str(&format!("differs {}\n", difference(recorded, now)));
            }
            if differences.len() > SHOWN {
                text.push_str(&format!("and {} more\n", differences.len() - SHOWN));
            }
        }
        out::bytes(text.as_bytes())?;
    }
    Ok(if options.compare && !differences.is_empty() {
        Code::Found
    } else {
        Code::Good
    })
}

fn difference(recorded: &Recorded, now: &Now) -> Value {
    let word = |outcome: &Option<Outcome>| outcome.as_ref().unwrap_or(&Outcome::None).word();
    json!({
        "conn": recorded.call.connection, "seq": recorded.call.seq, "trace": recorded.call.field("trace"),
        "new_trace": format!("{:016x}", now.trace), "recorded": word(&recorded.outcome), "now": word(&now.outcome),
    })
}
