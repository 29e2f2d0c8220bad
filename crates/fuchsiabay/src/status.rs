//! `fuchsiabay status`.

use std::net::SocketAddr;

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{
    Instance, InstanceListClient, InstanceListError, InstanceState, OpsClient, OpsError, monotonic_now, spawn,
};
use fuchsiabay_settings::CliSettings;
use serde::Serialize;
use serde_json::{Value, json};
use smol::channel::Receiver;

use crate::{Exit, Report, config_log::ConfigLog, config_view::ConfigView};

/// The maximum number of instances that are queried concurrently. It keeps the number of open sockets below the usual
/// limit of a process.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The timeout for one instance, in milliseconds, so that an unresponsive instance does not use up the timeout of the
/// command.
const QUERY_TIMEOUT_MS: u64 = 2_000;

/// The status of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct InstanceStatus {
    pub(crate) instance: Instance,
    /// The version of the configuration that it uses.
    pub(crate) version: Option<u64>,
    /// The preset that it uses.
    pub(crate) preset: Option<String>,
    /// `None` if it accepts new requests, or else the reason why not.
    pub(crate) not_ready: Option<String>,
    /// The reason why it could not be queried.
    pub(crate) unreachable: Option<String>,
}

/// Queries the log, the instance list and every instance.
pub(crate) async fn status(log: &impl ConfigLog, settings: &CliSettings, timeout_ms: u64) -> Report {
    let deadline = monotonic_now().plus_millis(timeout_ms);
    let Some(list_url) = &settings.list_url else {
        const MESSAGE: &str = "the URL of the instance list is required; specify --list-url or --settings";
        return Report::new(Exit::Invalid, MESSAGE, json!({"result": "refused", "message": MESSAGE}));
    };
    let in_force = match ConfigView::load(log).await {
        Ok(view) => Ok((view.version(), view.in_force().map(|state| state.preset_name.clone()))),
        Err(error) => Err(error.to_string()),
    };
    let statuses = match InstanceListClient::new(list_url).fetch(deadline).await {
        Ok(instances) => query_all(instances, settings, deadline).await,
        Err(error) => return list_unavailable(&error),
    };
    summarise(in_force, statuses)
}

fn list_unavailable(error: &InstanceListError) -> Report {
    let message = error.to_string();
    let json = json!({"result": "unavailable", "message": message});
    Report::new(Exit::Unavailable, message, json)
}

async fn query_all(
    instances: Vec<Instance>,
    settings: &CliSettings,
    deadline: Timestamp,
) -> Vec<InstanceStatus> {
    let (tx, rx) = smol::channel::unbounded();
    for instance in instances {
        let addr = settings.ops_addr(&instance.id, instance.peer);
        // Cannot fail: the channel is unbounded and its receiver still exists.
        _ = tx.try_send((instance, addr));
    }
    drop(tx);
    let workers: Vec<_> =
        (0..MAX_CONCURRENT_QUERIES).map(|_| spawn(query_from_queue(rx.clone(), deadline))).collect();
    let mut statuses = Vec::new();
    for worker in workers {
        statuses.extend(worker.await);
    }
    statuses.sort_by(|a, b| a.instance.id.cmp(&b.instance.id));
    statuses
}

async fn query_from_queue(
    rx: Receiver<(Instance, Option<SocketAddr>)>,
    deadline: Timestamp,
) -> Vec<InstanceStatus> {
    let mut statuses = Vec::new();
    while let Ok((instance, addr)) = rx.recv().await {
        let deadline = deadline.min(monotonic_now().plus_millis(QUERY_TIMEOUT_MS));
        statuses.push(query(instance, addr, deadline).await);
    }
    statuses
}

async fn query(instance: Instance, addr: Option<SocketAddr>, deadline: Timestamp) -> InstanceStatus {
    let mut status =
        InstanceStatus { instance, version: None, preset: None, not_ready: None, unreachable: None };
    let Some(addr) = addr else {
        status.unreachable = Some("no ops address; see ops_port_offset and ops in the settings".into());
        return status;
    };
    if let Err(error) = query_into(&mut status, addr, deadline).await {
        status.unreachable = Some(format!("{addr}: {error}"));
    }
    status
}

async fn query_into(
    status: &mut InstanceStatus,
    addr: SocketAddr,
    deadline: Timestamp,
) -> Result<(), OpsError> {
    let client = OpsClient::new(addr);
    status.not_ready = client.readiness(deadline).await?.err();
    let state = client.state(deadline).await?;
    status.version = state.pointer("/config/version").and_then(Value::as_u64);
    status.preset = state.pointer("/config/preset").and_then(Value::as_str).map(str::to_owned);
    Ok(())
}

/// Reports the status of all instances and whether each live one uses the version in force.
///
/// Leaving instances do not count because they accept no new requests. If the log is unavailable, the highest version
/// of any instance is taken as the one in force, because no change can be accepted without the log.
pub(crate) fn summarise(
    in_force: Result<(u64, Option<String>), String>,
    statuses: Vec<InstanceStatus>,
) -> Report {
    let highest = statuses.iter().filter_map(|status| status.version).max().unwrap_or(0);
    let (version, preset, log_error) = match in_force {
        Ok((version, preset)) => (version, preset, None),
        Err(error) => {
            let preset = statuses
                .iter()
                .find(|status| status.version == Some(highest))
                .and_then(|status| status.preset.clone());
            (highest, preset, Some(error))
        }
    };
    let live = || statuses.iter().filter(|status| status.instance.state == InstanceState::Live);
    let behind = live().filter(|status| status.version != Some(version)).count();
    let not_ready =
        live().filter(|status| status.unreachable.is_none() && status.not_ready.is_some()).count();
    // An empty list proves nothing, because the list may lag.
    let is_in_force_everywhere = behind == 0 && live().count() > 0 && log_error.is_none() && version > 0;

    let mut lines = vec![format_headline(version, preset.as_deref())];
    lines.extend(
        log_error.iter().map(|error| format!("{error}; showing the highest version that an instance uses")),
    );
    lines.push(format_table(&statuses));
    lines.push(match (is_in_force_everywhere, behind) {
        (true, _) => format!("in force everywhere ({} instances)", live().count()),
        (false, 0) if live().count() == 0 => "the list has no live instance".into(),
        (false, 0) => "not proved to be in force everywhere".into(),
        (false, _) => format!("not in force everywhere: {behind} of {} instances", live().count()),
    });
    if not_ready > 0 {
        lines.push(format!("not ready: {not_ready} instances"));
    }
    let json = json!({
        "version": version, "preset": preset, "everywhere": is_in_force_everywhere, "behind": behind,
        "not_ready": not_ready, "log": log_error, "instances": statuses,
    });
    let exit = if is_in_force_everywhere { Exit::Done } else { Exit::Unavailable };
    Report::on_stdout(exit, lines.join("\n"), json)
}

fn format_headline(version: u64, preset: Option<&str>) -> String {
    match preset {
        Some(preset) => format!("version {version}, preset {preset}"),
        None => "no configuration was published yet".into(),
    }
}

/// Formats the statuses as a table with aligned columns.
fn format_table(rows: &[InstanceStatus]) -> String {
    let head = ["INSTANCE", "ZONE", "STATE", "VERSION", "PRESET", "READY"].map(str::to_owned);
    let cells: Vec<[String; 6]> = std::iter::once(head).chain(rows.iter().map(format_cells)).collect();
    let widths: Vec<usize> =
        (0..6).map(|i| cells.iter().map(|row| row[i].chars().count()).max().unwrap_or(0)).collect();
    let lines: Vec<_> = cells
        .iter()
        .map(|row| {
            let line: String =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}  ")).collect();
            line.trim_end().to_owned()
        })
        .collect();
    lines.join("\n")
}

fn format_cells(row: &InstanceStatus) -> [String; 6] {
    let state = match row.instance.state {
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
    };
    let ready = match (&row.unreachable, &row.not_ready) {
        (Some(reason), _) => format!("unreachable: {reason}"),
        (None, Some(reason)) => format!("no: {reason}"),
        (None, None) => "yes".into(),
    };
    [
        row.instance.id.to_string(),
        row.instance.zone.to_string(),
        state.into(),
        row.version.map_or_else(|| "-".into(), |version| version.to_string()),
        row.preset.clone().unwrap_or_else(|| "-".into()),
        ready,
    ]
}
