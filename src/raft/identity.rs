use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use prost::Message as _;

use crate::raft::{HardState, Standing};
use crate::schema::peer;

const FILE: &str = "identity";

/// Identity, standing and vote of a replica, stored in a file of their own that is replaced as a
/// whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Id of the group.
    pub group: u32,
    /// Id of the replica.
    pub replica_id: u64,
    /// Whether the replica may vote.
    pub standing: Standing,
    /// Random number chosen when the identity file is first written. A replica that lost its disk
    /// gets a different nonce, by which the other replicas detect the loss.
    pub nonce: u64,
    /// Ids and nonces of the initial replicas; empty until the group is formed.
    pub founders: Vec<(u64, u64)>,
    /// Term and vote.
    pub hard_state: HardState,
}

impl Identity {
    /// Reads the identity file of a data folder; `None` if there is none.
    pub fn read(folder: &Path) -> io::Result<Option<Self>> {
        let content = match fs::read(folder.join(FILE)) {
            Ok(content) => content,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "identity file is damaged");
        let (checksum, encoded) = content.split_first_chunk::<4>().ok_or_else(damaged)?;
        if crc32fast::hash(encoded) != u32::from_le_bytes(*checksum) {
            return Err(damaged());
        }
        let wire = peer::ReplicaIdentity::decode(encoded).map_err(|_| damaged())?;
        Ok(Some(wire.into()))
    }

    /// Replaces the identity file atomically and syncs it.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let encoded = peer::ReplicaIdentity::from(self).encode_to_vec();
        let temporary = folder.join("identity.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&crc32fast::hash(&encoded).to_le_bytes())?;
        file.write_all(&encoded)?;
        file.sync_all()?;
        fs::rename(&temporary, folder.join(FILE))?;
        sync_folder(folder)
    }
}

/// Syncs the directory entries of a folder, so that created and renamed files survive a power loss.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

impl From<&Identity> for peer::ReplicaIdentity {
    fn from(identity: &Identity) -> Self {
        let (standing, repair_through) = match identity.standing {
            Standing::Forming => (peer::Standing::Forming, 0),
            Standing::Joining => (peer::Standing::Joining, 0),
            Standing::Repairing { through } => (peer::Standing::Member, through),
            Standing::Member => (peer::Standing::Member, 0),
        };
        let founders = identity.founders.iter();
        Self {
            group: identity.group,
            replica_id: identity.replica_id,
            standing: standing.into(),
            nonce: identity.nonce,
            term: identity.hard_state.term,
            vote: identity.hard_state.vote.unwrap_or(0),
            repair_through,
            founders: founders
                .map(|&(replica_id, nonce)| peer::FoundingReplica { replica_id, nonce })
                .collect(),
        }
    }
}

impl From<peer::ReplicaIdentity> for Identity {
    fn from(wire: peer::ReplicaIdentity) -> Self {
        let standing = match wire.standing() {
            peer::Standing::Forming => Standing::Forming,
            peer::Standing::Member if wire.repair_through > 0 => {
                Standing::Repairing { through: wire.repair_through }
            }
            peer::Standing::Member => Standing::Member,
            peer::Standing::Joining | peer::Standing::Unspecified => Standing::Joining,
        };
        let founders =
            wire.founders.iter().map(|founder| (founder.replica_id, founder.nonce)).collect();
        let vote = Some(wire.vote).filter(|&id| id != 0);
        Self {
            group: wire.group,
            replica_id: wire.replica_id,
            standing,
            nonce: wire.nonce,
            founders,
            hard_state: HardState { term: wire.term, vote },
        }
    }
}
