//! The daemon's settings file and command line.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    fs,
    path::PathBuf,
    process::{
        Command,
        Output, //
    }, //
};

use damaskd::config::Config;
use serde_json::{
    Value,
    json, //
};
use testkit::process::binary;

fn valid() -> Value {
    json!({
        "name": "i0",
        "domain": "d1",
        "caller": "127.0.0.1:0",
        "operator": "127.0.0.1:0",
        "peer": "127.0.0.1:0",
        "peer_secret": "sixteen bytes or more",
        "root_operator": "00".repeat(32),
        "platform": {
            "table": "127.0.0.1:1",
            "objects": "127.0.0.1:1",
            "instances": "127.0.0.1:1",
        },
    })
}

/// Valid settings with one field replaced; a null removes it.
fn valid_with(pointer: &str, value: Value) -> String {
    let mut config = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    if value.is_null() {
        parent.remove(field);
    } else {
        parent.insert(field.to_owned(), value);
    }
    config.to_string()
}

#[test]
fn issue_3_invalid_settings_are_refused_with_the_field() {
    assert!(Config::parse(&valid().to_string()).is_ok());
    let cases = [
        ("/name", json!(""), "name is empty"),
        ("/name", Value::Null, "missing field `name`"),
        ("/name", json!(7), "field name:"),
        ("/domain", json!(""), "domain is empty"),
        ("/caller", json!("localhost"), "field caller:"),
        ("/peer_secret", json!("short"), "use a longer one"),
        ("/root_operator", json!("00"), "field root_operator:"),
        ("/platform/table", json!(1), "field platform.table:"),
        ("/platform/queue", json!("x"), "unknown field `queue`"),
        (
            "/limits",
            json!({"stall_timeout_ms": -1}),
            "field limits.stall_timeout_ms:",
        ),
        (
            "/limits",
            json!({"max_body": 1}),
            "unknown field `max_body`",
        ),
        ("/limits", json!({"max_body_bytes": 0}), "use 1 or more"),
        ("/limits", json!({"table_interval_ms": 0}), "at least 1 ms"),
        ("/limits", json!({"workers": 0}), "use 1 or more"),
    ];
    for (pointer, value, expected) in cases {
        let error = Config::parse(&valid_with(pointer, value.clone())).unwrap_err();
        let text = format!("{error:#}");
        assert!(text.contains(expected), "{pointer} {value}: {text}");
    }
    let duplicated = format!("{}{}", valid(), valid());
    assert!(Config::parse(&duplicated).is_err());
}

fn damaskd(args: &[&str]) -> Output {
    Command::new(binary("damaskd").unwrap())
        .args(args)
        .output()
        .unwrap()
}

/// Writes `text` to a temporary file that only this test process uses.
fn temporary_file(name: &str, text: &str) -> PathBuf {
    let name = format!("damask-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn issue_3_exit_codes_and_messages_are_as_documented() {
    let valid_file = temporary_file("fine.json", &valid().to_string());
    let invalid_file = temporary_file("bad.json", &valid_with("/name", json!("")));
    let (valid_path, invalid_path) = (valid_file.to_str().unwrap(), invalid_file.to_str().unwrap());
    let cases: &[(&[&str], i32, &str)] = &[
        (&["--help"], 0, "--log-format text|json"),
        (&["--config", valid_path, "--check"], 0, "ok"),
        (&["--config", invalid_path, "--check"], 2, "name is empty"),
        (
            &["--config", "/nonexistent.json"],
            2,
            "/nonexistent.json: cannot be read",
        ),
        (&[], 2, "--config FILE is missing"),
        (&["--bogus"], 2, "--bogus"),
        (
            &["--config", valid_path, "--log-format", "xml"],
            2,
            "use \"text\" or \"json\"",
        ),
        (
            &["--config", valid_path, "--log-level", "=="],
            2,
            "use error, warn, info",
        ),
    ];
    for (args, code, expected) in cases {
        let output = damaskd(args);
        let mut text = String::from_utf8(output.stdout).unwrap();
        text.push_str(&String::from_utf8(output.stderr).unwrap());
        assert_eq!(output.status.code(), Some(*code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
    for path in [valid_path, invalid_path] {
        fs::remove_file(path).unwrap();
    }
}
