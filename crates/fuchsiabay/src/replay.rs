//! `fuchsiabay replay`.

use std::path::Path;

use fuchsiabay_prove::{Replay, ReplayError};
use serde_json::json;

use crate::{Exit, Report};

/// Replays the trace in `file` and compares the outcome with the recorded one.
pub(crate) fn replay(file: &Path) -> Report {
    report(file, fuchsiabay_prove::replay(file))
}

fn report(file: &Path, result: Result<Replay, ReplayError>) -> Report {
    let name = file.display().to_string();
    let replay = match result {
        Ok(replay) => replay,
        Err(error) => {
            let message = format!("{name}: {error}");
            let json = json!({"result": "refused", "file": name, "message": error.to_string()});
            return Report::new(Exit::Invalid, message, json);
        }
    };
    if replay.matches() {
        let json = json!({"result": "matches", "file": name, "outcome": replay.observed});
        return Report::new(Exit::Done, format!("{name}: the outcome matches the recorded one"), json);
    }
    let differences = replay.differences();
    let json = json!({
        "result": "differs", "file": name, "differences": differences,
        "stated": replay.expected, "observed": replay.observed,
    });
    let mut lines = vec![format!("{name}: the outcome differs from the recorded one")];
    lines.extend(differences);
    Report::on_stdout(Exit::Invalid, lines.join("\n"), json)
}
