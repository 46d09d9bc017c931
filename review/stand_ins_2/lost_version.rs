//! A forwarder applies and acknowledges a version, and starts again while the control service cannot be reached.
mod common;
mod forwarder;
use common::*;
use std::time::{Duration, Instant};

/// The forwarder is told to leave so long after the version was in force there.
const AFTER: Duration = Duration::from_millis(3_000);

fn main() {
    run_case(|case| {
        let classes = forwarder::oslo_konfig();
        let machines = forwarder::machines(case, &classes, 2, 100)?;
        let pools = forwarder::pool("old", &machines[..1]) + &forwarder::pool("new", &machines[1..]);
        let rules = |pool| forwarder::rules(&classes, pool) + &pools;
        let write = |name: &str, text: &str| {
            let path = case.temp.join(name);
            std::fs::write(&path, text).map(|()| path.display().to_string()).map_err(|error| error.to_string())
        };
        let before = write("before.rain", &rules("old"))?;
        let after = write("after.rain", &rules("new"))?;

        let ports: Vec<u16> = (0..3).map(|_| free_port()).collect();
        let members: String = (1..=3)
            .map(|k| {
                let folder = case.temp.join(format!("c{k}"));
                std::fs::create_dir_all(&folder).unwrap();
                format!(
                    "  member c{k} {{ site: s{k}; address: \"127.0.0.1:{}\"; folder: \"{}\" }}\n",
                    ports[k - 1],
                    folder.display()
                )
            })
            .collect();
        let group = write("control.rain", &format!("rain 1\n\ngroup fleet {{\n  shards: 1\n  copies: 3\n{members}}}\n"))?;
        let mut controls = Vec::new();
        for k in 1..=3 {
            let line = format!("exec target/release/rainstand control --config {group} --name c{k}");
            controls.push(Process::start(case, &format!("c{k}"), &line, &[])?);
        }
        let publish = |file: &str| {
            let line = format!("exec target/release/rainstand config publish {file} --at 127.0.0.1:{}", ports[0]);
            command(case, &line)
        };
        if !wait_until(ms(15_000), || publish(&before).0 == 0) {
            return Err("the first version is not committed".into());
        }

        let folder = case.temp.join("f1");
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (listen, admin) = (free_port(), free_port());
        let addresses: Vec<String> = ports.iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let line = format!(
            "exec target/release/rainstand forward --config {before} --listen 127.0.0.1:{listen} --admin 127.0.0.1:{admin} \
             --name f1 --control {} --control-folder {} --seed 7 --stop-ms 3000",
            addresses.join(","),
            folder.display()
        );
        let status = || command(case, &format!("exec target/release/rainstand ask status --at 127.0.0.1:{admin}")).1;
        let versions = || {
            command(case, &format!("exec target/release/rainstand config versions --at 127.0.0.1:{}", ports[0])).1
        };
        let version = || {
            let text = status();
            json_field(&text, "version").and_then(|version| version.trim().parse::<u64>().ok()).unwrap_or(0)
        };
        let process = Process::start(case, "f1", &line, &[])?;
        if !wait_until(ms(10_000), || answers_probe(listen) && version() == 1) {
            return Err("the first version does not come into force".into());
        }
        case.record.line("version 1 is in force");
        std::thread::sleep(ms(2_000));
        let (code, text) = publish(&after);
        case.record.line(format!("publish: {code} {text}"));
        if code != 0 {
            return Err("the second version is not committed".into());
        }
        let serves_by = |body: &str| -> Result<String, String> {
            let mut dispatcher = Client::connect(case, "dispatcher", listen)?;
            let call = dispatcher.send(&Ticket::new("sjekk-konfig", "acme", body))?;
            dispatcher.answer(call, ms(4_000));
            dispatcher.close();
            Ok(case.record.runs_of(body).first().map_or("nobody".into(), |run| run.node.clone()))
        };
        if !wait_until(ms(10_000), || version() == 2) {
            return Err("the second version does not come into force".into());
        }
        let node = serves_by("under version 2")?;
        if node != "n2" {
            return Err(format!("version 2 is in force, but {node} was sent a ticket"));
        }
        let since = Instant::now();
        case.record.line(format!("version 2 is in force; the control machines say of it:\n{}", versions()));
        sleep_until(since + AFTER);
        process.signal(SIGTERM);
        if process.wait(ms(5_000)) != Some(0) {
            return Err("the forwarder did not drain".into());
        }
        if case.trouble {
            controls.iter().for_each(Process::kill);
        }
        let _process = Process::start(case, "f1", &line, &[])?;
        if !wait_until(ms(10_000), || answers_probe(listen)) {
            return Err("the forwarder does not start again".into());
        }
        std::thread::sleep(ms(4_000));
        case.record.line(format!("after the start version {} is in force", version()));
        let node = serves_by("after the start")?;
        case.record.line(format!("the ticket after the start went to {node}; the acknowledged version 2 says n2"));
        Ok(if node == "n2" { HELD } else { BROKEN })
    });
}
