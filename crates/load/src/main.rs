//! Development tool: a demo, seeded workloads and measurements.

mod capacity;
mod demo;
mod disturb;
mod drive;
mod fleet;
mod measure;
mod report;
mod rights;
mod run;
mod settings;
mod workload;

use std::process::ExitCode;

const HELP: &str = "\
Usage: damask-load COMMAND

Development only. Commands:
  demo DIRECTORY   Start stand-ins and two instances, apply the settings of a
                   directory such as examples/haneul, and send requests.
  run DEPLOYMENT [flags]
                   Send seeded workloads of haneul or trinacria, calm and then
                   disturbed, to one fleet per strategy at the same time.
  settings         Measure how fast changes of settings and withdrawals of keys
                   take effect, and the table reads and writes of idle instances.
  rights [--seeds N] [--term-s N]
                   Compare token rights with an equal split and with the full
                   share at each instance, in simulated time. Default: 3 seeds
                   and a term of 600 s.
  capacity FILE    Compute the tables of docs/CAPACITY.md from the measured
                   slopes in docs/capacity.json.
  --help           Print this help and exit.

Flags of run:
  --seeds LIST         Comma-separated seeds, one run each. Default: 1,2.
  --strategies LIST    Comma-separated; any of round-robin, least-load,
                       prefix-hash, deepest-home, cost (the product's).
                       Default: all.
  --warm-up-s N        Length of the warm-up, in seconds. Default: 4.
  --calm-s N           Length of the calm phase, in seconds. Default: 10.
  --disturbed-s N      Length of the disturbed phase, in seconds. Default: 24.
  --cache-blocks N     Cache capacity of each engine, in blocks. Default: 48.
  --engines N          Model engines. Default: 20.
  --instances N        Instances. Default: 8.
  --in-use N           Instances that callers of one workspace use, the first N
                       of the ranking. Default: 3.
  --scale X            Multiplier of the normal arrival rates. Default: 1.
  --json FILE          Write the report as JSON.
  --svg FILE           Plot the first-token latency of urgent requests over time.
";

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["--help"] => {
            print!("{HELP}");
            Ok(())
        }
        ["run", ..] => match run::Args::parse(lexopt::Parser::from_args(&args[1..])) {
            Ok(args) => run::run(args).await,
            Err(error) => Err(error),
        },
        ["rights", ..] => rights::run(lexopt::Parser::from_args(&args[1..])),
        ["capacity", file] => capacity::Input::read(file.as_ref()).map(|input| {
            print!("{}", input.render());
        }),
        ["settings"] => settings::run().await,
        ["demo", directory] => demo::run(directory.as_ref()).await,
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damask-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}
