//! `rainstand pcap`: captures are listed, cut, exported, and replayed against fake nodes with faults.

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
use stand_ins::{capture, start_node, NodeFaults};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// A program that runs longer is taken as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls (time in ms, connection, body, entity) with every kind of answer, on three connections within 60 ms.
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

/// A folder with a capture of [`CALLS`] as `a.pcapng`.
fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("a.pcapng"), capture(&CALLS)).unwrap();
    folder
}

/// Replays `a.pcapng` to an address. Returns the exit code, the lines of standard output, and standard error.
fn replay(folder: &Path, to: &str, more: &[&str]) -> (i32, Vec<Value>, String) {
    run(
        folder,
        &[&["pcap", "replay", "a.pcapng", "--to", to], more].concat(),
    )
}

#[test]
fn requests_are_listed_one_per_line_before_the_summary() {
    let folder = folder();
    let (code, lines, _) = run(folder.path(), &["pcap", "tickets", "a.pcapng", "--json"]);
    assert_eq!((code, lines.len()), (0, 13));
    let end = |trace: usize| {
        let trace = format!("{trace:016x}");
        let line = lines.iter().find(|line| line["trace"] == trace).unwrap();
        (line["end"].as_str().unwrap(), line["took_us"].as_u64())
    };
    let expected = [
        (0, "honoured"),
        (2, "dismissed"),
        (3, "given_up"),
        (4, "exception"),
        (11, "honoured"),
    ];
    for (trace, word) in expected {
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
fn truncated_or_invalid_captures_are_reported() {
    let folder = folder();
    let path = folder.path();
    let complete = std::fs::read(path.join("a.pcapng")).unwrap();
    std::fs::write(path.join("half.pcapng"), &complete[..complete.len() / 2]).unwrap();
    std::fs::write(
        path.join("text.pcapng"),
        "not a capture, and long enough to be looked at",
    )
    .unwrap();
    std::fs::write(path.join("empty.pcapng"), "").unwrap();
    let table = [
        ("half.pcapng", 1, "middle of a packet"),
        ("text.pcapng", 2, "neither pcap nor pcapng"),
        ("empty.pcapng", 2, "empty"),
        ("gone.pcapng", 2, "No such file"),
        (".", 2, "a folder"),
    ];
    for (file, code, words) in table {
        let (found, _, errors) = run(path, &["pcap", "info", file]);
        assert_eq!(found, code, "{file}: {errors}");
        assert!(errors.contains(file) && errors.contains(words), "{errors}");
    }
}

#[test]
fn cut_writes_only_the_selected_requests() {
    let folder = folder();
    let path = folder.path();
    let (code, _, _) = run(
        path,
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
    let (_, lines, _) = run(path, &["pcap", "tickets", "part.pcapng", "--json"]);
    let mut traces: Vec<_> = lines[..lines.len() - 1]
        .iter()
        .map(|line| line["trace"].as_str().unwrap().to_owned())
        .collect();
    traces.sort();
    let expected: Vec<_> = (3..9).map(|n| format!("{n:016x}")).collect();
    assert_eq!(traces, expected);
    let ends = &lines[lines.len() - 1]["summary"]["ends"];
    assert_eq!((&ends["honoured"], &ends["gone"]), (&3.into(), &1.into()));
    let (_, _, errors) = run(
        path,
        &[
            "pcap",
            "cut",
            "a.pcapng",
            "none.pcapng",
            "--tenant",
            "other",
        ],
    );
    assert!(errors.contains("0 tickets"));
    assert_eq!(
        run(
            path,
            &["pcap", "cut", "a.pcapng", "b.pcapng", "--from", "3", "--to", "2"]
        )
        .0,
        2
    );
}

#[test]
fn exported_columns_match_the_listed_requests() {
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
    let row_of = |trace: &str| {
        rows.iter()
            .find(|row| row.get_string(3).unwrap() == trace)
            .unwrap()
    };
    let rejected = row_of("0000000000000002");
    assert_eq!(
        (
            rejected.get_string(11).unwrap().as_str(),
            rejected.get_long(15).unwrap()
        ),
        ("dismissed", 100)
    );
    let abandoned = row_of("0000000000000005");
    assert_eq!(
        (
            abandoned.get_string(11).unwrap().as_str(),
            abandoned.get_long(13).unwrap()
        ),
        ("gone", 5_000)
    );
    assert!(
        abandoned.get_long(12).is_err(),
        "the time of a missing answer is null"
    );
    assert_eq!(rejected.get_string(4).unwrap(), "check");
}

#[test]
fn replay_gets_the_same_answers_under_new_traces() {
    let folder = folder();
    let node = start_node(NodeFaults::default());
    let to = node.addr.to_string();
    let more = [
        "--compare",
        "--json",
        "--wait",
        "30",
        "--mapping",
        "map.jsonl",
    ];
    let (code, lines, errors) = replay(folder.path(), &to, &more);
    // The call that is never answered was abandoned in the capture, and is reported as unanswered.
    let summary = &lines[lines.len() - 1]["summary"];
    assert_eq!(
        (code, &summary["calls"], &summary["connections"]),
        (0, &12.into(), &3.into()),
        "{errors}{summary}"
    );
    assert_eq!(
        summary["ends"]["honoured"],
        serde_json::json!({"recorded": 8, "now": 8})
    );
    let received = node.received.lock().unwrap();
    let bodies: Vec<_> = received
        .iter()
        .map(|call| String::from_utf8(call.body.clone()).unwrap())
        .collect();
    for connection in 0..3 {
        // On each connection the recorded order is kept.
        let expected: Vec<_> = CALLS
            .iter()
            .filter(|call| call.1 == connection)
            .map(|call| call.2)
            .collect();
        let first = bodies.iter().position(|body| body == expected[0]).unwrap();
        let found: Vec<_> = received
            .iter()
            .zip(&bodies)
            .filter(|(call, _)| call.connection == received[first].connection)
            .map(|(_, body)| body.as_str())
            .collect();
        assert_eq!(found, expected);
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
    for call in received.iter() {
        // Retries are still marked as retries.
        assert_eq!(field(&call.fields, "redo"), "1");
        assert_ne!(field(&call.fields, "born"), "1");
        let trace = field(&call.fields, "trace");
        assert!(!trace.starts_with("00000000000000") && mapping.contains(&trace));
    }
    assert_eq!(mapping.lines().count(), 12);
    assert_eq!(node.abandoned.lock().unwrap().len(), 1);
}

#[test]
fn compare_names_the_call_with_a_different_answer() {
    let folder = folder();
    let node = start_node(NodeFaults {
        wrong_for: Some("e8"),
        ..NodeFaults::default()
    });
    let to = node.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--compare", "--json"]);
    assert_eq!((code, lines.len()), (1, 2));
    assert_eq!(
        (&lines[0]["trace"], &lines[0]["now"]),
        (&"0000000000000007".into(), &"honoured".into())
    );
    // Compared by kind alone, the answers are the same.
    let (code, ..) = replay(folder.path(), &to, &["--compare", "--kinds"]);
    assert_eq!(code, 0);
}

#[test]
fn replay_continues_after_broken_and_refused_connections() {
    let folder = folder();
    let breaking = start_node(NodeFaults {
        closes_at_call: Some(2),
        ..NodeFaults::default()
    });
    let to = breaking.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--json", "--wait", "2"]);
    let summary = &lines[0]["summary"];
    assert_eq!(code, 0);
    assert!(
        summary["connections"].as_u64().unwrap() > 3 && summary["broken"].as_u64().unwrap() > 0,
        "{summary}"
    );
    assert!(breaking.received.lock().unwrap().len() >= 12);
    // The port of a closed listener refuses connections.
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let (code, lines, _) = replay(
        folder.path(),
        &closed_port,
        &["--json", "--compare", "--wait", "2"],
    );
    assert_eq!(
        (
            code,
            &lines[lines.len() - 1]["summary"]["ends"]["gone"]["now"]
        ),
        (1, &12.into())
    );
    let shutting_down = start_node(NodeFaults {
        shutdown_after: Some(1),
        ..NodeFaults::default()
    });
    let to = shutting_down.addr.to_string();
    let (code, lines, _) = replay(folder.path(), &to, &["--json", "--wait", "2", "--compare"]);
    let summary = &lines[lines.len() - 1]["summary"];
    assert!(
        code == 0 && summary["connections"].as_u64().unwrap() > 3,
        "{summary}"
    );
}

/// Starts a peer that accepts connections and resets each 0 to 1 ms later; it ends with the process.
fn resetting_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            std::thread::sleep(Duration::from_micros(100) * (number % 11));
            // Closing a socket with a linger time of zero sends a reset.
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    address
}

/// Whether a program ends within [`HANG_TIMEOUT`]; kills it if not.
fn ends_in_time(mut child: Child) -> bool {
    let started = Instant::now();
    while started.elapsed() < HANG_TIMEOUT {
        if child.try_wait().unwrap().is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    false
}

// Guards against a replay that never ends because it spins on a connection that broke before a frame was written.
#[test]
fn replay_to_a_peer_that_resets_connections_ends() {
    let calls: Vec<_> = (0..400)
        .map(|n| (n / 20, (n % 20) as usize, "body", "e"))
        .collect();
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("a.pcapng"), capture(&calls)).unwrap();
    let to = resetting_peer().to_string();
    let arguments = [
        "pcap", "replay", "a.pcapng", "--to", &to, "--wait", "1", "--json",
    ];
    for run_number in 0..5 {
        let mut command = command(folder.path(), &arguments);
        let child = command.stdout(Stdio::null()).spawn().unwrap();
        assert!(ends_in_time(child), "replay {run_number} does not end");
    }
}

#[test]
fn invalid_arguments_are_reported() {
    let folder = folder();
    let table: [(&[&str], &str); 5] = [
        (&["--speed", "0"], "not above 0"),
        (&["--connections", "many"], "neither `as-recorded` nor"),
        (&["--from", "90"], "no calls in this time range"),
        (&["--from", "2", "--until", "1"], "is not after --from"),
        (&["--wait", "-1"], "is not a valid duration"),
    ];
    for (more, words) in table {
        let arguments = [&["pcap", "replay", "a.pcapng", "--to", "127.0.0.1:9"], more].concat();
        let arguments: Vec<&str> = arguments
            .into_iter()
            .map(|argument| if argument == "-1" { "-1" } else { argument })
            .collect();
        let (code, _, errors) = run(folder.path(), &arguments);
        assert_eq!(code, 2, "{errors}");
        assert!(
            errors.contains(words) || errors.contains("unexpected argument"),
            "{errors}"
        );
    }
}
