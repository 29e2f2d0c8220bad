//! Errors of single fields while a value is read.

use std::fmt;

use serde::de::{Error, Expected, Unexpected};

use super::lines::join;

/// A fault of the field at a path.
#[derive(Debug)]
pub(super) struct FieldError {
    /// The path, completed from the inside out.
    pub(super) field: String,
    /// What is wrong, and what is allowed.
    pub(super) message: String,
}

impl FieldError {
    /// Adds the name of the field that contains the fault.
    pub(super) fn within(mut self, name: &str) -> Self {
        self.field = match self.field.as_str() {
            "" => name.to_owned(),
            inner if inner.starts_with('[') => format!("{name}{inner}"),
            inner => join(name, inner),
        };
        self
    }

    fn at(field: &str, message: String) -> Self {
        Self { field: field.to_owned(), message }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for FieldError {}

impl Error for FieldError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self::at("", message.to_string())
    }

    fn invalid_type(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::at("", format!("allowed: {}; found {}", allowed(expected), kind(found)))
    }

    fn invalid_value(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::invalid_type(found, expected)
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Self {
        Self::at("", format!("allowed: {}", expected.join(", ")))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::at(field, format!("unknown field; allowed: {}", expected.join(", ")))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::at(field, "required, but missing".into())
    }
}

/// Words what serde expects for somebody who does not know Rust.
fn allowed(expected: &dyn Expected) -> String {
    let text = expected.to_string();
    match text.as_str() {
        "u8" => format!("a whole number from 0 to {}", u8::MAX),
        "u16" => format!("a whole number from 0 to {}", u16::MAX),
        "u32" => format!("a whole number from 0 to {}", u32::MAX),
        "u64" | "usize" => "a whole number of 0 or more".into(),
        "i32" | "i64" => "a whole number".into(),
        "a boolean" => "true or false".into(),
        "a sequence" => "a list in brackets".into(),
        "a map" => "an object in braces".into(),
        _ if text.starts_with("struct ") => "an object in braces".into(),
        // A choice is written as text; the variants are listed when the text names none of them.
        _ if text.starts_with("enum ") => "a text that names one of the choices".into(),
        _ => text,
    }
}

/// Names what was found without repeating texts, which may be secrets.
fn kind(found: Unexpected<'_>) -> String {
    match found {
        Unexpected::Str(_) => "a text".into(),
        Unexpected::Unit => "null".into(),
        Unexpected::Seq => "a list".into(),
        Unexpected::Map => "an object".into(),
        Unexpected::Bool(value) => value.to_string(),
        Unexpected::Unsigned(value) => value.to_string(),
        Unexpected::Signed(value) => value.to_string(),
        Unexpected::Float(value) => value.to_string(),
        other => other.to_string(),
    }
}
