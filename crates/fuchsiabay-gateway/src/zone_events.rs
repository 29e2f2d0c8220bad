//! Logs when an instance begins and stops to send requests to other zones.

use fuchsiabay_balancer::CrossZoneChange;
use fuchsiabay_base::ServiceName;

pub(crate) fn record(service: &ServiceName, change: &CrossZoneChange) {
    let share_percent = (change.share * 100.0).round() as u32;
    let (service, reason) = (service.as_str(), change.reason.as_str());
    if change.is_leaving {
        log::info!(service, reason, share_percent; "zone: requests leave the zone");
    } else {
        log::info!(service, reason, share_percent; "zone: requests stay in the zone again");
    }
}
