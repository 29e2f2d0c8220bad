//! What the tests of the crash ledger share.

#![allow(dead_code, missing_docs, unreachable_pub)]

use fuchsiabay_balancer::{CrashLedger, Incarnation, SurvivedRun, Suspect};
use fuchsiabay_base::{InstanceId, ServiceName, Timestamp};

/// A run so short that its request hardly ever runs on a server that crashes by chance.
pub const RUN: SurvivedRun = SurvivedRun { ms: 1, servers: 100 };

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + ms)
}

pub fn server(n: u64) -> Incarnation {
    Incarnation { server: InstanceId::new(format!("i-{n}")), started_at_ms: n }
}

/// Returns the suspects of a request with the prompt `parts` and the body `body`.
pub fn suspects(parts: &str, body: &str) -> Vec<Suspect> {
    let service = ServiceName::new("s");
    let mut suspects = Suspect::request(&service, &[b"w", body.as_bytes()]).to_vec();
    suspects.extend(Suspect::prompt_parts(&service, parts));
    suspects
}

pub fn is_refused(ledger: &mut CrashLedger, suspects: &[Suspect], ms: u64) -> bool {
    ledger.advance(at(ms));
    ledger.quarantine(suspects, at(ms)).is_some()
}

/// Tells `to` what changed at `from` after the revision `sent`. Returns the revision up to which `to` knows everything.
pub fn tell(from: &mut CrashLedger, to: &mut CrashLedger, sent: u64, ms: u64) -> u64 {
    from.advance(at(ms));
    let (revision, reports) = from.changes_since(sent, at(ms));
    reports.iter().for_each(|report| to.merge(report, at(ms)));
    revision
}
