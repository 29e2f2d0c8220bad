//! `fuchsiabay check`.

use std::path::{Path, PathBuf};

use fuchsiabay_config::Document;
use fuchsiabay_settings::{AgentSettings, CliSettings, Diagnostic, EntrySettings, LoadError};
use serde_json::{Value, json};

use crate::{Exit, Report};

/// The kind of content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Entry,
    Agent,
    Command,
    Configuration,
}

impl FileKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "settings of an entry instance",
            Self::Agent => "settings of an agent",
            Self::Command => "settings of this command",
            Self::Configuration => "a configuration document",
        }
    }

    /// Detects the kind by a field that no other kind has, so that an invalid file is reported as that kind.
    fn detect(value: &Value) -> Option<Self> {
        let has = |field| value.get(field).is_some();
        if has("presets") || has("services") || has("workspaces") {
            Some(Self::Configuration)
        } else if has("backend") || has("claims") {
            Some(Self::Agent)
        } else if has("listen") || has("limits") || has("instance") {
            Some(Self::Entry)
        } else if has("log_url") || has("ops") {
            Some(Self::Command)
        } else {
            None
        }
    }
}

/// Validates each of `files`.
pub(crate) fn check(files: &[PathBuf]) -> Report {
    let results: Vec<_> = files.iter().map(|file| (file.clone(), check_file(file))).collect();
    report(&results)
}

/// Loads and validates a configuration document.
pub(crate) fn load_document(file: &Path) -> Result<Document, LoadError> {
    fuchsiabay_settings::load(file, problems)
}

/// Returns the report of the validation results.
pub(crate) fn report(results: &[(PathBuf, Result<FileKind, LoadError>)]) -> Report {
    let exit = if results.iter().all(|(_, result)| result.is_ok()) { Exit::Done } else { Exit::Invalid };
    let lines: Vec<_> = results
        .iter()
        .map(|(file, result)| match result {
            Ok(kind) => format!("{}: {}, no errors", file.display(), kind.as_str()),
            Err(error) => error.to_string(),
        })
        .collect();
    let json = results.iter().map(|(file, result)| file_json(file, result)).collect();
    Report::new(exit, lines.join("\n"), Value::Array(json))
}

fn check_file(file: &Path) -> Result<FileKind, LoadError> {
    let name = file.display().to_string();
    let text = std::fs::read(file).map_err(|error| LoadError::Unreadable { file: name.clone(), error })?;
    let value: Value = fuchsiabay_settings::parse(&name, &text, |_| Vec::new())?;
    let Some(kind) = FileKind::detect(&value) else {
        let message = "allowed: settings of an entry instance, of an agent or of this command, or a \
                       configuration document"
            .to_owned();
        return Err(LoadError::Invalid(vec![Diagnostic {
            file: name,
            line: 1,
            field: String::new(),
            message,
        }]));
    };
    match kind {
        FileKind::Entry => EntrySettings::parse(&name, &text).map(drop),
        FileKind::Agent => AgentSettings::parse(&name, &text).map(drop),
        FileKind::Command => CliSettings::parse(&name, &text).map(drop),
        FileKind::Configuration => fuchsiabay_settings::parse(&name, &text, problems).map(drop),
    }?;
    Ok(kind)
}

/// Returns the problems of `document` in the form that [`fuchsiabay_settings::parse`] requires.
pub(crate) fn problems(document: &Document) -> Vec<(String, String)> {
    document.problems().into_iter().map(|problem| (problem.field, problem.allowed)).collect()
}

fn file_json(file: &Path, result: &Result<FileKind, LoadError>) -> Value {
    let file = file.display().to_string();
    match result {
        Ok(kind) => json!({"file": file, "kind": kind.as_str(), "faults": []}),
        Err(LoadError::Unreadable { error, .. }) => json!({"file": file, "error": error.to_string()}),
        Err(error) => {
            let to_json =
                |diag: &Diagnostic| json!({"line": diag.line, "field": diag.field, "message": diag.message});
            json!({"file": file, "faults": error.diagnostics().iter().map(to_json).collect::<Vec<_>>()})
        }
    }
}
