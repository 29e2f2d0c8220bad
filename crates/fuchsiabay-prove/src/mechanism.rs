//! The mechanisms that can be disabled.

use crate::Promise;

/// A safeguard of the decision code, which a run can disable to show that its promise depends on it.
#[derive(Debug, PartialEq, Eq)]
pub struct Mechanism {
    /// The name that the decision code queries.
    pub name: &'static str,
    /// What the decision code does without it.
    pub description: &'static str,
    /// The promise that is violated without it.
    pub promise: Promise,
    /// Another mechanism that prevents the same violations, and is disabled together with it.
    pub masked_by: Option<&'static str>,
}

/// Every mechanism that can be disabled.
pub const MECHANISMS: &[Mechanism] = &[
    mechanism("first-claim-wins", "off: a later claim on a held key takes it over", Promise::AtMostOnce),
    mechanism(
        "claim-read-back",
        "off: an acknowledged claim is dispatched before it is read back as the winner",
        Promise::AtMostOnce,
    ),
    mechanism(
        "claim-window",
        "off: a claim that was appended after the key's window counts as valid",
        Promise::AtMostOnce,
    ),
    mechanism("gap-rule", "off: a claim stays pending although records were missed", Promise::AtMostOnce),
    mechanism(
        "key-window",
        "off: a key older than the first retained record is claimed",
        Promise::AtMostOnce,
    ),
    mechanism(
        "release-names-claim",
        "off: a release frees the key whichever claim holds it",
        Promise::AtMostOnce,
    ),
    mechanism(
        "abandon-unknown-append",
        "off: a claim whose append acknowledgement was lost is dispatched when it wins",
        Promise::NotRunIsTrue,
    ),
    mechanism("based-on-version", "off: a change based on an older version is accepted", Promise::Config),
    mechanism("snapshot-coverage", "off: a snapshot is trusted although it misses records", Promise::Config),
    mechanism(
        "base-recovery",
        "off: readers that all missed a record wait forever for a snapshot",
        Promise::Config,
    ),
    mechanism("never-lower", "off: a lower version replaces a higher one", Promise::Config),
    mechanism(
        "freshness-deadline",
        "off: a process serves although it cannot prove that its version is current",
        Promise::Config,
    ),
    mechanism(
        "outage-needs-every-reader",
        "off: an unreachable reader does not end the outage mode",
        Promise::Config,
    ),
    mechanism("suspects-alone", "off: a suspect request runs alongside others", Promise::CrashContainment),
    mechanism("quarantine", "off: no request is refused because of its crashes", Promise::CrashContainment),
    mechanism("order-high-water", "off: an order with an old token is accepted", Promise::Fencing),
    mechanism("order-deadline", "off: an order is sent past its deadline", Promise::Fencing),
    mechanism(
        "order-read-back",
        "off: an order that was sent without a reply counts as applied",
        Promise::Fencing,
    ),
    mechanism("hold-step", "off: a rank passes the hold step before the decision", Promise::ExpertMap),
    mechanism("unanimous-votes", "off: one vote decides a switch", Promise::ExpertMap),
    mechanism("hold-before-arm", "off: ranks are armed for a step that is not held", Promise::LockstepMap),
    mechanism(
        "arm-acknowledged",
        "off: a hold is released although a rank gave no reply to its arm order",
        Promise::LockstepMap,
    ),
    mechanism(
        "settle-first",
        "off: a new coordinator leaves holds and armed ranks as they are",
        Promise::LockstepMap,
    ),
    mechanism(
        "guard-hold",
        "off: a recovery relies on a hold that an earlier coordinator may already have ordered to release",
        Promise::LockstepMap,
    ),
    mechanism(
        "replace-before-release",
        "off: a hold is released although a rank could still be armed by an order that is executed late",
        Promise::LockstepMap,
    ),
    mechanism(
        "term-per-process",
        "off: a restarted coordinator continues the term of its previous process",
        Promise::LockstepMap,
    ),
    mechanism(
        "watch-stalls",
        "off: a coordinator does not look for held steps after its switches",
        Promise::LockstepMap,
    ),
    masked(
        "guard-hold",
        mechanism(
            "stop-at-lease-end",
            "off: a coordinator issues orders although another one may have taken over",
            Promise::LockstepMap,
        ),
    ),
    masked(
        "guard-hold",
        mechanism(
            "wait-for-lease-end",
            "off: a coordinator issues orders although its predecessor may still run, unaware of the takeover",
            Promise::LockstepMap,
        ),
    ),
    masked(
        "guard-hold",
        mechanism(
            "wait-for-reports",
            "off: a coordinator acts on states of ranks that may lack the effects of its own orders",
            Promise::LockstepMap,
        ),
    ),
    mechanism(
        "ask-everybody",
        "off: an instance with stale state does not call all others",
        Promise::SharedNews,
    ),
    mechanism(
        "own-reading",
        "off: an instance that is not a reader never reads the store",
        Promise::SharedNews,
    ),
    mechanism("newest-config", "off: an older configuration replaces a newer one", Promise::SharedNews),
    mechanism(
        "store-order",
        "off: a directory entry replaces one with a later position in the store's change log",
        Promise::SharedNews,
    ),
    mechanism(
        "store-epoch",
        "off: positions are compared as if the store had never returned from a copy",
        Promise::SharedNews,
    ),
    mechanism(
        "total-tokens",
        "off: the end of an attempt counts as the end of the answer",
        Promise::WholeAnswer,
    ),
    mechanism("contiguous-tokens", "off: tokens are appended after a gap", Promise::WholeAnswer),
    mechanism("drop-late-frames", "off: frames of other attempts are accepted", Promise::WholeAnswer),
    mechanism(
        "strip-repeats",
        "off: a frame that repeats the end of the answer is appended in full",
        Promise::WholeAnswer,
    ),
    mechanism("drain-refuses", "off: a draining agent admits new work", Promise::LeavingAndDrain),
    mechanism("drain-hand-back", "off: queued work stays with a draining agent", Promise::LeavingAndDrain),
    mechanism("retry-when-harmless", "off: a call that may have run is sent again", Promise::LeavingAndDrain),
    mechanism("drain-waits", "off: a drain cancels running work", Promise::Departures),
    mechanism(
        "drain-notice",
        "off: a drained agent stops before the entry instances know of the drain",
        Promise::Departures,
    ),
    mechanism("skip-draining", "off: draining servers are picked", Promise::Departures),
    mechanism(
        "free-hand-back",
        "off: work that a drain hands back is retried only within the retry budget",
        Promise::Departures,
    ),
    mechanism(
        "generation-check",
        "off: a load report of an earlier incarnation of a server is applied",
        Promise::Departures,
    ),
];

const fn mechanism(name: &'static str, description: &'static str, promise: Promise) -> Mechanism {
    Mechanism { name, description, promise, masked_by: None }
}

/// A mechanism whose absence shows only while `mask` is disabled, too.
const fn masked(mask: &'static str, mechanism: Mechanism) -> Mechanism {
    Mechanism { masked_by: Some(mask), ..mechanism }
}

impl Mechanism {
    /// Returns the mechanism of this name, if there is one.
    pub fn find(name: &str) -> Option<&'static Self> {
        MECHANISMS.iter().find(|mechanism| mechanism.name == name)
    }

    /// Runs `f` with `mechanism` disabled. Without the feature `ablation`, every mechanism stays enabled.
    pub(crate) fn without<R>(mechanism: Option<&'static Self>, f: impl FnOnce() -> R) -> R {
        #[cfg(feature = "ablation")]
        fuchsiabay_base::disable_mechanisms([
            mechanism.map(|mechanism| mechanism.name),
            mechanism.and_then(|mechanism| mechanism.masked_by),
        ]);
        let result = f();
        #[cfg(feature = "ablation")]
        fuchsiabay_base::disable_mechanisms([None; 2]);
        let _ = mechanism;
        result
    }
}
