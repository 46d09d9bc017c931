//! Members on loopback, each with a thread, a runtime and a disk of its own: what is asked at one is known at the others,
//! over restarts, lost disks and the loss of a majority.

use rainstand_config::schema;
use rainstand_copies::keys::{Command, Start, Told, What};
use rainstand_group::{recovery, Group, Setup};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::LocalSet;

/// Only what hangs is caught by this; nothing is timed.
const HANGS: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce(Rc<Group>) + Send>;

struct Running {
    jobs: Option<UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Running {
    /// As a kill: nothing is handed over, and the disk is free again when this returns.
    fn drop(&mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl Running {
    fn start(group: schema::Group, name: &str) -> Self {
        let (jobs, mut todo) = unbounded_channel::<Job>();
        let (name, folder) =
            (name.to_owned(), group.members.iter().find(|m| m.name == name).unwrap().folder.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let setup = Setup { name, group, log: Box::new(|_| {}) };
                let group = Group::start(setup).await.unwrap();
                while let Some(job) = todo.recv().await {
                    job(group.clone());
                }
            });
            drop((local, runtime));
            // The disk's own thread ends once nobody gives it anything.
            let begun = Instant::now();
            while rainstand_store::Folder::open(Path::new(&folder)).is_err() {
                assert!(begun.elapsed() < HANGS, "the disk is not free");
                std::thread::yield_now();
            }
        });
        Self { jobs: Some(jobs), thread: Some(thread) }
    }

    fn on<T: Send + 'static>(&self, what: impl FnOnce(Rc<Group>, Sender<T>) + Send + 'static) -> Receiver<T> {
        let (answer, told) = channel();
        let job: Job = Box::new(move |group| what(group, answer));
        assert!(self.jobs.as_ref().unwrap().send(job).is_ok());
        told
    }

    /// What a command is told first; none if its time was over.
    fn ask(&self, trace: u8, key: &str, what: What, within: Duration) -> Option<Told> {
        let key = key.to_owned();
        let told = self.on(move |group, answer: Sender<Option<Told>>| {
            let claim = group.see(|member| member.claim(&[trace; 16]));
            let command = Command { key: key.into_bytes().into(), claim, what: Some(what) };
            let back = answer.clone();
            if group.ask(command, within, Rc::new(move |told| drop(back.send(told)))).is_none() {
                let _ = answer.send(None);
            }
        });
        told.recv_timeout(HANGS).expect("an answer")
    }

    /// The same until something is told.
    fn ask_until_told(&self, trace: u8, key: &str, what: &What) -> Told {
        let begun = Instant::now();
        loop {
            if let Some(told) = self.ask(trace, key, what.clone(), Duration::from_secs(2)) {
                return told;
            }
            assert!(begun.elapsed() < HANGS, "{key} is told nothing");
        }
    }

    /// What a look at the member tells.
    fn tell<T: Send + 'static>(&self, look: impl FnOnce(&Group) -> T + Send + 'static) -> T {
        let told = self.on(move |group, answer| assert!(answer.send(look(&group)).is_ok()));
        told.recv_timeout(HANGS).expect("an answer")
    }

    fn leads(&self) -> usize {
        self.tell(|group| group.see(|member| member.leading()))
    }
}

fn start() -> What {
    What::Start(Start { sum: 1, window: 60_000_000_000 })
}

fn known(result: &'static str) -> Told {
    Told::Known(result.into())
}

struct World {
    _folder: tempfile::TempDir,
    group: schema::Group,
}

fn world(n: usize) -> World {
    let folder = tempfile::tempdir().unwrap();
    let listeners: Vec<_> = (0..n).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let member = |(k, listener): (usize, &std::net::TcpListener)| schema::GroupMember {
        name: format!("n{}", k + 1),
        site: String::new(),
        address: listener.local_addr().unwrap().to_string(),
        folder: folder.path().join(format!("n{}", k + 1)).display().to_string(),
    };
    let members = listeners.iter().enumerate().map(member).collect();
    let ms = 1_000_000;
    let group = schema::Group {
        name: "test".into(),
        shards: 2,
        copies: 3,
        heartbeat_ns: 30 * ms,
        election_least_ns: 150 * ms,
        election_most_ns: 300 * ms,
        commit_wait_ns: ms / 2,
        keys: 1_000,
        moves: 2,
        testing: false,
        members,
        start_within_ns: 500 * ms,
        come_back_ns: 100 * ms,
    };
    World { _folder: folder, group }
}

impl World {
    fn up(&self, name: &str) -> Running {
        Running::start(self.group.clone(), name)
    }

    fn folder(&self, k: usize) -> PathBuf {
        self.group.members[k].folder.clone().into()
    }

    fn all_led(&self, running: &[&Running]) {
        let begun = Instant::now();
        while running.iter().map(|one| one.leads()).sum::<usize>() < self.group.shards as usize {
            assert!(begun.elapsed() < HANGS, "no leaders");
            std::thread::yield_now();
        }
    }
}

#[test]
fn what_is_asked_at_one_is_known_at_the_others_and_after_restarts() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n1.ask_until_told(1, "a", &start()), Told::Granted);
    assert_eq!(n2.ask_until_told(2, "a", &start()), Told::Running);
    assert_eq!(n1.ask_until_told(1, "a", &What::Done("R".into())), Told::Noted);
    assert_eq!(n3.ask_until_told(3, "a", &start()), known("R"));
    // One is gone, and comes back with its disk; the others go on without it.
    drop(n2);
    assert_eq!(n3.ask_until_told(4, "b", &start()), Told::Granted);
    let n2 = w.up("n2");
    assert_eq!(n2.ask_until_told(5, "b", &start()), Told::Running);
    assert_eq!(n3.ask_until_told(4, "b", &What::Failed(true)), Told::Noted);
    assert_eq!(n2.ask_until_told(5, "b", &start()), Told::Uncertain);
    // All at once.
    drop((n1, n2, n3));
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n2.ask_until_told(6, "a", &start()), known("R"));
}

#[test]
fn a_minority_is_told_that_its_time_is_over_and_a_start_of_it_does_not_block_its_key() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    drop((n2, n3));
    assert_eq!(n1.ask(1, "a", start(), Duration::from_millis(300)), None);
    let [n2, n3] = ["n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    // What timed out is taken back, whether or not it was written meanwhile.
    let begun = Instant::now();
    while n2.ask_until_told(2, "a", &start()) != Told::Granted {
        assert!(begun.elapsed() < HANGS, "the key is blocked");
    }
    assert_eq!(n1.ask_until_told(1, "a", &start()), Told::Running);
}

#[test]
fn an_emptied_disk_is_a_new_member_and_learns_everything() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    for n in 0..20 {
        assert_eq!(n1.ask_until_told(n, &format!("k{n}"), &start()), Told::Granted);
        assert_eq!(n1.ask_until_told(n, &format!("k{n}"), &What::Done("R".into())), Told::Noted);
    }
    drop(n3);
    std::fs::remove_dir_all(w.folder(2)).unwrap();
    let n3 = w.up("n3");
    let begun = Instant::now();
    let votes = |group: &Group| {
        group.see(|member| {
            let own = member.disk();
            let in_all = |config: &rainstand_replica::Config| config.votes(own) && config.members.len() == 3;
            member.shards().count() == 2
                && member.shards().all(|(_, replica, _)| replica.settled() && in_all(replica.config()))
        })
    };
    while !n3.tell(move |group| votes(group)) {
        assert!(begun.elapsed() < HANGS, "it does not vote");
    }
    // It votes: with it and one other everything is known.
    drop(n1);
    for n in 0..20 {
        assert_eq!(n3.ask_until_told(100 + n, &format!("k{n}"), &start()), known("R"));
    }
    drop(n2);
}

#[test]
fn after_the_loss_of_a_majority_an_operator_brings_back_what_is_left() {
    let w = world(3);
    let [n1, n2, n3] = ["n1", "n2", "n3"].map(|name| w.up(name));
    w.all_led(&[&n1, &n2, &n3]);
    assert_eq!(n2.ask_until_told(1, "a", &start()), Told::Granted);
    assert_eq!(n2.ask_until_told(1, "a", &What::Done("R".into())), Told::Noted);
    assert_eq!(n2.ask_until_told(2, "b", &start()), Told::Granted);
    // n1 must have it all before it is the only one.
    let begun = Instant::now();
    let has = |group: &Group, key: &str, word: &str| {
        group.see(|member| member.row(key.as_bytes()).1.is_some_and(|row| row.word() == word))
    };
    while !n1.tell(move |group| has(group, "a", "known") && has(group, "b", "started")) {
        assert!(begun.elapsed() < HANGS, "n1 lags");
    }
    drop((n1, n2, n3));
    std::fs::remove_dir_all(w.folder(1)).unwrap();
    let alone = w.up("n1");
    assert_eq!(alone.ask(3, "c", start(), Duration::from_millis(300)), None);
    drop(alone);
    let told = recovery::recover(&w.folder(0), "n1", false).unwrap();
    assert!(told.missing.is_empty() && told.shards.iter().any(|shard| shard.started == ["b"]), "{told:?}");
    recovery::recover(&w.folder(0), "n1", true).unwrap();
    let n1 = w.up("n1");
    assert_eq!(n1.ask_until_told(4, "a", &start()), known("R"));
    assert_eq!(n1.ask_until_told(4, "b", &start()), Told::Running);
    // n2 comes with an empty disk, n3 with its old one, which is set aside: both learn anew.
    let [n2, n3] = ["n2", "n3"].map(|name| w.up(name));
    assert_eq!(n2.ask_until_told(5, "a", &start()), known("R"));
    assert_eq!(n3.ask_until_told(6, "a", &start()), known("R"));
    let asides = n3.tell(|group| group.set_asides.get());
    assert_eq!(asides, 1);
}
