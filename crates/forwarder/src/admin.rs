//! What a forwarder tells operators on request, over HTTP on an address of its own: status, metrics, members, the last
//! decisions. Read only. Bounded: few connections, short requests, one answer each.

use crate::{connection_limits, Hub};
use rainstand_routing::decision_log::{Decision, DecisionOutcome};
use rainstand_routing::fleet::MemberSnapshot;
use rainstand_routing::health::MemberStatus;
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Connections at a time: a scraper or two, and an operator.
const CONNECTIONS: u32 = 8;
/// A request's head, bytes, and its headers.
const HEAD: usize = 4 << 10;
const HEADERS: usize = 32;
/// For a request to come and its answer to be read.
const WITHIN: Duration = Duration::from_secs(5);
/// After accepting failed, most likely for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// One member, as told.
#[derive(Debug, Serialize)]
pub struct MemberLine<'a> {
    pub pool: &'a str,
    pub member: &'a str,
    pub address: &'a str,
    pub standing: &'static str,
    /// Why it is left out, and for how long still.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub back_in_ms: Option<u64>,
    pub open: u32,
    pub limit: u32,
    pub near: bool,
    pub leaving: bool,
}

/// What control machines told, and how old that is.
#[derive(Clone, Debug, Serialize)]
pub struct ControlLine {
    /// The published version in force; 0: none yet, the file's.
    pub version: u64,
    pub digest: String,
    /// Since it was last known to be the newest.
    pub age_ms: u64,
    /// The machine it is attached to.
    pub machine: Option<String>,
    /// The last version refused here, and why.
    pub refused: Option<(u64, String)>,
    pub attachments: u64,
    pub lost: u64,
    pub dials: u64,
    pub in_force: u64,
    pub refusals: u64,
    pub differs: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// How the forwarder is, as told.
#[derive(Debug, Serialize)]
pub struct StatusLine {
    pub leaving: bool,
    pub tickets: usize,
    pub connections: usize,
    /// Configurations taken since the start, and with it.
    pub taken: u64,
    pub control: Option<ControlLine>,
}

/// One decision, as told.
#[derive(Debug, Serialize)]
pub struct DecisionLine<'a> {
    pub ago_ms: u64,
    #[serde(rename = "type")]
    pub traffic: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<&'a str>,
    /// The member it went to, or why it went nowhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub how: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tried: Option<u32>,
    /// Members that could take it, and how many tickets the one it went to had then.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub of: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_hand: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub turned: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_ms: Option<u64>,
    /// Members that were not asked, and why.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub passed_over: Vec<(&'a str, &'static str)>,
    #[serde(skip_serializing_if = "is_none")]
    pub more_passed_over: u16,
}

fn is_none(n: &u16) -> bool {
    *n == 0
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// How the forwarder is, as a JSON object.
pub fn status(hub: &Hub) -> String {
    let mut out = String::new();
    let line = StatusLine {
        leaving: hub.leaving.get(),
        tickets: hub.tickets.borrow().len(),
        connections: hub.conns.borrow().len(),
        taken: hub.fleet.borrow().version(),
        control: hub.control.borrow().as_ref().map(|control| control()),
    };
    put(&mut out, &line);
    out
}

/// Members and their standing, a JSON object a line.
pub fn members(hub: &Hub) -> String {
    let (fleet, now, mut out) = (hub.fleet.borrow(), hub.now(), String::new());
    for (at, pool) in fleet.table().configuration().pools.iter().enumerate() {
        for (member, seen) in pool.members.iter().zip(fleet.members(at as u16, now)) {
            let MemberSnapshot {
                address,
                open,
                limit,
                status,
                near,
                leaving,
            } = seen;
            let (why, back_in_ms) = match status {
                MemberStatus::Ejected(ejection) => (
                    Some(ejection.reason.as_str()),
                    Some(ms(ejection.until.saturating_sub(now))),
                ),
                _ => (None, None),
            };
            let (pool, member, standing) = (&pool.name, &member.name, status.as_str());
            let line = MemberLine {
                pool,
                member,
                address,
                standing,
                why,
                back_in_ms,
                open,
                limit,
                near,
                leaving,
            };
            put(&mut out, &line);
        }
    }
    out
}

/// The last decisions, newest first, a JSON object a line.
pub fn decisions(hub: &Hub, last: usize) -> String {
    let (fleet, now, mut out) = (hub.fleet.borrow(), hub.now(), String::new());
    let c = fleet.table().configuration();
    for decision in fleet.decisions().all().rev().take(last) {
        let Decision {
            at,
            request_class,
            tenant,
            route,
            pool,
            what,
            more_skipped,
            ..
        } = decision;
        let pool = pool.map(|at| &c.pools[usize::from(at)]);
        let name = |member: u16| pool.map_or("", |pool| &pool.members[usize::from(member)].name);
        let mut line = DecisionLine {
            ago_ms: ms(now.saturating_sub(*at)),
            traffic: &c.types[usize::from(*request_class)].name,
            tenant: tenant.map(|at| &*c.tenants[usize::from(at)].name),
            route: route.map(|at| &*c.routes[usize::from(at)].name),
            pool: pool.map(|pool| &*pool.name),
            member: None,
            how: None,
            tried: None,
            of: None,
            in_hand: None,
            turned: None,
            told_ms: None,
            passed_over: decision
                .skipped_members()
                .map(|(member, why)| (name(member), why.as_str()))
                .collect(),
            more_passed_over: *more_skipped,
        };
        match *what {
            DecisionOutcome::Dispatched {
                member,
                how,
                of,
                in_hand,
                tried,
            } => {
                (line.member, line.how) = (Some(name(member)), Some(how.as_str()));
                (line.tried, line.of, line.in_hand) = (Some(tried), Some(of), Some(in_hand));
            }
            DecisionOutcome::Rejected { why, after } => {
                (line.turned, line.told_ms) = (Some(why.as_str()), Some(ms(after)));
            }
        }
        put(&mut out, &line);
    }
    out
}

fn put(out: &mut String, line: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(line) {
        out.push_str(&text);
        out.push('\n');
    }
}

/// Answers requests until the program ends.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0u32));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if !connection_limits::after(&hub, &error).await {
                    sleep(ACCEPT_AGAIN).await;
                }
                continue;
            }
        };
        if open.get() >= CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (hub, open) = (hub.clone(), open.clone());
        spawn_local(async move {
            let _ = timeout(WITHIN, talk(&hub, stream)).await;
            open.set(open.get() - 1);
        });
    }
}

async fn talk(hub: &Hub, mut stream: TcpStream) -> Option<()> {
    let mut head = Vec::new();
    let path = loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) if request.method == Some("GET") => {
                break request.path.unwrap_or("").to_owned();
            }
            Ok(httparse::Status::Partial) if head.len() < HEAD => {
                let mut chunk = [0; 1024];
                match stream.read(&mut chunk).await.ok()? {
                    0 => return None,
                    n => head.extend_from_slice(&chunk[..n]),
                }
            }
            _ => break String::new(),
        }
    };
    let (status, kind, body) = told(hub, &path);
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    stream.shutdown().await.ok()
}

/// Status, kind of content and body for a path.
fn told(hub: &Hub, path: &str) -> (&'static str, &'static str, String) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let last = query
        .strip_prefix("last=")
        .and_then(|n| n.parse().ok())
        .unwrap_or(usize::MAX);
    let json = "application/x-ndjson";
    match path {
        "/metrics" => {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            ("200 OK", kind, hub.metrics.text(hub))
        }
        "/status" => ("200 OK", json, status(hub)),
        "/members" => ("200 OK", json, members(hub)),
        "/decisions" => ("200 OK", json, decisions(hub, last)),
        "" => (
            "400 Bad Request",
            "text/plain",
            "only short GET requests are answered\n".into(),
        ),
        _ => (
            "404 Not Found",
            "text/plain",
            "there are /status, /metrics, /members and /decisions?last=N\n".into(),
        ),
    }
}
