//! The cases, and what they share.

pub mod isolation;
pub mod twice;
pub mod wall;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    engine::{Engine, Manner, Place, Run},
    fleet::{Addresses, Fleet, STORE, WORKERS},
    http,
    store::Store,
    Record,
};

const HOST: &str = "contract.example";
const SERVICE: &str = "lm";
const MODEL: &str = "m1";
/// Zones of the machines; workers take turns in them.
const ZONES: [&str; 6] = [
    "palermo", "catania", "messina", "palermo", "catania", "messina",
];

/// A small deployment with its engines.
struct Deployment {
    store: Store,
    engines: Vec<Engine>,
    runs: Arc<Mutex<Vec<Run>>>,
    fleet: Fleet,
}

impl Deployment {
    fn start(config: &str, manners: &[Manner]) -> Result<Self, String> {
        let addresses = Addresses::find().ok_or("no free addresses")?;
        let failed = |error: std::io::Error| error.to_string();
        let store = Store::start(addresses.at(1, STORE)).map_err(failed)?;
        store.put("op", "config", config);
        let runs = Arc::default();
        let mut engines = Vec::new();
        for (index, manner) in manners.iter().enumerate() {
            let place = Place {
                address: addresses.at(1, WORKERS + index as u16),
                zone: ZONES[index % ZONES.len()],
                service: SERVICE,
                model: MODEL,
            };
            let id = format!("i-e{}", index + 1);
            let engine = Engine::start(&id, place, *manner, &store, &runs);
            engines.push(engine.map_err(failed)?);
        }
        let fleet = Fleet::start(&addresses, &ZONES)?;
        Ok(Self {
            store,
            engines,
            runs,
            fleet,
        })
    }

    /// Where a consumer connects: the directory of a machine is asked, then one address is taken.
    fn address(&self, turn: usize) -> Option<SocketAddr> {
        let machine = &self.fleet.machines[turn % self.fleet.machines.len()];
        let addresses = machine.resolve(HOST, ZONES[turn % ZONES.len()]);
        let count = addresses.len().max(1);
        addresses
            .get(turn / self.fleet.machines.len() % count)
            .copied()
    }
}

/// A configuration with one resumable stream route, and these tenants.
fn config(tenants: &str) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-read\",\"host\":\"{HOST}\",\
         \"prefix\":\"/read/\",\"kind\":\"stream\",\"timeoutMs\":12000,\
         \"latencyTargetMs\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":240,\
         \"proto\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kvTokens\":164100,\
         \"kvTokenBytes\":35136,\"linkMbps\":130000.0,\"moves\":true,\"backups\":true,\
         \"stride\":3,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}"
    )
}

/// A tenant with the quota of the pages' example.
fn tenant(name: &str, key: &str, is_isolated: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"unit\":\"tokens\",\
         \"plainTokens\":200,\"isolated\":{is_isolated},\"ratePerS\":248666,\
         \"burst\":248666}}"
    )
}

/// Sends a request for a stream, and records it and its answer; whether that is whole and a success.
fn send(
    record: &Record,
    address: SocketAddr,
    id: &str,
    key: &str,
    prefix: &str,
    tokens: u64,
) -> bool {
    let body = format!("question {id}");
    let request = format!(
        "POST /read/1 HTTP/1.1\r\nHost: {HOST}\r\nDamasktrestle-Attempt-Id: {id}\r\n\
         Damasktrestle-Model: {MODEL}\r\nDamasktrestle-Token-Count: {tokens},40\r\n\
         Damasktrestle-Prompt-Prefix: {prefix}\r\nDamasktrestle-Deadline-Ms: 12000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.write(&format!("consumer sends {id} to {address}"));
    // Longer than any gap after which consumers abandon a stream.
    let answer = http::call(address, &request, Duration::from_secs(4));
    let is_served = |answer: &http::Answer| answer.is_whole && answer.message.status() == 200;
    let is_served = answer.as_ref().is_some_and(is_served);
    let text = match answer {
        Some(answer) => format!(
            "status {}, {} bytes, whole: {}",
            answer.message.status(),
            answer.message.body.len(),
            answer.is_whole
        ),
        None => "no answer".to_owned(),
    };
    record.write(&format!("consumer of {id}: {text}"));
    is_served
}

/// Writes all runs into the record.
fn record_runs(record: &Record, runs: &[Run]) {
    for run in runs {
        let Run {
            engine,
            attempt,
            tenant,
            salt,
            version,
            resumes,
            used,
            ..
        } = run;
        record.write_at(
            run.began_at,
            &format!(
                "{engine} begins {attempt} of {tenant}: salt {salt:?}, expected version \
                 {version:?}, resumes {resumes:?}, uses {used:?}"
            ),
        );
        if let Some(ended_at) = run.ended_at {
            let made = run.made;
            record.write_at(
                ended_at,
                &format!("{engine} ends {attempt}, event {made} made"),
            );
        }
    }
}
