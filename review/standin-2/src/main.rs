//! Plays one case of the review: starts the system's processes among stand-ins, writes a record, and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod store;

use std::{
    fs::File,
    io::Write,
    process::exit,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn write(&self, line: &str) {
        self.write_at(Instant::now(), line);
    }

    pub fn write_at(&self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.started_at).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:9.3} {line}").ok();
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(path) else {
        eprintln!("{path}: cannot be written");
        exit(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started_at: Instant::now(),
    };
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    let result = match case.as_str() {
        "wall" => cases::wall::play(&record, has_trouble),
        "isolation" => cases::isolation::play(&record, has_trouble),
        "twice" => cases::twice::play(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    match result {
        Ok(0) => {
            record.write("the rule held");
            println!("held");
        }
        Ok(count) => {
            record.write(&format!("the rule was broken: {count}"));
            println!("broken: {count}");
            exit(1);
        }
        Err(reason) => {
            record.write(&format!("could not run: {reason}"));
            println!("could not run: {reason}");
            exit(2);
        }
    }
}
