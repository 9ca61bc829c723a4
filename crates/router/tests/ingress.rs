//! Bounds for what callers may take.

use std::{
    sync::Arc,
    time::Duration, //
};

use router::ingress::{
    Account,
    Bounds,
    Closure,
    Connections,
    Machine, //
};

const KIB: usize = 1 << 10;

/// Guards against memory that is never given back, and against a budget that is exceeded.
#[test]
fn holds_stay_within_the_budget_and_release_what_they_hold() {
    let account = Arc::new(Account::new(400 * KIB));
    let (mut first, mut second) = (account.hold(), account.hold());
    assert!(first.try_set(200 * KIB));
    assert!(!second.try_set(101 * KIB));
    assert!(second.try_set(100 * KIB));
    assert_eq!(account.held(), 300 * KIB);
    assert!(first.try_set(10 * KIB));
    assert_eq!(account.held(), 110 * KIB);
    drop(first);
    drop(second);
    assert_eq!(account.held(), 0);
}

/// Guards against large bodies that leave nothing for small ones.
#[test]
fn large_bodies_leave_a_part_of_the_budget_to_small_ones() {
    let account = Arc::new(Account::new(400 * KIB));
    let (mut large, mut small, mut next) = (account.hold(), account.hold(), account.hold());
    assert!(large.try_set(300 * KIB));
    assert!(small.try_set(64 * KIB));
    assert!(!next.try_set(65 * KIB));
    assert!(next.try_set(36 * KIB));
    assert!(!account.hold().try_set(1));
}

/// Guards against a body within the limits that is never served because the budget is smaller.
#[test]
fn a_single_body_is_taken_however_small_the_budget_is() {
    let account = Arc::new(Account::new(KIB));
    let mut only = account.hold();
    assert!(only.try_set(10 * KIB) && only.try_set(20 * KIB));
    assert!(!account.hold().try_set(1));
}

/// Guards against connections that are closed although their request was read whole, and against
/// new ones that are refused while others are idle.
#[test]
fn the_longest_idle_connection_makes_room_and_none_with_a_whole_request() {
    let connections = Arc::new(Connections::default());
    let admit = || connections.admit(2);
    let (whole, none) = admit().unwrap();
    assert_eq!(none, None);
    whole.connection.begin(true);
    let (_idle, _) = admit().unwrap();
    let (unfinished, closure) = admit().unwrap();
    assert_eq!(closure, Some(Closure::Evicted));
    unfinished.connection.begin(false);
    // The idle one is still closing, and closes only once.
    assert_eq!(admit().unwrap_err(), Closure::Unaccepted);
    drop(unfinished);
    let (last, _) = connections.admit(3).unwrap();
    last.connection.begin(true);
    assert_eq!(connections.admit(3).unwrap_err(), Closure::Unaccepted);
}

/// Guards against a configuration with larger heads, and so fewer connections, under which no new
/// connection is admitted for as long as idle ones stay.
#[test]
fn new_connections_are_admitted_after_the_bound_is_lowered() {
    let connections = Arc::new(Connections::default());
    let idle: Vec<_> = (0..40).map(|_| connections.admit(40).unwrap()).collect();
    assert!(idle.iter().all(|(_, closure)| closure.is_none()));
    let admitted = connections.admit(20).map(|(_, closure)| closure);
    assert_eq!(admitted, Ok(Some(Closure::Evicted)));
}

/// Guards against many connections at once beyond the former bound.
#[test]
fn a_share_of_a_lowered_bound_closes_at_a_time() {
    let connections = Arc::new(Connections::default());
    let mut idle: Vec<_> = (0..40).map(|_| connections.admit(40).unwrap()).collect();
    let admit = || connections.admit(16);
    let _admitted: Vec<_> = (0..2).map(|_| admit().unwrap()).collect();
    assert_eq!(admit().unwrap_err(), Closure::Unaccepted);
    // The first ones have been idle longest.
    idle.remove(0);
    assert!(admit().is_ok());
}

/// Guards against unfinished requests that stay, and against idle or running ones that are cut.
#[test]
fn connections_beyond_their_times_are_cut() {
    let connections = Arc::new(Connections::default());
    let slots: Vec<_> = (0..5).map(|_| connections.admit(9).unwrap().0).collect();
    slots[0].connection.record_read(b"\r\n\r\n");
    slots[1].connection.record_read(b"\r\nG");
    slots[2].connection.begin(false);
    slots[3].connection.begin(true);
    slots[4].connection.begin(true);
    slots[4].connection.record_write(true);
    let bounds = Bounds {
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
        ..Bounds::default()
    };
    assert_eq!(connections.sweep(&Bounds::default()), []);
    let cut = [
        Closure::HeadTimeout,
        Closure::BodyStalled,
        Closure::AnswerUnread,
    ];
    assert_eq!(connections.sweep(&bounds), cut);
    assert_eq!(connections.sweep(&bounds), []);
}

/// Guards against bounds that together exceed the smallest and the largest machine.
#[test]
fn the_bounds_fit_the_machine() {
    for (memory_mb, descriptors) in [(120.0, 3_075.0), (260.0, 5_000.0), (512.0, 10_250.0)] {
        let machine = Machine::new(Some(memory_mb), Some(descriptors));
        let head_bytes = 17 * KIB;
        let callers = machine.caller_connections(head_bytes);
        let taken = machine.body_bytes() + machine.answer_bytes() + callers * head_bytes;
        assert!(taken < machine.memory - 40_000_000, "{machine:?}: {taken}");
        let connections = callers
            + machine.peer_connections()
            + machine.directory_connections()
            + machine.probe_connections();
        assert!(connections + 200 < machine.descriptors, "{machine:?}");
        assert!(callers >= 256 && machine.body_bytes() >= 16 << 20);
    }
}
