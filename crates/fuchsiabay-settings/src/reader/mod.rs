//! Reads JSON with comments and keeps the line of each field.

mod error;
mod lines;
mod located;

use std::{net::SocketAddr, path::Path};

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::{Deserialize, Deserializer, de::DeserializeOwned, de::Error as _};

use self::{error::FieldError, lines::Lines, located::Located};
use crate::{Diagnostic, LoadError};

/// Comments and trailing commas are allowed. The parser's other extensions are not, because each of them makes a
/// slip of the pen pass as something else.
const OPTIONS: ParseOptions = ParseOptions {
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

/// Loads a value from the file `path`. See [`parse`].
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

/// Reads a value from `text`, which is JSON with comments in UTF-8.
///
/// `problems` checks what the types cannot, and returns pairs of a field path such as `routes[0].path` and what
/// is allowed there. Every fault names `file`, the line and the field.
pub fn parse<T: DeserializeOwned>(
    file: &str,
    text: &[u8],
    problems: impl FnOnce(&T) -> Vec<(String, String)>,
) -> Result<T, LoadError> {
    let fault =
        |line, field: String, message: String| Diagnostic { file: file.to_owned(), line, field, message };
    let one = |line, field, message| LoadError::Invalid(vec![fault(line, field, message)]);

    let text = std::str::from_utf8(text).map_err(|error| {
        let line = 1 + text[..error.valid_up_to()].iter().filter(|byte| **byte == b'\n').count();
        one(line, String::new(), "allowed: text in UTF-8".into())
    })?;
    let ast = parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|error| one(error.line_display(), String::new(), error.kind().to_string()))?;
    let Some(root) = ast.value else {
        return Err(one(1, String::new(), "the text has no value; allowed: an object in braces".into()));
    };
    let lines = Lines::collect(text, &root);
    if !lines.duplicates.is_empty() {
        let faults = lines.duplicates.iter().map(|(line, field)| {
            fault(*line, field.clone(), "given more than once; allowed: one value".into())
        });
        return Err(LoadError::Invalid(faults.collect()));
    }
    let value = T::deserialize(Located::new(&root))
        .map_err(|FieldError { field, message }| one(lines.line(&field), field, message))?;
    let mut faults: Vec<_> = problems(&value)
        .into_iter()
        .map(|(field, message)| fault(lines.line(&field), field, message))
        .collect();
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(LoadError::Invalid(faults))
}

/// Reads an IP address and a port.
pub(crate) fn address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    String::deserialize(deserializer)?
        .parse()
        .map_err(|_| D::Error::custom("allowed: an IP address and a port, such as 10.0.0.1:7001"))
}
