//! Routes, keys and versions.

use fuchsiabay_balancer::{
    CallerLimits, ConfigSlot, IndexedConfig, KeyCheck, Route, RouteKind, ServingConfig, Target, Workspace,
};
use fuchsiabay_base::{ServiceName, WorkspaceId};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        targets: vec![Target { service: ServiceName::new("s"), weight: 1 }],
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        goal_ms: 100,
        gap_goal_ms: None,
        patience_ms: None,
        attempts: 2,
        priority: 0,
        public: name == "public",
    }
}

fn serving(version: u64) -> IndexedConfig {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "i", "/a/"),
        route("public", "h", "/p/"),
    ];
    let workspace = Workspace {
        name: WorkspaceId::new("w"),
        api_keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: Some(3),
    };
    IndexedConfig::new(ServingConfig {
        version,
        routes,
        services: [(ServiceName::new("s"), None)].into(),
        limits: CallerLimits::default(),
        workspaces: Some(vec![workspace]),
    })
}

fn check(host: &str, path: &str, route: Option<&str>) {
    assert_eq!(serving(1).route(host, path).map(|route| route.name.clone()).as_deref(), route);
}

macro_rules! cases {
    ($($name:ident($($arg:expr),*);)*) => { $(#[test] fn $name() { check($($arg),*); })* };
}

cases! {
    longest_prefix_wins("h", "/a/b/c", Some("long"));
    shorter_prefix_takes_the_rest("h", "/a/bc", Some("short"));
    prefix_ends_with_its_slash("h", "/a", None);
    host_decides("i", "/a/b/c", Some("other"));
    port_does_not_matter("h:8080", "/a/x", Some("short"));
    case_of_the_host_does_not_matter("H", "/a/x", Some("short"));
    unknown_host("x", "/a/x", None);
}

/// Guards against requests with a key that no configuration holds, and against asking for one where none is needed.
#[test]
fn keys_belong_to_workspaces() {
    let serving = serving(1);
    let (private, public) = (route("short", "h", "/a/"), route("public", "h", "/p/"));
    assert!(
        matches!(serving.check_key(&private, Some("k2")), KeyCheck::Workspace(w) if w.name.as_str() == "w")
    );
    assert_eq!(serving.check_key(&private, Some("k3")), KeyCheck::Unknown);
    assert_eq!(serving.check_key(&private, None), KeyCheck::Unknown);
    assert_eq!(serving.check_key(&public, None), KeyCheck::Open);
}

/// Guards against an older configuration that comes back.
#[test]
fn versions_only_rise() {
    let mut slot = ConfigSlot::default();
    for (version, in_force) in [(5, true), (4, false), (5, false), (9, true), (1, false)] {
        assert_eq!(slot.replace_if_newer(serving(version).into()), in_force, "{version}");
    }
    assert_eq!(slot.version(), 9);
}

/// Guards against a split that ignores its weights.
#[test]
fn split_follows_the_weights() {
    let mut route = route("split", "h", "/s/");
    route.targets = [("a", 90), ("b", 10), ("c", 0)]
        .map(|(service, weight)| Target { service: ServiceName::new(service), weight })
        .to_vec();
    let count =
        |name: &str| (0..100).filter(|draw| route.choose_service(*draw).unwrap().as_str() == name).count();
    assert_eq!((count("a"), count("b"), count("c")), (90, 10, 0));
    route.targets.clear();
    assert_eq!(route.choose_service(1), None);
}
