//! What the reader says about a faulty field. The desk corrects settings from the message alone.

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

/// Reads `base` with `old` replaced by `new`, and compares the faults.
fn check(base: &str, old: &str, new: &str, expected: &str) {
    assert!(base.contains(old), "the case replaces something that is not there");
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
    accepts_an_entry: ENTRY, "e1" => "e2", "";
    accepts_an_agent: AGENT, "a1" => "a2", "";
    names_a_range: ENTRY, ": 9," => ": 7,", "f:11: limits.max_headers: allowed: 8 to 1000 headers";
    names_a_type: ENTRY, ": 9," => ": \"x\",",
        "f:11: limits.max_headers: allowed: a whole number from 0 to 4294967295; found a text";
    refuses_a_negative_number: ENTRY, ": 9," => ": -9,",
        "f:11: limits.max_headers: allowed: a whole number from 0 to 4294967295; found -9";
    refuses_an_unknown_field: ENTRY, "max_headers" => "max_header",
        "f:11: limits.max_header: unknown field; allowed: max_head_bytes, max_body_bytes, max_headers, \
         head_timeout_ms, max_connections";
    refuses_a_repeated_field: ENTRY, "\"max_headers\": 9" => "\"max_headers\": 9,\n \"max_headers\": 10",
        "f:12: limits.max_headers: given more than once; allowed: one value";
    names_a_missing_field: ENTRY, "\"listen\"" => "// \"listen\"", "f:2: listen: required, but missing";
    names_choices: ENTRY, "warn" => "loud", "f:13: log.level: allowed: error, warn, info, debug, trace";
    refuses_a_host_name: ENTRY, "127.0.0.1:1" => "localhost:1",
        "f:4: listen: allowed: an IP address and a port, such as 10.0.0.1:7001";
    refuses_a_url_without_port: ENTRY, "127.0.0.1:4" => "log",
        "f:7: log_url: allowed: http:// with an IP address and a port, such as http://10.0.0.1:9000";
    hides_a_short_key: ENTRY, "0123456789abcdef" => "secret",
        "f:9: shared_key: allowed: a text of 16 bytes or more";
    names_a_syntax_fault: ENTRY, "9," => "9 9", "f:11: Expected comma";
    refuses_single_quotes: ENTRY, "\"a\"" => "'a'", "f:3: Single-quoted strings are not allowed";
    reports_faults_in_the_order_of_lines: ENTRY, "\"e1\", \"zone\": \"a\"" => "\"\", \"zone\":\n \"a b\"",
        "f:3: instance: allowed: 1 to 64 letters, digits, `-`, `_` or `.`\n\
         f:3: zone: allowed: 1 to 64 letters, digits, `-`, `_` or `.`";
    refuses_a_window_beyond_retention: AGENT, "{}" => "{\n\"retention_ms\": 1}",
        "f:8: claims.retention_ms: allowed: 665000 ms (window_ms + skew_ms + 60000 ms) or more";
    names_a_field_that_is_given_by_default: AGENT, "{}" => "{\"window_ms\": 3600000}",
        "f:7: claims.retention_ms: allowed: 3665000 ms (window_ms + skew_ms + 60000 ms) or more";
    refuses_ranks_of_a_plain_service: AGENT, "\"model\"" => "\"plain\", \"group\": {\"name\": \"g\", \"rank\": 0}",
        "f:4: backend.group: allowed: only with `kind` `model`; plain services have no ranks";
    // A generation that names a rank outside of the group never starts.
    refuses_ranks_outside_of_the_group: AGENT, "\"slots\": 8" =>
        "\"slots\": 8, \"group\": {\"name\": \"g\", \"rank\": 60, \"ranks\": 8}",
        "f:4: backend.group.rank: allowed: `rank` + `ranks` up to 64 (group_ranks); ranks count from 0";
    // Some expert would have no replica.
    refuses_too_few_expert_slots: AGENT, "\"slots\": 8" =>
        "\"slots\": 8, \"group\": {\"name\": \"g\", \"rank\": 0, \"group_ranks\": 16}",
        "f:4: backend.group.expert_slots: allowed: 16 to 256 slots (experts / group_ranks to experts)";
}

#[test]
fn refuses_text_that_is_not_utf8() {
    let error = EntrySettings::parse("f", b"{\n\xff").unwrap_err();
    assert_eq!(error.to_string(), "f:2: allowed: text in UTF-8");
}

#[test]
fn names_an_unreadable_file() {
    let error = EntrySettings::load("no-such-file.jsonc").unwrap_err();
    assert!(error.to_string().starts_with("no-such-file.jsonc: "), "{error}");
}

// `fuchsiabay status` would ask a wrong process for its readiness.
#[test]
fn finds_the_operators_address() {
    let text = br#"{"log_url": "http://127.0.0.1:1", "ops_port_offset": -1, "ops": {"x": "127.0.0.2:9"}}"#;
    let settings = CliSettings::parse("f", text).unwrap();
    let ops_addr = |id: &str, peer: &str| settings.ops_addr(&id.into(), peer.parse().unwrap());
    assert_eq!(ops_addr("x", "127.0.0.1:8"), Some("127.0.0.2:9".parse().unwrap()));
    assert_eq!(ops_addr("y", "127.0.0.1:8"), Some("127.0.0.1:7".parse().unwrap()));
    assert_eq!(ops_addr("y", "127.0.0.1:0"), None);
}
