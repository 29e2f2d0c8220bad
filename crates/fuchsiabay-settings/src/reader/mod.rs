//! Reads JSON with comments and reports errors with line numbers.

mod error;
mod lines;
mod node_deserializer;

use std::{net::SocketAddr, path::Path};

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::{Deserialize, Deserializer, de::DeserializeOwned, de::Error as _};

use self::{error::FieldError, lines::Lines, node_deserializer::NodeDeserializer};
use crate::{Diagnostic, LoadError};

/// Allows comments and trailing commas. The parser's other extensions are disabled, because with each of them some
/// typos would be accepted with another meaning.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Loads and validates a value from the file `path`. See [`parse`].
pub fn load<T: DeserializeOwned>(
    path: impl AsRef<Path>,
    problems: impl FnOnce(&T) -> Vec<(String, String)>,
) -> Result<T, LoadError> {
    let path = path.as_ref();
    let file = path.display().to_string();
    match std::fs::read(path) {
        Ok(text) => parse(&file, &text, problems),
        Err(error) => Err(LoadError::Unreadable { file, error }),
    }
}

/// Parses and validates a value from `text`, which is JSON with comments in UTF-8.
///
/// `problems` checks constraints that the types do not express. It returns pairs of a field path such as
/// `routes[0].path` and a message that states what is allowed. Every diagnostic names `file`, the line and the field.
pub fn parse<T: DeserializeOwned>(
    file: &str,
    text: &[u8],
    problems: impl FnOnce(&T) -> Vec<(String, String)>,
) -> Result<T, LoadError> {
    let diagnostic =
        |line, field: String, message: String| Diagnostic { file: file.to_owned(), line, field, message };
    let error_at = |line, field, message| LoadError::Invalid(vec![diagnostic(line, field, message)]);

    let text = std::str::from_utf8(text).map_err(|error| {
        let line = 1 + text[..error.valid_up_to()].iter().filter(|byte| **byte == b'\n').count();
        error_at(line, String::new(), "allowed: text in UTF-8".into())
    })?;
    let ast = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|error| error_at(error.line_display(), String::new(), error.kind().to_string()))?;
    let Some(root) = ast.value else {
        return Err(error_at(1, String::new(), "the text has no value; allowed: an object".into()));
    };
    let lines = Lines::collect(text, &root);
    if !lines.duplicates.is_empty() {
        let diagnostics = lines.duplicates.iter().map(|(line, field)| {
            diagnostic(*line, field.clone(), "given more than once; allowed: one value".into())
        });
        return Err(LoadError::Invalid(diagnostics.collect()));
    }
    let value = T::deserialize(NodeDeserializer::new(&root))
        .map_err(|FieldError { field, message }| error_at(lines.line(&field), field, message))?;
    let mut diagnostics: Vec<_> = problems(&value)
        .into_iter()
        .map(|(field, message)| diagnostic(lines.line(&field), field, message))
        .collect();
    if diagnostics.is_empty() {
        return Ok(value);
    }
    diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    Err(LoadError::Invalid(diagnostics))
}

/// Deserializes an IP address with a port.
pub(crate) fn address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    String::deserialize(deserializer)?
        .parse()
        .map_err(|_| D::Error::custom("allowed: an IP address and a port, such as 10.0.0.1:7001"))
}
