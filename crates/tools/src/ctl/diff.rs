//! Comparison of two documents.

use std::collections::BTreeMap;

use kingcup_dispatch::document::Document;
use serde::Serialize;
use serde_json::Value;

/// A key whose value differs between two documents.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct Difference {
    /// Path of the key, in which kinds are identified by name, as in `kinds[push].share_percent`.
    pub place: String,
    /// Value in the first document.
    pub old: Option<Value>,
    /// Value in the second document.
    pub new: Option<Value>,
}

impl Difference {
    /// Returns the difference as one line in the form `place: old -> new`.
    pub(super) fn line(&self) -> String {
        let text = |value: &Option<Value>| {
            value.as_ref().map_or_else(|| "nothing".to_owned(), Value::to_string)
        };
        format!("{}: {} -> {}", self.place, text(&self.old), text(&self.new))
    }
}

/// Adds the values below a path to `values`, each under its own path. The order of a list's
/// elements is recorded as a value too.
fn flatten(path: &str, value: &Value, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(&path, value, values);
            }
        }
        Value::Array(list) => {
            let names: Vec<&str> =
                list.iter().filter_map(|element| element["name"].as_str()).collect();
            for (name, value) in names.iter().zip(list) {
                flatten(&format!("{path}[{name}]"), value, values);
            }
            values.insert(format!("{path} (order)"), names.join(", ").into());
        }
        value => {
            values.insert(path.to_owned(), value.clone());
        }
    }
}

/// Returns the values of a document by path.
fn flatten_document(document: &Document) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    flatten("", &serde_json::to_value(document).unwrap_or_default(), &mut values);
    values
}

/// Returns the differences between two documents, sorted by path.
pub(super) fn compare(old: &Document, new: &Document) -> Vec<Difference> {
    let (old, new) = (flatten_document(old), flatten_document(new));
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort_unstable();
    paths.dedup();
    let differs = |path: &&String| old.get(*path) != new.get(*path);
    let difference = |path: &String| Difference {
        place: path.clone(),
        old: old.get(path).cloned(),
        new: new.get(path).cloned(),
    };
    paths.into_iter().filter(differs).map(difference).collect()
}
