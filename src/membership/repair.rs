use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::membership::{GossipMessage, RecordStore};

/// Records in one message of a repair, about 8 KB.
const REPAIRS_PER_MESSAGE: usize = 96;
/// Records in the digest of one repair, about 9 KB; the next repair covers other buckets.
const DIGEST_RECORDS: usize = 320;
/// Interval between repairs that this host starts.
const REPAIR_INTERVAL_MS: u64 = 1_000;
/// Time without an equal table after which a repair starts although changes are on their way.
const DIVERGENCE_LIMIT_MS: u64 = 10_000;

/// Compares two tables in three steps: bucket hashes, digests of the buckets that differ, and the
/// records that one of them lacks. Each step is one message that holds no state on either side.
#[derive(Clone, Debug)]
pub struct Repair {
    last_start_ms: u64,
    last_match_ms: u64,
}

impl Repair {
    /// No repair yet.
    pub fn new(now_ms: u64) -> Self {
        Self { last_start_ms: 0, last_match_ms: now_ms }
    }

    /// The next step of the repair that a message belongs to.
    pub fn answer(
        store: &RecordStore,
        message: &GossipMessage,
        random: &mut StdRng,
    ) -> Vec<GossipMessage> {
        if !message.bucket_hashes.is_empty() {
            return vec![Self::digest_of_different(store, &message.bucket_hashes, random)];
        }
        if !message.digest_buckets.is_empty() {
            return Self::answer_digest(store, message);
        }
        Vec::new()
    }

    /// Starts a repair if the sender of a message has another table. While changes are spreading
    /// tables differ anyway, so a repair waits, unless it concerns a new host.
    pub fn start(
        &mut self,
        now_ms: u64,
        store: &RecordStore,
        message: &GossipMessage,
        is_spreading: bool,
        is_new: bool,
    ) -> Option<GossipMessage> {
        if message.table_hash == store.table_hash() {
            self.last_match_ms = now_ms;
            return None;
        }
        let is_overdue = now_ms >= self.last_match_ms + DIVERGENCE_LIMIT_MS;
        let is_free = now_ms >= self.last_start_ms + REPAIR_INTERVAL_MS;
        if !is_free || is_spreading && !is_overdue && !is_new {
            return None;
        }
        self.last_start_ms = now_ms;
        self.last_match_ms = now_ms;
        let bucket_hashes = store.bucket_hashes().to_vec();
        Some(GossipMessage { bucket_hashes, ..Default::default() })
    }

    fn digest_of_different(
        store: &RecordStore,
        hashes: &[u64],
        random: &mut StdRng,
    ) -> GossipMessage {
        let both = store.bucket_hashes().iter().zip(hashes).enumerate();
        let different = both.filter(|(_, (here, there))| here != there);
        let mut buckets: Vec<u32> = different.map(|(bucket, _)| bucket as u32).collect();
        buckets.shuffle(random);
        let mut reply = GossipMessage { wants_digest: true, ..Default::default() };
        for bucket in buckets {
            if reply.digest.len() >= DIGEST_RECORDS {
                break;
            }
            reply.digest.extend(store.digest(&[bucket]));
            reply.digest_buckets.push(bucket);
        }
        reply
    }

    fn answer_digest(store: &RecordStore, message: &GossipMessage) -> Vec<GossipMessage> {
        let difference = store.compare(&message.digest_buckets, &message.digest);
        let chunks = difference.records.chunks(REPAIRS_PER_MESSAGE);
        let repair =
            |records: &[_]| GossipMessage { repairs: records.to_vec(), ..Default::default() };
        let mut replies: Vec<_> = chunks.map(repair).collect();
        if difference.lacks && message.wants_digest {
            let digest = store.digest(&message.digest_buckets);
            let digest_buckets = message.digest_buckets.clone();
            replies.push(GossipMessage { digest_buckets, digest, ..Default::default() });
        }
        replies
    }
}
