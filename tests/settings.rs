//! Parsing and validation of host settings.

use damaskhoist::settings::{HostSettings, SettingsErrors};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{json, Value};

/// Settings document of a host with both roles.
fn valid_document() -> Value {
    json!({
        "host_id": "santander-1", "zone": "Santander", "region": "Cantabria",
        "roles": ["ENTRY", "CONTROL"],
        "caller_address": "127.0.0.1:7400", "peer_address": "127.0.0.1:7500",
        "control": {
            "data_folder": "/var/lib/damaskhoist", "replica_id": 1,
            "replicas": [
                {"replica_id": 1, "peer_address": "127.0.0.1:7500", "zone": "Santander"},
                {"replica_id": 2, "peer_address": "127.0.0.1:7501", "zone": "Torrelavega"}
            ]
        }
    })
}

fn parse_errors(document: &Value) -> SettingsErrors {
    HostSettings::parse(&document.to_string()).expect_err("the settings are invalid")
}

#[test]
fn missing_fields_get_defaults() {
    let settings = HostSettings::parse(&valid_document().to_string()).unwrap();
    assert!(settings.roles.entry && settings.roles.control);
    assert_eq!(settings.entry.configuration_lease_ms, 5_000);
    assert_eq!(settings.control.segment_bytes, 16 << 20);
    assert_eq!(settings.limits.body_bytes, 4 << 20);
    assert_eq!(settings.telemetry.span_sample_ratio, 1.0);
    assert_eq!(settings.control_addresses, ["127.0.0.1:7500", "127.0.0.1:7501"]);
}

/// Guards against validation that stops at the first error, so that an operator needs one attempt
/// per invalid field.
#[test]
fn all_invalid_fields_are_reported_at_once() {
    let mut document = valid_document();
    document["host_id"] = json!("two words");
    document["peer_address"] = json!("0.0.0.0:1");
    document["entry"] = json!({"configuration_lease_ms": 9_001});
    document["control"]["replicas"][1]["replica_id"] = json!(1);
    document["telemetry"] = json!({"log_level": "loud", "span_sample_ratio": 1.5});
    let paths: Vec<_> = parse_errors(&document).0.into_iter().map(|error| error.path).collect();
    let expected = [
        "host_id",
        "peer_address",
        "control.replicas[1].replica_id",
        "entry.configuration_lease_ms",
        "telemetry.log_level",
        "telemetry.span_sample_ratio",
    ];
    assert_eq!(paths, expected);
}

#[rstest]
#[case::unknown_field("/entry", json!({"drain_ms": 1}), "entry")]
#[case::wrong_type("/entry", json!({"drain_bound_ms": "soon"}), "entry.drain_bound_ms")]
#[case::nested("/control/replicas/1/replica_id", json!({}), "control.replicas[1].replica_id")]
#[case::unknown_role("/roles", json!(["ENTRY", "MASTER"]), "roles")]
fn a_json_type_error_reports_the_path_of_the_field(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = valid_document();
    match document.pointer_mut(pointer) {
        Some(field) => *field = value,
        None => document[&pointer[1..]] = value,
    }
    let error = parse_errors(&document).0.remove(0);
    assert!(error.path.starts_with(expected), "{error}");
}

#[rstest]
#[case::truncated("{\"host_id\": \"a\"")]
#[case::trailing("{} {}")]
#[case::duplicate("{\"host_id\": \"a\", \"host_id\": \"b\"}")]
fn malformed_json_is_rejected(#[case] text: &str) {
    assert!(HostSettings::parse(text).is_err());
}

/// Guards against a key or token that leaks into the logs through the `Debug` output.
#[test]
fn secrets_are_read_from_files_and_omitted_from_debug_output() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("key");
    std::fs::write(&file, "0123456789abcdef-key\n").unwrap();
    let mut document = valid_document();
    document["peer_key_file"] = json!(file);
    let settings = HostSettings::parse(&document.to_string()).unwrap();
    assert_eq!(settings.peer_key, "0123456789abcdef-key");
    assert!(!format!("{settings:?}").contains("abcdef"));

    std::fs::write(&file, "short").unwrap();
    document["operator_token_file"] = json!(folder.path().join("none"));
    let paths: Vec<_> = parse_errors(&document).0.into_iter().map(|error| error.path).collect();
    assert_eq!(paths, ["peer_key_file", "operator_token_file"]);
}

/// Generates JSON values of any type, nested up to three levels.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        "[0-9.:]{0,20}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::hash_map("[a-z_]{1,12}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// JSON pointers of the fields that the property test replaces.
const POINTERS: [&str; 12] = [
    "/host_id",
    "/roles",
    "/roles/0",
    "/caller_address",
    "/peer_address",
    "/control",
    "/control/replicas",
    "/control/replicas/0",
    "/control/replicas/0/replica_id",
    "/control/replica_id",
    "/control/data_folder",
    "/zone",
];

proptest! {
    /// Guards against a panic in the parser on a document with a value of an unexpected type.
    #[test]
    fn an_arbitrary_value_in_any_field_never_panics(
        pointer in prop::sample::select(&POINTERS[..]), value in any_json()
    ) {
        let mut document = valid_document();
        *document.pointer_mut(pointer).unwrap() = value;
        if let Err(errors) = HostSettings::parse(&document.to_string()) {
            prop_assert!(!errors.0.is_empty());
            prop_assert!(errors.0.iter().all(|error| !error.rule.is_empty()));
        }
    }

    /// Guards against a panic in the parser on arbitrary text.
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = HostSettings::parse(&text);
    }

    /// Guards against a lease that is longer than the 9 s within which a configuration change must
    /// be in effect on all hosts.
    #[test]
    fn a_configuration_lease_is_at_most_nine_seconds(lease_ms in 0u32..20_000) {
        let mut document = valid_document();
        document["entry"] = json!({"configuration_lease_ms": lease_ms});
        let is_accepted = HostSettings::parse(&document.to_string()).is_ok();
        prop_assert_eq!(is_accepted, (100..=9_000).contains(&lease_ms));
    }
}
