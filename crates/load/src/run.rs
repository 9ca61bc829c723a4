//! Runs all strategies at the same time on the same request schedules.

use std::{
    path::PathBuf,
    sync::Arc,
    time::Duration, //
};

use anyhow::{
    Context,
    bail, //
};
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};
use policy::choice::Strategy;
use settings::Class;
use tokio::time::Instant;

use crate::{
    disturb::{
        self,
        Plan, //
    },
    drive,
    fleet::{
        Fleet,
        Size, //
    },
    measure::{
        Outcome,
        PHASES,
        Run, //
    },
    report::{
        Report,
        Row, //
    },
    workload::{
        self,
        Deployment,
        Kind,
        Schedule, //
    }, //
};

/// Strategies and their names on the command line.
const STRATEGIES: [(&str, Strategy); 5] = [
    ("round-robin", Strategy::RoundRobin),
    ("least-load", Strategy::LeastLoad),
    ("prefix-hash", Strategy::PrefixHash),
    ("deepest-home", Strategy::DeepestHome),
    ("cost", Strategy::Cost),
];

/// Arguments of the `run` command.
#[derive(Clone, Debug)]
pub struct Args {
    deployment: &'static Deployment,
    seeds: Vec<u64>,
    strategies: Vec<(&'static str, Strategy)>,
    plan: Plan,
    size: Size,
    json: Option<PathBuf>,
    svg: Option<PathBuf>,
}

impl Args {
    /// Parses the arguments after `run`.
    ///
    /// # Errors
    ///
    /// If a flag is unknown or its value is invalid.
    pub fn parse(mut parser: Parser) -> anyhow::Result<Self> {
        let seconds = Duration::from_secs;
        let mut phase_lengths = [4, 10, 24].map(seconds);
        let mut args = Self {
            deployment: &workload::HANEUL,
            seeds: vec![1, 2],
            strategies: STRATEGIES.to_vec(),
            plan: Plan::new(phase_lengths),
            size: Size {
                instances: 8,
                engines: 20,
                plain_services: 3,
                cache_blocks: 48,
                workspace_instances: 3,
                scale: 1.0,
            },
            json: None,
            svg: None,
        };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(name) => {
                    let name = name.string()?;
                    args.deployment = workload::deployment(&name)
                        .with_context(|| format!("unknown deployment {name:?}; see --help"))?;
                }
                Arg::Long("seeds") => args.seeds = parse_list(&mut parser, |s| Ok(s.parse()?))?,
                Arg::Long("strategies") => args.strategies = parse_list(&mut parser, strategy)?,
                Arg::Long("warm-up-s") => phase_lengths[0] = seconds(parser.value()?.parse()?),
                Arg::Long("calm-s") => phase_lengths[1] = seconds(parser.value()?.parse()?),
                Arg::Long("disturbed-s") => phase_lengths[2] = seconds(parser.value()?.parse()?),
                Arg::Long("cache-blocks") => args.size.cache_blocks = parser.value()?.parse()?,
                Arg::Long("engines") => args.size.engines = parser.value()?.parse()?,
                Arg::Long("instances") => args.size.instances = parser.value()?.parse()?,
                Arg::Long("in-use") => args.size.workspace_instances = parser.value()?.parse()?,
                Arg::Long("scale") => args.size.scale = parser.value()?.parse()?,
                Arg::Long("json") => args.json = Some(parser.value()?.into()),
                Arg::Long("svg") => args.svg = Some(parser.value()?.into()),
                other => return Err(other.unexpected()).context("see damask-load --help"),
            }
        }
        args.plan = Plan::new(phase_lengths);
        if args.size.engines < 2 || args.size.instances < 4 {
            bail!("too few for the disturbances; use at least 2 engines and 4 instances");
        }
        if args.size.workspace_instances == 0 {
            bail!("--in-use is 0; use 1 or more");
        }
        Ok(args)
    }
}

fn parse_list<T>(
    parser: &mut Parser,
    parse: impl Fn(&str) -> anyhow::Result<T>,
) -> anyhow::Result<Vec<T>> {
    parser.value()?.string()?.split(',').map(parse).collect()
}

fn strategy(name: &str) -> anyhow::Result<(&'static str, Strategy)> {
    let entry = STRATEGIES.iter().find(|(known, _)| *known == name);
    entry
        .copied()
        .with_context(|| format!("unknown strategy {name:?}; see --help"))
}

/// Runs the seeds in turn, each with all strategies at the same time, and prints the report.
///
/// # Errors
///
/// If a fleet does not start or a file cannot be written.
pub async fn run(args: Args) -> anyhow::Result<()> {
    let load_average = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let mut runs: Vec<Run> = args.strategies.iter().map(|_| Run::default()).collect();
    for &seed in &args.seeds {
        let plan = args.plan;
        let schedule = Arc::new(workload::schedule(
            args.deployment,
            seed,
            plan.end,
            args.size.scale,
            plan.shift(),
        ));
        for (run, seed_run) in runs.iter_mut().zip(run_seed(&args, &schedule).await?) {
            run.records.extend(seed_run.records);
            run.computed.extend(seed_run.computed);
        }
    }
    let report = Report {
        deployment: args.deployment.name,
        seeds: args.seeds.clone(),
        load_average: load_average.trim().to_owned(),
        rows: args
            .strategies
            .iter()
            .zip(&runs)
            .map(|((name, _), run)| row(&args, name, run))
            .collect(),
    };
    print!("{}", report.text());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text)
            .with_context(|| format!("{}: cannot be written", path.display()))?;
    }
    if let Some(path) = &args.svg {
        report.write_svg(path)?;
    }
    Ok(())
}

/// Runs one schedule on one fleet per strategy, all at the same time.
async fn run_seed(args: &Args, schedule: &Schedule) -> anyhow::Result<Vec<Run>> {
    let mut fleets = Vec::new();
    for (_, strategy) in &args.strategies {
        fleets.push(Arc::new(
            Fleet::start(args.deployment, *strategy, args.size).await?,
        ));
    }
    let start = Instant::now();
    let mut tasks = Vec::new();
    for fleet in &fleets {
        let drive = tokio::spawn(drive::run(fleet.clone(), schedule.clone(), start));
        let disturb = tokio::spawn(disturb::run(fleet.clone(), args.plan, start));
        tasks.push((drive, disturb));
    }
    let mut runs = Vec::new();
    for (fleet, (drive, disturb)) in fleets.into_iter().zip(tasks) {
        let mut run = Run {
            records: drive.await?,
            ..Run::default()
        };
        disturb.await??;
        let events: Vec<_> = fleet.engines.iter().map(|engine| engine.events()).collect();
        run.add_events(&events, start);
        runs.push(run);
        if let Some(fleet) = Arc::into_inner(fleet) {
            fleet.stop().await;
        }
    }
    Ok(runs)
}

fn row(args: &Args, strategy: &'static str, run: &Run) -> Row {
    let measure = |phase| run.measure(args.deployment, &args.plan, phase);
    let urgent = run.records.iter().filter(|record| {
        let stream = &args.deployment.streams[record.stream];
        let is_model = matches!(stream.kind, Kind::Model { .. });
        is_model && stream.class == Class::Urgent && record.outcome == Outcome::Answered
    });
    Row {
        strategy,
        phases: PHASES.into_iter().map(measure).collect(),
        points: urgent
            .map(|record| (record.at.as_secs_f64(), record.latency.as_secs_f64() * 1e3))
            .collect(),
    }
}
