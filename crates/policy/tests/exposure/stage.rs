//! Stages of a rollout when the decider is late, and the endpoints in use.

use std::time::Duration;

use policy::exposure::{
    Progress,
    Stage,
    Verdict,
    endpoints,
    first_endpoint, //
};
use quickcheck::quickcheck;

const DURATION: Duration = Duration::from_secs(100);

fn progress(verdict: Verdict, elapsed: u64, in_stage: u64) -> Progress {
    Progress {
        verdict,
        elapsed: Duration::from_secs(elapsed),
        in_stage: Duration::from_secs(in_stage),
        duration: DURATION,
        is_current: true,
        is_served: true,
    }
}

/// Stages with the seconds at which they begin, if the decider acts from `start` on.
fn stages(verdict: Verdict, start: u64) -> Vec<(u64, Stage)> {
    let mut stages = vec![(0, Stage::Sample)];
    for now in start..120 {
        let (since, stage) = stages[stages.len() - 1];
        let next = stage.next(&progress(verdict, now, now - since));
        if next != stage {
            stages.push((now, next));
        }
    }
    stages
}

/// Guards against a good version that is late, and against a shift during which a version that turns
/// bad gets more than its bound: at constant demand, all stages together send it less.
#[test]
fn a_good_version_is_done_in_time_and_within_the_bound_until_then() {
    for verdict in [Verdict::Good, Verdict::Unknown] {
        let stages = stages(verdict, 0);
        let exposed = stages
            .windows(2)
            .map(|pair| (pair[1].0 - pair[0].0) as f64 * pair[0].1.share(0.1));
        assert!(exposed.sum::<f64>() <= 100.0 * 0.1, "{stages:?}");
        let (done_at, last) = stages[stages.len() - 1];
        assert_eq!((last, stages.len()), (Stage::Done, 5));
        assert!(done_at < 80);
    }
}

/// Guards against a decider that makes up for lost time without judging any step.
#[test]
fn a_late_decider_takes_each_step_and_still_ends_in_time() {
    let stages = stages(Verdict::Unknown, 85);
    assert_eq!(stages.len(), 5);
    assert!(
        stages
            .windows(2)
            .skip(1)
            .all(|pair| pair[1].0 >= pair[0].0 + 4)
    );
    assert!(stages[4].0 < 100);
}

/// Guards against an advance on evidence that lacks the responses of most instances, and against old
/// endpoints that stop although no new one serves.
#[test]
fn without_evidence_or_endpoints_no_stage_advances_and_the_order_ends_rolled_back() {
    for (is_current, is_served) in [(false, true), (true, false)] {
        let next = |stage: Stage, elapsed| {
            stage.next(&Progress {
                is_current,
                is_served,
                ..progress(Verdict::Good, elapsed, elapsed)
            })
        };
        let shift = Stage::Shift { step: 1 };
        assert_eq!(next(Stage::Sample, 75), Stage::Sample);
        assert_eq!(next(shift, 90), shift);
        assert_eq!(next(shift, 97), Stage::RolledBack);
        assert_eq!(next(Stage::Done, 97), Stage::Done);
    }
}

quickcheck! {
    /// Guards against a version that comes back in the order in which it was rolled back.
    fn a_bad_version_is_rolled_back_for_good(step: u8, elapsed: u8, later: Vec<(bool, u8)>) -> bool {
        let bad = progress(Verdict::Bad, elapsed.into(), 0);
        let stages = [Stage::Sample, Stage::Shift { step }].map(|stage| stage.next(&bad));
        stages.into_iter().all(|stage| {
            let last = later.iter().fold(stage, |stage, (is_good, elapsed)| {
                let verdict = if *is_good { Verdict::Good } else { Verdict::Unknown };
                stage.next(&progress(verdict, u64::from(*elapsed), u64::from(*elapsed)))
            });
            last == Stage::RolledBack && last.share(0.1) == 0.0
        })
    }

    /// Guards against endpoints of the new version that get far more load than old ones, and against
    /// a position beyond the last one.
    fn endpoints_in_use_get_about_the_load_of_old_ones(old: u8, new: u8, percent: u8, at: u8) -> bool {
        let (old, new) = (usize::from(old) + 1, usize::from(new));
        let share = f64::from(percent % 100) / 100.0;
        let count = endpoints(share, old, new);
        let load = share / count as f64 / ((1.0 - share) / old as f64);
        let is_fair = count == new || (load <= 1.31 && (count == 1 || load >= 0.5));
        let first = first_endpoint(Duration::from_secs(at.into()), DURATION, count, new);
        is_fair && count <= new && (first < new || new == 0)
    }
}

/// Guards against a sample of a few slow or fast endpoints only.
#[test]
fn all_endpoints_are_used_in_turn() {
    let first = |seconds| first_endpoint(Duration::from_secs(seconds), DURATION, 2, 6);
    let starts: Vec<usize> = (0..20).step_by(5).map(first).collect();
    assert_eq!(starts, [0, 2, 4, 0]);
    assert_eq!(endpoints(0.054, 40, 40), 2);
    assert_eq!(endpoints(0.054, 3, 3), 1);
    assert_eq!(endpoints(1.0, 40, 38), 38);
}
