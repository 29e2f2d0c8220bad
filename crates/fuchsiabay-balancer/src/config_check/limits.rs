//! Checks of limits, goals and timeouts that contradict each other.

use super::{Finding, routes::place};
use crate::{EngineProfile, Route, ServingConfig};

pub(super) fn findings(config: &ServingConfig) -> Vec<Finding> {
    let mut findings = caller_findings(config);
    for route in &config.routes {
        findings.extend(goal_findings(route));
        for target in &route.targets {
            if let Some(Some(engine)) = config.services.get(&target.service) {
                findings.extend(engine_findings(route, engine, target.service.as_str()));
            }
        }
    }
    findings
}

fn caller_findings(config: &ServingConfig) -> Vec<Finding> {
    let limits = config.limits;
    let mut findings = Vec::new();
    let values = [
        (limits.max_head_bytes == 0, "the limit of a head is 0 bytes"),
        (limits.head_timeout_ms == 0, "the time for a head is 0 ms"),
        (limits.idle_timeout_ms == 0, "connections may not be idle at all"),
    ];
    findings.extend(
        values
            .into_iter()
            .filter(|(is_zero, _)| *is_zero)
            .map(|(_, message)| Finding::error("limits", format!("refuses every request: {message}"))),
    );
    if limits.max_head_bytes > limits.max_body_bytes {
        findings.push(Finding::warning("limits", "a head may be larger than a body"));
    }
    if limits.head_timeout_ms > limits.idle_timeout_ms {
        findings.push(Finding::warning(
            "limits",
            "a head may take longer than a connection may be idle, so the idle timeout ends it first",
        ));
    }
    findings
}

fn goal_findings(route: &Route) -> Vec<Finding> {
    let place = place(route);
    let mut findings = Vec::new();
    if route.timeout_ms == 0 {
        findings.push(Finding::error(&place, "refuses every request: the timeout is 0 ms"));
    }
    if route.goal_ms > route.timeout_ms {
        findings.push(Finding::error(
            &place,
            format!(
                "the timeout ({} ms) is shorter than the latency goal ({} ms)",
                route.timeout_ms, route.goal_ms
            ),
        ));
    }
    let Some(gap_goal_ms) = route.gap_goal_ms else {
        return findings;
    };
    if !route.kind.is_stream() {
        findings
            .push(Finding::warning(&place, "states a goal between events, but its responses are no streams"));
    }
    if gap_goal_ms > route.timeout_ms {
        findings.push(Finding::error(
            &place,
            format!(
                "the timeout ({} ms) is shorter than the goal between events ({gap_goal_ms} ms)",
                route.timeout_ms
            ),
        ));
    }
    findings
}

fn engine_findings(route: &Route, engine: &EngineProfile, service: &str) -> Vec<Finding> {
    let place = place(route);
    let mut findings = Vec::new();
    let fastest_event_ms = f64::from(engine.stride) * engine.step_time_ms(1);
    if let Some(gap_goal_ms) = route.gap_goal_ms
        && fastest_event_ms > gap_goal_ms as f64
    {
        findings.push(Finding::error(
            &place,
            format!(
                "{service:?} cannot meet the goal between events ({gap_goal_ms} ms): one request alone takes {fastest_event_ms:.0} ms"
            ),
        ));
    }
    let alone_ms = engine.mean_response_tokens * engine.step_time_ms(1);
    if alone_ms > route.timeout_ms as f64 {
        findings.push(Finding::error(
            &place,
            format!(
                "a response of mean length takes {alone_ms:.0} ms at {service:?}, longer than the timeout ({} ms)",
                route.timeout_ms
            ),
        ));
    }
    findings
}
