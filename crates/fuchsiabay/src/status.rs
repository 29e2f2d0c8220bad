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

/// Instances that are asked at the same time, which keeps the open sockets within the usual limit of a process.
const CONCURRENT: usize = 64;

/// The time that one instance has to answer, in milliseconds, so that a silent one does not use up the time of
/// the others.
const ASK_TIMEOUT_MS: u64 = 2_000;

/// What one instance says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Row {
    pub(crate) instance: Instance,
    /// The version that it serves under.
    pub(crate) version: Option<u64>,
    /// The preset that it serves under.
    pub(crate) preset: Option<String>,
    /// None when it takes new work, or else why not.
    pub(crate) not_ready: Option<String>,
    /// Why it could not be asked.
    pub(crate) unreachable: Option<String>,
}

/// Asks the log, the list and every instance.
pub(crate) async fn status(log: &impl ConfigLog, settings: &CliSettings, timeout_ms: u64) -> Report {
    let deadline = monotonic_now().plus_millis(timeout_ms);
    let Some(list_url) = &settings.list_url else {
        const MESSAGE: &str = "the address of the instance list is required; state --list-url or --settings";
        return Report::new(Exit::Invalid, MESSAGE, json!({"result": "refused", "message": MESSAGE}));
    };
    let in_force = match ConfigView::load(log).await {
        Ok(view) => Ok((view.version(), view.in_force().map(|state| state.preset_name.clone()))),
        Err(error) => Err(error.to_string()),
    };
    let rows = match InstanceListClient::new(list_url).fetch(deadline).await {
        Ok(instances) => ask_all(instances, settings, deadline).await,
        Err(error) => return list_unavailable(&error),
    };
    summarise(in_force, rows)
}

fn list_unavailable(error: &InstanceListError) -> Report {
    let message = error.to_string();
    let json = json!({"result": "unavailable", "message": message});
    Report::new(Exit::Unavailable, message, json)
}

async fn ask_all(instances: Vec<Instance>, settings: &CliSettings, deadline: Timestamp) -> Vec<Row> {
    let (tx, rx) = smol::channel::unbounded();
    for instance in instances {
        let addr = settings.ops_addr(&instance.id, instance.peer);
        // The channel is unbounded and its receiver is alive.
        _ = tx.try_send((instance, addr));
    }
    drop(tx);
    let workers: Vec<_> = (0..CONCURRENT).map(|_| spawn(ask_each(rx.clone(), deadline))).collect();
    let mut rows = Vec::new();
    for worker in workers {
        rows.extend(worker.await);
    }
    rows.sort_by(|a, b| a.instance.id.cmp(&b.instance.id));
    rows
}

async fn ask_each(rx: Receiver<(Instance, Option<SocketAddr>)>, deadline: Timestamp) -> Vec<Row> {
    let mut rows = Vec::new();
    while let Ok((instance, addr)) = rx.recv().await {
        let deadline = deadline.min(monotonic_now().plus_millis(ASK_TIMEOUT_MS));
        rows.push(ask(instance, addr, deadline).await);
    }
    rows
}

async fn ask(instance: Instance, addr: Option<SocketAddr>, deadline: Timestamp) -> Row {
    let mut row = Row { instance, version: None, preset: None, not_ready: None, unreachable: None };
    let Some(addr) = addr else {
        row.unreachable = Some("no operators' address; see ops_port_offset and ops in the settings".into());
        return row;
    };
    if let Err(error) = fill(&mut row, addr, deadline).await {
        row.unreachable = Some(format!("{addr}: {error}"));
    }
    row
}

async fn fill(row: &mut Row, addr: SocketAddr, deadline: Timestamp) -> Result<(), OpsError> {
    let client = OpsClient::new(addr);
    row.not_ready = client.readiness(deadline).await?.err();
    let state = client.state(deadline).await?;
    row.version = state.pointer("/config/version").and_then(Value::as_u64);
    row.preset = state.pointer("/config/preset").and_then(Value::as_str).map(str::to_owned);
    Ok(())
}

/// Judges whether the version in force has reached every live instance.
///
/// Leaving instances take no new work, so that they do not count. Without the log, the highest version that any
/// instance has is taken as the one in force: nothing can be accepted meanwhile.
pub(crate) fn summarise(in_force: Result<(u64, Option<String>), String>, rows: Vec<Row>) -> Report {
    let highest = rows.iter().filter_map(|row| row.version).max().unwrap_or(0);
    let (version, preset, log_trouble) = match in_force {
        Ok((version, preset)) => (version, preset, None),
        Err(trouble) => {
            let preset =
                rows.iter().find(|row| row.version == Some(highest)).and_then(|row| row.preset.clone());
            (highest, preset, Some(trouble))
        }
    };
    let live = || rows.iter().filter(|row| row.instance.state == InstanceState::Live);
    let behind = live().filter(|row| row.version != Some(version)).count();
    let not_ready = live().filter(|row| row.unreachable.is_none() && row.not_ready.is_some()).count();
    // An empty list may lag, so that it proves nothing.
    let everywhere = behind == 0 && live().count() > 0 && log_trouble.is_none() && version > 0;

    let mut lines = vec![headline(version, preset.as_deref())];
    lines.extend(log_trouble.iter().map(|trouble| format!("{trouble}; versions are those of the instances")));
    lines.push(table(&rows));
    lines.push(match (everywhere, behind) {
        (true, _) => format!("in force everywhere ({} instances)", live().count()),
        (false, 0) if live().count() == 0 => "the list has no live instance".into(),
        (false, 0) => "not proved to be in force everywhere".into(),
        (false, _) => format!("not in force everywhere: {behind} of {} instances", live().count()),
    });
    if not_ready > 0 {
        lines.push(format!("not ready: {not_ready} instances"));
    }
    let json = json!({
        "version": version, "preset": preset, "everywhere": everywhere, "behind": behind,
        "not_ready": not_ready, "log": log_trouble, "instances": rows,
    });
    let exit = if everywhere { Exit::Done } else { Exit::Unavailable };
    Report::view(exit, lines.join("\n"), json)
}

fn headline(version: u64, preset: Option<&str>) -> String {
    match preset {
        Some(preset) => format!("version {version}, preset {preset}"),
        None => "no configuration was published yet".into(),
    }
}

/// Aligns the rows in columns.
fn table(rows: &[Row]) -> String {
    let head = ["INSTANCE", "ZONE", "STATE", "VERSION", "PRESET", "READY"].map(str::to_owned);
    let cells: Vec<[String; 6]> = std::iter::once(head).chain(rows.iter().map(cells)).collect();
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

fn cells(row: &Row) -> [String; 6] {
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
