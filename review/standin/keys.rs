//! The operator takes away all keys, one after the other.

use std::{net::TcpListener, thread, time::Duration};

use crate::{
    deployment::{self, Instance, Record, Server},
    http,
    store::Store,
};

/// Tenants, each with one key, as far as it has not been taken away.
const TENANTS: [(&str, &str); 3] = [
    ("sese880", "wu3fexd9dnn2ctnfzs98"),
    ("rolo114", "9anu6wsjnbanfqasnmgk"),
    ("nifa322", "k4ydn8vpx2q7tcm5hz1r"),
];
/// A key that no configuration ever has.
const MADE_UP_KEY: &str = "nokey0nokey0nokey0no";
/// Keys that one `revoke` takes away: its largest dose on the site.
const REVOKED: usize = 3;
/// Time between two of them.
const GAP: Duration = Duration::from_millis(400);
/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time beyond the bound that the consumers wait.
const MARGIN: Duration = Duration::from_millis(2_000);

fn config(version: u64, revoked: usize) -> String {
    let tenants: Vec<String> = TENANTS
        .iter()
        .enumerate()
        .map(|(index, (name, key))| {
            let keys = match index < revoked {
                true => String::new(),
                false => format!("\"{key}\""),
            };
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[{keys}],\"priority\":1,\"unit\":\"tokens\",\
                 \"plainTokens\":200,\"isolated\":false,\"ratePerS\":248666,\"burst\":248666}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-m82thhk\",\"host\":\"jepu9.example\",\
         \"prefix\":\"/fiti832/ti23/\",\"kind\":\"non_idempotent\",\"timeoutMs\":800,\
         \"latencyTargetMs\":100,\"priority\":2,\"service\":\"kafi81c\",\"attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"kafi81c\",\"healthPath\":\"/healthz\",\"maxConns\":96,\
         \"proto\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// Sends one request; returns its status.
fn send(instance: &Instance, id: &str, key: Option<&str>, record: &Record) -> u16 {
    let bearer = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("host", "jepu9.example"),
        ("damasktrestle-attempt-id", id),
        ("damasktrestle-deadline-ms", "1500"),
    ];
    if let Some(bearer) = &bearer {
        headers.push(("authorization", bearer));
    }
    let request = http::request("POST /fiti832/ti23/2f", &headers, "release");
    record.add(format_args!(
        "{id} sent to {} with key {key:?}",
        instance.name
    ));
    let answer = http::call(instance.callers, &request, Duration::from_secs(3));
    let status = answer.as_ref().map_or(0, http::Message::status);
    record.add(format_args!("{id} answered with {status}"));
    status
}

/// Returns whether a server ran a request that it must not run.
pub fn run(folder: &str, trouble: bool) -> bool {
    let record = Record::create(folder);
    let listener = TcpListener::bind((deployment::address(100), 0)).expect("address of the store");
    let store_address = listener.local_addr().unwrap();
    let store = Store::serve(listener);
    store.put("op", "config", &config(1, 0));
    let servers: Vec<Server> = (1..=3)
        .map(|number| {
            let id = format!("i-7f3a91c{number}");
            let server = Server::start(&id, deployment::address(100 + number), &record);
            server.check_in(&store, "kafi81c", "seoul-a");
            server
        })
        .collect();
    let temporary = std::env::temp_dir().join(format!("review-keys-{}", std::process::id()));
    let is_broken = play(
        &record,
        trouble,
        &store,
        store_address,
        &servers,
        &temporary,
    );
    std::fs::remove_dir_all(&temporary).ok();
    is_broken
}

fn play(
    record: &Record,
    trouble: bool,
    store: &Store,
    store_address: std::net::SocketAddr,
    servers: &[Server],
    temporary: &std::path::Path,
) -> bool {
    let mut instances = deployment::instances(2, store_address, "seoul-a", temporary);
    instances.iter_mut().for_each(Instance::start);
    instances.iter().for_each(Instance::wait_until_ready);
    thread::sleep(Duration::from_secs(3));

    record.add("before: valid keys are served, others are not");
    for (index, instance) in instances.iter().enumerate() {
        for (name, key) in TENANTS {
            let id = format!("before-{index}-{name}");
            if send(instance, &id, Some(key), record) != 200 {
                deployment::stop("a request with a valid key is not served");
            }
        }
        let made_up = send(
            instance,
            &format!("before-{index}-made-up"),
            Some(MADE_UP_KEY),
            record,
        );
        let keyless = send(instance, &format!("before-{index}-keyless"), None, record);
        if (made_up, keyless) != (401, 401) {
            deployment::stop("a request without a valid key is not refused");
        }
    }

    if trouble {
        for revoked in 1..=REVOKED {
            let version = 1 + 3 * revoked as u64;
            store.put("op", "config", &config(version, revoked));
            record.add(format_args!(
                "the store acknowledges version {version}: the key of {} is taken away",
                TENANTS[revoked - 1].0
            ));
            thread::sleep(GAP);
        }
    }
    thread::sleep(CONFIG_APPLY + MARGIN);

    record.add("after: requests with a made-up key, with none, and with keys that were taken away");
    let mut forbidden = Vec::new();
    for round in 0..5 {
        for (index, instance) in instances.iter().enumerate() {
            let id = format!("after-{round}-{index}-made-up");
            send(instance, &id, Some(MADE_UP_KEY), record);
            forbidden.push(id);
            let id = format!("after-{round}-{index}-keyless");
            send(instance, &id, None, record);
            forbidden.push(id);
            for (name, key) in TENANTS {
                let id = format!("after-{round}-{index}-{name}");
                let status = send(instance, &id, Some(key), record);
                if trouble {
                    forbidden.push(id);
                } else if status != 200 {
                    record.add(format_args!("{id} was not served"));
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }

    // The rule names keys that no configuration ever held; the others are only reported.
    let (mut made_up, mut others) = (0, 0);
    for server in servers {
        for run in server.runs.lock().unwrap().iter() {
            if run.id.starts_with("after-") && run.id.ends_with("-made-up") {
                made_up += 1;
            } else if forbidden.contains(&run.id) {
                others += 1;
            }
        }
    }
    let text = format!(
        "requests that were run: {made_up} with a key that no configuration held, {others} without a \
         key or with a withdrawn one; {} of both were sent",
        forbidden.len()
    );
    record.add(&text);
    println!("{text}");
    made_up > 0
}
