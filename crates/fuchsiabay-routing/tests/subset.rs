//! Entry instances stay within their limit of connections and together cover every agent.

use std::collections::HashMap;

use fuchsiabay_base::{InstanceId, ServiceName, ZoneName};
use fuchsiabay_routing::{Candidate, choose_agents};

struct Fleet(Vec<(ServiceName, ZoneName, InstanceId)>);

impl Fleet {
    fn new(services: usize, zones: usize, agents: usize) -> Self {
        let agent = |i: usize| {
            let service = ServiceName::new(format!("service-{}", i % services));
            let zone = ZoneName::new(format!("zone-{}", i / services % zones));
            (service, zone, InstanceId::new(format!("agent-{i}")))
        };
        Self((0..agents).map(agent).collect())
    }

    fn chosen_agents(&self, entry: usize, zones: usize) -> Vec<&InstanceId> {
        let own = InstanceId::new(format!("entry-{entry}"));
        let zone = ZoneName::new(format!("zone-{}", entry % zones));
        choose_agents(&own, &zone, self.0.iter().map(|(service, zone, id)| Candidate { service, zone, id }))
    }
}

/// Checks that each entry instance connects to `connections` agents and at least `min_entries` of them connect
/// to each agent.
fn check(
    services: usize,
    zones: usize,
    agents: usize,
    entries: usize,
    connections: usize,
    min_entries: usize,
) {
    let fleet = Fleet::new(services, zones, agents);
    let mut per_agent: HashMap<&InstanceId, usize> = fleet.0.iter().map(|(.., id)| (id, 0)).collect();
    for entry in 0..entries {
        let chosen = fleet.chosen_agents(entry, zones);
        assert_eq!(chosen.len(), connections);
        for id in chosen {
            *per_agent.get_mut(id).unwrap() += 1;
        }
    }
    let least = per_agent.values().min().copied().unwrap();
    assert!(least >= min_entries, "an agent has only {least} entry instances");
}

macro_rules! cases {
    ($($name:ident: $services:expr, $zones:expr, $agents:expr, $entries:expr => $connections:expr, $min_entries:expr;)+) => {
        $(#[test] fn $name() { check($services, $zones, $agents, $entries, $connections, $min_entries); })+
    };
}

// A small deployment is a full mesh. A large one must neither exceed the limit nor leave an agent without work.
cases! {
    small_deployment: 2, 3, 32, 4 => 32, 4;
    one_agent: 1, 1, 1, 2 => 1, 2;
    design_target: 4, 6, 600, 350 => 64, 10;
}

// A leaving agent must not change the other connections of an entry instance.
#[test]
fn a_leaving_agent_changes_one_connection() {
    let mut fleet = Fleet::new(4, 6, 600);
    let before: Vec<InstanceId> = fleet.chosen_agents(7, 6).into_iter().cloned().collect();
    let leaving = before[0].clone();
    fleet.0.retain(|(.., id)| *id != leaving);
    let after: Vec<InstanceId> = fleet.chosen_agents(7, 6).into_iter().cloned().collect();
    assert_eq!(before.iter().filter(|id| !after.contains(id)).count(), 1);
}
