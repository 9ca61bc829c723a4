//! The command line: low-level words and flags in, checked arguments out.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use anyhow::{
    Context,
    anyhow,
    bail, //
};
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};
use settings::Path;

use crate::{
    flag::{
        self,
        Flag, //
    },
    spec::{
        self,
        Kind,
        Spec, //
    }, //
};

/// Environment variable that holds the operator's or caller's key.
pub const KEY_VARIABLE: &str = "DAMASK_KEY";
/// Environment variable that holds the address if no flag does.
const ADDRESS_VARIABLE: &str = "DAMASK_ADDRESS";
/// Longest wait of `--wait` if no flag says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Words and flags as they were given.
#[derive(Clone, Debug, Default)]
struct Low {
    words: Vec<String>,
    flags: Vec<(Flag, String)>,
}

/// Where to ask and how to print.
#[derive(Clone, Debug)]
pub struct Target {
    /// Operator plane, or caller plane for `which`.
    pub address: SocketAddr,
    /// Key to show.
    pub key: Option<String>,
    /// Print JSON.
    pub json: bool,
}

/// How a change is made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// Revision that must be the newest.
    pub base: Option<u64>,
    /// Check only.
    pub dry_run: bool,
    /// Longest wait until it is in force everywhere; none not to wait.
    pub wait: Option<Duration>,
}

/// Which settings a directory is compared with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scope {
    /// The directory.
    pub directory: PathBuf,
    /// Path below which settings are considered, or `/`.
    pub under: String,
    /// Remove settings that the directory lacks.
    pub prune: bool,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    Which,
    Status,
    Drain,
    Get(Path),
    List(String),
    Set(Path, PathBuf, Write),
    Remove(Path, Write),
    Diff(Scope),
    Apply(Scope, Write),
    History {
        last: Option<u64>,
        most: Option<u64>,
    },
    Schema,
    Explain(String, Option<PathBuf>),
    Give {
        path: Path,
        workspace: String,
        write: Write,
    },
    Withdraw(Path),
    Keys(String),
}

/// The checked command line.
#[derive(Clone, Debug)]
pub enum Args {
    /// Print this help and stop.
    Help(String),
    /// Print the schema, which needs no instance.
    Schema,
    /// Print a request's way from logs, which needs no instance.
    Explain {
        /// The request.
        id: String,
        /// File or directory; standard input if there is none.
        source: Option<PathBuf>,
        /// Print JSON.
        json: bool,
    },
    /// Run a command.
    Remote(Target, Command),
}

impl Args {
    /// Parses and checks the command line.
    ///
    /// # Errors
    ///
    /// If a word or flag is not known, missing or malformed; names the remedy.
    pub fn parse(parser: Parser) -> anyhow::Result<Self> {
        let low = Low::parse(parser)?;
        let Some(spec) = Spec::find(&low.words) else {
            if low.has(flag::HELP) {
                return Ok(Self::Help(spec::help()));
            }
            let words = low.words.join(" ");
            bail!("no command {words:?}; see damaskctl --help");
        };
        if low.has(flag::HELP) {
            return Ok(Self::Help(spec.help()));
        }
        let usage = || format!("usage: damaskctl {} [flags]", spec.usage());
        low.check(spec).with_context(usage)?;
        let command = low.command(spec).with_context(usage)?;
        if command == Command::Schema {
            return Ok(Self::Schema);
        }
        if let Command::Explain(id, source) = command {
            let json = low.has(flag::JSON);
            return Ok(Self::Explain { id, source, json });
        }
        Ok(Self::Remote(low.target()?, command))
    }
}

impl Low {
    fn parse(mut parser: Parser) -> anyhow::Result<Self> {
        let mut low = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(word) => low.words.push(word.string()?),
                Arg::Short('h') => low.flags.push((flag::HELP, String::new())),
                Arg::Long(name) => {
                    let Some(flag) = flag::ALL.iter().find(|flag| flag.name == name) else {
                        bail!("no flag --{name}; see damaskctl --help");
                    };
                    let value = match flag.value {
                        Some(_) => parser.value()?.string()?,
                        None => String::new(),
                    };
                    low.flags.push((*flag, value));
                }
                Arg::Short(name) => bail!("no flag -{name}; see damaskctl --help"),
            }
        }
        Ok(low)
    }

    fn has(&self, flag: Flag) -> bool {
        self.flags.iter().any(|(given, _)| *given == flag)
    }

    /// The last value of a flag, parsed.
    fn value<T: std::str::FromStr>(&self, flag: Flag) -> anyhow::Result<Option<T>> {
        let given = self.flags.iter().rev().find(|(given, _)| *given == flag);
        let Some((_, text)) = given else {
            return Ok(None);
        };
        let value = text.parse().map_err(|_| {
            let wanted = flag.value.unwrap_or_default();
            anyhow!("--{} {text:?} is no {wanted}", flag.name)
        });
        value.map(Some)
    }

    /// Operands and flags must be those of the command.
    fn check(&self, spec: &Spec) -> anyhow::Result<()> {
        let operands = self.words.len() - spec.words.len();
        let least = spec.operands.iter().filter(|o| !o.starts_with('[')).count();
        if operands < least {
            bail!("{} is missing", spec.operands[operands]);
        }
        if operands > spec.operands.len() {
            let extra = &self.words[spec.words.len() + spec.operands.len()];
            bail!("{extra:?} is one word too many");
        }
        for (given, _) in &self.flags {
            if !spec.flags.contains(given) && !flag::COMMON.contains(given) {
                bail!("--{} is no flag of this command", given.name);
            }
        }
        Ok(())
    }

    fn operand(&self, spec: &Spec, index: usize) -> Option<&str> {
        self.words.get(spec.words.len() + index).map(String::as_str)
    }

    fn path(&self, spec: &Spec) -> anyhow::Result<Path> {
        Ok(self.operand(spec, 0).unwrap_or_default().parse()?)
    }

    fn command(&self, spec: &Spec) -> anyhow::Result<Command> {
        let prefix = self.operand(spec, 0).unwrap_or("/").to_owned();
        Ok(match spec.kind {
            Kind::Which => Command::Which,
            Kind::Status => Command::Status,
            Kind::Drain => Command::Drain,
            Kind::SettingsGet => Command::Get(self.path(spec)?),
            Kind::SettingsList => Command::List(prefix),
            Kind::SettingsSet => {
                let file = self.operand(spec, 1).unwrap_or_default();
                Command::Set(self.path(spec)?, file.into(), self.write()?)
            }
            Kind::SettingsRemove => Command::Remove(self.path(spec)?, self.write()?),
            Kind::SettingsDiff => Command::Diff(self.scope(spec)?),
            Kind::SettingsApply => Command::Apply(self.scope(spec)?, self.write()?),
            Kind::SettingsHistory => Command::History {
                last: self.value(flag::LAST)?,
                most: self.value(flag::MOST)?,
            },
            Kind::SettingsSchema => Command::Schema,
            Kind::Explain => {
                let source = self.operand(spec, 1).map(PathBuf::from);
                Command::Explain(prefix, source)
            }
            Kind::KeyGive => self.give(spec)?,
            Kind::KeyWithdraw => Command::Withdraw(self.path(spec)?),
            Kind::KeyList => Command::Keys(prefix),
        })
    }

    fn give(&self, spec: &Spec) -> anyhow::Result<Command> {
        let path = self.path(spec)?;
        let segments: Vec<&str> = path.segments().collect();
        if !matches!(segments.as_slice(), ["teams", _, "keys", _]) {
            bail!("{path} is no path of a key; use /teams/<team>/keys/<name>");
        }
        let Some(workspace) = self.value(flag::WORKSPACE)? else {
            bail!("--workspace NAME is missing");
        };
        let write = self.write()?;
        Ok(Command::Give {
            path,
            workspace,
            write,
        })
    }

    fn write(&self) -> anyhow::Result<Write> {
        let timeout = self.value(flag::TIMEOUT)?.map(Duration::from_secs);
        Ok(Write {
            base: self.value(flag::BASE)?,
            dry_run: self.has(flag::DRY_RUN),
            wait: self
                .has(flag::WAIT)
                .then(|| timeout.unwrap_or(DEFAULT_TIMEOUT)),
        })
    }

    fn scope(&self, spec: &Spec) -> anyhow::Result<Scope> {
        let under: Option<Path> = self.value(flag::UNDER)?;
        let prune = self.has(flag::PRUNE);
        if prune && under.is_none() {
            bail!("--prune needs --under PATH, so that nothing else is removed");
        }
        Ok(Scope {
            directory: self.operand(spec, 0).unwrap_or_default().into(),
            under: under.map_or_else(|| "/".to_owned(), String::from),
            prune,
        })
    }

    fn target(&self) -> anyhow::Result<Target> {
        let address = match self.value(flag::ADDRESS)? {
            Some(address) => address,
            None => std::env::var(ADDRESS_VARIABLE)
                .map_err(|_| anyhow!("--address IP:PORT is missing; see damaskctl --help"))?
                .parse()
                .with_context(|| format!("{ADDRESS_VARIABLE} is no IP:PORT"))?,
        };
        Ok(Target {
            address,
            key: std::env::var(KEY_VARIABLE).ok(),
            json: self.has(flag::JSON),
        })
    }
}
