//! Tests of the paths to the endpoints of one service.

use std::time::Duration;

use policy::path::{
    Paths,
    Peer,
    Route,
    rank_peers, //
};

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against an instance that goes on to try each endpoint anew although several were proven
/// to be cut from it.
#[test]
fn two_proofs_without_a_direct_connection_since_cut_the_service() {
    let mut paths = Paths::default();
    paths.record_direct(1, seconds(1));
    assert!(paths.record_relayed(2, seconds(2)));
    assert!(!paths.record_relayed(2, seconds(3)));
    assert_eq!(paths.route(2, seconds(3)), Route::Relayed);
    assert_eq!(paths.route(3, seconds(3)), Route::Direct);
    paths.record_relayed(1, seconds(3));
    assert_eq!(paths.route(3, seconds(3)), Route::Relayed);
    assert!(!paths.record_direct(3, seconds(4)));
    assert_eq!(paths.route(3, seconds(4)), Route::Direct);
    assert_eq!(paths.route(2, seconds(4)), Route::Relayed);
    assert!(paths.record_direct(2, seconds(5)));
    assert_eq!(paths.route(2, seconds(5)), Route::Direct);
}

/// Guards against requests that each wait for time-outs while nobody reaches the service, and against
/// an endpoint that is avoided for long after one failure in a service that is reached.
#[test]
fn an_endpoint_that_nobody_reaches_is_tried_after_a_second_or_once_another_is_reached() {
    let mut paths = Paths::default();
    paths.record_unreachable(1, seconds(1));
    assert_eq!(paths.route(1, seconds(60)), Route::Unreachable);
    assert_eq!(paths.route(2, seconds(60)), Route::Direct);
    paths.record_direct(2, seconds(60));
    assert_eq!(paths.route(1, seconds(60)), Route::Direct);
    paths.record_unreachable(1, seconds(61));
    paths.record_direct(2, seconds(61));
    assert_eq!(paths.route(1, seconds(61)), Route::Unreachable);
    assert_eq!(paths.route(1, seconds(62)), Route::Direct);
    paths.forget(1);
    assert_eq!(paths.failed().count(), 0);
}

fn peers(near: usize, far: usize) -> Vec<Peer<'static>> {
    const NAMES: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let peer = |index: usize| Peer {
        name: NAMES[index],
        is_near: index < near,
        is_avoided: false,
    };
    (0..near + far).map(peer).collect()
}

/// Guards against a failure domain that is cut as a whole, whose instances ask only each other.
#[test]
fn peers_of_other_domains_follow_some_of_the_own_one() {
    let mut peers = peers(8, 2);
    for seed in 0..100 {
        let ranked = rank_peers(&peers, seed);
        assert_eq!(ranked.len(), 8);
        assert!(ranked[..3].iter().all(|index| peers[*index].is_near));
    }
    for peer in &mut peers[..8] {
        peer.is_avoided = true;
    }
    let mut first = rank_peers(&peers, 1);
    first.truncate(2);
    first.sort_unstable();
    assert_eq!(first, [8, 9]);
}

/// Guards against one instance that all cut ones ask first.
#[test]
fn connections_spread_over_the_peers() {
    let peers = peers(0, 5);
    let mut counts = [0; 5];
    for seed in 0..1_000 {
        counts[rank_peers(&peers, seed)[0]] += 1;
    }
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}
