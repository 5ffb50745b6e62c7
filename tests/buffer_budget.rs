//! The limit on the bytes that a process holds over all connections.

use damaskhoist::http::BufferBudget;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes that each message is granted.
const GRANTED_BYTES: usize = 64 << 10;
const LIMIT_BYTES: usize = 1 << 20;

/// Guards against a few large messages that leave no room for small ones.
#[test]
fn small_messages_have_room_while_the_budget_is_used_up() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut large = budget.lease();
    assert!(large.resize(LIMIT_BYTES + GRANTED_BYTES));
    assert!(!large.resize(LIMIT_BYTES + GRANTED_BYTES + 1));
    let mut small = budget.lease();
    assert!(small.resize(GRANTED_BYTES));
    assert!(!small.resize(GRANTED_BYTES + 1));
    drop(large);
    assert!(small.resize(LIMIT_BYTES));
}

/// Guards against bytes that are counted twice or never given back, over random sizes and ends.
#[test]
fn the_budget_is_empty_after_all_messages_have_ended() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let mut random = SmallRng::seed_from_u64(8);
    let mut messages = Vec::new();
    for _ in 0..5_000 {
        if messages.len() < 40 {
            messages.push((budget.lease(), 0));
        }
        let chosen = random.random_range(0..messages.len());
        let bytes = random.random_range(0..LIMIT_BYTES / 8);
        let (lease, held_bytes) = &mut messages[chosen];
        if lease.resize(bytes) {
            *held_bytes = bytes;
        }
        if random.random_ratio(1, 5) {
            messages.swap_remove(chosen);
        }
        let counted =
            messages.iter().map(|(_, bytes): &(_, usize)| bytes.saturating_sub(GRANTED_BYTES));
        let expected: usize = counted.sum();
        assert_eq!(budget.used_bytes(), expected);
        assert!(expected <= LIMIT_BYTES);
    }
    messages.clear();
    assert_eq!(budget.used_bytes(), 0);
}
