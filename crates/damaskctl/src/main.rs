//! The command line for operators and callers.

mod args;
mod client;
mod directory;
mod exit;
mod explain;
mod flag;
mod fleet;
mod key;
mod settings_command;
mod spec;
mod wait;

use std::process::ExitCode;

use args::{
    Args,
    Command,
    Target, //
};
use exit::{
    Exit,
    Result, //
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = match Args::parse(lexopt::Parser::from_env()) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("damaskctl: {error:#}");
            return ExitCode::from(Exit::Usage.code());
        }
    };
    let result = match args {
        Args::Help(text) => {
            print!("{text}");
            Ok(())
        }
        Args::Schema => settings_command::schema(),
        Args::Explain { id, source, json } => explain::run(&id, source.as_deref(), json),
        Args::Remote(target, command) => run_remote(&target, command).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("damaskctl: {failure}");
            ExitCode::from(failure.exit.code())
        }
    }
}

async fn run_remote(target: &Target, command: Command) -> Result<()> {
    match command {
        Command::Which => fleet::which(target).await,
        Command::Status => fleet::status(target).await,
        Command::Drain => fleet::drain(target).await,
        Command::Get(path) => settings_command::get(target, &path).await,
        Command::List(prefix) => settings_command::list(target, &prefix).await,
        Command::Set(path, file, write) => settings_command::set(target, path, &file, &write).await,
        Command::Remove(path, write) => settings_command::remove(target, path, &write).await,
        Command::Diff(scope) => settings_command::diff(target, &scope).await,
        Command::Apply(scope, write) => settings_command::apply(target, &scope, &write).await,
        Command::History { last, limit } => settings_command::history(target, last, limit).await,
        // `main` runs these two, which need no instance.
        Command::Schema | Command::Explain(..) => Ok(()),
        Command::KeyGive {
            path,
            workspace,
            write,
        } => key::give(target, path, workspace, &write).await,
        Command::KeyWithdraw(path) => key::withdraw(target, &path).await,
        Command::KeyList(prefix) => key::list(target, &prefix).await,
    }
}
