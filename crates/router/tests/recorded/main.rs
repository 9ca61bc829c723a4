//! Guards against a build that cannot run beside an earlier one: datagrams, changes and rows as an earlier
//! build wrote them are read as they were meant, and the present build writes the same bytes.
//!
//! `cargo test -p router --test recorded -- --ignored --nocapture` prints the lines for a new record.
//! A record stays as long as that build may run beside the present one.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

mod samples;

use router::{
    instance::Row,
    message::{
        Deltas,
        Message, //
    }, //
};
use samples::{
    deltas,
    messages,
    row, //
};

/// Written by the build f0e7ac3: a name and the bytes in hexadecimal on each line.
const RECORD: &str = include_str!("f0e7ac3.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORD.lines().filter_map(|line| line.split_once(' '));
    let (_, text) = lines.find(|(found, _)| *found == name).unwrap();
    unhex(text)
}

/// Everything that is sent or stored, with a name.
fn written() -> Vec<(&'static str, Vec<u8>)> {
    let mut all: Vec<_> = messages()
        .into_iter()
        .map(|(name, message)| (name, message.encode().unwrap()))
        .collect();
    all.push(("deltas", postcard::to_stdvec(&deltas()).unwrap()));
    all.push(("row", serde_json::to_vec(&row()).unwrap()));
    all
}

#[test]
#[ignore = "prints the lines of a record"]
fn print() {
    for (name, bytes) in written() {
        println!("{name} {}", hex(&bytes));
    }
}

#[test]
fn what_an_earlier_build_wrote_is_read() {
    for (name, message) in messages() {
        assert_eq!(Message::decode(&recorded(name)).unwrap(), message, "{name}");
    }
    let read: Deltas = postcard::from_bytes(&recorded("deltas")).unwrap();
    assert_eq!(read, deltas());
    let read: Row = serde_json::from_slice(&recorded("row")).unwrap();
    assert_eq!(read, row());
}

#[test]
fn an_earlier_build_reads_what_is_written() {
    for (name, bytes) in written() {
        let recorded = recorded(name);
        // An earlier build ignores what follows the fields of a datagram that it knows.
        assert!(bytes.starts_with(&recorded) || name == "row", "{name}");
    }
}

/// Rows may get more fields, which an earlier build ignores, and lack those of later builds.
#[test]
fn rows_with_unknown_and_without_later_fields_are_read() {
    let mut text = String::from_utf8(recorded("row")).unwrap();
    text.insert_str(1, r#""later_field": {"a": [1]}, "#);
    let read: Row = serde_json::from_str(&text).unwrap();
    assert_eq!(read, row());
    let without = text.replace(r#","written_ms":5"#, "");
    assert_ne!(without, text);
    let read: Row = serde_json::from_str(&without).unwrap();
    assert_eq!(read.written_ms, None);
}

/// A datagram of a kind that this build does not know is refused, and nothing else is.
#[test]
fn datagrams_of_unknown_kinds_are_refused() {
    let mut bytes = recorded("heartbeat");
    // The kind follows the four bytes that tell the format.
    bytes[4] = 0x7f;
    assert!(Message::decode(&bytes).is_err());
}
