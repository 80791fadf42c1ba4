//! Guards operators against errors in settings that don't name the field.

use gypsumlever::gateway::settings::Settings;

const VALID: &str = r#"
instance: entry-1
zone: a
listen:
  callers: 127.0.0.1:8080
  ready: 127.0.0.1:8081
  metrics: 127.0.0.1:8082
peers:
  listen: 127.0.0.1:7080
  cluster: entry
  secret: none
store:
  address: 127.0.0.1:9000
  partitions: 12
grace_s: 8.5
"#;

#[test]
fn settings_with_defaults_are_valid() {
    let settings = Settings::try_from(VALID).unwrap();
    assert_eq!(settings.store.partitions, 12);
    assert_eq!(settings.balance.read_tokens_per_ms, 205.0);
}

#[test]
fn fault_names_the_field() {
    let cases = [
        ("partitions: 12", "partitions: 0", "partitions"),
        ("partitions: 12", "partition: 12", "partition"),
        (
            "partitions: 12",
            "partitions: 12\n  read_mb_per_s: 0",
            "read_mb_per_s",
        ),
        ("grace_s: 8.5", "grace_s: -1", "grace_s"),
        (
            "grace_s: 8.5",
            "grace_s: 8.5\nmachine: { memory_mb: 0 }",
            "memory_mb",
        ),
        (
            "grace_s: 8.5",
            "grace_s: 8.5\nmachine: { descriptors: 100 }",
            "descriptors",
        ),
        (
            "  cluster: entry",
            "  cluster: entry\n  tunnels: { ip: 127.0.0.1, ports: [9, 8] }",
            "tunnels",
        ),
        ("instance: entry-1", "instance: \"\"", "name"),
        ("callers: 127.0.0.1:8080", "callers: here", "callers"),
        ("zone: a\n", "", "zone"),
    ];
    for (valid, wrong, named) in cases {
        let text = VALID.replace(valid, wrong);
        let fault = Settings::try_from(text.as_str()).unwrap_err().to_string();
        assert!(fault.contains(named), "{wrong}: {fault}");
    }
}
