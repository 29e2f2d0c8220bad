//! `fuchsiabay preset list` and `fuchsiabay preset switch`.

use fuchsiabay_config::{ConfigRecord, PublishId, VersionedConfig};
use serde_json::json;

use crate::{
    Exit, Report,
    config_log::ConfigLog,
    config_view::ConfigView,
    proposal::{propose, unchanged},
};

/// Lists the presets of the document in force.
pub(crate) async fn list(log: &impl ConfigLog) -> Report {
    let view = match ConfigView::load(log).await {
        Ok(view) => view,
        Err(error) => return error.report(),
    };
    let Some(in_force) = view.in_force() else {
        return nothing_published();
    };
    let lines: Vec<_> = in_force
        .document
        .presets
        .keys()
        .map(|name| if *name == in_force.preset_name { format!("* {name}") } else { format!("  {name}") })
        .collect();
    let json = json!({
        "version": in_force.version,
        "in_force": in_force.preset_name,
        "presets": in_force.document.presets.keys().collect::<Vec<_>>(),
    });
    Report::new(Exit::Done, lines.join("\n"), json)
}

/// Puts the preset `name` in force.
pub(crate) async fn switch(log: &impl ConfigLog, publish: PublishId, name: &str) -> Report {
    let view = match ConfigView::load(log).await {
        Ok(view) => view,
        Err(error) => return error.report(),
    };
    let Some(in_force) = view.in_force() else {
        return nothing_published();
    };
    if !in_force.document.presets.contains_key(name) {
        return unknown_preset(in_force, name);
    }
    if in_force.preset_name == name {
        return unchanged(in_force.version, &format!("preset {name}"));
    }
    let record = ConfigRecord::PresetSwitch { publish, based_on: in_force.version, preset: name.to_owned() };
    propose(log, view, &record).await
}

fn unknown_preset(in_force: &VersionedConfig, name: &str) -> Report {
    let names: Vec<_> = in_force.document.presets.keys().map(String::as_str).collect();
    let message = format!("no preset is named {name:?}; allowed: {}", names.join(", "));
    let json = json!({"result": "refused", "message": message});
    Report::new(Exit::Invalid, format!("refused: {message}"), json)
}

fn nothing_published() -> Report {
    const MESSAGE: &str = "no configuration was published yet";
    Report::new(Exit::Invalid, MESSAGE, json!({"result": "refused", "message": MESSAGE}))
}
