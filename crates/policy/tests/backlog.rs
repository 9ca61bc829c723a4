//! Outstanding work that one instance has placed on behalf of all instances.

use policy::{
    backlog::{
        Backlog,
        Queue,
        Work, //
    },
    pace::Pace, //
};

const PACE: Pace = Pace {
    base: 0.0,
    block: 0.05,
    fetch: 0.01,
};

fn work(rank: u8, computed: f32, fetched: f32) -> Work {
    Work {
        rank,
        computed,
        fetched,
    }
}

/// Blocks that the engine could compute in the time that the queue takes.
fn remaining_blocks(queue: &mut Queue, now: u64) -> f32 {
    queue.remaining(now, &PACE, 1) / PACE.block
}

#[test]
fn a_link_backlog_shrinks_with_time() {
    let mut link = Backlog::default();
    link.add(1_000, 0.4);
    link.add(1_100, 0.2);
    assert!((link.remaining(1_100) - 0.5).abs() < 1e-3);
    assert!((link.remaining(1_500) - 0.1).abs() < 1e-3);
    assert!(link.remaining(3_000) < 1e-6);
}

/// Guards against a queue that looks shorter than it is when an engine takes half as long again as
/// estimated.
#[test]
fn only_the_head_of_a_queue_shrinks_with_time() {
    let mut queue = Queue::default();
    for ticket in 0..4 {
        queue.push(0, ticket, work(1, 8.0, 0.0));
    }
    // Four times eight blocks should take 1.6 s.
    assert!((remaining_blocks(&mut queue, 1_600) - 24.0).abs() < 1e-3);
    queue.remove(1_600, 0);
    assert!((remaining_blocks(&mut queue, 1_600) - 24.0).abs() < 1e-3);
    assert!((remaining_blocks(&mut queue, 1_700) - 22.0).abs() < 1e-3);
}

/// Guards against work that is still counted after its caller gave up on a long queue.
#[test]
fn abandoned_requests_leave_the_queue() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(1, 10.0, 0.0));
    queue.push(0, 2, work(1, 10.0, 0.0));
    queue.push(0, 3, work(1, 10.0, 0.0));
    queue.remove(100, 2);
    queue.remove(100, 2);
    assert!((remaining_blocks(&mut queue, 100) - 18.0).abs() < 1e-3);
}

/// Guards against a queue that never becomes empty when the report of a request's end is lost.
#[test]
fn requests_without_a_report_expire() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(1, 10.0, 0.0));
    queue.push(3_000, 2, work(1, 10.0, 0.0));
    assert!((remaining_blocks(&mut queue, 4_100) - 10.0).abs() < 1e-3);
    assert!(remaining_blocks(&mut queue, 8_000).abs() < 1e-6);
}

/// Fetched blocks take the time of the link, and count while the engine waits for them.
#[test]
fn fetched_blocks_count_with_the_pace_of_the_link() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(1, 2.0, 10.0));
    queue.push(0, 2, work(1, 2.0, 0.0));
    assert!((queue.remaining(0, &PACE, 1) - 0.3).abs() < 1e-3);
    let sample = queue.begin(250, 1).unwrap();
    assert!(sample.was_idle && (sample.seconds - 0.25).abs() < 1e-3);
    // The second one was behind the first.
    let sample = queue.begin(350, 2).unwrap();
    assert!(!sample.was_idle && (sample.seconds - 0.1).abs() < 1e-3);
    assert_eq!(queue.begin(400, 2), None);
}

/// An answer that begins before one that was placed earlier says nothing about the pace.
#[test]
fn overtaking_gives_no_sample() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(1, 10.0, 0.0));
    queue.push(0, 2, work(1, 1.0, 0.0));
    assert_eq!(queue.begin(100, 2), None);
    assert!(queue.begin(600, 1).is_some());
}

/// Guards against urgent requests that are refused for work which the engine does after them: long,
/// less urgent prompts that come in a burst.
#[test]
fn only_the_piece_being_computed_stands_before_a_more_urgent_request() {
    let mut queue = Queue::default();
    for ticket in 0..20 {
        queue.push(0, ticket, work(2, 8.0, 0.0));
    }
    let piece = queue.remaining(0, &PACE, 0);
    assert!((piece - 0.1).abs() < 1e-3, "{piece}");
    queue.push(0, 20, work(0, 0.2, 0.0));
    assert!(queue.remaining(0, &PACE, 0) <= piece);
    // The less urgent ones wait for all.
    assert!((queue.remaining(0, &PACE, 2) - 8.01).abs() < 1e-3);
}

/// Guards against urgent requests that are placed behind each other without bound.
#[test]
fn equally_urgent_requests_stand_before_a_new_one() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(2, 8.0, 0.0));
    for ticket in 2..12 {
        queue.push(0, ticket, work(0, 1.0, 0.0));
    }
    assert!((queue.remaining(0, &PACE, 0) - 0.5).abs() < 1e-3);
}

/// Guards against a pace that looks slower because more urgent requests came between.
#[test]
fn a_request_that_was_overtaken_gives_no_sample() {
    let mut queue = Queue::default();
    queue.push(0, 1, work(2, 10.0, 0.0));
    queue.push(10, 2, work(0, 1.0, 0.0));
    assert_eq!(queue.begin(100, 2), None);
    assert_eq!(queue.begin(600, 1), None);
    queue.push(700, 3, work(2, 1.0, 0.0));
    assert!(queue.begin(800, 3).is_some());
}
