//! Logs and counts what the ledger of crashes learns.

use fuchsiabay_balancer::CrashEvent;

/// Logs and counts `event`.
pub(crate) fn record(event: &CrashEvent) {
    match event {
        CrashEvent::Refuted { incarnation, suspects } => {
            count("refuted", *suspects);
            log::info!(server:% = incarnation, suspects; "crash: refuted, the server lives");
        }
        CrashEvent::Dropped { incarnation, suspects } => {
            count("dropped", *suspects);
            log::warn!(server:% = incarnation, suspects; "crash: too many suspects, some were dropped");
        }
        CrashEvent::Counted { incarnation, suspects } => {
            metrics::counter!("fuchsiabay_crashes_total").increment(1);
            log::info!(server:% = incarnation, suspects; "crash: counted");
        }
        CrashEvent::Quarantined(quarantine) => {
            count("quarantined", 1);
            log::info!(fingerprint:% = quarantine.fingerprint, crashes = quarantine.crashes; "crash: quarantined");
        }
        CrashEvent::Released(quarantine) => {
            count("released", 1);
            log::info!(fingerprint:% = quarantine.fingerprint, crashes = quarantine.crashes; "crash: released");
        }
        CrashEvent::Cleared { fingerprint, crashes, occupancy } => {
            count("cleared", 1);
            log::info!(
                fingerprint:%, crashes, occupancy_ppm = occupancy.millionths();
                "crash: cleared, servers survived the request"
            );
        }
    }
}

fn count(outcome: &'static str, suspects: usize) {
    metrics::counter!("fuchsiabay_crash_suspects_total", "outcome" => outcome).increment(suspects as u64);
}
