//! Collects the log lines about one request from the logs of several instances.

use std::{
    collections::BTreeSet,
    fs,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::Path,
};

use anyhow::{
    Context,
    anyhow, //
};
use serde::Serialize;
use serde_json::{
    Map,
    Value, //
};
use time::{
    Duration,
    OffsetDateTime,
    format_description::well_known::Rfc3339, //
};

use crate::exit::{
    Exit,
    Failure,
    Result, //
};

/// How long before the request's first line an event may have affected its outcome: longer than
/// loading weights takes.
const LOOKBACK: Duration = Duration::seconds(5);
/// How long after the request's last line an event that affected its outcome may still be logged.
const LOOKAHEAD: Duration = Duration::seconds(1);
/// Fields that relate a line without a request id to a request.
const SUBJECT_FIELDS: [&str; 2] = ["endpoint", "workspace"];
/// Fields left out of the printed details: the other columns show them, or they say little about
/// the request.
const HIDDEN_FIELDS: [&str; 5] = ["timestamp", "level", "event", "name", "request"];
/// Name of the event that counts dropped lines.
const DROPPED_EVENT: &str = "LINES_DROPPED";

/// A parsed log line.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Line {
    /// Last word before the JSON object, or else the file name without its extension.
    source: String,
    /// Whether the line names the request; other lines are about its endpoints, its workspace or
    /// an instance that logged it.
    own: bool,
    /// Parsed field `timestamp`.
    #[serde(skip)]
    at: OffsetDateTime,
    fields: Map<String, Value>,
}

/// All log lines of the instances.
#[derive(Debug, Default)]
struct Logs {
    lines: Vec<Line>,
    /// Number of lines that contain an object but could not be parsed.
    unparsed: usize,
    /// Number of lines that the instances report as dropped.
    dropped: u64,
}

impl Line {
    fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let label = text[..start].split_whitespace().next_back();
        let at = fields.get("timestamp")?.as_str()?;
        Some(Self {
            source: label.unwrap_or(file).to_owned(),
            own: false,
            at: OffsetDateTime::parse(at, &Rfc3339).ok()?,
            fields,
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Formats the fields that are neither hidden nor null, in order of their names.
    fn details(&self) -> String {
        let shown = self
            .fields
            .iter()
            .filter(|(name, value)| !HIDDEN_FIELDS.contains(&name.as_str()) && !value.is_null());
        let texts = shown.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

impl Logs {
    /// Reads a file, all files of a directory, or standard input for `-` or `None`.
    fn read(source: Option<&Path>) -> anyhow::Result<Self> {
        let mut logs = Self::default();
        match source {
            None => logs.read_lines(io::stdin().lock(), "-")?,
            Some(path) if path.as_os_str() == "-" => logs.read_lines(io::stdin().lock(), "-")?,
            Some(path) if path.is_dir() => {
                let entries = fs::read_dir(path)
                    .with_context(|| format!("{}: cannot be read", path.display()))?;
                let mut files = entries
                    .map(|entry| Ok(entry?.path()))
                    .collect::<io::Result<Vec<_>>>()?;
                files.sort();
                for file in files.iter().filter(|file| file.is_file()) {
                    logs.read_file(file)?;
                }
            }
            Some(file) => logs.read_file(file)?,
        }
        Ok(logs)
    }

    fn read_file(&mut self, path: &Path) -> anyhow::Result<()> {
        let file =
            fs::File::open(path).with_context(|| format!("{}: cannot be read", path.display()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        self.read_lines(BufReader::new(file), &name)
    }

    fn read_lines(&mut self, mut reader: impl BufRead, file: &str) -> anyhow::Result<()> {
        let mut text = Vec::new();
        while reader.read_until(b'\n', &mut text)? > 0 {
            let line = String::from_utf8_lossy(&text);
            match Line::parse(&line, file) {
                Some(line) => self.lines.push(line),
                None if line.contains(DROPPED_EVENT) => self.dropped += dropped_count(&line),
                None if line.contains('{') => self.unparsed += 1,
                None => {}
            }
            text.clear();
        }
        Ok(())
    }

    /// Returns the lines that name the request and the related lines, in order of time.
    ///
    /// A related line names no request and lies near the request in time. It names an endpoint or
    /// workspace of the request, or it names neither and comes from a source that logged the
    /// request.
    fn lines_about(&self, id: &str) -> Vec<Line> {
        let names_request = |line: &&Line| line.text("request") == Some(id);
        let request_lines: Vec<&Line> = self.lines.iter().filter(names_request).collect();
        let times = || request_lines.iter().map(|line| line.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return Vec::new();
        };
        let subjects: BTreeSet<&str> = request_lines
            .iter()
            .flat_map(|line| SUBJECT_FIELDS.iter().filter_map(|field| line.text(field)))
            .collect();
        let sources: BTreeSet<&str> = request_lines.iter().map(|line| &*line.source).collect();
        let window = first - LOOKBACK..=last + LOOKAHEAD;
        let is_related = |line: &&Line| {
            let names = SUBJECT_FIELDS.iter().filter_map(|field| line.text(field));
            let shares_subject = names.clone().any(|name| subjects.contains(name));
            let is_general = names.clone().next().is_none() && sources.contains(&*line.source);
            window.contains(&line.at)
                && line.fields.get("request").is_none()
                && (shares_subject || is_general)
        };
        let mut lines: Vec<Line> = self
            .lines
            .iter()
            .filter(|line| names_request(line) || is_related(line))
            .map(|line| Line {
                own: names_request(&line),
                ..line.clone()
            })
            .collect();
        lines.sort_by_key(|line| line.at);
        lines
    }
}

/// Returns the number of dropped lines that a line reports; 0 if it cannot be parsed.
fn dropped_count(text: &str) -> u64 {
    let start = text.find('{').unwrap_or(text.len());
    let fields: Option<Map<String, Value>> = serde_json::from_str(&text[start..]).ok();
    let lines = fields.and_then(|fields| fields.get("lines")?.as_u64());
    lines.unwrap_or_default()
}

/// Prints the lines about one request.
///
/// # Errors
///
/// Fails if the logs cannot be read, or no line names the request.
pub fn run(id: &str, source: Option<&Path>, json: bool) -> Result<()> {
    let logs = Logs::read(source)?;
    let lines = logs.lines_about(id);
    if lines.is_empty() {
        let error = anyhow!(
            "no line names request {id}; {} lines were parsed, {} could not be parsed, and \
             instances left out {}: read the logs of all instances, from before the request arrived",
            logs.lines.len(),
            logs.unparsed,
            logs.dropped,
        );
        return Err(Failure::new(Exit::NotDone, error));
    }
    if json {
        let text = serde_json::to_string_pretty(&lines).map_err(anyhow::Error::from)?;
        println!("{text}");
        return Ok(());
    }
    let request_start = lines.iter().find(|line| line.own).map(|line| line.at);
    for line in &lines {
        let offset = request_start.map_or(0.0, |start| (line.at - start).as_seconds_f64());
        let mark = if line.own { ' ' } else { '.' };
        let name = line.text("name").unwrap_or_default();
        println!(
            "{mark} {offset:>+9.3} s  {:<20} {name:<18} {}",
            line.source,
            line.details()
        );
    }
    if logs.dropped > 0 {
        println!("{} lines were left out of these logs", logs.dropped);
    }
    Ok(())
}
