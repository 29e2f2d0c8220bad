//! Dispatches the parsed command.

use fuchsiabay_config::PublishId;
use fuchsiabay_settings::CliSettings;
use serde_json::json;
use uuid::Uuid;

use crate::{
    Command, ConnectionOptions, Exit, Options, PresetCommand, Report, check, dump,
    platform_config_log::PlatformConfigLog, preset, publish, replay, status,
};

/// Runs the command given by `options`.
pub async fn run(options: Options) -> Report {
    match options.command {
        Command::Check { files } => check::check(&files),
        Command::Dump { timeout_ms, address } => dump::dump(address, timeout_ms).await,
        Command::Replay { file } => replay::replay(&file),
        Command::Publish { connection, based_on, file } => match connect(&connection) {
            Ok((_, log)) => publish::publish_file(&log, new_publish_id(), based_on, &file).await,
            Err(report) => report,
        },
        Command::Preset(PresetCommand::List { connection }) => match connect(&connection) {
            Ok((_, log)) => preset::list(&log).await,
            Err(report) => report,
        },
        Command::Preset(PresetCommand::Switch { connection, name }) => match connect(&connection) {
            Ok((_, log)) => preset::switch(&log, new_publish_id(), &name).await,
            Err(report) => report,
        },
        Command::Status { connection } => match connect(&connection) {
            Ok((settings, log)) => status::status(&log, &settings, connection.timeout_ms).await,
            Err(report) => report,
        },
    }
}

/// Returns a random ID, by which this command can tell its own record from others if the response to the append is
/// lost.
fn new_publish_id() -> PublishId {
    PublishId::new(Uuid::now_v7().to_string())
}

fn connect(connection: &ConnectionOptions) -> Result<(CliSettings, PlatformConfigLog), Report> {
    let settings = load_settings(connection).map_err(|message| {
        let json = json!({"result": "refused", "message": message});
        Report::new(Exit::Invalid, message, json)
    })?;
    let log = PlatformConfigLog::new(&settings.log_url, connection.timeout_ms);
    Ok((settings, log))
}

fn load_settings(connection: &ConnectionOptions) -> Result<CliSettings, String> {
    let mut settings = match (&connection.settings, &connection.log_url) {
        (Some(file), _) => CliSettings::load(file).map_err(|error| error.to_string())?,
        (None, Some(url)) => CliSettings::new(url, None),
        (None, None) => {
            return Err("the URL of the log is required; specify --log-url or --settings".into());
        }
    };
    if let Some(url) = &connection.log_url {
        settings.log_url.clone_from(url);
    }
    if let Some(url) = &connection.list_url {
        settings.list_url = Some(url.clone());
    }
    settings.validate()?;
    Ok(settings)
}
