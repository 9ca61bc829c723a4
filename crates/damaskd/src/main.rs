//! Entry point: parses the command line and runs the daemon.

use std::process::ExitCode;

use damaskd::{
    args::Args,
    config::Config,
    daemon, //
};

/// Exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;
/// Exit code for a failure while running.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let args = match Args::parse(lexopt::Parser::from_env()) {
        Ok(args) => args,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    if args.help {
        print!("{}", damaskd::args::help());
        return ExitCode::SUCCESS;
    }
    let config = match Config::read(&args.config) {
        Ok(config) => config,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    if args.check {
        println!("{}: ok", args.config.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(config, &args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

fn fail(code: u8, error: &anyhow::Error) -> ExitCode {
    eprintln!("damaskd: {error:#}");
    ExitCode::from(code)
}
