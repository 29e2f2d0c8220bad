//! A group of two ranks on a fake engine, with one agent per rank. The test advances the steps.

use std::{net::SocketAddr, sync::Arc};

use fuchsiabay_agent::{Agent, AgentParams};
use fuchsiabay_base::Generation;
use fuchsiabay_claims::ClaimLimits;
use fuchsiabay_runtime::{Identity, OpsSource};
use fuchsiabay_settings::{BackendKind, GroupSettings};
use fuchsiabay_wire::Role;
use parking_lot::Mutex;
use serde_json::{Value, json};
use trillium::Status;
use trillium_router::Router;

use super::{
    FixedConfig,
    fakes::{FakeLog, route, serve},
    wait_until,
};

pub(crate) const STREAM: &str = "maps-g";

/// An engine that hosts both ranks. It does not check generations, so only the agents prevent outdated permits.
#[derive(Default)]
pub(crate) struct FakeGroup {
    state: Mutex<GroupState>,
}

#[derive(Default)]
struct GroupState {
    /// The map of each permitted step, by rank. Steps are numbered from 1.
    permits: [Vec<u64>; 2],
    /// The highest generation that permitted a step, by rank.
    generations: [u64; 2],
    /// The map of each step that ran.
    ran: Vec<u64>,
    weights_blocked: bool,
    hides_generations: bool,
    /// How often the agents have read the state of the group.
    view_reads: usize,
}

impl FakeGroup {
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let group = Arc::new(Self::default());
        let router = Router::new()
            .get("/group", route(&group, |group, _, _| Ok(group.view())))
            .post("/group/permit", route(&group, |group, _, call| group.permit(&call)))
            .post("/group/weights", route(&group, |group, _, _| group.load_weights()))
            // The last experts are much more popular, so that another placement is planned.
            .get(
                "/group/load",
                route(&group, |_, _, _| Ok(json!({ "tokens": [9, 9, 90, 900], "rank_us": [5, 5] }))),
            )
            .get("/orders", route(&group, |_, _, _| Ok(json!({}))))
            .get("/health", route(&group, |_, _, _| Ok(Value::Null)));
        (group, serve(router).await)
    }

    fn view(&self) -> Value {
        let mut state = self.state.lock();
        state.view_reads += 1;
        let reports_generations = !state.hides_generations;
        let rank = |i: usize| json!({ "through_step": state.permits[i].len(), "generation": reports_generations.then_some(state.generations[i]) });
        json!({ "step": state.ran.len(), "ranks": [rank(0), rank(1)] })
    }

    fn permit(&self, call: &Value) -> Result<Value, Status> {
        let number = |field: &str| call[field].as_u64().unwrap();
        let mut state = self.state.lock();
        let through = number("through_step") as usize;
        for rank in number("rank")..number("rank") + number("ranks") {
            let rank = rank as usize;
            if through <= state.permits[rank].len() {
                return Err(Status::Conflict);
            }
            state.permits[rank].resize(through, number("map"));
            state.generations[rank] = state.generations[rank].max(number("generation"));
        }
        Ok(Value::Null)
    }

    fn load_weights(&self) -> Result<Value, Status> {
        if self.state.lock().weights_blocked { Err(Status::ServiceUnavailable) } else { Ok(Value::Null) }
    }

    pub(crate) fn block_weights(&self, blocked: bool) {
        self.state.lock().weights_blocked = blocked;
    }

    pub(crate) fn hide_generations(&self) {
        self.state.lock().hides_generations = true;
    }

    /// Runs the steps up to `through`, each once both agents have permitted it, and checks that both did so under the
    /// same map.
    pub(crate) async fn run_through(&self, through: usize) {
        wait_until(|| self.advance(through) >= through).await;
    }

    /// Runs steps until `condition` holds. Returns the last step that ran.
    pub(crate) async fn run_until(&self, condition: impl Fn() -> bool) -> usize {
        wait_until(|| {
            let step = self.state.lock().ran.len();
            self.advance(step + 1);
            condition()
        })
        .await;
        self.state.lock().ran.len()
    }

    fn advance(&self, through: usize) -> usize {
        let mut state = self.state.lock();
        while state.ran.len() < through {
            let step = state.ran.len();
            let [Some(&a), Some(&b)] = [state.permits[0].get(step), state.permits[1].get(step)] else {
                break;
            };
            assert_eq!(a, b, "maps of step {}", step + 1);
            state.ran.push(a);
        }
        state.ran.len()
    }

    pub(crate) fn map_of(&self, step: usize) -> u64 {
        self.state.lock().ran[step - 1]
    }

    pub(crate) fn permitted_through(&self) -> [usize; 2] {
        let state = self.state.lock();
        [state.permits[0].len(), state.permits[1].len()]
    }

    /// Waits until the agents have read the state of the group several times, so that they had the opportunity to
    /// permit steps.
    pub(crate) async fn wait_for_view_reads(&self) {
        let view_reads = self.state.lock().view_reads;
        wait_until(|| self.state.lock().view_reads >= view_reads + 10).await;
    }
}

/// A fake group and the means to start its agents, each of which has one rank.
pub(crate) struct GroupHarness {
    pub(crate) group: Arc<FakeGroup>,
    pub(crate) log: Arc<FakeLog>,
    /// The log at the address that the first incarnation of the second agent uses.
    pub(crate) second_log: Arc<FakeLog>,
    engine_addr: SocketAddr,
    log_addr: SocketAddr,
    plan_ms: u64,
}

impl GroupHarness {
    /// Starts both agents, with permits for 20 steps and hold steps 100 steps ahead, and runs the first step.
    pub(crate) async fn start(plan_ms: u64) -> (Self, [Arc<Agent<FixedConfig>>; 2]) {
        let (group, engine_addr) = FakeGroup::start().await;
        let (log, log_addr) = FakeLog::start().await;
        let (second_log, second_addr) = log.second_address().await;
        let harness = Self { group, log, second_log, engine_addr, log_addr, plan_ms };
        let agents = [harness.start_agent(0, 1, log_addr), harness.start_agent(1, 1, second_addr)];
        wait_until(|| agents.iter().all(|agent| dump(agent)["generation"] == 2)).await;
        harness.group.run_through(1).await;
        (harness, agents)
    }

    /// Starts an incarnation of the agent of `rank`.
    pub(crate) fn start_incarnation(&self, rank: u16, incarnation: u64) -> Arc<Agent<FixedConfig>> {
        self.start_agent(rank, incarnation, self.log_addr)
    }

    /// Starts an incarnation of the agent of `rank` with the log at the address `log`.
    pub(crate) fn start_agent(
        &self,
        rank: u16,
        incarnation: u64,
        log: SocketAddr,
    ) -> Arc<Agent<FixedConfig>> {
        let group = GroupSettings {
            name: "g".to_owned(),
            rank,
            ranks: 1,
            group_ranks: 2,
            experts: 4,
            expert_slots: 3,
            step_us: 100_000,
            plan_ms: self.plan_ms,
        };
        let params = AgentParams {
            identity: Identity {
                role: Role::Agent,
                instance: format!("agent-{rank}").as_str().into(),
                generation: Generation(incarnation),
                zone: "a".into(),
            },
            kind: BackendKind::Model,
            service: "service".into(),
            backend_url: format!("http://{}", self.engine_addr),
            slots: 2,
            log_url: format!("http://{log}"),
            list_url: "http://127.0.0.1:1".to_owned(),
            claims: ClaimLimits { window_ms: 600_000, skew_ms: 5_000, margin_ms: 60_000 },
            group: Some(group),
        };
        let agent = Agent::new(params, Arc::new(FixedConfig));
        agent.start();
        agent
    }

    /// Proposes map `map` for the steps from `hold_step` on, and waits until `agents` have read the proposal. Returns
    /// its offset.
    pub(crate) async fn propose_map(
        &self,
        agents: &[&Arc<Agent<FixedConfig>>],
        map: u64,
        hold_step: u64,
    ) -> u64 {
        let offset = self.log.records(STREAM).len() as u64;
        let generation = dump(agents[0])["generation"].clone();
        let rank = [[0, 5_000], [1, 5_000], [2, 5_000], [3, 5_000]];
        self.log.append_record(
            STREAM,
            json!({ "kind": "prepare", "generation": generation, "map": map, "hold_step": hold_step,
                    "content": [rank, rank] }),
        );
        wait_until(|| agents.iter().all(|agent| dump(agent)["next_offset"].as_u64() > Some(offset))).await;
        offset
    }

    /// Waits until the log contains `count` votes.
    pub(crate) async fn wait_for_votes(&self, count: usize) {
        wait_until(|| self.votes() >= count).await;
    }

    pub(crate) fn set_log_down(&self, down: bool) {
        self.log.set_down(down);
        self.second_log.set_down(down);
    }

    pub(crate) fn votes(&self) -> usize {
        self.log.records(STREAM).iter().filter(|record| record["kind"] == "vote").count()
    }
}

/// Returns the `group` field of an agent's dump.
pub(crate) fn dump(agent: &Arc<Agent<FixedConfig>>) -> Value {
    agent.state()["group"].clone()
}
