//! Errors in single fields during deserialization.

use std::fmt;

use serde::de::{Error, Expected, Unexpected};

use super::lines::join;

/// An error in the field at a path.
#[derive(Debug)]
pub(super) struct FieldError {
    /// The path, to which each enclosing level prepends its own name.
    pub(super) field: String,
    /// What is wrong and what is allowed.
    pub(super) message: String,
}

impl FieldError {
    /// Prepends the name of the enclosing field or the index of the element.
    pub(super) fn within(mut self, name: &str) -> Self {
        self.field = match self.field.as_str() {
            "" => name.to_owned(),
            inner if inner.starts_with('[') => format!("{name}{inner}"),
            inner => join(name, inner),
        };
        self
    }

    fn new(field: &str, message: String) -> Self {
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
        Self::new("", message.to_string())
    }

    fn invalid_type(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::new("", format!("allowed: {}; found {}", describe_expected(expected), describe_found(found)))
    }

    fn invalid_value(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::invalid_type(found, expected)
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Self {
        Self::new("", format!("allowed: {}", expected.join(", ")))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::new(field, format!("unknown field; allowed: {}", expected.join(", ")))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(field, "required, but missing".into())
    }
}

/// Describes what serde expects in terms of JSON, because operators need not know Rust.
fn describe_expected(expected: &dyn Expected) -> String {
    let text = expected.to_string();
    match text.as_str() {
        "u8" => format!("an integer from 0 to {}", u8::MAX),
        "u16" => format!("an integer from 0 to {}", u16::MAX),
        "u32" => format!("an integer from 0 to {}", u32::MAX),
        "u64" | "usize" => "a non-negative integer".into(),
        "i32" | "i64" => "an integer".into(),
        "a boolean" => "true or false".into(),
        "a sequence" => "an array".into(),
        "a map" => "an object".into(),
        _ if text.starts_with("struct ") => "an object".into(),
        // A variant is written as a string. `unknown_variant` lists the variants.
        _ if text.starts_with("enum ") => "a string with one of the allowed values".into(),
        _ => text,
    }
}

/// Describes what was found, but without the content of strings, which may be secrets.
fn describe_found(found: Unexpected<'_>) -> String {
    match found {
        Unexpected::Str(_) => "a string".into(),
        Unexpected::Unit => "null".into(),
        Unexpected::Seq => "an array".into(),
        Unexpected::Map => "an object".into(),
        Unexpected::Bool(value) => value.to_string(),
        Unexpected::Unsigned(value) => value.to_string(),
        Unexpected::Signed(value) => value.to_string(),
        Unexpected::Float(value) => value.to_string(),
        other => other.to_string(),
    }
}
