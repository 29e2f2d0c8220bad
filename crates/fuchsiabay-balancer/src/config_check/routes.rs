//! Checks of routes and their targets.

use std::collections::{HashMap, HashSet};

use fuchsiabay_base::ServiceName;

use super::Finding;
use crate::{Route, ServingConfig};

pub(super) fn findings(config: &ServingConfig) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut by_match: HashMap<(String, &str), &Route> = HashMap::new();
    let mut names = HashSet::new();
    for route in &config.routes {
        let place = place(route);
        if !names.insert(route.name.as_str()) {
            findings.push(Finding::warning(&place, "another route has the same name"));
        }
        findings.extend(match_findings(route, &place));
        findings.extend(target_findings(config, route, &place));
        let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        match by_match.get(&key) {
            // Of two routes for the same requests, the first one in the configuration is used.
            Some(first) => findings.push(Finding::error(
                &place,
                format!("never matches: route {:?} has the same host and prefix", first.name),
            )),
            None => drop(by_match.insert(key, route)),
        }
    }
    findings.extend(unused_services(config));
    findings
}

pub(super) fn place(route: &Route) -> String {
    format!("routes.{}", route.name)
}

fn match_findings(route: &Route, place: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    if route.host.is_empty() {
        findings.push(Finding::error(place, "never matches: the host is empty"));
    }
    // The port of a request's host is removed before the lookup.
    if route.host.contains(':') {
        findings.push(Finding::error(place, "never matches: the host contains a port"));
    }
    if !route.path_prefix.starts_with('/') {
        findings.push(Finding::error(place, "never matches: the path prefix does not begin with a slash"));
    }
    if !route.path_prefix.ends_with('/') {
        findings.push(Finding::error(
            place,
            "also matches longer names: the path prefix does not end with a slash",
        ));
    }
    findings
}

fn target_findings(config: &ServingConfig, route: &Route, place: &str) -> Vec<Finding> {
    let mut findings = Vec::new();
    for target in &route.targets {
        let service = &target.service;
        if !config.services.contains_key(service) {
            findings.push(Finding::error(place, format!("there is no service {:?}", service.as_str())));
        }
        if target.weight == 0 {
            findings.push(Finding::warning(
                place,
                format!("never sends to {:?}: its weight is 0", service.as_str()),
            ));
        }
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        findings.push(Finding::error(place, "refuses every request: no target has a positive weight"));
    }
    findings
}

fn unused_services(config: &ServingConfig) -> impl Iterator<Item = Finding> {
    let is_used = |service: &ServiceName| {
        let mut targets = config.routes.iter().flat_map(|route| &route.targets);
        targets.any(|target| target.service == *service && target.weight > 0)
    };
    let unused = config.services.keys().filter(move |service| !is_used(service));
    unused.map(|service| {
        Finding::warning(format!("services.{service}"), "gets no requests: no route sends to it")
    })
}
