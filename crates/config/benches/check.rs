//! Lines checked a second, on a configuration of 100,000 lines over 200 files.
//! `cargo bench -p rainstand-config`

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::source::Memory;
use rainstand_config::{diff::diff, formatter::format, load};
use std::fmt::Write;

fn main() {
    divan::main();
}

/// 200 files: types, tenants, pools with members, policies, and routes that match by each.
fn generated() -> Vec<(String, String)> {
    const FILES: usize = 200;
    let mut main = String::from("rain 1\n\n");
    let mut files = Vec::new();
    for n in 0..FILES - 1 {
        let _ = writeln!(main, "include \"part/{n}.rain\"");
        let mut text = String::from("rain 1\n");
        if n < 20 {
            let _ = write!(
                text,
                "\ntype t{n} {{\n  repeat: rerunnable\n  goal: 3.1 s\n  outer-limit: 7.8 s\n}}\n"
            );
        }
        for k in 0..12 {
            let _ = write!(
                text,
                "\n# Tenant {k} of part {n}.\ntenant c{n}-{k} {{\n  share: 0.01 %\n  quota: {}.5 tickets/s\n}}\n",
                1 + k
            );
        }
        let _ = write!(
            text,
            "\nlimits l{n} {{\n  rate: 900 tickets/s\n  burst: 50 tickets\n  per: tenant\n}}\n"
        );
        let _ = write!(
            text,
            "\nattempts a{n} {{\n  tries: 2\n  wait: 20 ms .. 80 ms\n}}\n"
        );
        for p in 0..4 {
            let _ = write!(text, "\npool p{n}-{p} {{\n  zone: z{}\n", p % 3);
            for m in 0..10 {
                let (a, b) = (n % 250, p * 10 + m);
                let _ = write!(
                    text,
                    "\n  member n{m} {{\n    address: \"10.{a}.{b}.1:5050\"\n    weight: 1.5\n    warm-up: 18 s\n  }}\n"
                );
            }
            text.push_str("}\n");
        }
        for r in 0..12 {
            let _ = write!(
                text,
                "\nroute r{n}-{r} {{\n  match {{\n    type: t{}, t{}\n    tenant: c{n}-{r}\n    entity: \"NO-{r}*\"\n  }}\n  \
                 to: p{n}-0 60 %, p{n}-1 40 %\n  fall-back: p{n}-2, p{n}-3\n  limits: l{n}\n  attempts: a{n}\n}}\n",
                r % 20,
                (r + 7) % 20
            );
        }
        files.push((format!("part/{n}.rain"), text));
    }
    main.push_str("\nroute rest {\n  to: p0-0\n}\n");
    files.push(("main.rain".into(), main));
    files
}

#[divan::bench]
fn check_100_000_lines(bencher: divan::Bencher<'_, '_>) {
    let files = Memory::new(generated());
    let outcome = load(&files, "main.rain");
    assert!(!outcome.has_errors(), "{:?}", outcome.findings.first());
    let lines = outcome.sources.lines();
    assert!(
        lines > 95_000 && outcome.sources.len() == 200,
        "{lines} lines"
    );
    bencher
        .counter(divan::counter::ItemsCount::new(lines))
        .bench(|| load(&files, "main.rain"));
}

#[divan::bench]
fn form_100_000_lines(bencher: divan::Bencher<'_, '_>) {
    let files = generated();
    let lines: usize = files.iter().map(|(_, text)| text.lines().count()).sum();
    bencher
        .counter(divan::counter::ItemsCount::new(lines))
        .bench(|| {
            files
                .iter()
                .map(|(_, text)| format(text).map_or(0, |formed| formed.len()))
                .sum::<usize>()
        });
}

#[divan::bench]
fn diff_of_one_change_in_100_000_lines(bencher: divan::Bencher<'_, '_>) {
    let old = load(&Memory::new(generated()), "main.rain")
        .configuration
        .unwrap();
    let mut new = old.clone();
    new.limits[7].at_once = 9;
    assert_eq!(diff(&old, &new).len(), 1);
    bencher.bench(|| diff(&old, &new));
}
