//! The line numbers of fields.

use std::collections::HashMap;

use jsonc_parser::{ast::Value, common::Ranged};

/// The line numbers of fields, by path.
pub(super) struct Lines {
    by_path: HashMap<String, usize>,
    /// The fields that occur more than once, each with the line of the repetition.
    pub(super) duplicates: Vec<(usize, String)>,
}

impl Lines {
    /// Collects the line of every field under `root`.
    pub(super) fn collect(text: &str, root: &Value<'_>) -> Self {
        let line_starts: Vec<_> = std::iter::once(0)
            .chain(text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1))
            .collect();
        let mut lines = Self { by_path: HashMap::new(), duplicates: Vec::new() };
        lines.visit(&line_starts, String::new(), root.range().start, root);
        lines
    }

    /// Returns the line of `path`, or of the innermost enclosing field that is present.
    pub(super) fn line(&self, mut path: &str) -> usize {
        loop {
            if let Some(line) = self.by_path.get(path) {
                return *line;
            }
            path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
            if path.is_empty() {
                return self.by_path.get("").copied().unwrap_or(1);
            }
        }
    }

    fn visit(&mut self, line_starts: &[usize], path: String, offset: usize, value: &Value<'_>) {
        let line = line_starts.partition_point(|start| *start <= offset);
        match value {
            Value::Object(object) => {
                for prop in &object.properties {
                    let path = join(&path, prop.name.as_str());
                    self.visit(line_starts, path, prop.range.start, &prop.value);
                }
            }
            Value::Array(array) => {
                for (i, element) in array.elements.iter().enumerate() {
                    self.visit(line_starts, format!("{path}[{i}]"), element.range().start, element);
                }
            }
            _ => {}
        }
        if self.by_path.insert(path.clone(), line).is_some() {
            self.duplicates.push((line, path));
        }
    }
}

/// Returns the path of the field `name` of the object at `path`.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
