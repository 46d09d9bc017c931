//! A node on a thread of its own that does what its script says.
//!
//! Answers that are ready together leave together, so that a bench measures whoever asks and not this.

use crate::script::{Deed, Script};
use crate::watch::Watch;
use foldhash::{HashMap, HashMapExt, HashSet};
use nanorand::WyRand;
use rainstand_protocol::thrift;
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

/// What it wrote down, as far as it was asked to.
#[derive(Debug, Default)]
pub struct Notes {
    /// Runs by body.
    pub runs: BTreeMap<Vec<u8>, u32>,
    /// Calls that came, those with the mark of a further try, and words that nobody waits.
    pub calls: u64,
    pub marked: u64,
    pub given_up: u64,
    /// When each call came, since the node's start, if it was asked to keep that.
    pub times: Vec<Duration>,
    /// Connections taken.
    pub connections: u64,
    /// Calls that are in it now, and the most there were.
    pub inside: u64,
    pub most_inside: u64,
}

struct Shared {
    script: Mutex<(Script, u64)>,
    notes: Mutex<Notes>,
    released: Notify,
    gone: Notify,
    keep_runs: bool,
    keep_times: bool,
}

/// A running node; it ends with the process, or with [`Node::end`].
#[derive(Clone)]
pub struct Node {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a node is made.
#[derive(Clone, Default)]
pub struct Make {
    pub script: Script,
    /// It is number `on` in the steps that the watch is told.
    pub watch: Option<(Watch, u32)>,
    pub seed: u64,
    /// Where it listens; none: any free port of 127.0.0.1.
    pub at: Option<SocketAddr>,
    /// Benches of millions of calls write no bodies down.
    pub forget_runs: bool,
    /// It writes down when each call came.
    pub keep_times: bool,
}

impl Make {
    /// # Panics
    /// If the address cannot be had.
    pub fn start(self) -> Node {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener =
            std::net::TcpListener::bind(self.at.unwrap_or(any)).expect("an address for a stand-in");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let addr = listener.local_addr().expect("its address");
        let shared = Arc::new(Shared {
            script: Mutex::new((self.script, 1)),
            notes: Mutex::default(),
            released: Notify::new(),
            gone: Notify::new(),
            keep_runs: !self.forget_runs,
            keep_times: self.keep_times,
        });
        let node = Node {
            addr,
            shared: shared.clone(),
        };
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.expect("a runtime for a stand-in");
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let hall = Rc::new(Hall {
                    shared: shared.clone(),
                    watch: self.watch,
                    chance: RefCell::new(WyRand::new_seed(self.seed)),
                    start: Instant::now(),
                    read: RefCell::new((Script::default(), 0)),
                    calls: Cell::new(0),
                    cores: RefCell::new(None),
                });
                tokio::select! {
                    () = accept(hall, listener) => {}
                    () = shared.gone.notified() => {}
                }
            });
        });
        node
    }
}

/// A node by its script.
///
/// # Panics
/// If the script is wrong.
pub fn node(script: &str) -> Node {
    Make {
        script: Script::read(script).expect("a script"),
        ..Make::default()
    }
    .start()
}

impl Node {
    /// From now on it does this; calls that are in it end as they began. Times in it count from its start.
    ///
    /// # Panics
    /// If the script is wrong.
    pub fn now_does(&self, script: &str) {
        let read = Script::read(script).expect("a script");
        let mut place = locked(&self.shared.script);
        *place = (read, place.1 + 1);
    }

    pub fn notes(&self) -> MutexGuard<'_, Notes> {
        locked(&self.shared.notes)
    }

    pub fn ran(&self, body: &[u8]) -> u32 {
        self.notes().runs.get(body).copied().unwrap_or(0)
    }

    pub fn all_runs(&self) -> u32 {
        self.notes().runs.values().sum()
    }

    /// What is held is answered: all there is, or the next that comes.
    pub fn release(&self) {
        self.shared.released.notify_waiters();
        self.shared.released.notify_one();
    }

    /// Its process dies: all connections break, and nobody listens.
    pub fn end(&self) {
        self.shared.gone.notify_one();
    }
}

/// What the tasks of one node share.
struct Hall {
    shared: Arc<Shared>,
    watch: Option<(Watch, u32)>,
    chance: RefCell<WyRand>,
    start: Instant,
    /// The script as last read, with its number.
    read: RefCell<(Script, u64)>,
    calls: Cell<u64>,
    cores: RefCell<Option<Rc<Semaphore>>>,
}

struct Conn {
    out: RefCell<Vec<u8>>,
    stir: Notify,
    close: Cell<bool>,
    /// Calls that nobody waits for any more.
    left: RefCell<HashSet<i32>>,
    open: Cell<u32>,
    /// It closes once nothing is open.
    leaving: Cell<bool>,
}

impl Conn {
    fn say(&self, frame: &[u8]) {
        self.out.borrow_mut().extend_from_slice(frame);
        self.stir.notify_one();
    }
}

impl Hall {
    /// The present script; looked up once a change.
    fn fresh(&self) {
        let now = locked(&self.shared.script);
        let mut read = self.read.borrow_mut();
        if read.1 != now.1 {
            *read = now.clone();
            let cores = read.0.cores;
            *self.cores.borrow_mut() = (cores > 0).then(|| Rc::new(Semaphore::new(cores)));
        }
    }
}

async fn accept(hall: Rc<Hall>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        hall.fresh();
        if hall.read.borrow().0.refuses(hall.start.elapsed()) {
            continue;
        }
        locked(&hall.shared.notes).connections += 1;
        let _ = stream.set_nodelay(true);
        spawn_local(talk(hall.clone(), stream));
    }
}

async fn talk(hall: Rc<Hall>, stream: TcpStream) {
    let conn = Rc::new(Conn {
        out: RefCell::default(),
        stir: Notify::new(),
        close: Cell::new(false),
        left: RefCell::default(),
        open: Cell::new(0),
        leaving: Cell::new(false),
    });
    let (mut back, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
    loop {
        let written = {
            let mut out = conn.out.borrow_mut();
            match stream.try_write(&out) {
                Ok(n) => drop(out.drain(..n)),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            out.is_empty()
        };
        if conn.close.get() && (written || !conn.leaving.get()) {
            return;
        }
        tokio::select! {
            ready = stream.readable() => {
                match ready.and_then(|()| stream.try_read(&mut chunk)) {
                    Ok(0) => return,
                    Ok(n) => back.extend_from_slice(&chunk[..n]),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(_) => return,
                }
                hall.fresh();
                let mut used = 0;
                while let Ok(Some(length)) = thrift::frame(&back[used..]) {
                    if frame(&hall, &conn, &back[used + 4..used + 4 + length]).is_none() {
                        return;
                    }
                    used += 4 + length;
                }
                back.drain(..used);
            }
            _ = stream.writable(), if !written => {}
            () = conn.stir.notified() => {}
        }
    }
}

/// One frame; none ends the connection at once.
fn frame(hall: &Rc<Hall>, conn: &Rc<Conn>, frame: &[u8]) -> Option<()> {
    let message = thrift::message(frame).ok()?;
    let seq = message.seq;
    match message.name {
        b"giveUp" => {
            locked(&hall.shared.notes).given_up += 1;
            conn.left
                .borrow_mut()
                .extend(thrift::give_up_args(message.args).ok()?);
            return Some(());
        }
        b"probe" => {
            conn.say(&thrift::answer(b"probe", seq, &[], true));
            return Some(());
        }
        b"process" => {}
        _ => return Some(()),
    }
    let thrift::ProcessArgs { fields, body } = thrift::process_args(message.args).ok()?;
    let (fields, body) = (fields.unwrap_or_default(), body.unwrap_or_default());
    let field = |key: &[u8]| {
        fields
            .iter()
            .find(|(name, _)| *name == key)
            .map_or(&b""[..], |(_, value)| value)
    };
    let marked = field(b"redo") == b"1";
    let n = hall.calls.get() + 1;
    hall.calls.set(n);
    let route = std::str::from_utf8(field(b"route")).unwrap_or("");
    let (deed, after) = hall.read.borrow().0.deed(
        hall.start.elapsed(),
        route,
        n,
        &mut hall.chance.borrow_mut(),
    );
    {
        let mut notes = locked(&hall.shared.notes);
        notes.calls += 1;
        notes.marked += u64::from(marked);
        if hall.shared.keep_times {
            notes.times.push(hall.start.elapsed());
        }
        if deed.runs() {
            notes.inside += 1;
            notes.most_inside = notes.most_inside.max(notes.inside);
            if hall.shared.keep_runs {
                *notes.runs.entry(body.to_vec()).or_default() += 1;
            }
        }
    }
    if let (true, Some((watch, on))) = (deed.runs(), &hall.watch) {
        watch.ran(field(b"trace"), *on, marked);
    }
    let ends = move |hall: &Hall| {
        if deed.runs() {
            locked(&hall.shared.notes).inside -= 1;
        }
    };
    let frames = match deed {
        Deed::Honour | Deed::Late | Deed::Leave | Deed::Hold => {
            thrift::answer(b"process", seq, body, true)
        }
        Deed::Twice => thrift::answer(b"process", seq, body, true).repeat(2),
        Deed::Fail => thrift::lost(seq),
        Deed::Exception => thrift::exception(
            b"process",
            seq,
            thrift::INTERNAL_ERROR,
            "as its script says",
        ),
        Deed::Dismiss {
            pause,
            nowhere_else,
        } => {
            let ms = pause.as_millis().to_string();
            let mut texts = vec![("pause", ms.as_str())];
            texts.extend(nowhere_else.then_some(("terminal", "1")));
            thrift::backoff(seq, &texts)
        }
        // It stays inside for ever, as it would in a node that hangs.
        Deed::Silent => return Some(()),
        Deed::Reset | Deed::Cut | Deed::Refuse => Vec::new(),
    };
    if deed == Deed::Leave {
        conn.leaving.set(true);
        conn.say(&thrift::shutdown());
    }
    let cores = hall.cores.borrow().clone().filter(|_| deed.runs());
    if after.is_zero() && cores.is_none() && deed != Deed::Hold {
        ends(hall);
        if frames.is_empty() {
            return None;
        }
        conn.say(&frames);
        conn.close
            .set(conn.close.get() || (conn.leaving.get() && conn.open.get() == 0));
        return Some(());
    }
    let (hall, conn) = (hall.clone(), conn.clone());
    conn.open.set(conn.open.get() + 1);
    spawn_local(async move {
        let core = match &cores {
            Some(cores) => cores.acquire().await.ok(),
            None => None,
        };
        if deed == Deed::Hold {
            hall.shared.released.notified().await;
        }
        if !after.is_zero() {
            sleep(after).await;
        }
        drop(core);
        ends(&hall);
        conn.open.set(conn.open.get() - 1);
        let left = conn.left.borrow_mut().remove(&seq);
        if frames.is_empty() {
            conn.close.set(true);
        } else if !left || matches!(deed, Deed::Late | Deed::Hold) {
            conn.say(&frames);
        }
        if conn.leaving.get() && conn.open.get() == 0 {
            conn.close.set(true);
        }
        conn.stir.notify_one();
    });
    Some(())
}

/// Notes of several nodes added up by body.
pub fn runs_of(nodes: &[Node]) -> HashMap<Vec<u8>, u32> {
    let mut all: HashMap<Vec<u8>, u32> = HashMap::new();
    for node in nodes {
        node.notes()
            .runs
            .iter()
            .for_each(|(body, runs)| *all.entry(body.clone()).or_default() += runs);
    }
    all
}
