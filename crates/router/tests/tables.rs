//! Lookup tables of the request path: catalog, fleet and members.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use platform::table::{
    Change,
    Revision, //
};
use policy::{
    share::HEARD_HORIZON,
    weights::Versions, //
};
use router::{
    catalog::{
        Catalog,
        Limits,
        Repeat,
        Route,
        Target, //
    },
    endpoints::Endpoints,
    fleet::{
        Endpoint,
        Registration, //
    },
    instance::{
        Row,
        Table, //
    },
    message::{
        Heartbeat,
        Message, //
    },
    protocol::{
        Invalid,
        OperatorRow,
        RolloutOrder,
        RolloutState,
        Rows, //
    },
    weights::Rollout, //
};

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![
            Target {
                service: "a".into(),
                weight: 90,
            },
            Target {
                service: "b".into(),
                weight: 10,
            },
        ],
        repeat: Repeat::Forbidden,
        streams: false,
        max_runs: 1,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        open: false,
    })
}

#[test]
fn route_with_longest_matching_prefix_wins() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "g", "/a/b/c/"),
    ];
    let catalog = Catalog::new(1, routes, None, Vec::new(), Vec::new(), Limits::default());
    let name = |host, path| {
        catalog
            .route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("h", "/a/b/c/d").as_deref(), Some("long"));
    assert_eq!(name("h", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("h", "/ab/"), None);
    assert_eq!(name("i", "/a/"), None);
}

#[test]
fn split_route_draws_services_by_weight() {
    let route = route("r", "h", "/");
    let drawn = (0..100)
        .filter(|&draw| &**route.service(draw) == "b")
        .count();
    assert_eq!(drawn, 10);
}

fn registration(incarnation: u64, version: u64) -> Registration {
    Registration {
        name: "e".into(),
        incarnation,
        sequence: 0,
        service: "s".into(),
        address: ADDRESS,
        domain: "d".into(),
        build: "".into(),
        slots: 1,
        leaving: false,
        weights: vec![("m".into(), version)],
    }
}

#[test]
fn weights_version_never_decreases_within_an_incarnation() {
    let endpoint = Endpoint::new(registration(1, 3));
    endpoint.set_loading(true);
    endpoint.record_version(4);
    assert!(!endpoint.is_loading());
    // The row lags behind the version learned from answers.
    let renewed = endpoint.with_registration(registration(1, 3));
    assert_eq!(renewed.version(), 4);
    // A new incarnation under the same name starts from its own row.
    assert_eq!(renewed.with_registration(registration(2, 3)).version(), 3);
}

/// Row format in which every non-empty endpoint row is a valid registration: its incarnation, its
/// sequence, and whether it is leaving.
#[derive(Debug)]
struct TestRows;

impl Rows for TestRows {
    const OPERATOR_PREFIX: &'static str = "op/";
    const ENDPOINT_PREFIX: &'static str = "e/";

    fn read_operator_row(_: &str, _: &[u8]) -> Result<OperatorRow, Invalid> {
        Ok(OperatorRow::Other)
    }

    fn read_endpoint_row(_: &str, value: &[u8]) -> Result<Registration, Invalid> {
        let number = |index| value.get(index).copied().map_or(0, u64::from);
        match value.first() {
            Some(incarnation) => Ok(Registration {
                sequence: number(1),
                leaving: number(2) > 0,
                ..registration(u64::from(*incarnation), 1)
            }),
            None => Err(Invalid("empty".to_owned())),
        }
    }

    fn rollout_status_key(service: &str) -> String {
        service.to_owned()
    }

    fn write_rollout_status(_: &RolloutOrder, _: RolloutState) -> Vec<u8> {
        Vec::new()
    }
}

fn put(value: &[u8]) -> [Change; 1] {
    [Change {
        key: "e/e".to_owned(),
        value: Some(value.to_vec()),
        revision: 1.into(),
    }]
}

fn deletion() -> [Change; 1] {
    [Change {
        key: "e/e".to_owned(),
        value: None,
        revision: 2.into(),
    }]
}

/// Guards against old weights that stay valid for too long when versions are announced within
/// seconds of each other: the term of each runs from its replacement, not from the latest
/// announcement.
#[test]
fn term_of_old_weights_starts_at_their_replacement() {
    let at = Duration::from_secs;
    let mut versions = Versions::default();
    for (version, first_seen) in [(1, 10), (2, 20), (3, 22)] {
        versions.add(version, at(first_seen));
    }
    let wanted = Rollout {
        model: "m".to_owned(),
        version: 3,
        versions,
    };
    assert_eq!(wanted.versions.superseded_at(0), Some(at(10)));
    assert_eq!(wanted.versions.superseded_at(1), Some(at(20)));
    assert_eq!(wanted.versions.superseded_at(2), Some(at(22)));
    assert_eq!(wanted.versions.superseded_at(3), None);
    // A version that no operator has announced yet is newer than all others.
    assert_eq!(wanted.versions.superseded_at(4), None);
}

#[test]
fn invalid_row_removes_the_endpoint() {
    let endpoints = Endpoints::default();
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
    assert_eq!(endpoints.fleet().all().len(), 1);
    endpoints.apply::<TestRows>(&put(b""), Duration::ZERO);
    assert!(endpoints.fleet().all().is_empty());
}

#[test]
fn endpoint_is_removed_when_its_row_is_deleted() {
    let endpoints = Endpoints::default();
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
    endpoints.apply::<TestRows>(&deletion(), Duration::from_secs(9));
    assert!(endpoints.fleet().all().is_empty());
}

/// Guards against the loss of all endpoints by an outage: rows expire while the table is
/// unreachable, and the endpoints write them again afterwards.
#[test]
fn endpoints_survive_rows_that_expired_during_an_outage() {
    let endpoints = Endpoints::default();
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
    endpoints.record_table_failure(Duration::from_secs(6));
    endpoints.record_table_answer(Duration::from_secs(10), None);
    let expired_at = Duration::from_millis(10_100);
    endpoints.apply::<TestRows>(&deletion(), expired_at);
    endpoints.expire(expired_at);
    assert_eq!(endpoints.fleet().all().len(), 1);
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::from_secs(11));
    endpoints.expire(Duration::from_secs(20));
    assert_eq!(endpoints.fleet().all().len(), 1);
}

#[test]
fn endpoints_that_do_not_reregister_after_an_outage_are_removed() {
    let endpoints = Endpoints::default();
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
    endpoints.record_table_failure(Duration::from_secs(6));
    endpoints.record_table_answer(Duration::from_secs(10), None);
    endpoints.apply::<TestRows>(&deletion(), Duration::from_millis(10_100));
    endpoints.expire(Duration::from_millis(12_300));
    assert!(endpoints.fleet().all().is_empty());
}

/// Guards against endpoints that get requests long after their rows were deleted, because the table
/// turned away another instance, which took that for an outage.
#[test]
fn a_reported_outage_keeps_no_endpoint_if_it_is_denied() {
    let now = Duration::from_secs(9);
    for denied_before in [true, false] {
        let endpoints = Endpoints::default();
        endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
        endpoints.extend_grace(now, Duration::MAX);
        endpoints.set_witnessed_end(denied_before.then_some(now));
        endpoints.apply::<TestRows>(&deletion(), now);
        assert_eq!(endpoints.fleet().all().is_empty(), denied_before);
        endpoints.set_witnessed_end(Some(now));
        endpoints.expire(now);
        assert!(endpoints.fleet().all().is_empty());
        assert_eq!(endpoints.remaining_grace(now), Duration::ZERO);
    }
}

/// Guards against the loss of all endpoints after an outage that an instance did not see, since it
/// started as the table returned, and that it denied.
#[test]
fn an_instance_that_has_just_started_denies_no_outage() {
    let started_at = Duration::from_secs(9);
    let endpoints = Endpoints::new(started_at);
    endpoints.record_table_answer(started_at, None);
    let end = endpoints.known_grace_end();
    assert!(end >= Some(started_at + Duration::from_secs(2)));
}

/// Guards against endpoints that get requests long after their rows were deleted, because an instance
/// that had relied on hubs since an outage dated its end by the next answer to itself.
#[test]
fn an_outage_has_ended_with_the_first_answer_to_a_hub() {
    let endpoints = Endpoints::default();
    endpoints.apply::<TestRows>(&put(b"\x01"), Duration::ZERO);
    endpoints.record_table_failure(Duration::from_secs(6));
    let hub_saw_table_at = Duration::from_secs(10);
    endpoints.record_table_answer(hub_saw_table_at, None);
    let hubs_ended = Duration::from_secs(20);
    endpoints.record_table_answer(hubs_ended, None);
    endpoints.apply::<TestRows>(&deletion(), hubs_ended);
    assert!(endpoints.fleet().all().is_empty());
}

fn row() -> Row {
    Row {
        callers: ADDRESS,
        peers: ADDRESS,
        exchange: ADDRESS,
        domain: "d".to_owned(),
        link_mbps: 10,
        leaving: false,
        incarnation: 1,
        written_ms: None,
    }
}

/// Guards against callers that connect to a failed instance: one that had lost power was listed to
/// callers for 6 s.
#[test]
fn silent_instance_is_not_listed() {
    let members = Table::default();
    for name in ["own", "here", "gone"] {
        members.apply_row(name, Some(row()), 1.into(), Duration::ZERO);
    }
    let now = Duration::from_secs(4);
    for name in ["own", "here"] {
        members.record_heartbeat(router::instance::name_hash(name), false, now);
    }
    let named = members.advertised("own", now);
    let names: Vec<&str> = named.iter().map(|member| &*member.name).collect();
    assert_eq!(names, ["here", "own"]);
}

/// Guards against an empty list for callers: all hubs are killed at the same time, so no heartbeats
/// arrive at all.
#[test]
fn all_instances_stay_listed_while_no_heartbeats_arrive() {
    let members = Table::default();
    for name in ["own", "one", "two"] {
        members.apply_row(name, Some(row()), 1.into(), Duration::ZERO);
    }
    assert_eq!(members.advertised("own", Duration::from_secs(30)).len(), 3);
    assert!(members.live(Duration::from_secs(30)).is_empty());
}

#[test]
fn stopping_instance_is_not_listed() {
    let members = Table::default();
    members.apply_row("one", Some(row()), 1.into(), Duration::ZERO);
    members.record_heartbeat(router::instance::name_hash("one"), true, Duration::ZERO);
    assert!(members.advertised("own", Duration::ZERO).is_empty());
    // The instance restarts under the same name.
    members.apply_row("one", Some(row()), 1.into(), Duration::from_secs(1));
    assert_eq!(members.advertised("own", Duration::from_secs(1)).len(), 1);
}

/// Guards against instances that vanish or come back by a copy of the table from some seconds before.
#[test]
fn rows_of_a_restored_table_neither_remove_nor_revive_an_instance() {
    let members = Table::default();
    let written = |written_ms| Row {
        written_ms,
        ..row()
    };
    let at = |era, number| Revision { era, number };
    let live = |now| {
        let live = members.live(now).into_iter();
        live.map(|member| member.name.to_string())
            .collect::<Vec<_>>()
    };
    for name in ["alive", "left", "new", "silent"] {
        members.apply_row(name, Some(written(Some(5))), at(0, 5), Duration::ZERO);
    }
    let leaving = Row {
        leaving: true,
        ..written(Some(9))
    };
    members.apply_row("left", Some(leaving), at(0, 9), Duration::ZERO);
    let now = Duration::from_secs(5);
    members.record_heartbeat(router::instance::name_hash("alive"), false, now);
    members.apply_row("alive", None, at(1, 7), now);
    members.apply_row("left", Some(written(Some(5))), at(1, 5), now);
    members.apply_row("silent", Some(written(Some(5))), at(1, 5), now);
    // It has started again since.
    members.apply_row("new", Some(written(Some(12))), at(1, 5), now);
    assert_eq!(live(now), ["alive", "new"]);
    // Rows of the new era count as ever.
    members.apply_row("alive", None, at(1, 8), now);
    members.apply_row("left", Some(written(Some(4))), at(1, 9), now);
    assert_eq!(live(now), ["left", "new"]);
}

/// Guards against a limit that is granted in whole while instances that are cut off spend parts of
/// it. An instance that hears nobody is itself cut off, however recent their rows are.
#[test]
fn an_owner_leaves_their_parts_to_instances_that_it_does_not_hear() {
    let members = Table::default();
    let ip = |n: u8| std::net::IpAddr::from([127, 0, 0, n]);
    let start = Duration::from_secs(100);
    for (n, name) in (0..).zip(["own", "cut", "hub", "left"]) {
        let exchange = SocketAddr::new(ip(n), 9);
        members.apply_row(name, Some(Row { exchange, ..row() }), 1.into(), start);
    }
    assert_eq!(members.heard_fraction("own", start), 0.25);
    assert!(members.record_contact(ip(2), start));
    assert_eq!(members.heard_fraction("own", start), 1.0);
    members.record_heartbeat(router::instance::name_hash("left"), true, start);
    let now = start + HEARD_HORIZON + Duration::from_millis(1);
    assert!(members.record_contact(ip(2), now));
    assert_eq!(members.heard_fraction("own", now), 2.0 / 3.0);
    assert!(!members.record_contact(ip(9), now));
    // After so long the others have stopped.
    assert_eq!(members.heard_fraction("own", start * 2), 1.0);
}

#[test]
fn membership_of_an_instance_that_has_just_started_is_stable_since_then() {
    let members = Table::default();
    let started = Duration::from_secs(5_000);
    assert_eq!(members.stable_since(started), started);
    assert_eq!(members.stable_since(started * 2), started);
}

/// Guards against owners of limits that each take themselves for the first new one in a window while
/// instances are stopped in turn.
#[test]
fn membership_is_calm_again_a_window_after_the_last_but_one_change() {
    const WINDOW: Duration = Duration::from_secs(8);
    let second = Duration::from_secs;
    let members = Table::default();
    // It is not known what was before the start.
    assert!(!members.is_calm(WINDOW, second(1)));
    assert!(members.is_calm(WINDOW, second(9)));
    members.apply_row("a", Some(row()), 1.into(), second(20));
    assert!(members.is_calm(WINDOW, second(20)));
    members.apply_row("b", Some(row()), 2.into(), second(21));
    assert!(!members.is_calm(WINDOW, second(21)));
}

#[test]
fn membership_is_stable_since_its_last_change() {
    let members = Table::default();
    members.apply_row("one", Some(row()), 1.into(), Duration::ZERO);
    assert_eq!(
        members.stable_since(Duration::from_secs(1)),
        Duration::from_secs(1)
    );
    assert_eq!(
        members.stable_since(Duration::from_secs(2)),
        Duration::from_secs(1)
    );
    members.apply_row("two", Some(row()), 1.into(), Duration::from_secs(2));
    assert_eq!(
        members.stable_since(Duration::from_secs(3)),
        Duration::from_secs(3)
    );
}

/// The bytes with which each datagram of this format begins.
fn magic() -> Vec<u8> {
    let heartbeat = Heartbeat {
        name: String::new(),
        leaving: false,
    };
    let mut datagram = Message::Heartbeat(heartbeat).encode().unwrap_or_default();
    datagram.truncate(4);
    datagram
}

quickcheck::quickcheck! {
    fn arbitrary_datagrams_never_panic(bytes: Vec<u8>, has_prefix: bool) -> bool {
        let mut datagram = if has_prefix { magic() } else { Vec::new() };
        datagram.extend(bytes);
        Message::decode(&datagram).is_err() || has_prefix
    }

    fn datagrams_of_other_formats_are_rejected(bytes: Vec<u8>, flipped: u8) -> bool {
        let mut datagram = magic();
        datagram[usize::from(flipped % 4)] ^= 1;
        datagram.extend(bytes);
        Message::decode(&datagram).is_err()
    }

    fn datagrams_round_trip(name: String, leaving: bool) -> bool {
        let message = Message::Heartbeat(Heartbeat { name, leaving });
        match message.encode() {
            Some(bytes) => Message::decode(&bytes) == Ok(message),
            None => true,
        }
    }
}
