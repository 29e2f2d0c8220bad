//! The promises that the runs test.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A guarantee of the product that random cases test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub enum Promise {
    /// A call that is not idempotent runs at most once.
    AtMostOnce,
    /// A call that is answered `not-run` did not run.
    NotRunIsTrue,
    /// An accepted configuration is in force everywhere within 6 s and never reverts.
    Config,
    /// A request that crashes its servers is refused, and harmless requests are served.
    CrashContainment,
    /// No order is sent past its deadline or replaces a newer one.
    Fencing,
    /// All ranks of a group use the same expert map in every step.
    ExpertMap,
    /// The same for ranks that receive the orders directly; in addition, no rank stays held.
    LockstepMap,
    /// Instances that receive the configuration and the directory from other instances follow them as if they read the
    /// store themselves.
    SharedNews,
    /// A caller receives the response to its own request, and an incomplete one is never reported as complete.
    WholeAnswer,
    /// A leaving backend server gets no new work and finishes its running work.
    LeavingAndDrain,
    /// A leaving server is sent no new work after a few seconds, and no drain fails a request.
    Departures,
}

impl Promise {
    /// Every promise, in the order of a run.
    pub const ALL: &[Self] = &[
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::Config,
        Self::CrashContainment,
        Self::Fencing,
        Self::ExpertMap,
        Self::LockstepMap,
        Self::SharedNews,
        Self::WholeAnswer,
        Self::LeavingAndDrain,
        Self::Departures,
    ];

    /// Returns the name that is used on the command line and in traces.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at-most-once",
            Self::NotRunIsTrue => "not-run-is-true",
            Self::Config => "config",
            Self::CrashContainment => "crash-containment",
            Self::Fencing => "fencing",
            Self::ExpertMap => "expert-map",
            Self::LockstepMap => "lockstep-map",
            Self::SharedNews => "shared-news",
            Self::WholeAnswer => "whole-answer",
            Self::LeavingAndDrain => "leaving-and-drain",
            Self::Departures => "departures",
        }
    }

    /// Returns the statement that must hold in every case.
    pub const fn description(self) -> &'static str {
        match self {
            Self::AtMostOnce => {
                "a call that is not idempotent runs at most once, and is answered with its own response"
            }
            Self::NotRunIsTrue => "a call that is answered not-run did not run and never will",
            Self::Config => {
                "an accepted configuration is in force everywhere within 6 s and never reverts, with one preset"
            }
            Self::CrashContainment => {
                "a request that crashes its servers is refused everywhere, and harmless requests are served"
            }
            Self::Fencing => "no order reaches an engine past its deadline or replaces a newer one",
            Self::ExpertMap => "all ranks of a group use the same expert map in every step",
            Self::LockstepMap => {
                "ranks that receive the orders directly never begin a step under different maps, and none stays held"
            }
            Self::SharedNews => {
                "an instance that learns of changes from others puts each in force within 2 s and never reverts"
            }
            Self::LeavingAndDrain => "a leaving server starts no new work, and no running call is cut off",
            Self::WholeAnswer => {
                "a caller receives the complete answer to its own request, or a visibly incomplete one"
            }
            Self::Departures => {
                "a leaving server is sent no new work after 5 s, and no drain of any instance fails a request"
            }
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Promise {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let promise = Self::ALL.iter().copied().find(|promise| promise.name() == s);
        promise.ok_or_else(|| format!("unknown promise {s:?}"))
    }
}
