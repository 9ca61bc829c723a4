//! Stand-in for the platform's store: rows, conditional transactions and the feed of changes.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{self, Value},
};

type Key = (String, String);

#[derive(Debug, Default)]
struct State {
    /// Value in base64 and version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes in order; a deletion has no value.
    history: Vec<(Key, Option<String>, u64)>,
    version: u64,
}

/// The store. Clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    /// Serves an empty store at `listener`.
    pub fn serve(listener: TcpListener) -> Self {
        let store = Self {
            state: Arc::default(),
            started_at: Instant::now(),
        };
        let server = store.clone();
        http::serve(listener, move |request| server.answer(&request));
        store
    }

    /// Writes a row as the operator and the servers do; returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), key.to_owned());
        self.write(vec![(key, Some(json::base64(value.as_bytes())))]);
    }

    fn write(&self, changes: Vec<(Key, Option<String>)>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.apply(changes);
        changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis() + 1_000
    }

    fn answer(&self, request: &Message) -> Message {
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            _ => http::answer(404, &[], ""),
        }
    }

    fn body(&self, rows: &[String], version: u64) -> Message {
        let text = format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{}}}",
            rows.join(","),
            self.now_ms()
        );
        http::answer(200, &[("content-type", "application/json")], text)
    }

    fn transact(&self, body: &[u8]) -> Message {
        let Some(txn) = json::parse(body) else {
            return http::answer(400, &[], "");
        };
        let key = |row: &Value| (row.text("table"), row.text("key"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let holds = |row: &Value| {
            let version = state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            version == row.number("ver") as u64
        };
        if !txn.list("expected").iter().all(holds) {
            let expected = txn.list("expected").iter().map(key);
            let rows: Vec<String> = expected
                .filter_map(|key| {
                    let (value, version) = state.rows.get(&key)?;
                    Some(row_text(&key, Some(value.as_str()), *version))
                })
                .collect();
            let answer = self.body(&rows, state.version);
            return Message {
                line: "HTTP/1.1 412 Status".to_owned(),
                ..answer
            };
        }
        let puts = txn.list("puts").iter();
        let mut changes: Vec<_> = puts
            .map(|row| (key(row), Some(row.text("value"))))
            .collect();
        changes.extend(txn.list("remove").iter().map(|row| (key(row), None)));
        state.apply(changes);
        changed.notify_all();
        let version = state.version;
        drop(state);
        self.body(&[], version)
    }

    fn read(&self, request: &Message) -> Message {
        let (table, from) = (request.parameter("table"), request.parameter("from"));
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter();
        let rows: Vec<String> = rows
            .filter(|(key, _)| key.0 == table && key.1 >= from)
            .map(|(key, (value, version))| row_text(key, Some(value.as_str()), *version))
            .collect();
        self.body(&rows, state.version)
    }

    fn feed(&self, request: &Message) -> Message {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let history = state.history.iter();
            let rows: Vec<String> = history
                .filter(|(key, _, version)| key.0 == table && *version > after)
                .map(|(key, value, version)| row_text(key, value.as_deref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.body(&rows, state.version);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    let row = (value.clone(), self.version);
                    self.rows.insert(key.clone(), row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
            self.history.push((key, value, self.version));
        }
    }
}

fn row_text(key: &Key, value: Option<&str>, version: u64) -> String {
    let (table, key) = key;
    match value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"deleted\":true}}"
        ),
    }
}
