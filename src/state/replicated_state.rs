use std::io;
use std::sync::{Arc, RwLock};

use bytes::Bytes;
use prost::Message;

use crate::raft::StateMachine;
use crate::schema::config::Configuration;
use crate::schema::state::{Query, QueryAnswer};
use crate::state::bodies::Bodies;
use crate::state::configuration_watch::ConfigurationWatch;
use crate::state::proposed_command::ProposedCommand;
use crate::state::query;
use crate::state::render;
use crate::state::snapshot;
use crate::state::tables::Tables;
use crate::state::BodyStore;

/// The replicated state of a Raft group. The group's driver applies commands one at a time; queries
/// run concurrently with each other, and the configuration is read without a lock.
pub struct ReplicatedState {
    tables: RwLock<Tables>,
    bodies: Bodies,
    configuration: ConfigurationWatch,
}

impl ReplicatedState {
    /// Creates an empty state that stores bodies in `bodies`.
    pub fn open(bodies: Arc<dyn BodyStore>) -> Self {
        Self {
            tables: RwLock::default(),
            bodies: Bodies::new(bodies),
            configuration: ConfigurationWatch::default(),
        }
    }

    /// Answers a query from the commands applied so far.
    pub fn query(&self, query: &Query) -> QueryAnswer {
        let tables = self.tables.read().expect("lock is not poisoned");
        query::answer(query, &tables, &self.bodies)
    }

    /// The current configuration, read without a lock. Its version is 0 before the first change.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.current()
    }

    /// Waits for a configuration newer than `known_version`.
    pub async fn configuration_changed(&self, known_version: u64) -> Arc<Configuration> {
        self.configuration.wait_for_newer(known_version).await
    }

    /// Time of the state machine: the newest timestamp of the applied commands.
    pub fn now_unix_ms(&self) -> u64 {
        self.tables.read().expect("lock is not poisoned").clock.now_unix_ms()
    }

    /// Total length of all bodies in use, before compression.
    pub fn body_bytes(&self) -> u64 {
        self.bodies.live_bytes()
    }
}

impl StateMachine for ReplicatedState {
    fn apply(&self, _index: u64, command: &[u8]) -> Bytes {
        let proposed = ProposedCommand::decode(command);
        let mut tables = self.tables.write().expect("lock is not poisoned");
        let outcome = tables.apply(proposed, &self.bodies);
        self.configuration.publish(tables.configuration.current());
        drop(tables);
        // Only the driver applies commands, so the tables have not changed since this command.
        let tables = self.tables.read().expect("lock is not poisoned");
        render::encode_outcome(&outcome, &tables, &self.bodies).encode_to_vec().into()
    }

    /// Captures the tables and segments before the first write, so that later commands do not wait
    /// for the snapshot to be written.
    fn save(&self, target: &mut dyn io::Write) -> io::Result<()> {
        let tables = self.tables.read().expect("lock is not poisoned");
        let frozen = tables.freeze();
        let segments = self.bodies.store().snapshot_segments();
        drop(tables);
        snapshot::save(frozen, &*segments, target)
    }

    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()> {
        let (restored, segments) = snapshot::restore(self.bodies.store(), source)?;
        let mut tables = self.tables.write().expect("lock is not poisoned");
        self.bodies.store().adopt(&segments, &mut restored.body_refs())?;
        self.bodies.reset(restored.body_refs().map(|body| u64::from(body.len_bytes)).sum());
        *tables = restored;
        self.configuration.publish(tables.configuration.current());
        Ok(())
    }
}
