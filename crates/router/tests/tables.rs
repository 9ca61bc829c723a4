//! Catalog, fleet and members: what is looked up on the way of each request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use platform::table::Change;
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
    node::Rollout,
    protocol::{
        Invalid,
        Operator,
        Rows, //
    }, //
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
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "g", "/a/b/c/"),
    ];
    let catalog = Catalog::new(1, routes, Vec::new(), Vec::new(), Limits::default());
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
fn a_split_route_draws_by_weight() {
    let route = route("r", "h", "/");
    let drawn = (0..100)
        .filter(|&dice| &**route.service(dice) == "b")
        .count();
    assert_eq!(drawn, 10);
}

fn registration(incarnation: u64, version: u64) -> Registration {
    Registration {
        name: "e".into(),
        incarnation,
        service: "s".into(),
        address: ADDRESS,
        domain: "d".into(),
        slots: 1,
        leaving: false,
        weights: vec![("m".into(), version)],
    }
}

#[test]
fn versions_of_one_life_never_go_back() {
    let endpoint = Endpoint::new(registration(1, 3));
    endpoint.set_loading(true);
    endpoint.record_version(4);
    assert!(!endpoint.is_loading());
    // The row lags behind what answers have told.
    let renewed = endpoint.with_registration(registration(1, 3));
    assert_eq!(renewed.version(), 4);
    // Another life under the same name knows nothing of before.
    assert_eq!(renewed.with_registration(registration(2, 3)).version(), 3);
}

/// Rows that hold a registration if they are not empty.
#[derive(Debug)]
struct Plain;

impl Rows for Plain {
    const OPERATOR: &'static str = "op/";
    const ENDPOINTS: &'static str = "e/";

    fn operator(_: &str, _: &[u8]) -> Result<Operator, Invalid> {
        Ok(Operator::Other)
    }

    fn endpoint(_: &str, value: &[u8]) -> Result<Registration, Invalid> {
        match value.first() {
            Some(incarnation) => Ok(registration(u64::from(*incarnation), 1)),
            None => Err(Invalid("empty".to_owned())),
        }
    }
}

fn put(value: &[u8]) -> [Change; 1] {
    [Change {
        key: "e/e".to_owned(),
        value: Some(value.to_vec()),
        revision: 1,
    }]
}

fn gone() -> [Change; 1] {
    [Change {
        key: "e/e".to_owned(),
        value: None,
        revision: 2,
    }]
}

/// Pattern: versions are named within seconds; the term of each runs from when it was replaced, not
/// from the newest naming.
#[test]
fn weights_age_from_the_naming_that_replaced_them() {
    let at = Duration::from_secs;
    let wanted = Rollout {
        model: "m".to_owned(),
        version: 3,
        versions: vec![(1, at(10)), (2, at(20)), (3, at(22))],
        is_dated: true,
    };
    assert_eq!(wanted.superseded_at(0), Some(at(10)));
    assert_eq!(wanted.superseded_at(1), Some(at(20)));
    assert_eq!(wanted.superseded_at(2), Some(at(22)));
    assert_eq!(wanted.superseded_at(3), None);
    // A version that no operator named yet is newer than all.
    assert_eq!(wanted.superseded_at(4), None);
}

#[test]
fn a_row_that_does_not_read_names_no_endpoint() {
    let endpoints = Endpoints::default();
    endpoints.apply::<Plain>(&put(b"\x01"), Duration::ZERO);
    assert_eq!(endpoints.fleet().all().len(), 1);
    endpoints.apply::<Plain>(&put(b""), Duration::ZERO);
    assert!(endpoints.fleet().all().is_empty());
}

#[test]
fn an_endpoint_whose_row_is_gone_gets_no_more_work() {
    let endpoints = Endpoints::default();
    endpoints.apply::<Plain>(&put(b"\x01"), Duration::ZERO);
    endpoints.apply::<Plain>(&gone(), Duration::from_secs(9));
    assert!(endpoints.fleet().all().is_empty());
}

/// Pattern: rows lapse while the table is away, and their endpoints write them anew.
#[test]
fn rows_that_lapsed_in_an_outage_may_come_back() {
    let endpoints = Endpoints::default();
    endpoints.apply::<Plain>(&put(b"\x01"), Duration::ZERO);
    endpoints.table_lost();
    endpoints.table_recovered(Duration::from_secs(10));
    let back = Duration::from_millis(10_100);
    endpoints.apply::<Plain>(&gone(), back);
    endpoints.expire(back);
    assert_eq!(endpoints.fleet().all().len(), 1);
    endpoints.apply::<Plain>(&put(b"\x01"), Duration::from_secs(11));
    endpoints.expire(Duration::from_secs(20));
    assert_eq!(endpoints.fleet().all().len(), 1);
}

#[test]
fn rows_that_do_not_come_back_after_an_outage_are_gone() {
    let endpoints = Endpoints::default();
    endpoints.apply::<Plain>(&put(b"\x01"), Duration::ZERO);
    endpoints.table_lost();
    endpoints.table_recovered(Duration::from_secs(10));
    endpoints.apply::<Plain>(&gone(), Duration::from_millis(10_100));
    endpoints.expire(Duration::from_millis(12_300));
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
    }
}

/// Found by a hunt: an instance without power was named to callers for 6 s.
#[test]
fn an_instance_that_is_silent_is_not_named() {
    let members = Table::default();
    for name in ["own", "here", "gone"] {
        members.apply_row(name, Some(row()), Duration::ZERO);
    }
    let now = Duration::from_secs(4);
    for name in ["own", "here"] {
        members.record_heartbeat(router::instance::name_hash(name), false, now);
    }
    let named = members.advertised("own", now);
    let names: Vec<&str> = named.iter().map(|member| &*member.name).collect();
    assert_eq!(names, ["here", "own"]);
}

/// Pattern: all hubs are killed at the same moment.
#[test]
fn no_instance_is_taken_for_gone_while_none_is_heard() {
    let members = Table::default();
    for name in ["own", "one", "two"] {
        members.apply_row(name, Some(row()), Duration::ZERO);
    }
    assert_eq!(members.advertised("own", Duration::from_secs(30)).len(), 3);
    assert!(members.live(Duration::from_secs(30)).is_empty());
}

#[test]
fn an_instance_that_is_stopping_is_not_named() {
    let members = Table::default();
    members.apply_row("one", Some(row()), Duration::ZERO);
    members.record_heartbeat(router::instance::name_hash("one"), true, Duration::ZERO);
    assert!(members.advertised("own", Duration::ZERO).is_empty());
    // It starts again under its name.
    members.apply_row("one", Some(row()), Duration::from_secs(1));
    assert_eq!(members.advertised("own", Duration::from_secs(1)).len(), 1);
}

#[test]
fn a_change_of_the_members_is_dated() {
    let members = Table::default();
    members.apply_row("one", Some(row()), Duration::ZERO);
    assert_eq!(
        members.stable_since(Duration::from_secs(1)),
        Duration::from_secs(1)
    );
    assert_eq!(
        members.stable_since(Duration::from_secs(2)),
        Duration::from_secs(1)
    );
    members.apply_row("two", Some(row()), Duration::from_secs(2));
    assert_eq!(
        members.stable_since(Duration::from_secs(3)),
        Duration::from_secs(3)
    );
}

quickcheck::quickcheck! {
    fn datagrams_of_others_never_end_the_process(bytes: Vec<u8>, ours: bool) -> bool {
        let mut datagram = if ours { b"dmk1".to_vec() } else { Vec::new() };
        datagram.extend(bytes);
        Message::decode(&datagram).is_err() || ours
    }

    fn datagrams_read_as_they_were_written(name: String, leaving: bool) -> bool {
        let message = Message::Heartbeat(Heartbeat { name, leaving });
        match message.encode() {
            Some(bytes) => Message::decode(&bytes) == Ok(message),
            None => true,
        }
    }
}
