//! One message of each kind, with a value in each field.

use std::net::SocketAddr;

use platform::table::{
    Change,
    Revision, //
};
use router::{
    instance::Row,
    message::{
        BrittleService,
        Crash,
        Deltas,
        Destination,
        Digest,
        End,
        Evidence,
        Feed,
        Grant,
        GrantRequest,
        Heartbeat,
        LimitGrant,
        LimitRequest,
        Liveness,
        Message,
        OriginAnswer,
        OriginGroup,
        OriginRequest,
        OriginResponse,
        Origins,
        Outcome,
        PlacementRequest,
        PlacementResponse,
        Positions,
        Push,
        Reasons,
        ResumptionRequest,
        RoomReport,
        RoomRequest,
        Suspects, //
    },
    mirror::{
        Delta,
        Position, //
    },
};
use settings::Class;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 7_600))
}

fn position(number: u64) -> Position {
    Position {
        revision: Revision {
            era: 2,
            number: number + 1,
        },
        changed: Revision { era: 2, number },
    }
}

fn positions() -> Positions {
    Positions {
        operator: position(3),
        endpoints: position(5),
        instances: position(300),
    }
}

fn delta(number: u64) -> Delta {
    Delta {
        base: Some(Revision { era: 2, number: 1 }),
        position: position(number),
        changes: vec![
            Change {
                key: "op/config".to_owned(),
                value: Some(vec![1, 2, 255]),
                revision: Revision { era: 2, number },
            },
            Change {
                key: "servers/i-1".to_owned(),
                value: None,
                revision: Revision { era: 1, number: 9 },
            },
        ],
    }
}

/// The answer to a request for changes.
pub fn deltas() -> Deltas {
    Deltas {
        operator: delta(2),
        endpoints: Delta {
            base: None,
            ..delta(400)
        },
        instances: delta(70_000),
    }
}

/// The row that an instance writes about itself.
pub fn row() -> Row {
    Row {
        callers: address(1),
        peers: address(2),
        exchange: address(3),
        domain: "seoul-a".to_owned(),
        link_mbps: 200,
        leaving: true,
        incarnation: u64::MAX - 1,
        written_ms: Some(5),
    }
}

fn placement_request() -> PlacementRequest {
    PlacementRequest {
        id: 7,
        service: "llm".to_owned(),
        model: Some("m".to_owned()),
        class: Class::MayWait,
        objective_ms: 1_000,
        levels: vec![(u64::MAX, 1.5), (2, 0.25)],
        tail: 0.5,
        tried: vec!["e1".to_owned()],
        must_go: true,
        pace: Some([1.0, 2.0, 3.0]),
    }
}

fn room_report() -> RoomReport {
    RoomReport {
        endpoint: "e1".to_owned(),
        held: 300,
        slots: 8,
        tolerance: 2.5,
        is_rejected: true,
    }
}

fn placement_response(to: Destination) -> Message {
    Message::PlacementResponse(PlacementResponse {
        id: 8,
        to,
        ticket: 1 << 40,
        source: Some(address(4)),
        save_to: Some(address(5)),
        reasons: Reasons {
            hits: 1.0,
            missed: 2.0,
            fetched: 3.0,
            wait: 4.0,
        },
        pace: [0.1, 0.2, 0.3],
    })
}

fn outcome(end: End) -> Message {
    Message::Outcome(Outcome {
        service: "llm".to_owned(),
        endpoint: "e1".to_owned(),
        ticket: 9,
        end,
        levels: vec![1, u64::MAX],
    })
}

fn origin_response(answer: OriginAnswer) -> Message {
    Message::OriginResponse(OriginResponse { id: 10, answer })
}

/// A message of each kind.
pub fn messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "heartbeat",
            Message::Heartbeat(Heartbeat {
                name: "front-1".to_owned(),
                leaving: true,
            }),
        ),
        (
            "digest",
            Message::Digest(Digest {
                hub: "front-2".to_owned(),
                view_age_ms: 700,
                table_ms: Some(1 << 33),
                lenient_ms: 2_200,
                positions: positions(),
                alive: vec![Liveness {
                    name: u32::MAX,
                    leaving: false,
                    ago_tenths: 9,
                }],
            }),
        ),
        ("push", push(Feed::Operator)),
        ("push-endpoints", push(Feed::Endpoints)),
        ("push-instances", push(Feed::Instances)),
        (
            "grant-request",
            Message::GrantRequest(GrantRequest {
                id: 1,
                workspace: "w".to_owned(),
                units: 12_000.5,
                ahead: 3.0,
                urgent: true,
            }),
        ),
        (
            "grant",
            Message::Grant(Grant {
                id: 2,
                ahead: 0.5,
                wait_ms: Some(300),
            }),
        ),
        (
            "placement-request",
            Message::PlacementRequest(placement_request()),
        ),
        (
            "placement-response",
            placement_response(Destination::Endpoint("e2".to_owned())),
        ),
        (
            "placement-later",
            placement_response(Destination::RetryAfter(250)),
        ),
        ("placement-none", placement_response(Destination::None)),
        ("outcome-began", outcome(End::Began)),
        ("outcome-failed", outcome(End::Failed)),
        ("outcome-rejected", outcome(End::Rejected)),
        ("outcome-abandoned", outcome(End::Abandoned)),
        (
            "evidence",
            Message::Evidence(Evidence {
                crashes: vec![Crash {
                    endpoint: 3,
                    age_ms: 40,
                    segments: vec![5, 6],
                }],
                answers: vec![(7, 80)],
            }),
        ),
        (
            "suspects",
            Message::Suspects(Suspects {
                open: vec![1],
                culprits: vec![(2, 3, true)],
            }),
        ),
        (
            "limit-request",
            Message::LimitRequest(LimitRequest {
                id: 3,
                endpoint: "e1".to_owned(),
                limit: 12.5,
                age_ms: 100,
                urgent: true,
            }),
        ),
        (
            "limit-grant",
            Message::LimitGrant(LimitGrant {
                id: 4,
                wait_ms: None,
            }),
        ),
        (
            "origins",
            Message::Origins(Origins {
                groups: vec![OriginGroup {
                    service: "llm".to_owned(),
                    build: "b1".to_owned(),
                    streams: vec![1, u64::MAX],
                }],
            }),
        ),
        (
            "origin-request",
            Message::OriginRequest(OriginRequest {
                id: 5,
                stream: Some(6),
                service: Some("llm".to_owned()),
            }),
        ),
        (
            "origin-recorded",
            origin_response(OriginAnswer::Recorded("llm".to_owned(), "b1".to_owned())),
        ),
        (
            "origin-sole",
            origin_response(OriginAnswer::Sole("b1".to_owned())),
        ),
        ("origin-unknown", origin_response(OriginAnswer::Unknown)),
        (
            "resumption-request",
            Message::ResumptionRequest(ResumptionRequest {
                placement: placement_request(),
                build: "b1".to_owned(),
            }),
        ),
        (
            "room-request",
            Message::RoomRequest(RoomRequest {
                id: 11,
                report: room_report(),
            }),
        ),
        ("room-report", Message::RoomReport(room_report())),
        (
            "brittle-services",
            Message::BrittleServices(vec![BrittleService {
                service: "llm".to_owned(),
                tolerance: 2.0,
                age_ms: 50,
            }]),
        ),
    ]
}

fn push(feed: Feed) -> Message {
    Message::Push(Push {
        lenient_ms: 1,
        feed,
        delta: delta(130),
    })
}
