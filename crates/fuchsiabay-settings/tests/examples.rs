//! The example settings are valid, because operators start from them.

use std::path::PathBuf;

use fuchsiabay_settings::{AgentSettings, BackendKind, CliSettings, EntrySettings};

fn example(deployment: &str, file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment).join(file)
}

fn check(deployment: &str, plain: &str, service: &str) {
    let entry = EntrySettings::load(example(deployment, "entry.jsonc")).unwrap();
    let cli = CliSettings::load(example(deployment, "command.jsonc")).unwrap();
    let engine = AgentSettings::load(example(deployment, "agent-engine.jsonc")).unwrap();
    let plain = AgentSettings::load(example(deployment, plain)).unwrap();
    assert_eq!(engine.backend.kind, BackendKind::Model);
    assert_eq!((plain.backend.kind, plain.backend.service.as_str()), (BackendKind::Plain, service));
    // The CLI derives the ops addresses of the examples from their peer addresses.
    assert_eq!(cli.ops_addr(&entry.instance, entry.peer_listen), Some(entry.ops_listen));
    for agent in [engine, plain] {
        assert_eq!(cli.ops_addr(&agent.instance, agent.peer_listen), Some(agent.ops_listen));
        assert_eq!((agent.zone, agent.region), (entry.zone.clone(), entry.region.clone()));
    }
}

macro_rules! cases {
    ($($name:ident: $deployment:literal, $plain:literal, $service:literal;)*) => {
        $(#[test]
        fn $name() {
            check($deployment, $plain, $service);
        })*
    };
}

cases! {
    dakar_examples_are_valid: "dakar", "agent-booking.jsonc", "booking";
    south_east_queensland_examples_are_valid: "south-east-queensland", "agent-orders.jsonc", "orders";
}
