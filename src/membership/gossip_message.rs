use crate::membership::{Key, Record};
use crate::schema::peer as wire;

/// Gossip message between two hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipMessage {
    /// Host that sent the message.
    pub from_host_id: String,
    /// Its peer address.
    pub from_address: String,
    /// Recently changed records; the receiver gossips those that change its table.
    pub records: Vec<Record>,
    /// Records that were missing or different in the receiver's digest; it does not gossip them
    /// further.
    pub repairs: Vec<Record>,
    /// Hash of the sender's whole table.
    pub table_hash: u64,
    /// The sender still has changes to gossip, so that table hashes may differ for a while.
    pub has_rumors: bool,
    /// Number of a probe that the receiver should answer; 0 for none.
    pub probe: u64,
    /// Number of the probe that this message answers; 0 for none.
    pub answers_probe: u64,
    /// Peer address that the receiver should probe on behalf of the sender; empty for none.
    pub relay_address: String,
    /// Hash of each bucket of the sender's table; empty unless the message starts a repair.
    pub bucket_hashes: Vec<u64>,
    /// Buckets that the digest covers.
    pub digest_buckets: Vec<u32>,
    /// Keys and hashes of the sender's records in these buckets.
    pub digest: Vec<RecordDigest>,
    /// The receiver should reply with its own digest of these buckets if it is missing records.
    pub wants_digest: bool,
}

/// Key and hash of a record, compared during a repair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordDigest {
    /// Key of the record.
    pub key: Key,
    /// Stable hash of the record.
    pub hash: u64,
}

impl From<&GossipMessage> for wire::Gossip {
    fn from(message: &GossipMessage) -> Self {
        let digest = message.digest.iter().map(|entry| wire::RecordVersion {
            key: entry.key.to_string(),
            hash: entry.hash,
            ..Default::default()
        });
        Self {
            from_host_id: message.from_host_id.clone(),
            from_address: message.from_address.clone(),
            records: message.records.iter().map(Into::into).collect(),
            repairs: message.repairs.iter().map(Into::into).collect(),
            table_hash: message.table_hash,
            has_rumors: message.has_rumors,
            probe: message.probe,
            answers_probe: message.answers_probe,
            relay_address: message.relay_address.clone(),
            bucket_hashes: message.bucket_hashes.clone(),
            digest_buckets: message.digest_buckets.clone(),
            digest: digest.collect(),
            wants_reply: message.wants_digest,
        }
    }
}

impl TryFrom<wire::Gossip> for GossipMessage {
    type Error = &'static str;

    fn try_from(gossip: wire::Gossip) -> Result<Self, Self::Error> {
        let records = gossip.records.into_iter().map(Record::try_from).collect::<Result<_, _>>()?;
        let repairs = gossip.repairs.into_iter().map(Record::try_from).collect::<Result<_, _>>()?;
        let mut digest = Vec::with_capacity(gossip.digest.len());
        for entry in gossip.digest {
            digest.push(RecordDigest { key: entry.key.parse()?, hash: entry.hash });
        }
        Ok(Self {
            from_host_id: gossip.from_host_id,
            from_address: gossip.from_address,
            records,
            repairs,
            table_hash: gossip.table_hash,
            has_rumors: gossip.has_rumors,
            probe: gossip.probe,
            answers_probe: gossip.answers_probe,
            relay_address: gossip.relay_address,
            bucket_hashes: gossip.bucket_hashes,
            digest_buckets: gossip.digest_buckets,
            digest,
            wants_digest: gossip.wants_reply,
        })
    }
}
