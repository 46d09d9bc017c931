//! Captures on the command line: looked at, cut, exported, replayed against stand-ins that misbehave.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod program;
mod stand_ins;

use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use program::{command, run_lines as run};
use serde_json::Value;
use stand_ins::{capture, node, Manners};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// Only what hangs is caught by this.
const HANGS: Duration = Duration::from_secs(20);

/// Every kind of answer, on three connections within 60 ms.
const CALLS: [(u64, usize, &str, &str); 12] = [
    (0, 0, "one", "e1"),
    (4, 1, "two", "e2"),
    (8, 0, "dismissed", "e3"),
    (12, 2, "lost", "e4"),
    (16, 2, "xcept", "e5"),
    (20, 1, "never", "e6"),
    (30, 0, "three", "e7"),
    (34, 0, "four", "e8"),
    (38, 1, "five", "e9"),
    (42, 2, "six", "e10"),
    (50, 0, "seven", "e11"),
    (58, 1, "eight", "e12"),
];

fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("a.pcapng"), capture(&CALLS)).unwrap();
    folder
}

/// A replay of that capture to an address.
fn replay(folder: &Path, to: &str, more: &[&str]) -> (i32, Vec<Value>, String) {
    run(
        folder,
        &[&["pcap", "replay", "a.pcapng", "--to", to], more].concat(),
    )
}

#[test]
fn tickets_are_told_a_line_each_and_then_the_summary() {
    let folder = folder();
    let (code, lines, _) = run(folder.path(), &["pcap", "tickets", "a.pcapng", "--json"]);
    assert_eq!((code, lines.len()), (0, 13));
    let end = |trace: usize| {
        let trace = format!("{trace:016x}");
        let line = lines.iter().find(|line| line["trace"] == trace).unwrap();
        (line["end"].as_str().unwrap(), line["took_us"].as_u64())
    };
    let wanted = [
        (0, "honoured"),
        (2, "dismissed"),
        (3, "given_up"),
        (4, "exception"),
        (11, "honoured"),
    ];
    for (trace, word) in wanted {
        assert_eq!(end(trace), (word, Some(1_000)));
    }
    assert_eq!(end(5), ("gone", None));
    let summary = &lines[12]["summary"];
    assert_eq!(
        (&summary["tickets"], &summary["streams"], &summary["holes"]),
        (&12.into(), &3.into(), &0.into())
    );
    assert_eq!(summary["ends"]["honoured"], 8);
    let (code, lines, _) = run(folder.path(), &["pcap", "tickets", "a.pcapng"]);
    assert_eq!((code, lines.len()), (0, 13));
    assert!(
        lines[12].as_str().unwrap().starts_with("summary packets="),
        "{}",
        lines[12]
    );
    let (code, lines, _) = run(folder.path(), &["pcap", "info", "a.pcapng", "--json"]);
    assert_eq!(
        (code, &lines[0]["tickets"], &lines[0]["format"]),
        (0, &12.into(), &"pcapng".into())
    );
}

#[test]
fn what_is_no_capture_or_half_of_one_is_told() {
    let folder = folder();
    let at = folder.path();
    let whole = std::fs::read(at.join("a.pcapng")).unwrap();
    std::fs::write(at.join("half.pcapng"), &whole[..whole.len() / 2]).unwrap();
    std::fs::write(
        at.join("text.pcapng"),
        "not a capture, and long enough to be looked at",
    )
    .unwrap();
    std::fs::write(at.join("empty.pcapng"), "").unwrap();
    let table = [
        ("half.pcapng", 1, "middle of a packet"),
        ("text.pcapng", 2, "neither pcap nor pcapng"),
        ("empty.pcapng", 2, "empty"),
        ("gone.pcapng", 2, "No such file"),
        (".", 2, "a folder"),
    ];
    for (file, code, words) in table {
        let (found, _, told) = run(at, &["pcap", "info", file]);
        assert_eq!(found, code, "{file}: {told}");
        assert!(told.contains(file) && told.contains(words), "{told}");
    }
}

#[test]
fn a_cut_has_the_chosen_tickets_and_no_others() {
    let folder = folder();
    let at = folder.path();
    let (code, _, _) = run(
        at,
        &[
            "pcap",
            "cut",
            "a.pcapng",
            "part.pcapng",
            "--from",
            "0.010",
            "--to",
            "0.040",
        ],
    );
    assert_eq!(code, 0);
    let (_, lines, _) = run(at, &["pcap", "tickets", "part.pcapng", "--json"]);
    let mut traces: Vec<_> = lines[..lines.len() - 1]
        .iter()
        .map(|l| l["trace"].as_str().unwrap().to_owned())
        .collect();
    traces.sort();
    let wanted: Vec<_> = (3..9).map(|n| format!("{n:016x}")).collect();
    assert_eq!(traces, wanted);
    let ends = &lines[lines.len() - 1]["summary"]["ends"];
    assert_eq!((&ends["honoured"], &ends["gone"]), (&3.into(), &1.into()));
    let (_, _, told) = run(
        at,
        &[
            "pcap",
            "cut",
            "a.pcapng",
            "none.pcapng",
            "--tenant",
            "other",
        ],
    );
    assert!(told.contains("0 tickets"));
    assert_eq!(
        run(
            at,
            &["pcap", "cut", "a.pcapng", "b.pcapng", "--from", "3", "--to", "2"]
        )
        .0,
        2
    );
}

#[test]
fn columns_hold_what_lines_say() {
    let folder = folder();
    let (code, _, _) = run(
        folder.path(),
        &["pcap", "export", "a.pcapng", "--parquet", "a.parquet"],
    );
    assert_eq!(code, 0);
    let file = std::fs::File::open(folder.path().join("a.parquet")).unwrap();
    let reader = SerializedFileReader::new(file).unwrap();
    let rows: Vec<_> = reader
        .get_row_iter(None)
        .unwrap()
        .map(Result::unwrap)
        .collect();
    assert_eq!(rows.len(), 12);
    let of = |trace: &str| {
        rows.iter()
            .find(|row| row.get_string(3).unwrap() == trace)
            .unwrap()
    };
    let dismissed = of("0000000000000002");
    assert_eq!(
        (
            dismissed.get_string(11).unwrap().as_str(),
            dismissed.get_long(15).unwrap()
        ),
        ("dismissed", 100)
    );
    let left = of("0000000000000005");
    assert_eq!(
        (
            left.get_string(11).unwrap().as_str(),
            left.get_long(13).unwrap()
        ),
        ("gone", 5_000)
    );
    assert!(
        left.get_long(12).is_err(),
        "an answer's time that was none is null"
    );
    assert_eq!(dismissed.get_string(4).unwrap(), "check");
}

#[test]
fn a_replay_brings_the_same_answers_under_new_traces() {
    let folder = folder();
    let node = node(Manners::default());
    let to = node.addr.to_string();
    let more = [
        "--compare",
        "--json",
        "--wait",
        "30",
        "--mapping",
        "map.jsonl",
    ];
    let (code, lines, told) = replay(folder.path(), &to, &more);
    // What is never answered is waited for in vain: its caller left it, and it is told as unanswered.
    let summary = &lines[lines.len() - 1]["summary"];
    assert_eq!(
        (code, &summary["calls"], &summary["connections"]),
        (0, &12.into(), &3.into()),
        "{told}{summary}"
    );
    assert_eq!(
        summary["ends"]["honoured"],
        serde_json::json!({"recorded": 8, "now": 8})
    );
    let got = node.got.lock().unwrap();
    let bodies: Vec<_> = got
        .iter()
        .map(|one| String::from_utf8(one.body.clone()).unwrap())
        .collect();
    for on in 0..3 {
        // In the recorded order on each connection; further tries still say so.
        let wanted: Vec<_> = CALLS
            .iter()
            .filter(|call| call.1 == on)
            .map(|call| call.2)
            .collect();
        let first = bodies.iter().position(|body| body == wanted[0]).unwrap();
        let found: Vec<_> = got
            .iter()
            .zip(&bodies)
            .filter(|(one, _)| one.connection == got[first].connection)
            .map(|(_, body)| body.as_str())
            .collect();
        assert_eq!(found, wanted);
    }
    let field = |fields: &[(String, String)], key: &str| {
        fields
            .iter()
            .find(|(name, _)| name == key)
            .unwrap()
            .1
            .clone()
    };
    let mapping = std::fs::read_to_string(folder.path().join("map.jsonl")).unwrap();
    for one in got.iter() {
        assert_eq!(field(&one.fields, "redo"), "1");
        assert_ne!(field(&one.fields, "born"), "1");
        let trace = field(&one.fields, "trace");
        assert!(!trace.starts_with("00000000000000") && mapping.contains(&trace));
    }
    assert_eq!(mapping.lines().count(), 12);
    assert_eq!(node.left.lock().unwrap().len(), 1);
}

#[test]
fn a_different_answer_is_named() {
    let folder = folder();
    let node = node(Manners {
        wrong_about: Some("e8"),
        ..Manners::default()
    });
    let to = node.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--compare", "--json"]);
    assert_eq!((code, lines.len()), (1, 2));
    assert_eq!(
        (&lines[0]["trace"], &lines[0]["now"]),
        (&"0000000000000007".into(), &"honoured".into())
    );
    // By kinds alone it is the same.
    let (code, ..) = replay(folder.path(), &to, &["--compare", "--kinds"]);
    assert_eq!(code, 0);
}

#[test]
fn broken_and_refused_connections_do_not_end_a_replay() {
    let folder = folder();
    let breaking = node(Manners {
        breaks_after: Some(2),
        ..Manners::default()
    });
    let to = breaking.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--json", "--wait", "2"]);
    let summary = &lines[0]["summary"];
    assert_eq!(code, 0);
    assert!(
        summary["connections"].as_u64().unwrap() > 3 && summary["broken"].as_u64().unwrap() > 0,
        "{summary}"
    );
    assert!(breaking.got.lock().unwrap().len() >= 12);
    // Nobody listens there any more.
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let (code, lines, _) = replay(
        folder.path(),
        &gone,
        &["--json", "--compare", "--wait", "2"],
    );
    assert_eq!(
        (
            code,
            &lines[lines.len() - 1]["summary"]["ends"]["gone"]["now"]
        ),
        (1, &12.into())
    );
    let shutting = node(Manners {
        shuts_after: Some(1),
        ..Manners::default()
    });
    let to = shutting.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--json", "--wait", "2", "--compare"]);
    let summary = &lines[lines.len() - 1]["summary"];
    assert!(
        code == 0 && summary["connections"].as_u64().unwrap() > 3,
        "{summary}"
    );
}

/// A peer that accepts connections and resets each at once, or up to a millisecond later; it ends with the process.
fn resetting_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            std::thread::sleep(Duration::from_micros(100) * (number % 11));
            // Closing without lingering sends a reset.
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    address
}

/// Whether a program ends within [`HANGS`]; it is killed if not.
fn ends(mut child: Child) -> bool {
    let started = Instant::now();
    while started.elapsed() < HANGS {
        if child.try_wait().unwrap().is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    false
}

// Guards against a replay that spins on a connection which broke while a frame was not written, and never ends.
#[test]
fn a_replay_to_a_peer_that_resets_at_once_ends() {
    let calls: Vec<_> = (0..400)
        .map(|n| (n / 20, (n % 20) as usize, "body", "e"))
        .collect();
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("a.pcapng"), capture(&calls)).unwrap();
    let to = resetting_peer().to_string();
    let arguments = [
        "pcap", "replay", "a.pcapng", "--to", &to, "--wait", "1", "--json",
    ];
    for play in 0..5 {
        let mut command = command(folder.path(), &arguments);
        let child = command.stdout(Stdio::null()).spawn().unwrap();
        assert!(ends(child), "play {play} does not end");
    }
}

#[test]
fn wrong_words_are_told() {
    let folder = folder();
    let table: [(&[&str], &str); 5] = [
        (&["--speed", "0"], "not above 0"),
        (&["--connections", "many"], "neither `as-recorded` nor"),
        (&["--from", "90"], "no calls in this stretch"),
        (&["--from", "2", "--until", "1"], "does not lie after"),
        (&["--wait", "-1"], "is no time"),
    ];
    for (more, words) in table {
        let all = [&["pcap", "replay", "a.pcapng", "--to", "127.0.0.1:9"], more].concat();
        let all: Vec<&str> = all
            .into_iter()
            .map(|one| if one == "-1" { "-1" } else { one })
            .collect();
        let (code, _, told) = run(folder.path(), &all);
        assert_eq!(code, 2, "{told}");
        assert!(
            told.contains(words) || told.contains("unexpected argument"),
            "{told}"
        );
    }
}
