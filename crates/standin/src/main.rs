//! Starts one stand-in: `damask-standin ROLE [--listen ADDRESS] [flags]`.

use std::{
    net::SocketAddr,
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
use standin::{
    engine::{
        Config,
        Engine,
        order::Policy, //
    },
    instances::Instances,
    objects::Objects,
    plain::Plain,
    server,
    table::Table, //
};

const HELP: &str = "\
Usage: damask-standin ROLE [flags]

Development only. Roles: table, objects, instances, engine, plain.

  --listen ADDRESS           Address to listen at. Default: 127.0.0.1:0.
  --lag-ms N                 instances: changes show after N ms. Default: 0.
  --version TEXT             engine: weights version. Default: v1.
  --cache-blocks N           engine: blocks in the prompt cache. Default: 1024.
  --prefill-ms N             engine: time for a block that is not cached. Default: 20.
  --decode-ms N              engine: time for a token. Default: 1.
  --report-lag-ms N          engine: age of the load in /metrics. Default: 0.
  --event-delay-ms N         engine: age from which cache events show. Default: 0.
  --event-gap N              engine: one of N cache events is lost. Default: 0, none.
  --load-ms N                engine: time to load weights. Default: 2000.
  --orders checks|ignores    engine: takes orders, and what it does with old ones.
  --no-echo                  engine: do not echo the request id.
  --deduplicates             plain: run each Idempotency-Key once.
  --help                     Print this help and stop.
";

#[derive(Debug)]
struct Args {
    role: String,
    listen: SocketAddr,
    lag: Duration,
    engine: Config,
    deduplicates: bool,
}

fn parse(mut parser: Parser) -> anyhow::Result<Option<Args>> {
    let mut args = Args {
        role: String::new(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        lag: Duration::ZERO,
        engine: Config::default(),
        deduplicates: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") => return Ok(None),
            Arg::Long("listen") => args.listen = parser.value()?.parse()?,
            Arg::Long("lag-ms") => args.lag = parse_millis(&mut parser)?,
            Arg::Long("version") => args.engine.version = parser.value()?.string()?,
            Arg::Long("cache-blocks") => args.engine.cache_blocks = parser.value()?.parse()?,
            Arg::Long("prefill-ms") => args.engine.prefill_per_block = parse_millis(&mut parser)?,
            Arg::Long("decode-ms") => args.engine.decode_per_token = parse_millis(&mut parser)?,
            Arg::Long("report-lag-ms") => args.engine.report_lag = parse_millis(&mut parser)?,
            Arg::Long("event-delay-ms") => args.engine.event_delay = parse_millis(&mut parser)?,
            Arg::Long("event-gap") => args.engine.event_gap = parser.value()?.parse()?,
            Arg::Long("load-ms") => args.engine.load_time = parse_millis(&mut parser)?,
            Arg::Long("orders") => args.engine.order_policy = parse_order_policy(&mut parser)?,
            Arg::Long("no-echo") => args.engine.echoes_id = false,
            Arg::Long("deduplicates") => args.deduplicates = true,
            Arg::Value(role) if args.role.is_empty() => args.role = role.string()?,
            other => return Err(other.unexpected()).context("see damask-standin --help"),
        }
    }
    Ok(Some(args))
}

fn parse_order_policy(parser: &mut Parser) -> anyhow::Result<Policy> {
    match parser.value()?.string()?.as_str() {
        "checks" => Ok(Policy::Checks),
        "ignores" => Ok(Policy::Ignores),
        other => bail!("--orders {other}: use checks or ignores"),
    }
}

fn parse_millis(parser: &mut Parser) -> anyhow::Result<Duration> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

async fn start(args: Args) -> anyhow::Result<server::Handle> {
    let listen = args.listen;
    match args.role.as_str() {
        "table" => server::start(listen, Arc::new(Table::default())).await,
        "objects" => server::start(listen, Arc::new(Objects::default())).await,
        "instances" => server::start(listen, Arc::new(Instances::new(args.lag))).await,
        "engine" => server::start(listen, Arc::new(Engine::new(args.engine))).await,
        "plain" => server::start(listen, Arc::new(Plain::new(args.deduplicates))).await,
        role => bail!("no role {role:?}; see damask-standin --help"),
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let Some(args) = parse(Parser::from_env())? else {
        print!("{HELP}");
        return Ok(());
    };
    let standin = start(args).await?;
    println!("listening {}", standin.address);
    std::future::pending().await
}
