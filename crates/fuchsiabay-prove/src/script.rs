//! What happens in a case.

use serde::{Deserialize, Serialize};

use crate::{
    Outcome, Promise, Step, claims_script::ClaimAction, claims_world::ClaimsWorld,
    config_script::ConfigAction, config_world::ConfigWorld, crash_script::CrashAction,
    crash_world::CrashWorld, drain_script::DrainAction, drain_world::DrainWorld,
    leaving_script::LeavingAction, leaving_world::LeavingWorld, map_script::MapAction, map_world::MapWorld,
    order_script::OrderAction, order_world::OrderWorld, stream_script::StreamAction,
    stream_world::StreamWorld,
};

/// The actions of a case: the part of a trace that can be read and shortened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "world", content = "steps", rename_all = "kebab-case")]
pub enum Script {
    /// Calls with idempotency keys against three agents.
    Claims(Vec<Step<ClaimAction>>),
    /// Publishes and preset switches against twelve processes.
    Config(Vec<Step<ConfigAction>>),
    /// Requests that crash the servers of two entry instances.
    Crashes(Vec<Step<CrashAction>>),
    /// Orders to one engine.
    Orders(Vec<Step<OrderAction>>),
    /// Maintenance of three agents.
    Drains(Vec<Step<DrainAction>>),
    /// Map switches of a group of four ranks.
    Maps(Vec<Step<MapAction>>),
    /// Streamed answers of four backend servers.
    Streams(Vec<Step<StreamAction>>),
    /// Three backend servers that leave and return behind two entry instances.
    Leaving(Vec<Step<LeavingAction>>),
}

impl Script {
    /// Draws the script of a case.
    pub(crate) fn draw(promise: Promise, rng: &mut fastrand::Rng) -> Self {
        match promise {
            Promise::AtMostOnce | Promise::NotRunIsTrue => Self::Claims(ClaimAction::script(rng)),
            Promise::Config => Self::Config(ConfigAction::script(rng)),
            Promise::CrashContainment => Self::Crashes(CrashAction::script(rng)),
            Promise::Fencing => Self::Orders(OrderAction::script(rng)),
            Promise::LeavingAndDrain => Self::Drains(DrainAction::script(rng)),
            Promise::ExpertMap => Self::Maps(MapAction::script(rng)),
            Promise::WholeAnswer => Self::Streams(StreamAction::script(rng)),
            Promise::Departures => Self::Leaving(LeavingAction::script(rng)),
        }
    }

    /// Runs the script. `seed` decides the delays of all messages.
    pub(crate) fn run(&self, promise: Promise, seed: u64) -> Outcome {
        match self {
            Self::Claims(steps) => ClaimsWorld::run(steps, promise, seed),
            Self::Config(steps) => ConfigWorld::run(steps, seed),
            Self::Crashes(steps) => CrashWorld::run(steps, seed),
            Self::Orders(steps) => OrderWorld::run(steps, seed),
            Self::Drains(steps) => DrainWorld::run(steps, seed),
            Self::Maps(steps) => MapWorld::run(steps, seed),
            Self::Streams(steps) => StreamWorld::run(steps, seed),
            Self::Leaving(steps) => LeavingWorld::run(steps, seed),
        }
    }

    /// Returns the number of faults.
    pub(crate) fn faults(&self) -> usize {
        match self {
            Self::Claims(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Config(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Crashes(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Orders(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Drains(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Maps(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Streams(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
            Self::Leaving(steps) => steps.iter().filter(|step| step.action.is_fault()).count(),
        }
    }

    /// Returns the number of steps.
    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Claims(steps) => steps.len(),
            Self::Config(steps) => steps.len(),
            Self::Crashes(steps) => steps.len(),
            Self::Orders(steps) => steps.len(),
            Self::Drains(steps) => steps.len(),
            Self::Maps(steps) => steps.len(),
            Self::Streams(steps) => steps.len(),
            Self::Leaving(steps) => steps.len(),
        }
    }

    /// Returns the script without step `i`.
    pub(crate) fn without_step(&self, i: usize) -> Self {
        let mut script = self.clone();
        match &mut script {
            Self::Claims(steps) => drop(steps.remove(i)),
            Self::Config(steps) => drop(steps.remove(i)),
            Self::Crashes(steps) => drop(steps.remove(i)),
            Self::Orders(steps) => drop(steps.remove(i)),
            Self::Drains(steps) => drop(steps.remove(i)),
            Self::Maps(steps) => drop(steps.remove(i)),
            Self::Streams(steps) => drop(steps.remove(i)),
            Self::Leaving(steps) => drop(steps.remove(i)),
        }
        script
    }
}
