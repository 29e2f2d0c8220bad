//! Plans are deterministic for a seed, and duplicates are sent through different entry instances.

use std::collections::HashMap;

use fuchsiabay_bench::{LoadSettings, Plan, RequestKind, Target};

fn settings(seed: u64, entries: usize) -> LoadSettings {
    let urls = (0..entries).map(|i| format!("http://127.0.0.1:{i}")).collect();
    LoadSettings { seed, target: Target::Entries(urls), ..LoadSettings::default() }
}

fn check(seed: u64, entries: usize, duplicates_share_an_entry: bool) {
    let plan = Plan::new(&settings(seed, entries));
    assert_eq!(plan, Plan::new(&settings(seed, entries)));
    assert_ne!(plan, Plan::new(&settings(seed + 1, entries)));
    assert!(plan.requests.is_sorted_by_key(|request| request.at_us));
    let mut entries_by_key: HashMap<u128, Vec<usize>> = HashMap::new();
    for request in &plan.requests {
        if let RequestKind::Keyed { random, .. } = request.kind {
            entries_by_key.entry(random).or_default().push(request.entry);
        }
    }
    let mut duplicates = entries_by_key.values().filter(|entries| entries.len() == 2).peekable();
    assert!(duplicates.peek().is_some());
    assert!(duplicates.all(|entries| (entries[0] == entries[1]) == duplicates_share_an_entry));
}

macro_rules! cases {
    ($($name:ident: $seed:expr, $entries:expr => $shared:expr;)+) => {
        $(#[test] fn $name() { check($seed, $entries, $shared); })+
    };
}

// A duplicate through the same entry instance would not test that claims hold across entry instances.
cases! {
    one_entry: 1, 1 => true;
    two_entries: 2, 2 => false;
    five_entries: 3, 5 => false;
}
