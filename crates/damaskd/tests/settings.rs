//! Settings over real processes: concurrent operators, lost answers, restarts, subtrees.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side,
    twoparty::VatNetwork, //
};
use futures::AsyncReadExt;
use history::{
    Recorder,
    settings::{
        Answer,
        Commit,
        Event,
        check_commits,
        check_in_force,
        check_monotone,
        check_monotone_across_restarts, //
    }, //
};
use http::Method;
use serde_json::{
    Value,
    json, //
};
use settings::Digest;
use testkit::{
    Builder,
    Fleet,
    caller::{
        Caller,
        parse_json, //
    },
    fleet::set_faults, //
};
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::{
    gate,
    peer, //
};

const SETTINGS_PATH: &str = "/operator/v1/settings";
/// Guaranteed bound from the acceptance of a revision until it is in force at every instance.
const IN_FORCE_BOUND_US: u64 = 5_000_000;

/// Addresses of the operator planes; an instance that restarts gets another one.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn addresses(fleet: &Fleet) -> Addresses {
    let planes = fleet
        .instances
        .iter()
        .map(|i| i.plane_address("operator").unwrap());
    Arc::new(Mutex::new(planes.collect()))
}

/// Posts a write; `None` if no answer arrives.
async fn post(caller: &Caller, address: SocketAddr, body: &Value) -> Option<(u16, Value)> {
    let answer = caller
        .send(Method::POST, address, SETTINGS_PATH, &body.to_string())
        .await
        .ok()?;
    Some((answer.status.as_u16(), parse_json(&answer).ok()?))
}

fn classify(answer: &Value) -> Answer {
    let error = &answer["error"];
    match error["code"].as_str() {
        None => Answer::Accepted(answer["revision"].as_u64().unwrap()),
        Some("conflict") => Answer::Conflict {
            revision: error["revision"].as_u64().unwrap(),
            author: error["author"].as_str().unwrap().to_owned(),
        },
        Some("not_applied") => Answer::NotApplied,
        // A restarted instance may not have received any settings yet.
        Some("unknown" | "not_ready") => Answer::Unknown,
        Some(code) => panic!("{code}: {answer}"),
    }
}

/// Sends one write; retries it with the same write id while its outcome is unknown.
async fn write(caller: &Caller, addresses: &Addresses, start: usize, mut body: Value) -> Answer {
    for attempt in 0..10 {
        let address = {
            let addresses = addresses.lock().unwrap();
            addresses[(start + attempt) % addresses.len()]
        };
        let answer = post(caller, address, &body).await;
        match answer.map(|(_, answer)| classify(&answer)) {
            None | Some(Answer::Unknown) => body["repeat"] = json!(true),
            Some(answer) => return answer,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Answer::Unknown
}

async fn write_many(
    recorder: Arc<Recorder<Event>>,
    addresses: Addresses,
    writer: usize,
    team: &'static str,
) {
    let caller = Caller::new(Some(&format!("key-of-{team}")));
    let mut base = 1;
    for round in 0..25 {
        let write_id = format!("{team}-{round}");
        let body = json!({
            "base_revision": base,
            "write_id": write_id,
            "changes": [{
                "path": format!("/teams/{team}/workspaces/w{round}"),
                "value": {"rate": round, "burst": 1},
            }],
        });
        recorder.add(Event::Proposed {
            writer,
            write_id,
            base,
        });
        let answer = write(&caller, &addresses, writer + round, body).await;
        match &answer {
            Answer::Accepted(revision) | Answer::Conflict { revision, .. } => base = *revision,
            Answer::NotApplied | Answer::Unknown => {}
        }
        recorder.add(Event::Answered { writer, answer });
    }
}

/// Polls each instance for the revision that it has in force.
async fn observe(recorder: Arc<Recorder<Event>>, addresses: Addresses, stop: Arc<AtomicBool>) {
    let root = Caller::new(Some(testkit::OPERATOR_KEY));
    while !stop.load(Ordering::Relaxed) {
        let targets = addresses.lock().unwrap().clone();
        for address in targets {
            let asked_us = recorder.now_us();
            let Ok(status) = root.get_json(address, "/operator/v1/status").await else {
                continue;
            };
            // An instance at revision 0 has no settings and serves no requests.
            let revision = status["revision"].as_u64().unwrap();
            if revision > 0 {
                recorder.add(Event::Observed {
                    instance: status["instance"].as_str().unwrap().to_owned(),
                    incarnation: status["incarnation"].as_u64().unwrap(),
                    revision,
                    asked_us,
                });
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn operator_row(team: &str) -> (String, Value) {
    let digest = Digest::of(format!("key-of-{team}").as_bytes());
    let value = json!({"digest": digest, "subtree": format!("/teams/{team}")});
    (format!("/operators/{team}"), value)
}

async fn add_operators(fleet: &Fleet, teams: &[&str]) {
    let rows: Vec<(String, Value)> = teams.iter().map(|team| operator_row(team)).collect();
    let changes: Vec<(&str, Value)> = rows.iter().map(|(p, v)| (p.as_str(), v.clone())).collect();
    let revision = fleet.change_settings(0, &changes).await.unwrap();
    fleet.wait_for_revision(revision).await.unwrap();
}

/// All commits in the history that the table stores, oldest first.
async fn commit_history(fleet: &Fleet) -> Vec<Commit> {
    let address = fleet.instances[0].plane_address("operator").unwrap();
    let path = format!("{SETTINGS_PATH}/history?most=1000");
    let document = fleet.operator.get_json(address, &path).await.unwrap();
    let commits = document["commits"].as_array().unwrap();
    let text = |commit: &Value, field: &str| commit[field].as_str().unwrap().to_owned();
    let history = commits.iter().rev().map(|commit| Commit {
        revision: commit["revision"].as_u64().unwrap(),
        author: text(commit, "author"),
        write_id: text(commit, "write_id"),
    });
    history.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators_agree_despite_lost_answers_and_a_restart() {
    const TEAMS: [&str; 4] = ["a", "b", "c", "d"];
    let mut fleet = Builder::default().instances(3).start().await.unwrap();
    let recorder = Arc::new(Recorder::default());
    recorder.add(Event::Proposed {
        writer: TEAMS.len(),
        write_id: "first".to_owned(),
        base: 0,
    });
    add_operators(&fleet, &TEAMS).await;
    recorder.add(Event::Answered {
        writer: TEAMS.len(),
        answer: Answer::Accepted(1),
    });
    let planes = addresses(&fleet);
    let stop = Arc::new(AtomicBool::new(false));
    let observer = tokio::spawn(observe(recorder.clone(), planes.clone(), stop.clone()));
    let writers: Vec<_> = (0..)
        .zip(TEAMS)
        .map(|(writer, team)| {
            tokio::spawn(write_many(recorder.clone(), planes.clone(), writer, team))
        })
        .collect();
    for step in 0u32.. {
        // Nothing is lost in even steps, so that unknown outcomes can be resolved.
        let faulty = step % 2;
        let switches = json!({
            "lose_answers": faulty,
            "lose_writes": 2 * faulty,
            "delay_ms": 5 * (step % 3),
        });
        set_faults(&fleet.table, switches).await.unwrap();
        tokio::time::sleep(Duration::from_millis(60)).await;
        if step == 8 {
            fleet.instances[1].kill();
            fleet.instances[1] = fleet.launch(1).unwrap();
            fleet.publish_instances().await.unwrap();
            planes.lock().unwrap()[1] = fleet.instances[1].plane_address("operator").unwrap();
        }
        if writers.iter().all(|writer| writer.is_finished()) {
            break;
        }
    }
    set_faults(&fleet.table, json!({})).await.unwrap();
    for writer in writers {
        writer.await.unwrap();
    }
    let mut commits = commit_history(&fleet).await;
    fleet.wait_for_revision(commits.len() as u64).await.unwrap();
    stop.store(true, Ordering::Relaxed);
    observer.await.unwrap();
    let entries = recorder.entries();
    let mut authors: Vec<String> = TEAMS.iter().map(|team| (*team).to_owned()).collect();
    authors.push("root".to_owned());
    // The test kit chose the write id of the first commit.
    commits[0].write_id = "first".to_owned();
    assert!(commits.len() > TEAMS.len(), "{commits:?}");
    check_commits(&entries, &authors, &commits).unwrap();
    check_monotone(&entries).unwrap();
    check_in_force(&entries, IN_FORCE_BOUND_US).unwrap();
}

#[tokio::test]
async fn write_answers_are_correct_whatever_the_table_loses() {
    let fleet = Builder::default()
        .limit("platform_timeout_ms", 500)
        .start()
        .await
        .unwrap();
    let planes: Vec<SocketAddr> = addresses(&fleet).lock().unwrap().clone();
    // Faults of the table, error code (empty: success), and that of a repeat without faults.
    let cases = [
        (json!({}), "", ""),
        (json!({"lose_writes": 1}), "", ""),
        (json!({"lose_writes": 3}), "", ""),
        (json!({"drop_writes": 1}), "not_applied", ""),
        (
            json!({"drop_writes": 1, "lose_writes": 1}),
            "not_applied",
            "",
        ),
        (json!({"lose_writes": 1_000_000}), "unknown", ""),
        (json!({"drop_writes": 1_000_000}), "unknown", ""),
        (json!({"down": true}), "not_applied", ""),
        (json!({"delay_ms": 2000}), "not_applied", ""),
    ];
    for (index, (switches, code, repeat_code)) in cases.into_iter().enumerate() {
        set_faults(&fleet.table, switches.clone()).await.unwrap();
        let mut body = json!({
            "write_id": format!("write-{index}"),
            "changes": [{"path": format!("/fleet/models/m{index}"), "value": {"version": "1"}}],
        });
        let (_, answer) = post(&fleet.operator, planes[0], &body).await.unwrap();
        let actual = answer["error"]["code"].as_str().unwrap_or_default();
        assert_eq!(actual, code, "{switches}: {answer}");
        set_faults(&fleet.table, json!({})).await.unwrap();
        body["repeat"] = json!(true);
        for plane in &planes {
            let (_, answer) = post(&fleet.operator, *plane, &body).await.unwrap();
            let actual = answer["error"]["code"].as_str().unwrap_or_default();
            assert_eq!(actual, repeat_code, "{switches}: {answer}");
            // One revision for each write: it was applied once, however often it was sent.
            assert_eq!(answer["revision"], index + 1, "{switches}");
        }
        body["changes"][0]["value"]["version"] = json!("2");
        let (status, answer) = post(&fleet.operator, planes[0], &body).await.unwrap();
        assert_eq!(status, 409);
        assert_eq!(answer["error"]["code"], "write_id_reused");
    }
    fleet.wait_for_revision(9).await.unwrap();
    assert_eq!(commit_history(&fleet).await.len(), 9);
}

#[tokio::test]
async fn a_restart_beside_a_stale_peer_does_not_revert_settings() {
    let mut fleet = Builder::default().start().await.unwrap();
    let model = [("/fleet/models/m", json!({"version": "1"}))];
    let first = fleet.change_settings(0, &model).await.unwrap();
    fleet.wait_for_revision(first).await.unwrap();
    fleet.instances[1].freeze().unwrap();
    let recorder = Recorder::default();
    // The table stores it, but no majority of the instances can hold it during the freeze.
    let body = json!({
        "write_id": "second",
        "changes": [{"path": "/fleet/models/m", "value": {"version": "2"}}],
    });
    let plane = fleet.instances[0].plane_address("operator").unwrap();
    let (status, answer) = post(&fleet.operator, plane, &body).await.unwrap();
    assert_eq!(status, 202, "{answer}");
    let second = answer["revision"].as_u64().unwrap();
    let observation = |status: &Value| Event::Observed {
        instance: "i0".to_owned(),
        incarnation: status["incarnation"].as_u64().unwrap(),
        revision: status["revision"].as_u64().unwrap(),
        asked_us: 0,
    };
    recorder.add(observation(&fleet.status(0).await.unwrap()));
    fleet.instances[0].kill();
    // The stale peer answers before the table does.
    set_faults(&fleet.table, json!({"delay_ms": 100}))
        .await
        .unwrap();
    fleet.instances[1].thaw().unwrap();
    fleet.instances[0] = fleet.launch(0).unwrap();
    loop {
        let status = fleet.status(0).await.unwrap();
        if status["revision"].as_u64() > Some(0) {
            recorder.add(observation(&status));
            if status["revision"].as_u64() == Some(second) {
                break;
            }
        }
    }
    check_monotone_across_restarts(&recorder.entries()).unwrap();
}

#[tokio::test]
async fn no_change_is_accepted_while_the_table_lacks_revisions() {
    let mut fleet = Builder::default().start().await.unwrap();
    for version in ["1", "2"] {
        let change = [("/fleet/models/m", json!({"version": version}))];
        let revision = fleet.change_settings(0, &change).await.unwrap();
        fleet.wait_for_revision(revision).await.unwrap();
    }
    // An empty table replaces the old one at the same address.
    let address = fleet.table.address().unwrap().to_string();
    fleet.table.kill();
    fleet.table =
        testkit::Process::start("damask-standin", &["table", "--listen", &address]).unwrap();
    let body = json!({
        "write_id": "late",
        "changes": [{"path": "/fleet/models/m", "value": {"version": "3"}}],
    });
    let plane = fleet.instances[0].plane_address("operator").unwrap();
    let (status, answer) = post(&fleet.operator, plane, &body).await.unwrap();
    assert_eq!(status, 409);
    assert_eq!(answer["error"]["code"], "table_behind", "{answer}");
    for index in 0..2 {
        assert_eq!(fleet.status(index).await.unwrap()["revision"], 2);
    }
}

#[tokio::test]
async fn an_operator_writes_only_its_own_subtree_and_reads_no_other_team() {
    let fleet = Builder::default().start().await.unwrap();
    fleet.apply_example_settings().await.unwrap();
    add_operators(&fleet, &["t", "u"]).await;
    let plane = fleet.instances[0].plane_address("operator").unwrap();
    let workspace = json!({"rate": 1, "burst": 1});
    let (_, root_row) = operator_row("x");
    let digest = Digest::of(b"another");
    let cases = [
        ("u", "/teams/u/workspaces/w", &workspace, "", 200),
        (
            "u",
            "/teams/u/keys/k",
            &json!({"workspace": "w", "digest": digest}),
            "",
            200,
        ),
        ("u", "/teams/t/workspaces/w", &workspace, "forbidden", 403),
        ("u", "/teams/t/workspaces/w", &Value::Null, "forbidden", 403),
        ("u", "/teams/uu/workspaces/w", &workspace, "forbidden", 403),
        (
            "u",
            "/fleet/models/m",
            &json!({"version": "v9"}),
            "forbidden",
            403,
        ),
        ("u", "/operators/x", &root_row, "forbidden", 403),
        ("u", "/operators/u", &root_row, "forbidden", 403),
        (
            "none",
            "/teams/u/workspaces/w",
            &workspace,
            "operator_unknown",
            401,
        ),
    ];
    for (index, (team, path, value, code, status)) in cases.into_iter().enumerate() {
        let caller = Caller::new(Some(&format!("key-of-{team}")));
        let write_id = format!("case-{index}");
        let body = json!({"write_id": write_id, "changes": [{"path": path, "value": value}]});
        let (actual, answer) = post(&caller, plane, &body).await.unwrap();
        assert_eq!(actual, status, "{team} {path}: {answer}");
        let actual = answer["error"]["code"].as_str().unwrap_or_default();
        assert_eq!(actual, code, "{team} {path}: {answer}");
    }
    let caller = Caller::new(Some("key-of-u"));
    for path in [SETTINGS_PATH.to_owned(), format!("{SETTINGS_PATH}/history")] {
        let text = caller.get_json(plane, &path).await.unwrap().to_string();
        assert!(text.contains("/teams/u/keys/k"), "{text}");
        assert!(text.contains("/fleet/models/m"), "{text}");
        assert!(!text.contains("/teams/t/"), "{text}");
        assert!(!text.contains("/operators/"), "{text}");
    }
}

#[tokio::test]
async fn an_operator_removed_elsewhere_is_refused_by_a_stale_instance() {
    let fleet = Builder::default()
        .limit("table_interval_ms", 3_600_000)
        .relays()
        .start()
        .await
        .unwrap();
    add_operators(&fleet, &["u"]).await;
    // Both reach the table, but instance 0 does not receive the change from instance 1.
    fleet.partition(0, 1);
    let remove = json!({"write_id": "r", "changes": [{"path": "/operators/u", "value": null}]});
    let plane = fleet.instances[1].plane_address("operator").unwrap();
    let (status, answer) = post(&fleet.operator, plane, &remove).await.unwrap();
    assert_eq!(status, 202, "{answer}");
    let body = json!({
        "write_id": "late",
        "changes": [{"path": "/teams/u/workspaces/w", "value": {"rate": 1, "burst": 1}}],
    });
    let caller = Caller::new(Some("key-of-u"));
    let stale = fleet.instances[0].plane_address("operator").unwrap();
    let (status, answer) = post(&caller, stale, &body).await.unwrap();
    assert_eq!(status, 403, "{answer}");
}

/// Presents a secret on the peer plane; returns whether the gate admits the connection.
async fn enter(address: SocketAddr, secret: &[u8]) -> bool {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    let mut request = gate.enter_request();
    request.get().set_secret(secret);
    let Ok(response) = request.send().promise.await else {
        // A call of the peer interface on the gate's own capability must fail too.
        let peer = peer::Client {
            client: gate.client,
        };
        assert!(peer.exchange_request().send().promise.await.is_err());
        return false;
    };
    let peer = response.get().unwrap().get_peer().unwrap();
    peer.exchange_request().send().promise.await.is_ok()
}

#[tokio::test]
async fn only_a_peer_with_the_secret_is_admitted() {
    let fleet = Builder::default().instances(1).start().await.unwrap();
    let address = fleet.instances[0].plane_address("peer").unwrap();
    let secret = testkit::fleet::PEER_SECRET;
    let cases = [
        (secret.to_owned(), true),
        (String::new(), false),
        (secret[1..].to_owned(), false),
        (format!("{secret}x"), false),
    ];
    tokio::task::LocalSet::new()
        .run_until(async {
            for (input, admitted) in cases {
                assert_eq!(enter(address, input.as_bytes()).await, admitted, "{input}");
            }
        })
        .await;
}
