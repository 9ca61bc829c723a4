//! One request's way across the instances, from their logs.

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

/// Time before the request's first line in which other events may have led to what became of it:
/// longer than a load of weights takes.
const BEFORE: Duration = Duration::seconds(5);
/// Time after the request's last line in which its causes may still be told of.
const AFTER: Duration = Duration::seconds(1);
/// Fields that tell what a line is about, besides the request itself.
const SUBJECTS: [&str; 2] = ["endpoint", "workspace"];
/// Fields that say little about the request.
const HIDDEN: [&str; 5] = ["timestamp", "level", "event", "name", "request"];
/// Field that counts lines that were left out.
const LEFT_OUT: &str = "LINES_DROPPED";

/// A line of a log.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Line {
    /// Where it was read: what stands before the object, or the name of the file.
    source: String,
    /// Whether it names the request; others are about its endpoints or its workspace.
    own: bool,
    #[serde(skip)]
    at: OffsetDateTime,
    fields: Map<String, Value>,
}

/// The lines of one request, with what was read beside them.
#[derive(Debug, Default)]
struct Logs {
    lines: Vec<Line>,
    /// Lines that do not read.
    unreadable: usize,
    /// Lines that instances say they left out.
    left_out: u64,
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

    /// The fields that say something, in order of their names.
    fn details(&self) -> String {
        let said = self
            .fields
            .iter()
            .filter(|(name, value)| !HIDDEN.contains(&name.as_str()) && !value.is_null());
        let texts = said.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

impl Logs {
    /// Reads a file, all files of a directory, or standard input.
    fn read(source: Option<&Path>) -> anyhow::Result<Self> {
        let mut logs = Self::default();
        match source {
            None => logs.add(io::stdin().lock(), "-")?,
            Some(path) if path.as_os_str() == "-" => logs.add(io::stdin().lock(), "-")?,
            Some(path) if path.is_dir() => {
                let entries = fs::read_dir(path)
                    .with_context(|| format!("{}: cannot be read", path.display()))?;
                let mut files = entries
                    .map(|entry| Ok(entry?.path()))
                    .collect::<io::Result<Vec<_>>>()?;
                files.sort();
                for file in files.iter().filter(|file| file.is_file()) {
                    logs.add_file(file)?;
                }
            }
            Some(file) => logs.add_file(file)?,
        }
        Ok(logs)
    }

    fn add_file(&mut self, path: &Path) -> anyhow::Result<()> {
        let file =
            fs::File::open(path).with_context(|| format!("{}: cannot be read", path.display()))?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        self.add(BufReader::new(file), &name)
    }

    fn add(&mut self, mut reader: impl BufRead, file: &str) -> anyhow::Result<()> {
        let mut text = Vec::new();
        while reader.read_until(b'\n', &mut text)? > 0 {
            let line = String::from_utf8_lossy(&text);
            match Line::parse(&line, file) {
                Some(line) => self.lines.push(line),
                None if line.contains(LEFT_OUT) => self.left_out += left_out(&line),
                None if line.contains('{') => self.unreadable += 1,
                None => {}
            }
            text.clear();
        }
        Ok(())
    }

    /// The lines about the request, in order of time.
    fn about(&self, id: &str) -> Vec<Line> {
        let is_own = |line: &&Line| line.text("request") == Some(id);
        let own: Vec<&Line> = self.lines.iter().filter(is_own).collect();
        let times = || own.iter().map(|line| line.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return Vec::new();
        };
        let subjects: BTreeSet<&str> = own
            .iter()
            .flat_map(|line| SUBJECTS.iter().filter_map(|field| line.text(field)))
            .collect();
        let sources: BTreeSet<&str> = own.iter().map(|line| &*line.source).collect();
        let window = first - BEFORE..=last + AFTER;
        let is_near = |line: &&Line| {
            let named = SUBJECTS.iter().filter_map(|field| line.text(field));
            let is_about = named.clone().any(|name| subjects.contains(name));
            let is_general = named.clone().next().is_none() && sources.contains(&*line.source);
            window.contains(&line.at)
                && line.fields.get("request").is_none()
                && (is_about || is_general)
        };
        let mut lines: Vec<Line> = self
            .lines
            .iter()
            .filter(|line| is_own(line) || is_near(line))
            .map(|line| Line {
                own: is_own(&line),
                ..line.clone()
            })
            .collect();
        lines.sort_by_key(|line| line.at);
        lines
    }
}

/// How many lines a line says were left out; 0 if it does not read.
fn left_out(text: &str) -> u64 {
    let start = text.find('{').unwrap_or(text.len());
    let fields: Option<Map<String, Value>> = serde_json::from_str(&text[start..]).ok();
    let lines = fields.and_then(|fields| fields.get("lines")?.as_u64());
    lines.unwrap_or_default()
}

/// Prints the way of one request.
///
/// # Errors
///
/// If the logs cannot be read, or no line names the request.
pub fn run(id: &str, source: Option<&Path>, json: bool) -> Result<()> {
    let logs = Logs::read(source)?;
    let lines = logs.about(id);
    if lines.is_empty() {
        let error = anyhow!(
            "no line names request {id}; {} lines were read, {} do not read, and instances left out \
             {}: read the logs of all instances, from before the request's time",
            logs.lines.len(),
            logs.unreadable,
            logs.left_out,
        );
        return Err(Failure::new(Exit::NotDone, error));
    }
    if json {
        let text = serde_json::to_string_pretty(&lines).map_err(anyhow::Error::from)?;
        println!("{text}");
        return Ok(());
    }
    let zero = lines.iter().find(|line| line.own).map(|line| line.at);
    for line in &lines {
        let offset = zero.map_or(0.0, |zero| (line.at - zero).as_seconds_f64());
        let mark = if line.own { ' ' } else { '.' };
        let name = line.text("name").unwrap_or_default();
        println!(
            "{mark} {offset:>+9.3} s  {:<20} {name:<18} {}",
            line.source,
            line.details()
        );
    }
    if logs.left_out > 0 {
        println!("{} lines were left out of these logs", logs.left_out);
    }
    Ok(())
}
