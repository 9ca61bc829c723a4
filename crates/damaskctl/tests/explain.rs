//! Tests `explain` on the logs of several instances.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    io::Write,
    process::{
        Command,
        Output,
        Stdio, //
    }, //
};

use testkit::older::ctl_binary;

/// Logs of two instances: a request that may have run, another request, older events, a report of
/// dropped lines, and a truncated line.
const LOGS: &str = r#"
front-b-1 {"timestamp":"2026-05-13T00:02:00.100000Z","level":"INFO","event":604,"name":"WEIGHTS_LOADED","endpoint":"i-2","version":3}
front-a-1 {"timestamp":"2026-05-13T00:01:10.000000Z","level":"INFO","event":208,"name":"CATALOG_IN_FORCE","version":6}
front-a-1 {"timestamp":"2026-05-13T00:02:01.000000Z","level":"INFO","event":406,"name":"REQUEST_PLACED","request":"aa01","endpoint":"i-1","catalog":7}
front-a-1 {"timestamp":"2026-05-13T00:02:00.500000Z","level":"INFO","event":208,"name":"CATALOG_IN_FORCE","version":7,"before":6}
front-a-1 {"timestamp":"2026-05-13T00:02:01.200000Z","level":"WARN","event":400,"name":"ENDPOINT_FAULT","request":"aa01","endpoint":"i-1","verdict":"may_have_run","reason":"connection closed"}
front-a-1 {"timestamp":"2026-05-13T00:02:01.201000Z","level":"WARN","event":401,"name":"REQUEST_REFUSED","request":"aa01","code":"endpoint_failed","status":502,"verdict":"may_have_run"}
front-b-1 {"timestamp":"2026-05-13T00:02:01.100000Z","level":"INFO","event":406,"name":"REQUEST_PLACED","request":"bb02","endpoint":"i-1"}
front-b-1 {"event":103,"name":"LINES_DROPPED","lines":12}
front-b-1 {"timestamp": torn
"#;

fn explain(words: &[&str]) -> Output {
    let mut child = Command::new(ctl_binary().unwrap())
        .arg("explain")
        .args(words)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOGS.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn a_requests_lines_are_printed_in_time_order_with_related_lines() {
    let output = explain(&["aa01"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().find(|word| word.contains('_')))
        .collect();
    assert_eq!(
        names,
        [
            "CATALOG_IN_FORCE",
            "REQUEST_PLACED",
            "ENDPOINT_FAULT",
            "REQUEST_REFUSED",
        ],
        "{text}"
    );
    assert!(text.starts_with(".    -0.500 s  front-a-1"), "{text}");
    assert!(text.contains("reason=connection closed verdict=may_have_run"));
    assert!(text.contains("12 lines were left out"));
}

#[test]
fn json_output_has_the_same_lines() {
    let output = explain(&["aa01", "-", "--json"]);
    let lines: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let lines = lines.as_array().unwrap();
    assert_eq!(lines.len(), 4);
    assert_eq!(
        (&lines[0]["own"], &lines[1]["own"]),
        (&false.into(), &true.into())
    );
    assert_eq!(lines[3]["fields"]["status"], 502);
}

#[test]
fn an_unknown_request_is_an_error_with_the_remedy() {
    let output = explain(&["cc03"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("no line names request cc03"), "{text}");
    assert!(
        text.contains("1 could not be parsed") && text.contains("left out 12"),
        "{text}"
    );
}
