use std::collections::BTreeMap;

use damaskhoist::directory::UpstreamRecord;
use damaskhoist::schema::peer::{EntryHost, UpstreamUse};

use super::item_run::ItemRun;

/// An entry host with its batch items.
#[derive(Debug, Default)]
pub struct EntryModel {
    pub host: EntryHost,
    /// Grows with each start and stop.
    pub incarnation: u64,
    pub is_alive: bool,
    /// Control hosts hear nothing from it until then.
    pub cut_off_until_ms: u64,
    pub running: BTreeMap<u64, ItemRun>,
    pub last_leader_contact_ms: Option<u64>,
    /// Which control hosts said in their last answer that they lead.
    pub leaders: [bool; 3],
    /// The control host that last said that it leads.
    pub known_leader: Option<usize>,
    /// Sync calls in flight, by control host.
    pub calls: [Option<u64>; 3],
    pub online: BTreeMap<String, u32>,
    pub sent: BTreeMap<String, u64>,
    pub uses_revision: u64,
    pub upstreams: Vec<UpstreamRecord>,
    pub upstreams_revision: u64,
}

impl EntryModel {
    pub fn takes_items(&self) -> bool {
        self.is_alive && self.host.ready && !self.host.links_lost
    }

    pub fn uses(&self) -> Vec<UpstreamUse> {
        let uses = self.online.iter().filter(|(_, online)| **online > 0);
        uses.map(|(id, online)| UpstreamUse { upstream_id: id.clone(), online: *online, batch: 0 })
            .collect()
    }
}
