use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::membership::{GossipMessage, RecordStore};

/// Maximum number of records in one repair message, about 8 KB.
const REPAIRS_PER_MESSAGE: usize = 96;
/// Number of digest entries after which a digest takes in no further bucket, about 9 KB. Buckets
/// are chosen at random, so that later repairs cover the rest.
const DIGEST_RECORDS: usize = 320;
/// Minimum interval between repairs that this host starts.
const REPAIR_INTERVAL_MS: u64 = 1_000;
/// Time without a matching table hash after which a repair starts even while changes are spreading.
const DIVERGENCE_LIMIT_MS: u64 = 10_000;

/// Anti-entropy repair of two tables in three steps: bucket hashes, digests of the buckets that
/// differ, and the records that are missing on either side. Each message contains all that the next
/// step needs, so no host keeps the state of a repair.
#[derive(Clone, Debug)]
pub struct Repair {
    last_start_ms: u64,
    last_match_ms: u64,
}

impl Repair {
    /// Creates the state of a host that has not started a repair yet.
    pub fn new(now_ms: u64) -> Self {
        Self { last_start_ms: 0, last_match_ms: now_ms }
    }

    /// Replies with the next step of the repair that a message belongs to; empty if there is none.
    pub fn next_step(
        store: &RecordStore,
        message: &GossipMessage,
        random: &mut StdRng,
    ) -> Vec<GossipMessage> {
        if !message.bucket_hashes.is_empty() {
            return vec![Self::digest_differing_buckets(store, &message.bucket_hashes, random)];
        }
        if !message.digest_buckets.is_empty() {
            return Self::answer_digest(store, message);
        }
        Vec::new()
    }

    /// Starts a repair if the table hash of a message's sender differs. Tables differ anyway while
    /// changes are spreading, so a repair then waits up to the divergence limit, unless the sender
    /// is a new host.
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
        let is_interval_over = now_ms >= self.last_start_ms + REPAIR_INTERVAL_MS;
        if !is_interval_over || is_spreading && !is_overdue && !is_new {
            return None;
        }
        self.last_start_ms = now_ms;
        self.last_match_ms = now_ms;
        let bucket_hashes = store.bucket_hashes().to_vec();
        Some(GossipMessage { bucket_hashes, ..Default::default() })
    }

    fn digest_differing_buckets(
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
        if difference.is_missing_records && message.wants_digest {
            let digest = store.digest(&message.digest_buckets);
            let digest_buckets = message.digest_buckets.clone();
            replies.push(GossipMessage { digest_buckets, digest, ..Default::default() });
        }
        replies
    }
}
