//! Compares the catalogue of events in the code with docs/EVENTS.md.

use telemetry::event::ALL;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u32> = ALL.iter().map(|event| event.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn the_page_lists_every_event_and_no_other() {
    let rows: Vec<Vec<&str>> = PAGE
        .lines()
        .map(|line| line.split('|').map(str::trim).collect())
        .filter(|cells: &Vec<&str>| cells.get(1).is_some_and(|c| c.parse::<u32>().is_ok()))
        .collect();
    let listed: Vec<(String, String, String)> = rows
        .iter()
        .map(|cells| (cells[1].into(), cells[2].into(), cells[4].into()))
        .collect();
    let known: Vec<(String, String, String)> = ALL
        .iter()
        .map(|event| {
            let doc = event.doc.trim();
            (event.number.to_string(), event.name.into(), doc.into())
        })
        .collect();
    assert_eq!(listed, known);
}
