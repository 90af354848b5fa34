//! Guards against the acceptance of documents that would break a service, and against error
//! messages that do not locate the fault.

use kingcup_dispatch::document::{check, check_envelope, MAX_DOCUMENT_BYTES};
use rstest::rstest;
use serde_json::{json, Value};

fn valid() -> Value {
    let kind = |name: &str, share: u8| {
        json!({"name": name, "urgency": "high", "share_percent": share, "deadline_ms": 500,
               "timeout_ms": 2000, "max_waiting": 100})
    };
    json!({"service": "log-desk", "team": "desk", "upstream_path": "/run",
           "kinds": [kind("push", 50), kind("retract", 50)]})
}

#[test]
fn a_valid_document_is_accepted_with_its_defaults() {
    let document = check(&valid().to_string()).unwrap();
    assert_eq!((document.quota_per_s, document.max_memory_mb), (0, 64_000));
    assert!(!document.kinds[1].idempotent);
}

#[rstest]
#[case("/service", json!("Log Desk"), "service: \"Log Desk\" is not valid; allowed: 1 to 48")]
#[case("/team", json!(7), "team: 7 is not valid; allowed: 1 to 48")]
#[case("/upstream_path", json!("run"), "upstream_path: \"run\" is not valid; allowed: `/`")]
#[case("/upstream_path", json!("/a/../b"), "upstream_path: ")]
#[case("/upstream_path", json!("/a b\r\nX: 1"), "upstream_path: ")]
#[case("/upstream_path", json!("/a?b"), "upstream_path: ")]
#[case("/quota_per_s", json!(u64::MAX), "quota_per_s: 18446744073709551615 is not valid")]
#[case("/max_milli_cpus", json!(0), "max_milli_cpus: 0 is not valid; allowed: a whole number")]
#[case("/colour", json!(1), "colour: unknown key; allowed: service, team, upstream_path, quota")]
#[case("/kinds", json!([]), "kinds: a list of 0 is not valid; allowed: a list of 1 to 32")]
#[case("/kinds/1", json!(3), "kinds[1]: 3 is not valid; allowed: an object")]
#[case("/kinds/1/name", json!("push"), "kinds[1].name: \"push\" is already the name of kinds[0]")]
#[case("/kinds/1/urgency", json!("urgent"), "kinds[1].urgency: \"urgent\" is not valid; allowed:")]
#[case("/kinds/1/share_percent", json!(51), "kinds: shares add up to 101 percent; allowed: at")]
#[case("/kinds/0/share_percent", json!(-1), "kinds[0].share_percent: -1 is not valid; allowed: a")]
#[case("/kinds/0/deadline_ms", json!(0), "kinds[0].deadline_ms: 0 is not valid; allowed: a whole")]
#[case("/kinds/0/timeout_ms", json!(600_001), "kinds[0].timeout_ms: 600001 is not valid")]
#[case("/kinds/0/max_waiting", json!(1.5), "kinds[0].max_waiting: 1.5 is not valid")]
#[case("/kinds/0/idempotent", json!("yes"), "kinds[0].idempotent: \"yes\" is not valid; allowed: t")]
#[case("/kinds/0/a\nb", json!(1), "kinds[0].a\\nb: unknown key; allowed: name")]
fn a_fault_names_its_location_and_what_is_allowed(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let mut document = valid();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
        object => object[key] = value,
    }
    let fault = check(&document.to_string()).unwrap_err().to_string();
    assert!(fault.starts_with(message), "{fault}");
    assert!(fault.contains("allowed: ") && !fault.contains(['\n', '\r']), "{fault}");
}

#[rstest]
#[case("{\"service\":\n oops}", "line 2, column 2: expected value; allowed: one JSON object")]
#[case("[]", "document: a list of 0 is not valid; allowed: an object")]
#[case("{\"service\":\"a\"}", "team: missing; allowed: 1 to 48")]
fn a_fault_in_a_malformed_text_is_located(#[case] text: &str, #[case] message: &str) {
    let fault = check(text).unwrap_err().to_string();
    assert!(fault.starts_with(message), "{fault}");
}

#[test]
fn a_repeated_key_is_rejected() {
    let text = valid().to_string().replacen('{', "{\"team\":\"other\",", 1);
    let fault = check(&text).unwrap_err().to_string();
    assert!(fault.contains("duplicate field `team`"), "{fault}");
}

#[test]
fn a_document_larger_than_a_stored_value_is_rejected() {
    let text = format!("{}{}", valid(), " ".repeat(MAX_DOCUMENT_BYTES));
    assert!(check(&text).unwrap_err().to_string().ends_with("allowed: at most 1000000 bytes"));
}

#[test]
fn an_envelope_with_an_invalid_document_or_revision_is_rejected() {
    let envelope = |revision: u64, document: Value| {
        json!({"revision": revision, "changes": [], "document": document}).to_string()
    };
    assert!(check_envelope(&envelope(1, valid())).is_ok());
    assert!(check_envelope(&envelope(0, valid())).is_err());
    let mut invalid = valid();
    invalid["kinds"][0]["deadline_ms"] = json!(0);
    assert!(check_envelope(&envelope(1, invalid)).is_err());
}
