//! Command-line interface of `fuchsiabay-bench`.

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

/// Parses the command line and runs the command.
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
            serve(Server::start_at(listen, FakeEngine::handler(settings)).await).await
        }
        Command::Service { listen, delay_ms } => {
            serve(Server::start_at(listen, FakeService::handler(delay_ms)).await).await
        }
        Command::Log(listen, settings) => {
            serve(Server::start_at(listen, FakeLog::handler(settings)).await).await
        }
        Command::List { listen, lag_ms } => {
            serve(Server::start_at(listen, FakeInstanceList::handler(lag_ms)).await).await
        }
        Command::Weights { listen, bytes_per_second, expert_len } => {
            serve(Server::start_at(listen, FakeWeightStore::handler(bytes_per_second, expert_len)).await)
                .await
        }
        Command::Load(settings) => generate_load(settings).await,
        Command::Call { method, url, body } => send_request(&method, &url, body).await,
    }
}

async fn serve(server: io::Result<Server>) -> Result<ExitCode, String> {
    let server = server.map_err(|error| error.to_string())?;
    server.serve_until_exit().await;
    Ok(ExitCode::SUCCESS)
}

async fn generate_load(settings: LoadSettings) -> Result<ExitCode, String> {
    let report = run_load(settings).await?;
    println!("{}", report.to_json());
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends one request and prints the response body. `cargo xtask` uses it, so that it needs no HTTP client of its own.
async fn send_request(method: &str, url: &str, body: Option<String>) -> Result<ExitCode, String> {
    let method: trillium::Method = method.parse().map_err(|_| format!("invalid HTTP method: {method}"))?;
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
        .descr("Fake model engine")
        .command("engine");
    let service = service_command().to_options().descr("Fake plain service").command("service");
    let log = construct!(Command::Log(listen(), log_settings()))
        .to_options()
        .descr("Fake append-only log")
        .command("log");
    let list = list_command().to_options().descr("Fake instance list").command("list");
    let weights = weights_command().to_options().descr("Fake weight store").command("weights");
    let load = construct!(Command::Load(load_settings()))
        .to_options()
        .descr("Generates an open-loop load and prints a report as JSON")
        .command("load");
    let call = call_command().to_options().descr("Sends one request and prints the response").command("call");
    construct!([engine, service, log, list, weights, load, call])
        .to_options()
        .descr("Fakes of the platform services and a load generator, for tests and measurements only")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; with port 0, the operating system assigns a port")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn number_option<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: std::str::FromStr<Err: std::fmt::Display> + Clone + std::fmt::Display + 'static,
{
    long(name).help(help).argument::<T>("N").fallback(default).display_fallback()
}

fn engine_settings() -> impl Parser<EngineSettings> {
    let defaults = EngineSettings::default();
    let slots = number_option("slots", "Maximum number of concurrently running streams", defaults.slots);
    let step_us =
        number_option("step-us", "Duration of a step with an empty batch, in microseconds", defaults.step_us);
    let step_per_stream_us = number_option(
        "step-per-stream-us",
        "Additional step time for each running stream, in microseconds",
        defaults.step_per_stream_us,
    );
    let prefill_block_us = number_option(
        "prefill-block-us",
        "Additional step time for each uncached prompt block, in microseconds",
        defaults.prefill_block_us,
    );
    let cache_blocks = number_option(
        "cache-blocks",
        "Capacity of the prefix cache, in prompt blocks",
        defaults.cache_blocks,
    );
    let event_delay_ms = number_option(
        "event-delay-ms",
        "Delay of published cache events, in milliseconds",
        defaults.event_delay_ms,
    );
    let event_gap =
        number_option("event-gap", "Every N-th cache event is lost; 0 loses none", defaults.event_gap);
    let load_lag_ms =
        number_option("load-lag-ms", "Age of the reported load, in milliseconds", defaults.load_lag_ms);
    let fencing = long("fencing")
        .help("Treatment of an order with an old fencing token: check (refuse it) or ignore (accept it)")
        .argument("MODE")
        .fallback(defaults.fencing);
    let crash_marker = long("crash-marker")
        .help("A request whose prompt contains TEXT crashes the engine")
        .argument("TEXT")
        .fallback(defaults.crash_marker);
    let crash = long("crash")
        .help("Effect of a crash: exit (end the process) or abort (abort every stream)")
        .argument("MODE")
        .fallback(defaults.crash);
    let ranks = number_option(
        "ranks",
        "Number of ranks of the group that the engine hosts; 0 for no group",
        defaults.ranks,
    );
    let experts = number_option("experts", "Number of experts of the group", defaults.experts);
    let weights_us =
        number_option("weights-us", "Time to load one expert, in microseconds", defaults.weights_us);
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

fn service_command() -> impl Parser<Command> {
    let listen = listen();
    let delay_ms = number_option("delay-ms", "Response time of each call, in milliseconds", 0);
    construct!(Command::Service { listen, delay_ms })
}

fn log_settings() -> impl Parser<LogSettings> {
    let defaults = LogSettings::default();
    let appends_per_second = number_option(
        "appends-per-second",
        "Maximum number of appends per second, over all streams",
        defaults.appends_per_second,
    );
    let retention_records = number_option(
        "retention-records",
        "Maximum number of records that a stream retains",
        defaults.retention_records,
    );
    let retention_ms = number_option(
        "retention-ms",
        "How long records are retained, in milliseconds",
        defaults.retention_ms,
    );
    construct!(LogSettings { appends_per_second, retention_records, retention_ms })
}

fn list_command() -> impl Parser<Command> {
    let listen = listen();
    let lag_ms = number_option("lag-ms", "Time until a change becomes visible, in milliseconds", 500);
    construct!(Command::List { listen, lag_ms })
}

fn weights_command() -> impl Parser<Command> {
    let listen = listen();
    let bytes_per_second =
        number_option("bytes-per-second", "Maximum bytes per second of all callers together", 64 << 20);
    let expert_len = number_option("expert-len", "Size of the weights of one expert, in bytes", 64 << 10);
    construct!(Command::Weights { listen, bytes_per_second, expert_len })
}

fn load_settings() -> impl Parser<LoadSettings> {
    let defaults = LoadSettings::default();
    let seed =
        number_option("seed", "Seed of the arrival times, request kinds, lengths and keys", defaults.seed);
    let duration_ms =
        number_option("duration-ms", "Duration of the load, in milliseconds", defaults.duration_ms);
    let rate = number_option("rate", "Requests per second", defaults.rate);
    let target = target();
    let effect_sources = long("effects")
        .help("URL of a plain service to query for effect counts; may be repeated")
        .argument("URL")
        .many();
    let workspaces = long("workspace")
        .help("Workspace that requests are spread over; may be repeated")
        .argument("NAME")
        .some("at least one --workspace is required")
        .fallback(defaults.workspaces);
    let model = long("model").help("Model of chat completions").argument("NAME").fallback(defaults.model);
    let look_up_percent =
        number_option("look-up-percent", "Percentage of look-ups", defaults.look_up_percent);
    let keyed_percent = number_option(
        "keyed-percent",
        "Percentage of keyed calls, which run at most once",
        defaults.keyed_percent,
    );
    let duplicate_percent = number_option(
        "twin-percent",
        "Percentage of keyed calls that are sent twice",
        defaults.duplicate_percent,
    );
    let max_duplicate_delay_ms = number_option(
        "twin-delay-ms",
        "Maximum delay until a keyed call is sent again, in milliseconds",
        defaults.max_duplicate_delay_ms,
    );
    let stream_percent = number_option(
        "stream-percent",
        "Percentage of chat completions that are streamed",
        defaults.stream_percent,
    );
    let long_percent =
        number_option("long-percent", "Percentage of chat completions that are long", defaults.long_percent);
    let short_tokens =
        number_option("short-tokens", "Number of tokens of a short completion", defaults.short_tokens);
    let long_tokens =
        number_option("long-tokens", "Number of tokens of a long completion", defaults.long_tokens);
    let deadline_ms =
        number_option("deadline-ms", "Deadline of each request, in milliseconds", defaults.deadline_ms);
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
        .some("at least one --entry is required");
    let entries = construct!(Target::Entries(entries));
    let engine = long("engine").help("URL of an engine that is called directly").argument("URL");
    let service = long("service").help("URL of a plain service that is called directly").argument("URL");
    let direct = construct!(Target::Direct { engine, service });
    construct!([entries, direct])
}

fn call_command() -> impl Parser<Command> {
    let method = positional("METHOD").help("HTTP method");
    let url = positional("URL").help("URL");
    let body = positional("BODY").help("JSON body").optional();
    construct!(Command::Call { method, url, body })
}
