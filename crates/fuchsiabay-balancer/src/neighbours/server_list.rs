//! A list of servers, and the compact form of the loads at them.

use std::{collections::HashMap, sync::Arc};

use fuchsiabay_base::{Fingerprint, InstanceId};

/// The largest load with a digit of its own. Larger loads are sent in the full form.
const MAX_LOAD: u32 = 35;

/// The longest run of servers without load that one letter stands for.
const MAX_RUN: u8 = 26;

/// The servers that an instance knows, in the order of their ids. Two instances that know the same servers can send loads without
/// the ids.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    ids: Arc<[InstanceId]>,
    digest: u32,
}

impl ServerList {
    /// Creates the list of the servers with the given ids.
    pub fn new(ids: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut ids: Vec<InstanceId> = ids.into_iter().collect();
        ids.sort_unstable();
        ids.dedup();
        let parts: Vec<&[u8]> = ids.iter().map(|id| id.as_str().as_bytes()).collect();
        let digest = Fingerprint::of(&parts).low_bits();
        Self { ids: ids.into(), digest }
    }

    /// Returns the digest of the ids.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    pub(super) fn ids(&self) -> &[InstanceId] {
        &self.ids
    }

    /// Returns the loads in the compact form: a digit from 1 to `z` for each server with load, and a letter from `A` (1) to `Z`
    /// (26) for a run of servers without. None if a server is not in the list or a load has no digit.
    pub fn pack(&self, loads: &HashMap<InstanceId, u32>) -> Option<String> {
        let mut packed = String::new();
        let (mut run, mut found) = (0_u8, 0);
        for id in self.ids.iter() {
            let load = loads.get(id).copied();
            found += usize::from(load.is_some());
            let load = load.unwrap_or(0);
            if load == 0 {
                if run == MAX_RUN {
                    push_run(&mut packed, &mut run);
                }
                run += 1;
                continue;
            }
            push_run(&mut packed, &mut run);
            packed.push(char::from_digit(load.min(MAX_LOAD + 1), MAX_LOAD + 1)?);
        }
        packed.truncate(packed.trim_end_matches(|c: char| c.is_ascii_uppercase()).len());
        (found == loads.len()).then_some(packed)
    }

    /// Returns the loads that [`Self::pack`] encoded. None if `packed` is invalid.
    pub fn unpack(&self, packed: &str) -> Option<HashMap<InstanceId, u32>> {
        let mut loads = HashMap::new();
        let mut ids = self.ids.iter();
        for c in packed.bytes() {
            if c.is_ascii_uppercase() {
                ids.nth(usize::from(c - b'A'))?;
                continue;
            }
            let load = char::from(c).to_digit(MAX_LOAD + 1).filter(|load| *load > 0)?;
            loads.insert(ids.next()?.clone(), load);
        }
        Some(loads)
    }
}

fn push_run(packed: &mut String, run: &mut u8) {
    if *run > 0 {
        packed.push(char::from(b'A' + *run - 1));
    }
    *run = 0;
}
