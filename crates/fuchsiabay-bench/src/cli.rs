//! Command line of `fuchsiabay-bench`.

use std::{io, net::SocketAddr, process::ExitCode};

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::{
    EngineSettings, FakeEngine, FakeInstanceList, FakeLog, FakeService, FakeWeightStore, LoadSettings,
    LogSettings, Server, Target, run_load,
};

#[derive(Clone, Debug)]
enum Command {
    Engine(SocketAddr, EngineSettings),
    Service { listen: SocketAddr, delay_ms: u64 },
    Log(SocketAddr, LogSettings),
    List { listen: SocketAddr, lag_ms: u64 },
    Weights { listen: SocketAddr, bytes_per_second: u64, expert_len: usize },
    Load(LoadSettings),
    Call { method: String, url: String, body: Option<String> },
}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let command = options().run();
    match async_global_executor::block_on(execute(command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("fuchsiabay-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Engine(listen, settings) => {
            announce(Server::start_at(listen, FakeEngine::handler(settings)).await).await
        }
        Command::Service { listen, delay_ms } => {
            announce(Server::start_at(listen, FakeService::handler(delay_ms)).await).await
        }
        Command::Log(listen, settings) => {
            announce(Server::start_at(listen, FakeLog::handler(settings)).await).await
        }
        Command::List { listen, lag_ms } => {
            announce(Server::start_at(listen, FakeInstanceList::handler(lag_ms)).await).await
        }
        Command::Weights { listen, bytes_per_second, expert_len } => {
            announce(Server::start_at(listen, FakeWeightStore::handler(bytes_per_second, expert_len)).await)
                .await
        }
        Command::Load(settings) => load(settings).await,
        Command::Call { method, url, body } => call(&method, &url, body).await,
    }
}

async fn announce(server: io::Result<Server>) -> Result<ExitCode, String> {
    let server = server.map_err(|error| error.to_string())?;
    server.serve_until_exit().await;
    Ok(ExitCode::SUCCESS)
}

async fn load(settings: LoadSettings) -> Result<ExitCode, String> {
    let report = run_load(settings).await?;
    println!("{}", report.to_json());
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends one request and prints the response body. Chores use it, so that they need no HTTP client of their own.
async fn call(method: &str, url: &str, body: Option<String>) -> Result<ExitCode, String> {
    let method: trillium::Method = method.parse().map_err(|_| format!("{method} is no HTTP method"))?;
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
    let mut conn = client.build_conn(method, url);
    if let Some(body) = body {
        conn = conn.with_request_header("content-type", "application/json").with_body(body);
    }
    (&mut conn).await.map_err(|error| error.to_string())?;
    let text = conn.response_body().read_string().await.map_err(|error| error.to_string())?;
    println!("{text}");
    let success = conn.status().is_some_and(|status| status.is_success());
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn options() -> OptionParser<Command> {
    let engine = construct!(Command::Engine(listen(), engine_settings()))
        .to_options()
        .descr("Stand-in of a model engine")
        .command("engine");
    let service = service().to_options().descr("Stand-in of a plain service").command("service");
    let log = construct!(Command::Log(listen(), log_settings()))
        .to_options()
        .descr("Stand-in of the append-only log")
        .command("log");
    let list = list().to_options().descr("Stand-in of the list of instances").command("list");
    let weights = weights().to_options().descr("Stand-in of the weight store").command("weights");
    let load = construct!(Command::Load(load_settings()))
        .to_options()
        .descr("Sends an open load and prints a report as JSON")
        .command("load");
    let call = call_options().to_options().descr("Sends one request and prints the response").command("call");
    construct!([engine, service, log, list, weights, load, call])
        .to_options()
        .descr("Stand-ins of the platform and a load generator, for tests and measurements only")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen at; port 0 lets the kernel choose")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn number<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: std::str::FromStr<Err: std::fmt::Display> + Clone + std::fmt::Display + 'static,
{
    long(name).help(help).argument::<T>("N").fallback(default).display_fallback()
}

fn engine_settings() -> impl Parser<EngineSettings> {
    let defaults = EngineSettings::default();
    let slots = number("slots", "Streams that run at the same time", defaults.slots);
    let step_us = number("step-us", "Time of a step with an empty batch, in microseconds", defaults.step_us);
    let step_per_stream_us = number(
        "step-per-stream-us",
        "What each running stream adds to a step, in microseconds",
        defaults.step_per_stream_us,
    );
    let prefill_block_us = number(
        "prefill-block-us",
        "What each uncached prompt block adds, in microseconds",
        defaults.prefill_block_us,
    );
    let cache_blocks = number("cache-blocks", "Prompt blocks in the prefix cache", defaults.cache_blocks);
    let event_delay_ms = number(
        "event-delay-ms",
        "How late cache events are published, in milliseconds",
        defaults.event_delay_ms,
    );
    let event_gap = number("event-gap", "Every N-th cache event is lost; 0 loses none", defaults.event_gap);
    let load_lag_ms =
        number("load-lag-ms", "Age of the reported load, in milliseconds", defaults.load_lag_ms);
    let fencing = long("fencing")
        .help("What happens to an order with an old fencing number: check or ignore")
        .argument("MODE")
        .fallback(defaults.fencing);
    let crash_marker = long("crash-marker")
        .help("A request whose prompt contains TEXT crashes the engine")
        .argument("TEXT")
        .fallback(defaults.crash_marker);
    let crash =
        long("crash").help("What a crash does: exit or abort").argument("MODE").fallback(defaults.crash);
    let ranks = number("ranks", "Ranks of the group that the engine hosts; 0 for no group", defaults.ranks);
    let experts = number("experts", "Experts of the group", defaults.experts);
    let weights_us = number("weights-us", "Time to load one expert, in microseconds", defaults.weights_us);
    construct!(EngineSettings {
        slots,
        step_us,
        step_per_stream_us,
        prefill_block_us,
        cache_blocks,
        event_delay_ms,
        event_gap,
        load_lag_ms,
        fencing,
        crash_marker,
        crash,
        ranks,
        experts,
        weights_us,
    })
}

fn service() -> impl Parser<Command> {
    let listen = listen();
    let delay_ms = number("delay-ms", "Time that each call takes, in milliseconds", 0);
    construct!(Command::Service { listen, delay_ms })
}

fn log_settings() -> impl Parser<LogSettings> {
    let defaults = LogSettings::default();
    let appends_per_second =
        number("appends-per-second", "Appends per second over all streams", defaults.appends_per_second);
    let retention_records =
        number("retention-records", "Records of one stream that are kept", defaults.retention_records);
    let retention_ms =
        number("retention-ms", "How long records are kept, in milliseconds", defaults.retention_ms);
    construct!(LogSettings { appends_per_second, retention_records, retention_ms })
}

fn list() -> impl Parser<Command> {
    let listen = listen();
    let lag_ms = number("lag-ms", "Time until a change shows, in milliseconds", 500);
    construct!(Command::List { listen, lag_ms })
}

fn weights() -> impl Parser<Command> {
    let listen = listen();
    let bytes_per_second = number("bytes-per-second", "Limit over all callers", 64 << 20);
    let expert_len = number("expert-len", "Bytes of one expert", 64 << 10);
    construct!(Command::Weights { listen, bytes_per_second, expert_len })
}

fn load_settings() -> impl Parser<LoadSettings> {
    let defaults = LoadSettings::default();
    let seed = number("seed", "Determines arrivals, kinds, lengths and keys", defaults.seed);
    let duration_ms = number("duration-ms", "How long requests arrive", defaults.duration_ms);
    let rate = number("rate", "Requests per second", defaults.rate);
    let target = target();
    let effect_sources =
        long("effects").help("URL of a plain service whose effects count").argument("URL").many();
    let workspaces = long("workspace")
        .help("Workspace of requests; may be repeated")
        .argument("NAME")
        .some("at least one workspace")
        .fallback(defaults.workspaces);
    let model = long("model").help("Model of chat completions").argument("NAME").fallback(defaults.model);
    let look_up_percent = number("look-up-percent", "Share of look-ups", defaults.look_up_percent);
    let keyed_percent =
        number("keyed-percent", "Share of calls that run at most once", defaults.keyed_percent);
    let duplicate_percent =
        number("twin-percent", "Share of keyed calls sent twice", defaults.duplicate_percent);
    let max_duplicate_delay_ms = number(
        "twin-delay-ms",
        "Longest time until a keyed call is sent again",
        defaults.max_duplicate_delay_ms,
    );
    let stream_percent = number("stream-percent", "Share of chats that stream", defaults.stream_percent);
    let long_percent = number("long-percent", "Share of chats with long answers", defaults.long_percent);
    let short_tokens = number("short-tokens", "Tokens of a short answer", defaults.short_tokens);
    let long_tokens = number("long-tokens", "Tokens of a long answer", defaults.long_tokens);
    let deadline_ms = number("deadline-ms", "Deadline of each request", defaults.deadline_ms);
    construct!(LoadSettings {
        seed,
        duration_ms,
        rate,
        target,
        effect_sources,
        workspaces,
        model,
        look_up_percent,
        keyed_percent,
        duplicate_percent,
        max_duplicate_delay_ms,
        stream_percent,
        long_percent,
        short_tokens,
        long_tokens,
        deadline_ms,
    })
}

fn target() -> impl Parser<Target> {
    let entries = long("entry")
        .help("URL of an entry instance; may be repeated")
        .argument("URL")
        .some("no entry given");
    let entries = construct!(Target::Entries(entries));
    let engine = long("engine").help("URL of an engine that is called directly").argument("URL");
    let service = long("service").help("URL of a plain service that is called directly").argument("URL");
    let direct = construct!(Target::Direct { engine, service });
    construct!([entries, direct])
}

fn call_options() -> impl Parser<Command> {
    let method = positional("METHOD").help("HTTP method");
    let url = positional("URL").help("URL");
    let body = positional("BODY").help("JSON body").optional();
    construct!(Command::Call { method, url, body })
}
