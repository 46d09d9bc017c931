//! `rainstand lab load`: an experiment's tickets on sockets, against a forwarder or node that runs, or against stand-ins
//! and forwarders that it starts itself on loopback; then the model's figures stand beside them.
//!
//! The load is open: tickets leave when they are due, whatever became of those before, and times count from when a
//! ticket was due, not from when it could be sent. So a stall shows in all that it kept.

use crate::out::{json, line, Code};
use crate::pcap::trouble;
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use rainstand_fleet_model::plan::{NodeKind, Plan, Trouble, Work};
use rainstand_fleet_model::world::{configuration, meets, run as model};
use rainstand_forwarder::{run as serve, ForwarderContext};
use rainstand_protocol::thrift::{self, What};
use rainstand_routing::subset::in_rounds;
use rainstand_test_servers::node::{Make, Node};
use rainstand_test_servers::script::Script;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Tickets that the protocol allows open on a connection.
const TOGETHER: usize = 32;
/// Connections at a time: what a machine's descriptors allow, half of it.
const CONNECTIONS: usize = 2_000;
/// Nodes that are started here, each with a thread of its own.
const MOST_NODES: u32 = 64;
const BODY: usize = 200;
/// Runs of the model that are set beside it.
const SEEDS: u64 = 5;

/// What came of a load.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    asked: u64,
    honoured: u64,
    in_time: u64,
    dismissed: u64,
    given_up: u64,
}

struct Lanes {
    to: Vec<SocketAddr>,
    open: RefCell<Vec<Rc<Lane>>>,
    ends: Cell<Ends>,
    times: RefCell<Histogram<u64>>,
    late: RefCell<Histogram<u64>>,
    turn: Cell<usize>,
}

/// One connection: what is open on it, with when each was due and its goal.
struct Lane {
    open: RefCell<HashMap<i32, (Instant, Duration)>>,
    next: Cell<i32>,
    out: RefCell<tokio::net::tcp::OwnedWriteHalf>,
    broken: Cell<bool>,
}

fn word(trouble: Trouble, work: &str) -> Result<String, String> {
    Ok(match trouble {
        Trouble::Die => "refuse".into(),
        Trouble::Hang => "silent".into(),
        Trouble::FailFast(after) => format!("fail after {}us", after.as_micros()),
        Trouble::Lie(pause) => format!("dismiss pause {}ms", pause.as_millis()),
        other => return Err(format!("{other:?} is not played on sockets ({work})")),
    })
}

/// The script of each node.
fn scripts(plan: &Plan) -> Result<Vec<Script>, String> {
    let NodeKind::Plain { at_once, .. } = plan.nodes.kind else {
        return Err("stand-ins are plain nodes; start the project's own and say --to".into());
    };
    let mut usual = format!("cores {at_once}\n");
    for one in &plan.types {
        let after = match one.work {
            Work::Fixed(span) => format!("{}us", span.as_micros()),
            Work::Between(least, most) => {
                format!("{}us..{}us", least.as_micros(), most.as_micros())
            }
            Work::About(mean) => format!("about {}us", mean.as_micros()),
        };
        let _ = writeln!(usual, "route {} honour after {after}", one.name);
    }
    let mut all = vec![usual; plan.nodes.count as usize];
    for (fault, met) in plan.faults.iter().zip(meets(plan)) {
        let (from, to) = (fault.from.as_millis(), fault.to.as_millis());
        let does = word(fault.trouble, "die, hang, fail-fast and lie are")?;
        for place in met {
            let _ = writeln!(all[place as usize], "from {from}ms to {to}ms {does}");
        }
    }
    all.iter()
        .map(|text| Script::read(text).map_err(|flaw| flaw.to_string()))
        .collect()
}

/// Nodes and forwarders of a plan on loopback; where to ask.
fn start(plan: &Plan) -> Result<(Vec<Node>, Vec<SocketAddr>), String> {
    if plan.nodes.count > MOST_NODES {
        return Err(format!(
            "{} nodes; at most {MOST_NODES} are started here",
            plan.nodes.count
        ));
    }
    let made = |(k, script): (usize, Script)| Make {
        script,
        seed: k as u64,
        forget_runs: true,
        ..Make::default()
    };
    let nodes: Vec<Node> = scripts(plan)?
        .into_iter()
        .enumerate()
        .map(|one| made(one).start())
        .collect();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.addr).collect();
    if plan.fronts.count == 0 {
        return Ok((nodes, addresses));
    }
    let mut doors = Vec::new();
    for me in 0..plan.fronts.count {
        let know = plan.fronts.know as usize;
        let members: Vec<u32> = in_rounds(nodes.len(), know, me as usize, plan.seed)
            .into_iter()
            .map(|k| k as u32)
            .collect();
        let made = configuration(plan, &members, |place| {
            addresses[place as usize].to_string()
        });
        let (told, heard) = channel();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            else {
                return;
            };
            LocalSet::new().block_on(&runtime, async move {
                let context = ForwarderContext::new(made, "", u64::from(me));
                let listener = TcpListener::bind("127.0.0.1:0").await;
                if let (Ok(context), Ok(listener)) = (context, listener) {
                    let _ = told.send(listener.local_addr());
                    serve(
                        context,
                        listener,
                        Duration::from_secs(1),
                        std::future::pending(),
                    )
                    .await;
                }
            });
        });
        let address = heard
            .recv()
            .map_err(|_| "a forwarder that does not start".to_owned())?;
        doors.push(address.map_err(|e| e.to_string())?);
    }
    Ok((nodes, doors))
}

/// Starts an experiment's nodes on loopback, one a line, and keeps them until the program is ended; `port`: of the first
/// one, the others follow; 0 for any that are free.
pub fn stand_ins(file: &str, plan: &Plan, port: u16) -> io::Result<Code> {
    if plan.nodes.count > MOST_NODES {
        return Ok(trouble(
            file,
            format!(
                "{} nodes; at most {MOST_NODES} are started here",
                plan.nodes.count
            ),
        ));
    }
    let scripts = match scripts(plan) {
        Ok(scripts) => scripts,
        Err(why) => return Ok(trouble(file, why)),
    };
    let mut all = Vec::new();
    for (k, script) in scripts.into_iter().enumerate() {
        let wanted = if port == 0 {
            Some(0)
        } else {
            port.checked_add(k as u16)
        };
        let Some(wanted) = wanted else {
            return Ok(trouble("--port", "the last ports lie past 65535"));
        };
        let at = SocketAddr::from(([127, 0, 0, 1], wanted));
        // Told in words here; a stand-in that cannot have its address ends in a panic.
        if let Err(error) = std::net::TcpListener::bind(at) {
            return Ok(trouble(&at.to_string(), error));
        }
        let node = Make {
            script,
            seed: k as u64,
            at: Some(at),
            forget_runs: true,
            ..Make::default()
        }
        .start();
        line(&node.addr.to_string())?;
        all.push(node);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        io::Result::Ok(())
    })?;
    all.iter().for_each(Node::end);
    Ok(Code::Good)
}

/// Loads what is there by a plan, and tells how it went; without `to` it starts all of it here.
pub fn load(file: &str, plan: &Plan, to: Option<SocketAddr>, as_json: bool) -> io::Result<Code> {
    let (nodes, doors) = match to {
        Some(to) => (Vec::new(), vec![to]),
        None => match start(plan) {
            Ok(started) => started,
            Err(why) => return Ok(trouble(file, why)),
        },
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let histogram = || {
        Histogram::new(3)
            .map(RefCell::new)
            .map_err(io::Error::other)
    };
    let lanes = Rc::new(Lanes {
        to: doors,
        open: RefCell::default(),
        ends: Cell::default(),
        times: histogram()?,
        late: histogram()?,
        turn: Cell::new(0),
    });
    LocalSet::new().block_on(&runtime, play(plan, lanes.clone()));
    nodes.iter().for_each(Node::end);
    let (ends, times, late) = (lanes.ends.get(), lanes.times.borrow(), lanes.late.borrow());
    let share = |part: u64| part as f64 / ends.asked.max(1) as f64;
    let ms = |of: &Histogram<u64>, quantile| of.value_at_quantile(quantile) as f64 / 1e3;
    let mut rows = vec![(
        "sockets".to_owned(),
        [
            share(ends.in_time),
            share(ends.honoured),
            share(ends.dismissed),
            share(ends.given_up),
        ],
        [0.5, 0.9, 0.99, 0.999].map(|quantile| ms(&times, quantile)),
    )];
    if to.is_none() {
        let mut sum = ([0.0; 4], [0.0; 4]);
        for seed in 1..=SEEDS {
            let mut plan = plan.clone();
            (plan.seed, plan.habits.tries) = (plan.seed + seed - 1, 1);
            let found = match model(&plan) {
                Ok(found) => found,
                Err(why) => return Ok(trouble(file, why)),
            };
            let jobs = found.jobs();
            let share = |part: u64| part as f64 / jobs.asked.max(1) as f64 / SEEDS as f64;
            let parts = [
                jobs.good,
                jobs.good + jobs.late,
                jobs.dismissed,
                jobs.given_up,
            ]
            .map(share);
            let times =
                [0.5, 0.9, 0.99, 0.999].map(|quantile| found.time_ms(quantile) / SEEDS as f64);
            (0..4).for_each(|k| (sum.0[k], sum.1[k]) = (sum.0[k] + parts[k], sum.1[k] + times[k]));
        }
        rows.push(("model".to_owned(), sum.0, sum.1));
    }
    if as_json {
        for (name, shares, times) in &rows {
            json(&serde_json::json!({
                "of": name, "asked": ends.asked, "in_time": shares[0], "honoured": shares[1],
                "dismissed": shares[2], "given_up": shares[3],
                "p50_ms": times[0], "p90_ms": times[1], "p99_ms": times[2], "p999_ms": times[3],
            }))?;
        }
        return Ok(Code::Good);
    }
    line(
        "          in time  honoured  dismissed  given up       p50       p90       p99      p999",
    )?;
    for (name, shares, times) in &rows {
        let shares = shares.map(|share| format!("{share:9.4}")).join(" ");
        let times = times.map(|ms| format!("{ms:7.1} ms")).join("");
        line(&format!("{name:<8} {shares}  {times}"))?;
    }
    line(&format!(
        "{} tickets, sent late by {:.2} ms at the median, {:.2} at the 99th percentile",
        ends.asked,
        ms(&late, 0.5),
        ms(&late, 0.99)
    ))?;
    Ok(Code::Good)
}

fn unit(chance: &mut WyRand) -> f64 {
    f64::from(chance.generate::<u32>()) / (f64::from(u32::MAX) + 1.0)
}

/// One of some by their parts.
fn one_of(chance: &mut WyRand, parts: &[f64]) -> usize {
    let mut left = unit(chance) * parts.iter().sum::<f64>();
    let fits = |part: &f64| {
        left -= part;
        left < 0.0
    };
    parts.iter().position(fits).unwrap_or(parts.len() - 1)
}

async fn play(plan: &Plan, lanes: Rc<Lanes>) {
    let mut chance = WyRand::new_seed(plan.seed ^ 0x6c6f_6164);
    let types: Vec<f64> = plan.types.iter().map(|one| one.part).collect();
    let tenants: Vec<f64> = plan.tenants.iter().map(|one| one.part).collect();
    let (start, mut at, mut number) = (Instant::now(), Duration::ZERO, 0u64);
    loop {
        let share = plan
            .load
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(0.0, |(_, share)| *share);
        let rate = share * plan.whole_rate();
        let gap = if rate > 0.0 {
            -(1.0 - unit(&mut chance)).ln() / rate
        } else {
            0.01
        };
        at += Duration::from_secs_f64(gap);
        if at >= plan.lasts {
            break;
        }
        let kind = &plan.types[one_of(&mut chance, &types)];
        let tenant = &plan.tenants[one_of(&mut chance, &tenants)];
        if rate <= 0.0 {
            continue;
        }
        sleep_until(start + at).await;
        number += 1;
        let due = start + at;
        let _ = lanes
            .late
            .borrow_mut()
            .record((due.elapsed().as_micros() as u64).max(1));
        let mut ends = lanes.ends.get();
        ends.asked += 1;
        lanes.ends.set(ends);
        let trace = format!("{:016x}", number << 16);
        let fields = [
            ("route", &*kind.name),
            ("trace", &*trace),
            ("customer", &*tenant.name),
            ("client", "1"),
        ];
        let body = [7; BODY];
        let (lanes, goal) = (lanes.clone(), kind.goal);
        let frame = move |seq| thrift::process(seq, &fields, &body);
        if !lanes.send(&frame, due, goal) && !lanes.open_one(&frame, due, goal).await {
            lanes.ended(|ends| &mut ends.given_up);
        }
    }
    let longest = plan
        .types
        .iter()
        .map(|one| one.outer_limit)
        .max()
        .unwrap_or_default();
    let until = Instant::now() + longest + Duration::from_millis(500);
    let open = |lanes: &Lanes| {
        lanes
            .open
            .borrow()
            .iter()
            .map(|lane| lane.open.borrow().len())
            .sum::<usize>()
    };
    while open(&lanes) > 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    for _ in 0..open(&lanes) {
        lanes.ended(|ends| &mut ends.given_up);
    }
}

impl Lanes {
    fn ended(&self, which: impl Fn(&mut Ends) -> &mut u64) {
        let mut ends = self.ends.get();
        *which(&mut ends) += 1;
        self.ends.set(ends);
    }

    /// On a connection with room, in turn; false if there is none.
    fn send(&self, frame: &impl Fn(i32) -> Vec<u8>, due: Instant, goal: Duration) -> bool {
        let open = self.open.borrow();
        let count = open.len();
        let fits =
            |k: &usize| !open[*k].broken.get() && open[*k].open.borrow().len() < TOGETHER / 2;
        let Some(k) = (0..count).map(|k| (k + self.turn.get()) % count).find(fits) else {
            return false;
        };
        self.turn.set(k + 1);
        open[k].put(frame, due, goal)
    }

    /// On a new connection.
    async fn open_one(
        self: &Rc<Self>,
        frame: &impl Fn(i32) -> Vec<u8>,
        due: Instant,
        goal: Duration,
    ) -> bool {
        self.open.borrow_mut().retain(|lane| !lane.broken.get());
        if self.open.borrow().len() >= CONNECTIONS {
            return false;
        }
        self.turn.set(self.turn.get() + 1);
        let to = self.to[self.turn.get() % self.to.len()];
        let Ok(stream) = TcpStream::connect(to).await else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let (mut back, out) = stream.into_split();
        let lane = Rc::new(Lane {
            open: RefCell::default(),
            next: Cell::new(1),
            out: RefCell::new(out),
            broken: Cell::new(false),
        });
        self.open.borrow_mut().push(lane.clone());
        let (lanes, reads) = (self.clone(), lane.clone());
        spawn_local(async move {
            let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16 << 10]);
            while let Ok(n) = back.read(&mut chunk).await {
                if n == 0 {
                    break;
                }
                buffer.extend_from_slice(&chunk[..n]);
                let mut used = 0;
                while let Ok(Some(length)) = thrift::frame(&buffer[used..]) {
                    lanes.told(&reads, &buffer[used + 4..used + 4 + length]);
                    used += 4 + length;
                }
                buffer.drain(..used);
            }
            reads.broken.set(true);
            let lost = reads.open.borrow_mut().drain().count();
            (0..lost).for_each(|_| lanes.ended(|ends| &mut ends.given_up));
        });
        lane.put(frame, due, goal)
    }

    fn told(&self, lane: &Lane, frame: &[u8]) {
        let Ok(answered) = thrift::answered(frame) else {
            return;
        };
        let Some((due, goal)) = lane.open.borrow_mut().remove(&answered.seq) else {
            return;
        };
        let took = due.elapsed();
        match answered.what {
            What::Answer { .. } => {
                let _ = self
                    .times
                    .borrow_mut()
                    .record((took.as_micros() as u64).max(1));
                self.ended(|ends| &mut ends.honoured);
                if took <= goal {
                    self.ended(|ends| &mut ends.in_time);
                }
            }
            What::Backoff(_) => self.ended(|ends| &mut ends.dismissed),
            What::Lost | What::Exception { .. } => self.ended(|ends| &mut ends.given_up),
        }
    }
}

impl Lane {
    /// Written at once: a frame is far below what a socket takes; one that does not is broken.
    fn put(&self, frame: &impl Fn(i32) -> Vec<u8>, due: Instant, goal: Duration) -> bool {
        let seq = self.next.replace(self.next.get() + 1);
        let bytes = frame(seq);
        match self.out.borrow_mut().try_write(&bytes) {
            Ok(n) if n == bytes.len() => {
                self.open.borrow_mut().insert(seq, (due, goal));
                true
            }
            _ => {
                self.broken.set(true);
                false
            }
        }
    }
}
