//! The diagnostics of invalid settings. Operators must be able to correct the settings from the diagnostics alone.

use fuchsiabay_settings::{AgentSettings, CliSettings, EntrySettings};

const ENTRY: &str = r#"// An entry.
{
  "instance": "e1", "zone": "a", "region": "r",
  "listen": "127.0.0.1:1",
  "peer_listen": "127.0.0.1:2",
  "ops_listen": "127.0.0.1:3",
  "log_url": "http://127.0.0.1:4",
  "list_url": "http://[::1]:5/",
  "shared_key": "0123456789abcdef",
  "limits": {
    "max_headers": 9,
  },
  "log": {"level": "warn"},
}
"#;

const AGENT: &str = r#"{
  "instance": "a1", "zone": "a", "region": "r",
  "peer_listen": "127.0.0.1:2", "ops_listen": "127.0.0.1:3",
  "backend": {"kind": "model", "service": "s", "url": "http://127.0.0.1:4", "slots": 8},
  "log_url": "http://127.0.0.1:4", "list_url": "http://127.0.0.1:5",
  "shared_key": "0123456789abcdef",
  "claims": {}
}
"#;

/// Parses `base` with `old` replaced by `new`, and compares the error message. An empty `expected` means no error.
fn check(base: &str, old: &str, new: &str, expected: &str) {
    assert!(base.contains(old), "`old` does not occur in `base`");
    let text = base.replacen(old, new, 1);
    let result = if base == AGENT {
        AgentSettings::parse("f", text.as_bytes()).map(drop)
    } else {
        EntrySettings::parse("f", text.as_bytes()).map(drop)
    };
    let message = result.err().map(|error| error.to_string()).unwrap_or_default();
    assert_eq!(message, expected);
}

macro_rules! cases {
    ($($name:ident: $base:ident, $old:literal => $new:literal, $expected:literal;)*) => {
        $(#[test]
        fn $name() {
            check($base, $old, $new, $expected);
        })*
    };
}

cases! {
    valid_entry: ENTRY, "e1" => "e2", "";
    valid_agent: AGENT, "a1" => "a2", "";
    number_out_of_range: ENTRY, ": 9," => ": 7,", "f:11: limits.max_headers: allowed: 8 to 1000 headers";
    wrong_type: ENTRY, ": 9," => ": \"x\",",
        "f:11: limits.max_headers: allowed: an integer from 0 to 4294967295; found a string";
    negative_number: ENTRY, ": 9," => ": -9,",
        "f:11: limits.max_headers: allowed: an integer from 0 to 4294967295; found -9";
    unknown_field: ENTRY, "max_headers" => "max_header",
        "f:11: limits.max_header: unknown field; allowed: max_head_bytes, max_body_bytes, max_headers, \
         head_timeout_ms, max_connections";
    duplicate_field: ENTRY, "\"max_headers\": 9" => "\"max_headers\": 9,\n \"max_headers\": 10",
        "f:12: limits.max_headers: given more than once; allowed: one value";
    missing_field: ENTRY, "\"listen\"" => "// \"listen\"", "f:2: listen: required, but missing";
    unknown_enum_value: ENTRY, "warn" => "loud", "f:13: log.level: allowed: error, warn, info, debug, trace";
    host_name_in_address: ENTRY, "127.0.0.1:1" => "localhost:1",
        "f:4: listen: allowed: an IP address and a port, such as 10.0.0.1:7001";
    url_without_port: ENTRY, "127.0.0.1:4" => "log",
        "f:7: log_url: allowed: http:// with an IP address and a port, such as http://10.0.0.1:9000";
    short_key_is_not_repeated: ENTRY, "0123456789abcdef" => "secret",
        "f:9: shared_key: allowed: a string of at least 16 bytes";
    syntax_error: ENTRY, "9," => "9 9", "f:11: Expected comma";
    single_quotes: ENTRY, "\"a\"" => "'a'", "f:3: Single-quoted strings are not allowed";
    diagnostics_are_sorted_by_line: ENTRY, "\"e1\", \"zone\": \"a\"" => "\"\", \"zone\":\n \"a b\"",
        "f:3: instance: allowed: 1 to 64 letters, digits, `-`, `_` or `.`\n\
         f:3: zone: allowed: 1 to 64 letters, digits, `-`, `_` or `.`";
    claim_window_longer_than_retention: AGENT, "{}" => "{\n\"retention_ms\": 1}",
        "f:8: claims.retention_ms: allowed: 665000 ms (window_ms + skew_ms + 60000 ms) or more";
    default_value_out_of_range: AGENT, "{}" => "{\"window_ms\": 3600000}",
        "f:7: claims.retention_ms: allowed: 3665000 ms (window_ms + skew_ms + 60000 ms) or more";
    group_of_a_plain_service: AGENT, "\"model\"" => "\"plain\", \"group\": {\"name\": \"g\", \"rank\": 0}",
        "f:4: backend.group: allowed: only with `kind` `model`; plain services have no ranks";
    // Guards against a group that never starts because its generation contains a rank out of range.
    ranks_outside_of_the_group: AGENT, "\"slots\": 8" =>
        "\"slots\": 8, \"group\": {\"name\": \"g\", \"rank\": 60, \"ranks\": 8}",
        "f:4: backend.group.rank: allowed: `rank` + `ranks` up to 64 (group_ranks); ranks count from 0";
    // Guards against an expert without any replica.
    too_few_expert_slots: AGENT, "\"slots\": 8" =>
        "\"slots\": 8, \"group\": {\"name\": \"g\", \"rank\": 0, \"group_ranks\": 16}",
        "f:4: backend.group.expert_slots: allowed: 16 to 256 slots (experts / group_ranks to experts)";
}

#[test]
fn text_that_is_not_utf8() {
    let error = EntrySettings::parse("f", b"{\n\xff").unwrap_err();
    assert_eq!(error.to_string(), "f:2: allowed: text in UTF-8");
}

#[test]
fn unreadable_file_is_named() {
    let error = EntrySettings::load("no-such-file.jsonc").unwrap_err();
    assert!(error.to_string().starts_with("no-such-file.jsonc: "), "{error}");
}

/// Guards against `fuchsiabay status` querying the readiness of the wrong process.
#[test]
fn ops_address_is_derived_from_the_peer_address() {
    let text = br#"{"log_url": "http://127.0.0.1:1", "ops_port_offset": -1, "ops": {"x": "127.0.0.2:9"}}"#;
    let settings = CliSettings::parse("f", text).unwrap();
    let ops_addr = |id: &str, peer: &str| settings.ops_addr(&id.into(), peer.parse().unwrap());
    assert_eq!(ops_addr("x", "127.0.0.1:8"), Some("127.0.0.2:9".parse().unwrap()));
    assert_eq!(ops_addr("y", "127.0.0.1:8"), Some("127.0.0.1:7".parse().unwrap()));
    assert_eq!(ops_addr("y", "127.0.0.1:0"), None);
}
