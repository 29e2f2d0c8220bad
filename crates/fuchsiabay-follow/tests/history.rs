//! Deltas between versions produce the exact state of the newer version, or are rejected.

use std::collections::BTreeMap;

use fuchsiabay_base::{ServiceName, WorkspaceId};
use fuchsiabay_config::{Document, Millis, Preset, Service, ServiceKind, VersionedConfig, Workspace};
use fuchsiabay_follow::{ConfigHistory, state_hash};

fn preset(queue_limit: u32) -> Preset {
    Preset {
        queue_limit,
        long_share_percent: 50,
        ageing_ms: Millis(1),
        long_work_tokens: 1,
        max_output_tokens: 1,
        retry_budget_percent: 1,
        spill_over_ms: Millis(1),
        quarantine_crashes: 1,
        quarantine_ms: Millis(1),
        default_deadline_ms: Millis(1),
        drain_ms: Millis(1),
    }
}

/// Returns a configuration with `version` workspaces and with limits that depend on the version.
fn config(version: u64) -> VersionedConfig {
    let workspace =
        |i| (WorkspaceId::new(format!("w/{i}~")), Workspace { weight: i, tokens_per_second: None });
    let presets = [("ordinary", 1), ("peak", version as u32)];
    let document = Document {
        services: BTreeMap::from([(ServiceName::new("s"), Service { kind: ServiceKind::Model })]),
        routes: Vec::new(),
        workspaces: (1..=version as u32).map(workspace).collect(),
        presets: presets.into_iter().map(|(name, limit)| (name.to_owned(), preset(limit))).collect(),
        initial_preset: "ordinary".to_owned(),
    };
    let name = if version.is_multiple_of(2) { "peak" } else { "ordinary" };
    VersionedConfig::new(version, document, name.to_owned()).unwrap()
}

/// Records the versions in `recorded` and checks which version the deltas from version `have` lead to.
fn check(recorded: &[u64], have: u64, expected: Option<u64>) {
    let mut history = ConfigHistory::default();
    for pair in recorded.windows(2) {
        history.record(&config(pair[0]), &config(pair[1]));
    }
    let last = recorded.last().copied().unwrap();
    let deltas = history.deltas_since(have);
    let reached =
        deltas.and_then(|deltas| ConfigHistory::apply(&config(have), &deltas, state_hash(&config(last))));
    assert_eq!(reached, expected.map(config));
}

macro_rules! cases {
    ($($name:ident: $recorded:expr, $have:expr => $expected:expr;)+) => {
        $(#[test] fn $name() { check(&$recorded, $have, $expected); })+
    };
}

cases! {
    one_delta: [1, 2], 1 => Some(2);
    several_deltas: [1, 3, 4, 9], 3 => Some(9);
    version_without_delta: [1, 3], 2 => None;
    version_older_than_history: [3, 4], 1 => None;
    removed_workspaces: [9, 10, 11], 9 => Some(11);
}

// Deltas that lead to the same version with other content must not be applied.
#[test]
fn deltas_with_wrong_state_hash_are_rejected() {
    let mut history = ConfigHistory::default();
    history.record(&config(1), &config(2));
    let deltas = history.deltas_since(1).unwrap();
    assert_eq!(ConfigHistory::apply(&config(1), &deltas, state_hash(&config(3))), None);
    assert_eq!(ConfigHistory::apply(&config(1), &deltas, None), None);
}
