//! Pauses of endpoints that reject requests for want of room.

use std::time::Duration;

use policy::rejection::Rejections;

fn pause_ms(rejections: &Rejections, now: u64) -> u128 {
    rejections.remaining(now).as_millis()
}

/// Guards against one burst of rejections that counts as many: an engine that begins to load rejects
/// all that it has queued at once.
#[test]
fn rejections_of_requests_on_their_way_count_once() {
    let mut rejections = Rejections::default();
    rejections.record(1_000, 900);
    let first = pause_ms(&rejections, 1_000);
    for sent_at in 900..990 {
        rejections.record(1_010, sent_at);
    }
    assert_eq!(pause_ms(&rejections, 1_000), first);
    // One that was sent after the pause lengthens it.
    rejections.record(1_200, 1_150);
    assert!(pause_ms(&rejections, 1_200) > first);
}

/// Guards against all instances that return at once when the pause of a full endpoint ends.
#[test]
fn one_request_per_pause_is_sent_until_one_is_taken() {
    let mut rejections = Rejections::default();
    rejections.record(1_000, 990);
    let end = 1_000 + rejections.remaining(1_000).as_millis() as u64;
    assert!(rejections.remaining(end).is_zero());
    rejections.record_sent(end);
    assert!(!rejections.remaining(end + 1).is_zero());
    // An answer to a request that was sent before the rejection does not show room.
    rejections.record_success(950);
    assert!(!rejections.remaining(end + 1).is_zero());
    rejections.record_success(end);
    assert!(rejections.remaining(end + 1).is_zero());
    rejections.record_sent(end + 1);
    assert!(rejections.remaining(end + 1).is_zero());
}

/// Guards against an engine that stays idle for seconds after it has loaded.
#[test]
fn the_pause_grows_to_less_than_a_second() {
    let mut rejections = Rejections::default();
    let mut now = 1_000;
    for _ in 0..50 {
        rejections.record(now, now);
        now += rejections.remaining(now).as_millis() as u64;
    }
    rejections.record(now, now);
    assert!(rejections.remaining(now) < Duration::from_secs(1));
}

/// An engine that rejects at once has nothing queued and looks the least loaded of all. Guards against
/// it drawing most requests of the others. Without the pauses it draws all of them.
#[test]
fn an_engine_that_rejects_at_once_does_not_draw_the_load() {
    const ENGINES: usize = 10;
    let mut queued = [0_u32; ENGINES];
    let mut rejections = [Rejections::default(); ENGINES];
    let mut rejected = 0;
    for now in 1_000..2_000_u64 {
        let open = (0..ENGINES).filter(|&e| rejections[e].remaining(now).is_zero());
        let Some(engine) = open.min_by_key(|&e| queued[e]) else {
            continue;
        };
        rejections[engine].record_sent(now);
        if engine == 0 {
            rejected += 1;
            rejections[engine].record(now, now);
        } else {
            queued[engine] += 1;
        }
    }
    assert!(rejected <= 5, "{rejected} of 1,000 rejected");
}
