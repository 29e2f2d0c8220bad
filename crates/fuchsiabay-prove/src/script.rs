//! The script of a case.

use serde::{Deserialize, Serialize};

use crate::{
    Outcome, Promise, Step, claims_script::ClaimAction, claims_world::ClaimsWorld,
    config_script::ConfigAction, config_world::ConfigWorld, crash_script::CrashAction,
    crash_world::CrashWorld, drain_script::DrainAction, drain_world::DrainWorld,
    leaving_script::LeavingAction, leaving_world::LeavingWorld, lockstep_script::LockstepAction,
    lockstep_world::LockstepWorld, map_script::MapAction, map_world::MapWorld,
    neighbour_script::NeighbourAction, neighbour_world::NeighbourWorld, order_script::OrderAction,
    order_world::OrderWorld, stream_script::StreamAction, stream_world::StreamWorld,
};

/// The actions of a case, for one kind of simulated world.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "world", content = "steps", rename_all = "kebab-case")]
pub enum Script {
    /// Calls with idempotency keys against three agents.
    Claims(Vec<Step<ClaimAction>>),
    /// Publishes and preset switches against nine entry instances and three agents.
    Config(Vec<Step<ConfigAction>>),
    /// Requests to two entry instances, some of which crash the servers.
    Crashes(Vec<Step<CrashAction>>),
    /// Orders to one engine.
    Orders(Vec<Step<OrderAction>>),
    /// Calls during the maintenance of three agents.
    Drains(Vec<Step<DrainAction>>),
    /// Map switches of a group of four ranks.
    Maps(Vec<Step<MapAction>>),
    /// Map switches of a group whose ranks receive the orders directly.
    Lockstep(Vec<Step<LockstepAction>>),
    /// Changes and faults for entry instances of which two read the store.
    Neighbours(Vec<Step<NeighbourAction>>),
    /// Streamed responses of four backend servers.
    Streams(Vec<Step<StreamAction>>),
    /// Three backend servers that leave and return behind two entry instances.
    Leaving(Vec<Step<LeavingAction>>),
}

/// Evaluates an expression with the steps of a script of any kind.
macro_rules! with_steps {
    ($script:expr, $steps:ident => $value:expr) => {
        match $script {
            Script::Claims($steps) => $value,
            Script::Config($steps) => $value,
            Script::Crashes($steps) => $value,
            Script::Orders($steps) => $value,
            Script::Drains($steps) => $value,
            Script::Maps($steps) => $value,
            Script::Lockstep($steps) => $value,
            Script::Neighbours($steps) => $value,
            Script::Streams($steps) => $value,
            Script::Leaving($steps) => $value,
        }
    };
}

impl Script {
    /// Generates a random script for a promise.
    pub(crate) fn generate(promise: Promise, rng: &mut fastrand::Rng) -> Self {
        match promise {
            Promise::AtMostOnce | Promise::NotRunIsTrue => Self::Claims(ClaimAction::random_script(rng)),
            Promise::Config => Self::Config(ConfigAction::random_script(rng)),
            Promise::CrashContainment => Self::Crashes(CrashAction::random_script(rng)),
            Promise::Fencing => Self::Orders(OrderAction::random_script(rng)),
            Promise::LeavingAndDrain => Self::Drains(DrainAction::random_script(rng)),
            Promise::ExpertMap => Self::Maps(MapAction::random_script(rng)),
            Promise::LockstepMap => Self::Lockstep(LockstepAction::random_script(rng)),
            Promise::SharedNews => Self::Neighbours(NeighbourAction::random_script(rng)),
            Promise::WholeAnswer => Self::Streams(StreamAction::random_script(rng)),
            Promise::Departures => Self::Leaving(LeavingAction::random_script(rng)),
        }
    }

    /// Runs the script. `seed` determines the delays of all messages.
    pub fn run(&self, promise: Promise, seed: u64) -> Outcome {
        match self {
            Self::Claims(steps) => ClaimsWorld::run(steps, promise, seed),
            Self::Config(steps) => ConfigWorld::run(steps, seed),
            Self::Crashes(steps) => CrashWorld::run(steps, seed),
            Self::Orders(steps) => OrderWorld::run(steps, seed),
            Self::Drains(steps) => DrainWorld::run(steps, seed),
            Self::Maps(steps) => MapWorld::run(steps, seed),
            Self::Lockstep(steps) => LockstepWorld::run(steps, seed),
            Self::Neighbours(steps) => NeighbourWorld::run(steps, seed),
            Self::Streams(steps) => StreamWorld::run(steps, seed),
            Self::Leaving(steps) => LeavingWorld::run(steps, seed),
        }
    }

    /// Returns the number of steps that are faults.
    pub(crate) fn faults(&self) -> usize {
        with_steps!(self, steps => steps.iter().filter(|step| step.action.is_fault()).count())
    }

    /// Returns the number of steps.
    pub(crate) fn len(&self) -> usize {
        with_steps!(self, steps => steps.len())
    }

    /// Returns the script without step `i`.
    pub(crate) fn without_step(&self, i: usize) -> Self {
        let mut script = self.clone();
        with_steps!(&mut script, steps => drop(steps.remove(i)));
        script
    }
}
