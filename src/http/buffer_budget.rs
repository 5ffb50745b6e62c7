use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

/// Limit of each budget of the process. The smallest hosts have 110 MB, there are two budgets, and a
/// growing buffer may take twice its content.
const PROCESS_LIMIT_BYTES: usize = 16 << 20;
/// Bytes of each message that are granted whatever others hold, so that a few faulty peers that use up
/// the budget end no sound message: events, texts of items and most uploads are smaller.
const GRANTED_BYTES: usize = 64 << 10;

/// Limit on the sum of the bytes that a process has read from other parties and holds. Limits for each
/// message do not bound their sum.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The part of a [`BufferBudget`] that one message uses; given back when it is dropped.
#[derive(Debug)]
pub struct BufferLease {
    budget: Arc<BufferBudget>,
    counted_bytes: usize,
}

impl BufferBudget {
    /// A budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Bytes in use beyond those that each message is granted.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// A lease for one message.
    pub fn lease(self: &Arc<Self>) -> BufferLease {
        BufferLease { budget: self.clone(), counted_bytes: 0 }
    }
}

impl BufferLease {
    /// A lease for an answer of an upstream, from a budget that all answers of the process share.
    pub fn for_answer() -> Self {
        static BUDGET: OnceLock<Arc<BufferBudget>> = OnceLock::new();
        BUDGET.get_or_init(|| BufferBudget::new(PROCESS_LIMIT_BYTES)).lease()
    }

    /// A lease for the body of a request, from a budget that all requests of the process share.
    pub fn for_upload() -> Self {
        static BUDGET: OnceLock<Arc<BufferBudget>> = OnceLock::new();
        BUDGET.get_or_init(|| BufferBudget::new(PROCESS_LIMIT_BYTES)).lease()
    }

    /// Sets the number of bytes that the message holds. False, without a change, if the budget has no
    /// room for them.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counted_bytes = bytes.saturating_sub(GRANTED_BYTES);
        let used_bytes = &self.budget.used_bytes;
        if counted_bytes == self.counted_bytes {
            return true;
        }
        if counted_bytes < self.counted_bytes {
            used_bytes.fetch_sub(self.counted_bytes - counted_bytes, Ordering::Relaxed);
            self.counted_bytes = counted_bytes;
            return true;
        }
        let added_bytes = counted_bytes - self.counted_bytes;
        let before = used_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        if before + added_bytes > self.budget.limit_bytes {
            used_bytes.fetch_sub(added_bytes, Ordering::Relaxed);
            return false;
        }
        self.counted_bytes = counted_bytes;
        true
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
