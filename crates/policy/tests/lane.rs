//! Size of the lane, the engines reserved for short urgent requests.

use std::time::Duration;

use policy::lane::{
    Load,
    Meter,
    size, //
};

const BLOCK_SECONDS: f32 = 0.045;

fn running(running: f32) -> Load {
    Load {
        running,
        blocks: 0.0,
    }
}

/// Guards against short requests that are slowed down by long prompts because the lane is too
/// small: hundreds of short requests a second beside tens of long prompts.
#[test]
fn lane_grows_with_running_requests() {
    let size = |load, engines| size(load, 32, BLOCK_SECONDS, engines);
    assert_eq!(size(running(0.0), 18), 2);
    assert_eq!(size(running(65.0), 18), 3);
    assert_eq!(size(running(130.0), 18), 6);
    // Half of the engines remain for long prompts at any load.
    assert_eq!(size(running(10_000.0), 18), 9);
}

/// Guards against a lane that is sized by occupied slots alone: with 183 short requests a second of
/// 380 tokens each and short answers, engines have free slots but no compute time left.
#[test]
fn lane_grows_with_prompt_blocks() {
    let load = Load {
        running: 30.0,
        blocks: 183.0 * 380.0 / 2_048.0,
    };
    assert_eq!(size(load, 32, BLOCK_SECONDS, 18), 4);
    assert_eq!(size(load, 64, BLOCK_SECONDS, 18), 4);
}

/// Guards against a lane that leaves no engine for long prompts when all engines but one are gone
/// or load weights.
#[test]
fn a_single_engine_is_not_reserved() {
    let size = |engines| size(running(100.0), 32, BLOCK_SECONDS, engines);
    assert_eq!(size(1), 0);
    assert_eq!(size(0), 0);
    assert_eq!(size(2), 1);
}

#[test]
fn running_average_follows_the_load_slowly() {
    let mut meter = Meter::default();
    let at = Duration::from_millis;
    // Sixty requests a second of 160 ms each: about ten run at the same time.
    for count in 0..60 {
        meter.record_end(at(count * 16), at(160));
    }
    assert!(meter.load(at(1_000)).running < 4.0);
    for count in 60..1_200 {
        meter.record_end(at(count * 16), at(160));
    }
    assert!((meter.load(at(19_200)).running - 10.0).abs() < 1.0);
    assert!(meter.load(at(60_000)).running < 0.1);
}

/// Guards against a lane that is too small during a burst: the request rate suddenly rises two and
/// a half times, with prompts that keep an engine busy for eight milliseconds each.
#[test]
fn a_burst_enlarges_the_lane_within_a_second() {
    let mut meter = Meter::default();
    let at = Duration::from_millis;
    let mut now = 0;
    for _ in 0..1_000 {
        now += 9;
        meter.record_arrival(at(now), 0.19);
    }
    let calm = size(meter.load(at(now)), 64, BLOCK_SECONDS, 18);
    for _ in 0..220 {
        now += 4;
        meter.record_arrival(at(now), 0.19);
    }
    let burst = size(meter.load(at(now)), 64, BLOCK_SECONDS, 18);
    assert_eq!((calm, burst), (3, 5));
    // The burst ends at once, but the load average decays slowly.
    assert!(meter.load(at(now + 600)).blocks > 20.0);
}

/// Guards against a lane that takes all remaining engines: a quarter of the engines stop answering,
/// so that requests hang there until they time out.
#[test]
fn hanging_requests_do_not_enlarge_the_lane() {
    let mut meter = Meter::default();
    let at = Duration::from_millis;
    for count in 0..1_000 {
        let hangs = count % 4 == 0;
        meter.record_end(at(count * 10), at(if hangs { 3_000 } else { 160 }));
    }
    // A hundred requests a second; with full durations the average would be about ninety.
    assert!(meter.load(at(10_000)).running < 30.0);
}
