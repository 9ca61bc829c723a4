//! The daemon's command line.

use std::path::PathBuf;

use anyhow::{
    Context,
    bail, //
};
use lexopt::{
    Arg,
    Parser, //
};
use telemetry::log::{
    Format,
    Level, //
};

/// One flag, as listed in the help.
#[derive(Clone, Copy, Debug)]
struct Flag {
    name: &'static str,
    value: Option<&'static str>,
    doc: &'static str,
}

const FLAGS: &[Flag] = &[
    Flag {
        name: "config",
        value: Some("FILE"),
        doc: "JSON settings of this instance; docs/SETTINGS.md lists the fields.",
    },
    Flag {
        name: "check",
        value: None,
        doc: "Check the settings file and stop.",
    },
    Flag {
        name: "log-format",
        value: Some("text|json"),
        doc: "Format of log lines on standard error. Default: text.",
    },
    Flag {
        name: "log-level",
        value: Some("LEVEL"),
        doc: "error, warn, info, debug or trace. Default: info.",
    },
    Flag {
        name: "help",
        value: None,
        doc: "Print this help and stop.",
    },
];

/// The checked command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Args {
    /// Path of the settings file.
    pub config: PathBuf,
    /// Whether to exit after checking the settings file.
    pub check: bool,
    /// Format of log lines.
    pub log_format: Format,
    /// Least severe level that is logged.
    pub log_level: Level,
    /// Whether to print the help and exit.
    pub help: bool,
}

impl Args {
    /// Parses the command line.
    ///
    /// # Errors
    ///
    /// If a flag is unknown, lacks its value, or `--config` is missing.
    pub fn parse(mut parser: Parser) -> anyhow::Result<Self> {
        let mut args = Self {
            config: PathBuf::new(),
            check: false,
            log_format: Format::default(),
            log_level: Level::default(),
            help: false,
        };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("config") => args.config = parser.value()?.into(),
                Arg::Long("check") => args.check = true,
                Arg::Long("log-format") => args.log_format = utf8_value(&mut parser)?.parse()?,
                Arg::Long("log-level") => args.log_level = utf8_value(&mut parser)?.parse()?,
                Arg::Long("help") | Arg::Short('h') => args.help = true,
                other => return Err(other.unexpected()).context("see damaskd --help"),
            }
        }
        if args.config.as_os_str().is_empty() && !args.help {
            bail!("--config FILE is missing; see damaskd --help");
        }
        Ok(args)
    }
}

/// The value of the flag just parsed.
fn utf8_value(parser: &mut Parser) -> anyhow::Result<String> {
    let value = parser.value()?;
    value
        .into_string()
        .map_err(|value| anyhow::anyhow!("{} is not UTF-8", value.to_string_lossy()))
}

/// The help text.
pub fn help() -> String {
    let mut text = String::from("Usage: damaskd --config FILE [flags]\n\n");
    for flag in FLAGS {
        let value = flag
            .value
            .map(|value| format!(" {value}"))
            .unwrap_or_default();
        let usage = format!("--{}{value}", flag.name);
        text.push_str(&format!("  {usage:<26}{}\n", flag.doc));
    }
    text.push_str(
        "\nExit codes: 0 stopped as planned, 1 failure, 2 bad command line or settings.\n",
    );
    text
}
