//! Mirrors of the table's rows: their revision never decreases, and they converge whether changes
//! come from the table or from another instance.

use platform::table::{
    Change,
    Changes,
    Range,
    Revision,
    Row, //
};
use quickcheck::quickcheck;
use router::{
    message::Deltas,
    mirror::Mirror,
    peer::{
        MAX_DELTAS_BYTES,
        encode_deltas, //
    }, //
};

fn change(key: u8, value: Option<u8>, revision: u64) -> Change {
    Change {
        key: format!("k{}", key % 5),
        value: value.map(|value| vec![value]),
        revision: revision.into(),
    }
}

fn changes(rows: Vec<Change>, revision: u64) -> Changes {
    Changes {
        revision: revision.into(),
        rows,
        clock: None,
    }
}

fn rows(mirror: &Mirror) -> Vec<Change> {
    mirror.since(Revision::default()).changes
}

quickcheck! {
    /// One mirror follows the table; the other receives some of the pushes and fetches the rest.
    fn copies_converge_over_lost_pushes(steps: Vec<(u8, Option<u8>, bool)>) -> bool {
        let (hub, replica) = (Mirror::default(), Mirror::default());
        hub.apply(changes(Vec::new(), 1));
        replica.apply(changes(Vec::new(), 1));
        for (revision, (key, value, lost)) in (2..).zip(steps) {
            let base = hub.revision();
            hub.apply(changes(vec![change(key, value, revision)], revision));
            if !lost {
                // Fails if an earlier push was lost.
                replica.apply_delta(hub.since(base));
            }
        }
        if !replica.advance(hub.position()) {
            replica.apply_delta(hub.since(replica.revision())).unwrap();
        }
        rows(&hub) == rows(&replica)
    }

    fn old_changes_are_ignored(steps: Vec<(u8, Option<u8>)>) -> bool {
        let mirror = Mirror::default();
        let all: Vec<Change> = (1..)
            .zip(steps)
            .map(|(revision, (key, value))| change(key, value, revision))
            .collect();
        let last = all.len() as u64;
        mirror.apply(changes(all.clone(), last));
        let before = rows(&mirror);
        let old: Vec<Change> = all.into_iter().filter(|c| c.value.is_none()).collect();
        mirror.apply(changes(old, last)).is_empty() && rows(&mirror) == before
    }
}

#[test]
fn a_read_older_than_the_mirror_is_ignored() {
    let mirror = Mirror::default();
    mirror.apply(changes(vec![change(1, Some(1), 9)], 9));
    let old = Range {
        revision: 4.into(),
        rows: vec![Row {
            key: "k1".to_owned(),
            value: vec![0],
            revision: 4.into(),
        }],
        clock: None,
    };
    assert!(mirror.replace(old).is_empty());
    assert_eq!(mirror.value("k1"), Some(vec![1]));
}

#[test]
fn a_full_read_deletes_rows_that_it_lacks() {
    let mirror = Mirror::default();
    mirror.apply(changes(
        vec![change(1, Some(1), 2), change(2, Some(1), 3)],
        3,
    ));
    let range = Range {
        revision: 8.into(),
        rows: vec![Row {
            key: "k2".to_owned(),
            value: vec![1],
            revision: 3.into(),
        }],
        clock: None,
    };
    let changes = mirror.replace(range);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].key.as_str(), &changes[0].value), ("k1", &None));
}

#[test]
fn a_delta_contains_all_rows_once_tombstones_are_dropped() {
    let mirror = Mirror::default();
    for revision in 1..2_000 {
        let value = (revision % 2 == 1).then_some(0);
        mirror.apply(changes(vec![change(1, value, revision)], revision));
    }
    assert_eq!(mirror.since(3.into()).base, None);
    assert_eq!(mirror.since(1_990.into()).base, Some(1_990.into()));
}

#[test]
fn a_delayed_push_does_not_bring_back_a_deleted_row() {
    let (hub, replica) = (Mirror::default(), Mirror::default());
    hub.apply(changes(vec![change(0, Some(0), 1)], 1));
    replica.replace(Range {
        revision: 1.into(),
        ..Range::default()
    });
    let base = hub.revision();
    hub.apply(changes(vec![change(1, Some(1), 2)], 2));
    let late = hub.since(base);
    replica.apply(changes(vec![change(1, Some(1), 2), change(1, None, 3)], 3));
    replica.apply_delta(late);
    assert_eq!(replica.value("k1"), None);
}

/// Guards against instances of a new fleet that wait for a row of others before they register: a table
/// that nobody has written to has no revision.
#[test]
fn an_empty_table_counts_as_read() {
    let mirror = Mirror::default();
    assert!(!mirror.is_read());
    mirror.replace(Range {
        revision: Revision::default(),
        rows: Vec::new(),
        clock: None,
    });
    assert!(mirror.is_read());
}

/// Load: a fleet of 300 instances starts while 3,000 endpoints register. If each instance fetched all of
/// their rows from a hub, the hub would hold a copy for each and send them for seconds.
#[test]
fn instances_do_not_fetch_the_rows_of_thousands_of_endpoints_from_a_hub() {
    let deltas_of = |endpoints: u64| {
        let hub = Mirror::default();
        let rows = (1..=endpoints).map(|number| Change {
            key: format!("servers/i-{number:010x}"),
            value: Some(vec![7; 150]),
            revision: number.into(),
        });
        hub.apply(changes(rows.collect(), endpoints));
        Deltas {
            endpoints: hub.since(Revision::default()),
            ..Deltas::default()
        }
    };
    assert!(encode_deltas(&deltas_of(3_000)).is_none());
    let few = encode_deltas(&deltas_of(100)).unwrap();
    assert!(few.len() <= MAX_DELTAS_BYTES);
}
