//! Stand-in for the platform's store: rows, transactions and the feed of changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Exchange},
    json::{decode_base64, encode_base64, quote, Value},
};

/// Table, part and key of a row.
type Key = (String, String, String);

/// Most rows in one answer.
const PAGE: usize = 500;
/// Longest wait for changes.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    /// All changes in order; `None` for a deletion.
    history: Vec<(u64, Key, Option<Vec<u8>>)>,
    ver: u64,
}

impl State {
    fn put(&mut self, key: Key, value: Option<Vec<u8>>) {
        match &value {
            Some(bytes) => {
                self.rows.insert(key.clone(), (bytes.clone(), self.ver));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((self.ver, key, value));
    }
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    /// Serves an empty store at an address.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            shared: Arc::default(),
            started_at: Instant::now(),
        };
        let served = store.clone();
        http::serve(address, move |exchange| served.answer(exchange))?;
        Ok(store)
    }

    /// Writes a row with an empty part, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.put(key, Some(value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        // A steady clock that has run for a while.
        self.started_at.elapsed().as_millis() + 60_000
    }

    fn answer(&self, exchange: &mut Exchange) -> bool {
        let request = &exchange.request;
        let (status, body) = match (request.method(), request.path()) {
            ("POST", "/rows-tx") => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.transact(&text)
            }
            ("GET", "/rows-get") => ("200 OK", self.read(exchange)),
            ("GET", "/rows-feed") => ("200 OK", self.feed(exchange)),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        exchange.answer(status, &headers, body.as_bytes())
    }

    fn transact(&self, text: &str) -> (&'static str, String) {
        let Some(body) = Value::parse(text) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let entries = |name: &str| {
            body.get(name)
                .map_or(Vec::new(), |list| list.list().to_vec())
        };
        let field = |entry: &Value, name: &str| {
            let value = entry.get(name).and_then(Value::text);
            value.unwrap_or_default().to_owned()
        };
        let key = |entry: &Value| {
            (
                field(entry, "table"),
                field(entry, "part"),
                field(entry, "key"),
            )
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let writes: Vec<_> = entries("puts")
            .into_iter()
            .chain(entries("remove"))
            .collect();
        let is_foreign = |entry: &Value| ["op", "servers"].contains(&&*field(entry, "table"));
        if writes.iter().any(is_foreign) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut conflicts = Vec::new();
        for entry in entries("expected") {
            let expected = entry.get("ver").and_then(Value::number).unwrap_or(0.0) as u64;
            let key = key(&entry);
            let known = state.rows.get(&key);
            if known.map_or(0, |(_, ver)| *ver) != expected {
                conflicts.extend(known.map(|(value, ver)| row(&key, Some(value), *ver)));
                conflicts.push(String::new());
            }
        }
        if !conflicts.is_empty() {
            conflicts.retain(|row| !row.is_empty());
            let body = self.rows_body(&conflicts, false, state.ver);
            return ("412 Precondition Failed", body);
        }
        state.ver += 1;
        for entry in entries("puts") {
            let value = decode_base64(&field(&entry, "value")).unwrap_or_default();
            state.put(key(&entry), Some(value));
        }
        for entry in entries("remove") {
            state.put(key(&entry), None);
        }
        changed.notify_all();
        let body = format!("{{\"ver\":{},\"nowMs\":{}}}", state.ver, self.now_ms());
        ("200 OK", body)
    }

    fn read(&self, exchange: &Exchange) -> String {
        let request = &exchange.request;
        let text = |name| request.query(name).unwrap_or_default();
        let first = (text("table"), text("part"), text("from"));
        let state = self.shared.0.lock().unwrap();
        let mut rows = Vec::new();
        let mut has_more = false;
        for (key, (value, ver)) in state.rows.range(first.clone()..) {
            if key.0 != first.0 || key.1 != first.1 {
                break;
            }
            if rows.len() == PAGE {
                has_more = true;
                break;
            }
            rows.push(row(key, Some(value), *ver));
        }
        self.rows_body(&rows, has_more, state.ver)
    }

    fn feed(&self, exchange: &Exchange) -> String {
        let request = &exchange.request;
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0)).min(MAX_WAIT);
        let end = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let newer = state.history.iter().filter(|(ver, ..)| *ver > after);
            let newer = newer.filter(|(_, key, _)| key.0 == table);
            let rows: Vec<_> = newer
                .map(|(ver, key, value)| row(key, value.as_deref(), *ver))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.rows_body(&rows, false, state.ver);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_body(&self, rows: &[String], has_more: bool, ver: u64) -> String {
        let now = self.now_ms();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{ver},\"nowMs\":{now}}}")
    }
}

fn row(key: &Key, value: Option<&[u8]>, ver: u64) -> String {
    let (table, part, name) = key;
    let place = format!(
        "\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver}",
        quote(table),
        quote(part),
        quote(name)
    );
    match value {
        Some(value) => format!("{{{place},\"value\":\"{}\"}}", encode_base64(value)),
        None => format!("{{{place},\"deleted\":true}}"),
    }
}
