//! Requests with an idempotency key behind forwarders: within the key's window only one member runs them, whatever
//! happens to forwarders, members and the configuration meanwhile. The test servers run each attempt that they are sent,
//! so an attempt at a second server shows as a second run.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use rainstand_config::schema::Configuration;
use rainstand_forwarder::ForwarderContext;
use rainstand_invariants::Kind;
use rainstand_test_servers::caller::{Call, Caller, Reply};
use rainstand_test_servers::script::Script;
use rainstand_test_servers::server::{test_server, TestServer, TestServerOptions};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use world::{parse_configuration, run_test, start_forwarder, RunningForwarder};

/// A window that no test outlives.
const LONG_WINDOW: &str = "60 s";
/// A window that tests wait for.
const SHORT_WINDOW: Duration = Duration::from_millis(1_500);
/// Enough keys that each of a few servers is the home of some.
const KEYS: usize = 40;

/// One pool of these members. A request may be retried twice, under its key.
fn configuration(members: &[SocketAddr], window: &str, pool_settings: &str) -> Configuration {
    let members: String = members
        .iter()
        .map(|addr| format!("member n{} {{ address: \"{addr}\" }}\n", addr.port()))
        .collect();
    let text = format!(
        "rain 1
type book {{ repeat: ticketed {window}; goal: 1 s; outer-limit: 1.2 s }}
tenant acme {{ share: 50 % }}
attempts marked {{ tries: 3; budget: 100 %; wait: 1 ms .. 5 ms; proof: mark }}
pool p {{ {pool_settings}\n{members} }}
route r {{ to: p; attempts: marked }}"
    );
    parse_configuration(text)
}

fn addresses(servers: &[TestServer]) -> Vec<SocketAddr> {
    servers.iter().map(|server| server.addr).collect()
}

fn start_servers(count: usize) -> Vec<TestServer> {
    (0..count).map(|_| test_server("honour")).collect()
}

/// Starts a server at the address of one that was killed.
async fn restart(address: SocketAddr) -> TestServer {
    while std::net::TcpListener::bind(address).is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    TestServerOptions {
        script: Script::read("honour").unwrap(),
        address: Some(address),
        ..TestServerOptions::default()
    }
    .start()
}

/// A forwarder and a caller of it.
struct Forwarder {
    context: Rc<ForwarderContext>,
    address: SocketAddr,
    caller: Caller,
}

impl Forwarder {
    async fn start(configuration: &Configuration, seed: u64) -> Self {
        let RunningForwarder { context, addr, .. } = start_forwarder(configuration, seed).await;
        let caller = Caller::new(addr).await.unwrap();
        Self {
            context,
            address: addr,
            caller,
        }
    }

    /// Connects the caller again: a connection without calls is closed after a time.
    async fn reconnect(&mut self) {
        self.caller = Caller::new(self.address).await.unwrap();
    }

    /// Sends one attempt of the request with this key, and returns its answer.
    async fn request(&mut self, key: &str) -> Reply {
        let sent = self.caller.send(&call(key)).await.unwrap();
        let (answered, reply) = self.caller.next_reply().await.unwrap();
        assert_eq!(answered, sent);
        reply
    }
}

fn served(key: &str) -> Reply {
    Reply::Served(key.as_bytes().to_vec())
}

fn keys() -> Vec<String> {
    (0..KEYS).map(|number| format!("key-{number}")).collect()
}

/// Indices of the servers that ran a key.
fn servers_of(servers: &[TestServer], key: &str) -> Vec<usize> {
    let ran = |index: &usize| servers[*index].runs_of(key.as_bytes()) > 0;
    (0..servers.len()).filter(ran).collect()
}

/// The keys that a server ran.
fn keys_of(server: &TestServer) -> Vec<String> {
    keys()
        .into_iter()
        .filter(|key| server.runs_of(key.as_bytes()) > 0)
        .collect()
}

fn is_rejected(reply: &Reply) -> bool {
    matches!(reply, Reply::Rejected { retry_after, .. } if !retry_after.is_zero())
}

/// Guards against a second run of a request by another member, when its repeat comes through the same forwarder, another
/// one, or one that started after the first attempt.
#[test]
fn repeats_go_to_the_member_that_ran_the_first_attempt() {
    run_test(async {
        let servers = start_servers(3);
        let configuration = configuration(&addresses(&servers), LONG_WINDOW, "");
        let mut first = Forwarder::start(&configuration, 1).await;
        let mut second = Forwarder::start(&configuration, 2).await;
        for key in keys() {
            assert_eq!(first.request(&key).await, served(&key));
            assert_eq!(second.request(&key).await, served(&key));
            assert_eq!(first.request(&key).await, served(&key));
        }
        let mut restarted = Forwarder::start(&configuration, 3).await;
        for key in keys() {
            assert_eq!(restarted.request(&key).await, served(&key));
            assert_eq!(servers_of(&servers, &key).len(), 1, "{key}");
        }
        assert!(servers.iter().all(|server| server.total_runs() > 0));
    });
}

/// Guards against the forwarder's own further attempts at another member, after each way in which one can fail.
#[test]
fn further_attempts_of_the_forwarder_stay_at_the_home() {
    run_test(async {
        for script in ["fail", "reset", "cut", "silent", "dismiss"] {
            let servers = start_servers(3);
            let configuration = configuration(&addresses(&servers), LONG_WINDOW, "");
            let mut forwarder = Forwarder::start(&configuration, 1).await;
            let key = "key-0";
            assert_eq!(forwarder.request(key).await, served(key));
            let home = servers_of(&servers, key);
            let calls_before = servers[home[0]].observations().calls;
            servers[home[0]].set_script(script);
            let reply = forwarder.request(key).await;
            assert_ne!(reply, served(key), "{script}");
            assert_eq!(servers_of(&servers, key), home, "{script}");
            let calls = servers[home[0]].observations().calls - calls_before;
            assert!(calls > 1, "{script}: the request was not retried");
        }
    });
}

/// An attempt that timed out goes on at the member while the request is retried there: the retry gets its result. Once
/// the request is answered, the member is told.
#[test]
fn timed_out_attempt_is_cancelled_only_with_its_request() {
    run_test(async {
        let server = test_server("silent");
        let configuration = configuration(&[server.addr], LONG_WINDOW, "");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        let wait_for_retry = async {
            while server.observations().calls < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            server.observations().cancellations
        };
        let (reply, cancelled_before_retry) =
            tokio::join!(forwarder.request("key-0"), wait_for_retry);
        assert_eq!((reply, cancelled_before_retry), (Reply::Failed, 0));
        let calls = server.observations().calls;
        while server.observations().cancellations < calls {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// A home that is away is not replaced by another member; requests with other homes are served.
#[test]
fn requests_of_an_unavailable_home_are_rejected() {
    run_test(async {
        let servers = start_servers(3);
        let configuration = configuration(&addresses(&servers), LONG_WINDOW, "");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        for key in keys() {
            assert_eq!(forwarder.request(&key).await, served(&key));
        }
        servers[0].kill();
        let lost = keys_of(&servers[0]);
        for key in keys() {
            let reply = forwarder.request(&key).await;
            if lost.contains(&key) {
                // The first one may break the connection that it is sent on.
                assert!(is_rejected(&reply) || reply == Reply::Failed, "{reply:?}");
            } else {
                assert_eq!(reply, served(&key));
            }
            assert_eq!(servers_of(&servers, &key).len(), 1, "{key}");
        }
    });
}

/// By what a forwarder learns that a member's process has ended.
#[derive(Clone, Copy)]
enum RestartShows {
    /// Nothing listened there for a while.
    Refusal,
    /// Its connection broke during an attempt.
    Break,
    /// Its connection ended while no attempt was open.
    Close,
}

/// Guards against a second run by the next process at a member's address, which does not know what the first one ran.
#[test]
fn restarted_member_gets_no_repeats_within_their_window() {
    run_test(async {
        for restart_shows in [
            RestartShows::Refusal,
            RestartShows::Break,
            RestartShows::Close,
        ] {
            let server = test_server("honour");
            let address = server.addr;
            let configuration = configuration(&[address], "1500 ms", "");
            let mut forwarder = Forwarder::start(&configuration, 1).await;
            let first_attempt = Instant::now();
            assert_eq!(forwarder.request("key-0").await, served("key-0"));
            match restart_shows {
                RestartShows::Refusal => {
                    server.kill();
                    while !is_rejected(&forwarder.request("key-1").await) {}
                }
                RestartShows::Break => {
                    server.set_script("reset");
                    let reply = forwarder.request("key-1").await;
                    assert!(is_rejected(&reply) || reply == Reply::Failed, "{reply:?}");
                    server.kill();
                }
                RestartShows::Close => {
                    server.kill();
                    while forwarder.context.upstreams.connection_count() > 0 {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
            }
            let restarted = restart(address).await;
            let mut rejections = 0;
            while restarted.runs_of(b"key-0") == 0 {
                let sent = Instant::now();
                let reply = forwarder.request("key-0").await;
                if reply == served("key-0") {
                    assert!(sent > first_attempt + SHORT_WINDOW);
                } else {
                    assert!(is_rejected(&reply), "{reply:?}");
                    rejections += 1;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(rejections > 0);
        }
    });
}

/// Waits until the forwarder has this many connections to members.
async fn wait_for_connections(forwarder: &Forwarder, count: usize) {
    while forwarder.context.upstreams.connection_count() != count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against the forwarder's own further attempt at the process that starts in the place of a killed one: what was
/// sent once runs once, however soon the next process listens, and is answered at once.
#[test]
fn further_attempt_does_not_reach_the_next_process() {
    run_test(async {
        let text = |address: SocketAddr| {
            format!(
                "rain 1
type book {{ repeat: ticketed 60 s; goal: 20 s; outer-limit: 30 s }}
tenant acme {{ share: 50 % }}
attempts marked {{ tries: 5; budget: 100 %; wait: 300 ms .. 600 ms; proof: mark }}
pool p {{ keys: own\nmember n {{ address: \"{address}\" }} }}
route r {{ to: p; attempts: marked }}"
            )
        };
        let server = test_server("hold");
        let address = server.addr;
        let configuration = parse_configuration(text(address));
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        // The process ends in the run, and the next one listens before the retry.
        let replace_process = async {
            while server.runs_of(b"key-0") == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            server.kill();
            restart(address).await
        };
        let (reply, restarted) = tokio::join!(forwarder.request("key-0"), replace_process);
        assert_eq!(reply, Reply::Failed);
        // A repeat of the caller's is held as well.
        let reply = forwarder.request("key-0").await;
        assert!(is_rejected(&reply), "{reply:?}");
        assert_eq!(restarted.runs_of(b"key-0"), 0);
    });
}

/// Guards against a second run through a forwarder that has sent nothing to a member whose process is replaced: not even
/// the repeat that is sent at once reaches the next process.
#[test]
fn forwarder_without_requests_sees_that_a_member_restarted() {
    run_test(async {
        for _ in 0..20 {
            let server = test_server("honour");
            let address = server.addr;
            let configuration = configuration(&[address], LONG_WINDOW, "");
            let mut first = Forwarder::start(&configuration, 1).await;
            let mut second = Forwarder::start(&configuration, 2).await;
            // Of the second forwarder only the connection that watches the member.
            wait_for_connections(&second, 1).await;
            assert_eq!(first.request("key-0").await, served("key-0"));
            server.kill();
            let restarted = restart(address).await;
            for forwarder in [&mut second, &mut first] {
                let reply = forwarder.request("key-0").await;
                assert!(is_rejected(&reply), "{reply:?}");
            }
            assert_eq!(restarted.runs_of(b"key-0"), 0);
        }
    });
}

/// Guards against a request that is queued on a connection to one process and written to the next: a member that was away
/// for longer than a window is a new process when it is back, of which nothing is known before.
#[test]
fn queued_attempt_does_not_reach_a_process_that_came_later() {
    run_test(async {
        let server = test_server("honour");
        let address = server.addr;
        let configuration = configuration(&[address], "1500 ms", "");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        assert_eq!(forwarder.request("key-0").await, served("key-0"));
        server.kill();
        let killed = Instant::now();
        while killed.elapsed() < 2 * SHORT_WINDOW {
            let reply = forwarder.request("key-1").await;
            // The first one may break the connection that it is sent on.
            assert!(is_rejected(&reply) || reply == Reply::Failed, "{reply:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let started = Instant::now();
        let restarted = restart(address).await;
        let mut rejections = 0;
        loop {
            let sent = Instant::now();
            let reply = forwarder.request("key-2").await;
            if reply == served("key-2") {
                assert!(sent > started + SHORT_WINDOW);
                break;
            }
            assert!(is_rejected(&reply), "{reply:?}");
            assert_eq!(restarted.runs_of(b"key-2"), 0);
            rejections += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(rejections > 0);
    });
}

/// A member's process that the test itself plays: it accepts connections and answers nothing.
struct SilentProcess {
    listener: tokio::net::TcpListener,
    connections: Vec<tokio::net::TcpStream>,
}

impl SilentProcess {
    async fn start() -> Self {
        Self {
            listener: tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap(),
            connections: Vec::new(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    async fn accept(&mut self) {
        let (connection, _) = self.listener.accept().await.unwrap();
        self.connections.push(connection);
    }

    /// Ends it as a kill does, and starts the next process at its address. Nothing else runs on this thread meanwhile.
    fn replace(mut self) -> TestServer {
        let address = self.address();
        drop(self.listener);
        // The newest first: a connection with requests ends before the one that watches.
        while self.connections.pop().is_some() {}
        while std::net::TcpListener::bind(address).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
        TestServerOptions {
            script: Script::read("honour").unwrap(),
            address: Some(address),
            ..TestServerOptions::default()
        }
        .start()
    }
}

fn call(key: &str) -> Call<'_> {
    Call {
        request_class: "book",
        nonce: key,
        body: key.as_bytes(),
        kind: Kind::Ticketed,
        ..Call::default()
    }
}

/// Guards against both orders in which a forwarder can see a request and the end of the process that it would go to: the
/// process is replaced while the forwarder does not run, after the request was sent or before.
#[test]
fn request_and_end_of_the_process_are_seen_in_either_order() {
    run_test(async {
        for is_sent_first in [true, false] {
            let mut process = SilentProcess::start().await;
            let configuration = configuration(&[process.address()], LONG_WINDOW, "");
            let mut forwarder = Forwarder::start(&configuration, 1).await;
            process.accept().await;
            wait_for_connections(&forwarder, 1).await;
            let restarted = if is_sent_first {
                forwarder.caller.send(&call("key-0")).await.unwrap();
                process.replace()
            } else {
                let restarted = process.replace();
                forwarder.caller.send(&call("key-0")).await.unwrap();
                restarted
            };
            let (_, reply) = forwarder.caller.next_reply().await.unwrap();
            assert!(is_rejected(&reply), "{is_sent_first}: {reply:?}");
            assert_eq!(restarted.runs_of(b"key-0"), 0, "{is_sent_first}");
        }
    });
}

/// Guards against a request that is answered late because the end of its connection is seen before that of the one that
/// watches: the forwarder does not take the process for alive, and makes no further attempt.
#[test]
fn ends_of_all_connections_count_at_the_first_of_them() {
    run_test(async {
        let mut process = SilentProcess::start().await;
        let configuration = configuration(&[process.address()], LONG_WINDOW, "");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        process.accept().await;
        forwarder.caller.send(&call("key-0")).await.unwrap();
        process.accept().await;
        let request_connection = process.connections.last().unwrap();
        assert_eq!(request_connection.peek(&mut [0]).await.unwrap(), 1);
        let restarted = process.replace();
        let (_, reply) = forwarder.caller.next_reply().await.unwrap();
        assert_eq!(reply, Reply::Failed);
        assert_eq!(forwarder.context.fleet.borrow().counts().retries, 0);
        assert_eq!(restarted.runs_of(b"key-0"), 0);
    });
}

/// Guards against a process that is taken for the one before although nothing was connected to the member for a time.
#[test]
fn time_without_a_connection_counts_as_a_new_process() {
    run_test(async {
        let server = test_server("honour");
        let own = configuration(&[server.addr], LONG_WINDOW, "keys: own");
        let shared = configuration(&[server.addr], LONG_WINDOW, "keys: shared");
        let mut forwarder = Forwarder::start(&own, 1).await;
        wait_for_connections(&forwarder, 1).await;
        forwarder.context.install_configuration(shared).unwrap();
        wait_for_connections(&forwarder, 0).await;
        let lost_processes =
            |forwarder: &Forwarder| forwarder.context.counters.lost_processes.get();
        assert_eq!(lost_processes(&forwarder), 0);
        forwarder.context.install_configuration(own).unwrap();
        while lost_processes(&forwarder) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        forwarder.reconnect().await;
        let reply = forwarder.request("key-0").await;
        assert!(is_rejected(&reply), "{reply:?}");
    });
}

/// Guards against a member whose end is never received, as that of a machine that lost its power: it is taken for gone
/// once it answers no probe. One that answers is not.
#[test]
fn member_that_answers_no_probe_counts_as_ended() {
    run_test(async {
        let answering = test_server("honour");
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent_address = silent.local_addr().unwrap();
        let configuration = configuration(&[answering.addr, silent_address], LONG_WINDOW, "");
        let forwarder = Forwarder::start(&configuration, 1).await;
        let (_connection, _) = silent.accept().await.unwrap();
        let connected = Instant::now();
        let lost_processes = || forwarder.context.counters.lost_processes.get();
        while lost_processes() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(connected.elapsed() > Duration::from_secs(5));
        assert_eq!(lost_processes(), 1);
    });
}

/// Members that share their keys, and those of configurations without ticketed classes, are not watched.
#[test]
fn members_that_are_no_homes_get_no_connection_without_requests() {
    run_test(async {
        let server = test_server("honour");
        let shared = configuration(&[server.addr], LONG_WINDOW, "keys: shared");
        let mut forwarder = Forwarder::start(&shared, 1).await;
        assert_eq!(forwarder.request("key-0").await, served("key-0"));
        assert_eq!(forwarder.context.upstreams.connection_count(), 1);
        // As homes they are watched from the next version on, and no longer after the one that follows.
        let own = configuration(&[server.addr], LONG_WINDOW, "keys: own");
        forwarder.context.install_configuration(own).unwrap();
        wait_for_connections(&forwarder, 2).await;
        forwarder.context.install_configuration(shared).unwrap();
        wait_for_connections(&forwarder, 1).await;
        assert_eq!(forwarder.context.counters.lost_processes.get(), 0);
    });
}

/// A member that announces its shutdown keeps its keys: they go to it, or are rejected.
#[test]
fn draining_member_is_not_replaced() {
    run_test(async {
        let servers = start_servers(3);
        let configuration = configuration(&addresses(&servers), LONG_WINDOW, "");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        for key in keys() {
            assert_eq!(forwarder.request(&key).await, served(&key));
        }
        servers[0].set_script("leave");
        for _ in 0..2 {
            for key in keys() {
                let reply = forwarder.request(&key).await;
                assert!(reply == served(&key) || is_rejected(&reply), "{reply:?}");
                assert_eq!(servers_of(&servers, &key).len(), 1, "{key}");
            }
        }
    });
}

/// Guards against a second run by the member to which a new configuration moves a key: within the window the request is
/// rejected, by a forwarder that knows the key and by one that does not; then it is served. Keys that do not move are
/// served all the time.
#[test]
fn key_moved_by_a_new_configuration_is_held_for_its_window() {
    run_test(async {
        let servers = start_servers(4);
        let all = addresses(&servers);
        // A member leaves, one comes, and one comes back at once.
        let changes = [
            (vec![&all[..3], &all[..2]], 1),
            (vec![&all[..3], &all[..]], 1),
            (vec![&all[..3], &all[..2], &all[..3]], 1),
        ];
        for (number, (versions, min_held)) in changes.into_iter().enumerate() {
            let version = |members: &&[SocketAddr]| configuration(members, "1500 ms", "");
            let mut forwarders = [
                Forwarder::start(&version(&versions[0]), 1).await,
                Forwarder::start(&version(&versions[0]), 2).await,
            ];
            let keys: Vec<String> = keys().iter().map(|key| format!("{number}-{key}")).collect();
            let mut first_attempts = Vec::new();
            for key in &keys {
                first_attempts.push(Instant::now());
                assert_eq!(forwarders[0].request(key).await, served(key));
            }
            for members in &versions[1..] {
                for forwarder in &forwarders {
                    let installed = forwarder.context.install_configuration(version(members));
                    installed.unwrap();
                }
            }
            let homes: Vec<Vec<usize>> = keys.iter().map(|key| servers_of(&servers, key)).collect();
            let mut held = vec![true; keys.len()];
            let mut rejections = 0;
            while held.contains(&true) {
                for (index, key) in keys.iter().enumerate() {
                    for forwarder in &mut forwarders {
                        let sent = Instant::now();
                        let reply = forwarder.request(key).await;
                        if is_rejected(&reply) {
                            rejections += 1;
                            continue;
                        }
                        assert_eq!(reply, served(key));
                        held[index] = false;
                        let has_moved = servers_of(&servers, key) != homes[index];
                        assert!(!has_moved || sent > first_attempts[index] + SHORT_WINDOW);
                    }
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(rejections >= min_held, "change {number} moved no key");
        }
    });
}

/// Members that are nodes of one group recognize each other's repeats: another one takes those of a member that is away.
#[test]
fn members_that_share_their_keys_replace_each_other() {
    run_test(async {
        let servers = start_servers(2);
        let configuration = configuration(&addresses(&servers), LONG_WINDOW, "keys: shared");
        let mut forwarder = Forwarder::start(&configuration, 1).await;
        for key in keys() {
            assert_eq!(forwarder.request(&key).await, served(&key));
        }
        assert!(servers.iter().all(|server| server.total_runs() > 0));
        servers[0].kill();
        for key in keys() {
            assert_eq!(forwarder.request(&key).await, served(&key));
        }
    });
}
