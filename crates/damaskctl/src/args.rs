//! Parses the command line into words and flags, and checks them against the command.

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

/// Environment variable with the API key of the operator or caller.
pub const KEY_VARIABLE: &str = "DAMASK_KEY";
/// Environment variable with the address, used without `--address`.
const ADDRESS_VARIABLE: &str = "DAMASK_ADDRESS";
/// Timeout of `--wait` without `--timeout`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Unchecked words and flags, in the order of the command line.
#[derive(Clone, Debug, Default)]
struct Tokens {
    /// Words of the command, then its operands.
    words: Vec<String>,
    /// Flags with their values; the value is empty if the flag takes none.
    flags: Vec<(Flag, String)>,
}

/// Instance to contact, and the output format.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the operator plane, or of the caller plane for `which`.
    pub address: SocketAddr,
    /// API key sent with each request.
    pub key: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Options of a command that writes settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// Revision that must still be the newest, else nothing is changed.
    pub base_revision: Option<u64>,
    /// Whether to check the changes without making them.
    pub dry_run: bool,
    /// How long to wait until the change is in force at every live instance; `None` returns
    /// without waiting.
    pub wait_timeout: Option<Duration>,
}

/// A directory and the part of the settings to compare it with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scope {
    /// Directory with the desired settings.
    pub directory: PathBuf,
    /// Root of the compared subtree; `/` for all settings.
    pub under: String,
    /// Whether settings below `under` that are missing from the directory are removed.
    pub prune: bool,
}

/// A command with its checked operands and flags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    Which,
    Status,
    Drain,
    /// `settings get PATH`
    Get(Path),
    /// `settings list [PATH]`
    List(String),
    /// `settings set PATH FILE`
    Set(Path, PathBuf, Write),
    /// `settings remove PATH`
    Remove(Path, Write),
    /// `settings diff DIRECTORY`
    Diff(Scope),
    /// `settings apply DIRECTORY`
    Apply(Scope, Write),
    /// `settings history`
    History {
        /// Newest revision to show.
        last: Option<u64>,
        /// Maximum number of commits to show.
        limit: Option<u64>,
    },
    /// `settings schema`
    Schema,
    /// `explain ID [LOGS]`
    Explain(String, Option<PathBuf>),
    /// `key give PATH`
    KeyGive {
        path: Path,
        workspace: String,
        write: Write,
    },
    /// `key withdraw PATH`
    KeyWithdraw(Path),
    /// `key list [PATH]`
    KeyList(String),
}

/// The checked command line.
#[derive(Clone, Debug)]
pub enum Args {
    /// Print this help text.
    Help(String),
    /// Print the schema of the settings; needs no instance.
    Schema,
    /// Print the log lines of one request; needs no instance.
    Explain {
        /// Id of the request.
        id: String,
        /// Log file, or directory of log files; standard input if `None`.
        source: Option<PathBuf>,
        /// Whether to print JSON.
        json: bool,
    },
    /// Run a command against an instance.
    Remote(Target, Command),
}

impl Args {
    /// Parses and checks the command line.
    ///
    /// # Errors
    ///
    /// Fails if a word or flag is unknown, missing or malformed. The error names the remedy.
    pub fn parse(parser: Parser) -> anyhow::Result<Self> {
        let tokens = Tokens::parse(parser)?;
        let Some(spec) = Spec::find(&tokens.words) else {
            if tokens.has(flag::HELP) {
                return Ok(Self::Help(spec::help()));
            }
            let words = tokens.words.join(" ");
            bail!("unknown command {words:?}; see damaskctl --help");
        };
        if tokens.has(flag::HELP) {
            return Ok(Self::Help(spec.help()));
        }
        let usage_hint = || format!("usage: damaskctl {} [flags]", spec.usage());
        tokens.check(spec).with_context(usage_hint)?;
        let command = tokens.command(spec).with_context(usage_hint)?;
        if command == Command::Schema {
            return Ok(Self::Schema);
        }
        if let Command::Explain(id, source) = command {
            let json = tokens.has(flag::JSON);
            return Ok(Self::Explain { id, source, json });
        }
        Ok(Self::Remote(tokens.target()?, command))
    }
}

impl Tokens {
    fn parse(mut parser: Parser) -> anyhow::Result<Self> {
        let mut tokens = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(word) => tokens.words.push(word.string()?),
                Arg::Short('h') => tokens.flags.push((flag::HELP, String::new())),
                Arg::Long(name) => {
                    let Some(flag) = flag::ALL.iter().find(|flag| flag.name == name) else {
                        bail!("unknown flag --{name}; see damaskctl --help");
                    };
                    let value = match flag.value_name {
                        Some(_) => parser.value()?.string()?,
                        None => String::new(),
                    };
                    tokens.flags.push((*flag, value));
                }
                Arg::Short(name) => bail!("unknown flag -{name}; see damaskctl --help"),
            }
        }
        Ok(tokens)
    }

    fn has(&self, flag: Flag) -> bool {
        self.flags.iter().any(|(present, _)| *present == flag)
    }

    /// Parses the last value of a flag; `None` without the flag.
    fn value<T: std::str::FromStr>(&self, flag: Flag) -> anyhow::Result<Option<T>> {
        let last = self
            .flags
            .iter()
            .rev()
            .find(|(present, _)| *present == flag);
        let Some((_, text)) = last else {
            return Ok(None);
        };
        let value = text.parse().map_err(|_| {
            let value_name = flag.value_name.unwrap_or_default();
            anyhow!("--{} {text:?} is not a valid {value_name}", flag.name)
        });
        value.map(Some)
    }

    /// Checks the number of operands, and that the command takes each flag.
    fn check(&self, spec: &Spec) -> anyhow::Result<()> {
        let operand_count = self.words.len() - spec.words.len();
        let required = spec.operands.iter().filter(|o| !o.starts_with('[')).count();
        if operand_count < required {
            bail!("{} is missing", spec.operands[operand_count]);
        }
        if operand_count > spec.operands.len() {
            let extra = &self.words[spec.words.len() + spec.operands.len()];
            bail!("unexpected operand {extra:?}");
        }
        for (flag, _) in &self.flags {
            if !spec.flags.contains(flag) && !flag::COMMON.contains(flag) {
                bail!("--{} is not a flag of this command", flag.name);
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
        let first_operand = self.operand(spec, 0).unwrap_or("/").to_owned();
        Ok(match spec.kind {
            Kind::Which => Command::Which,
            Kind::Status => Command::Status,
            Kind::Drain => Command::Drain,
            Kind::SettingsGet => Command::Get(self.path(spec)?),
            Kind::SettingsList => Command::List(first_operand),
            Kind::SettingsSet => {
                let file = self.operand(spec, 1).unwrap_or_default();
                Command::Set(self.path(spec)?, file.into(), self.write()?)
            }
            Kind::SettingsRemove => Command::Remove(self.path(spec)?, self.write()?),
            Kind::SettingsDiff => Command::Diff(self.scope(spec)?),
            Kind::SettingsApply => Command::Apply(self.scope(spec)?, self.write()?),
            Kind::SettingsHistory => Command::History {
                last: self.value(flag::LAST)?,
                limit: self.value(flag::MOST)?,
            },
            Kind::SettingsSchema => Command::Schema,
            Kind::Explain => {
                let source = self.operand(spec, 1).map(PathBuf::from);
                Command::Explain(first_operand, source)
            }
            Kind::KeyGive => self.key_give(spec)?,
            Kind::KeyWithdraw => Command::KeyWithdraw(self.path(spec)?),
            Kind::KeyList => Command::KeyList(first_operand),
        })
    }

    fn key_give(&self, spec: &Spec) -> anyhow::Result<Command> {
        let path = self.path(spec)?;
        let segments: Vec<&str> = path.segments().collect();
        if !matches!(segments.as_slice(), ["teams", _, "keys", _]) {
            bail!("{path} is not the path of a key; use /teams/<team>/keys/<name>");
        }
        let Some(workspace) = self.value(flag::WORKSPACE)? else {
            bail!("--workspace NAME is missing");
        };
        let write = self.write()?;
        Ok(Command::KeyGive {
            path,
            workspace,
            write,
        })
    }

    fn write(&self) -> anyhow::Result<Write> {
        let timeout = self.value(flag::TIMEOUT)?.map(Duration::from_secs);
        Ok(Write {
            base_revision: self.value(flag::BASE)?,
            dry_run: self.has(flag::DRY_RUN),
            wait_timeout: self
                .has(flag::WAIT)
                .then(|| timeout.unwrap_or(DEFAULT_WAIT_TIMEOUT)),
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
                .with_context(|| format!("{ADDRESS_VARIABLE} is not a valid IP:PORT"))?,
        };
        Ok(Target {
            address,
            key: std::env::var(KEY_VARIABLE).ok(),
            json: self.has(flag::JSON),
        })
    }
}
