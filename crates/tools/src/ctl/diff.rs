//! Differences between two documents.

use std::collections::BTreeMap;

use kingcup_dispatch::document::Document;
use serde::Serialize;
use serde_json::Value;

/// A key whose values differ.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct Difference {
    /// Key path; kinds go by name, as in `kinds[push].share_percent`.
    pub place: String,
    /// Value in the first document.
    pub old: Option<Value>,
    /// Value in the second document.
    pub new: Option<Value>,
}

impl Difference {
    /// One line in the form `place: old -> new`.
    pub(super) fn line(&self) -> String {
        let shown = |value: &Option<Value>| {
            value.as_ref().map_or_else(|| "nothing".to_owned(), Value::to_string)
        };
        format!("{}: {} -> {}", self.place, shown(&self.old), shown(&self.new))
    }
}

fn flatten(place: &str, value: &Value, out: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let place = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
                flatten(&place, value, out);
            }
        }
        Value::Array(list) => {
            let names: Vec<&str> = list.iter().filter_map(|one| one["name"].as_str()).collect();
            for (name, value) in names.iter().zip(list) {
                flatten(&format!("{place}[{name}]"), value, out);
            }
            out.insert(format!("{place} (order)"), names.join(", ").into());
        }
        value => {
            out.insert(place.to_owned(), value.clone());
        }
    }
}

fn flat(document: &Document) -> BTreeMap<String, Value> {
    let mut out = BTreeMap::new();
    flatten("", &serde_json::to_value(document).unwrap_or_default(), &mut out);
    out
}

/// Compares two documents key by key.
pub(super) fn compare(old: &Document, new: &Document) -> Vec<Difference> {
    let (old, new) = (flat(old), flat(new));
    let mut places: Vec<&String> = old.keys().chain(new.keys()).collect();
    places.sort_unstable();
    places.dedup();
    let differs = |place: &&String| old.get(*place) != new.get(*place);
    let difference = |place: &String| Difference {
        place: place.clone(),
        old: old.get(place).cloned(),
        new: new.get(place).cloned(),
    };
    places.into_iter().filter(differs).map(difference).collect()
}
