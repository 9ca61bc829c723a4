//! Builds of a service, and which of them may have begun a stream that a caller takes up.

use std::{
    sync::Arc,
    time::Duration, //
};

use policy::build::{
    History,
    Sighting, //
};
use quickcheck::quickcheck;

const HORIZON: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn names(builds: &[&str]) -> Vec<Arc<str>> {
    builds.iter().map(|build| Arc::from(*build)).collect()
}

fn recorded(builds: &[(&str, Option<u64>)]) -> History {
    let sightings = builds.iter().map(|(build, gone_at)| Sighting {
        build: Arc::from(*build),
        gone_at: gone_at.map(at),
    });
    History::new(sightings.collect())
}

/// Guards against a stream that goes on at the only build that is left: an instance that starts finds
/// the build whose endpoints have left a moment before.
#[test]
fn a_build_that_has_left_may_have_begun_a_stream_until_the_horizon() {
    let before = recorded(&[("v1", None)]);
    let after = before.update(&names(&["v2"]), at(100), HORIZON);
    assert_eq!(after, recorded(&[("v1", Some(100)), ("v2", None)]));
    assert_eq!(after.sole(), None);
    let later = after.update(&names(&["v2"]), at(130), HORIZON);
    assert_eq!(later.sole(), None);
    let last = later.update(&names(&["v2"]), at(131), HORIZON);
    assert_eq!(last.sole().map(|build| &**build), Some("v2"));
}

#[test]
fn only_builds_with_endpoints_are_recorded() {
    let history = recorded(&[("v1", Some(5)), ("v2", None)]);
    assert!(!history.is_recorded("v1"));
    assert!(history.is_recorded("v2"));
    assert!(!history.is_recorded("v3"));
}

/// Guards against a build that is never forgotten: the clock of a restored table starts again.
#[test]
fn a_time_after_the_present_counts_from_now_on() {
    let history = recorded(&[("v1", Some(500)), ("v2", None)]);
    let restarted = history.update(&names(&["v2"]), at(3), HORIZON);
    assert_eq!(restarted, recorded(&[("v1", Some(3)), ("v2", None)]));
}

/// Guards against a build that is lost with a table that was restored from an older copy.
#[test]
fn a_merge_keeps_what_either_history_has() {
    let known = recorded(&[("v1", Some(20)), ("v2", None)]);
    let copy = recorded(&[("v1", None)]);
    let merged = known.merge(&copy);
    assert_eq!(merged, recorded(&[("v1", None), ("v2", None)]));
    let older = recorded(&[("v1", Some(10))]);
    let merged = known.merge(&older);
    assert_eq!(merged, known);
}

quickcheck! {
    /// Guards against a build that is taken for the only one while another may have begun a stream:
    /// endpoints of up to four builds come and go, and the history is updated each second.
    fn a_sole_build_is_the_only_one_within_the_horizon(steps: Vec<u8>) -> bool {
        let all = names(&["v1", "v2", "v3", "v4"]);
        let mut history = History::default();
        let mut present: Vec<(u64, Arc<str>)> = Vec::new();
        (1_u64..).zip(steps).all(|(second, registered)| {
            let builds = (0..4).filter(|bit| registered & 1 << bit > 0);
            let builds: Vec<Arc<str>> = builds.map(|bit| all[bit].clone()).collect();
            present.extend(builds.iter().map(|build| (second, build.clone())));
            history = history.update(&builds, at(second), HORIZON);
            let recent = present.iter().filter(|(seen, _)| second - seen < HORIZON.as_secs());
            let mut recent: Vec<&Arc<str>> = recent.map(|(_, build)| build).collect();
            recent.sort();
            recent.dedup();
            history.sole().is_none_or(|sole| recent.iter().all(|build| *build == sole))
        })
    }
}
