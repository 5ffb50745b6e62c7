use std::collections::BTreeMap;

/// Virtual time of one unit of cost at weight 1. The scale keeps precision when a cost is divided
/// by a weight.
const COST_SCALE: u64 = 1 << 20;

/// Queue of requests that wait for slots, with start-time fair queueing between customers.
///
/// The virtual time of a customer advances by cost divided by weight with each request that is
/// dequeued. The customer with the lowest virtual time goes first; within a customer, the request
/// with the earliest deadline. A customer whose queue was empty restarts at the virtual time of the
/// last dequeued request, so that it can't accumulate credit while idle. Deadlines are plain
/// numbers; the queue reads no clock.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: BTreeMap<String, CustomerQueue>,
    /// Virtual time at which the last request was dequeued.
    virtual_time: u64,
    length: usize,
}

#[derive(Debug, Default)]
struct CustomerQueue {
    weight: u32,
    virtual_time: u64,
    /// Cost of each request, by deadline and ticket.
    requests: BTreeMap<(u64, u64), u32>,
}

/// A request to be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest<'a> {
    /// Identifies the request; must increase from request to request, so that requests with equal
    /// deadlines are served in order of arrival.
    pub ticket: u64,
    /// Customer whose share the request uses.
    pub customer: &'a str,
    /// Weight of the customer's share relative to those of others; 0 counts as 1.
    pub weight: u32,
    /// Deadline, in any unit that all requests of the queue share.
    pub deadline: u64,
    /// Expected cost, such as a number of tokens; 0 counts as 1.
    pub cost: u32,
}

/// Key of a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueKey {
    /// Customer whose share the request uses.
    pub customer: String,
    /// Deadline of the request.
    pub deadline: u64,
    /// Identifies the request.
    pub ticket: u64,
}

impl FairQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True when no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request and returns its key.
    pub fn push(&mut self, request: QueuedRequest<'_>) -> QueueKey {
        if !self.customers.contains_key(request.customer) {
            self.customers.insert(request.customer.to_owned(), CustomerQueue::default());
        }
        let queue =
            self.customers.get_mut(request.customer).expect("the customer's queue was just added");
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        }
        queue.weight = request.weight.max(1);
        queue.requests.insert((request.deadline, request.ticket), request.cost.max(1));
        self.length += 1;
        let customer = request.customer.to_owned();
        QueueKey { customer, deadline: request.deadline, ticket: request.ticket }
    }

    /// The first request in queue order whose ticket `fits` accepts.
    pub fn first(&self, fits: impl Fn(u64) -> bool) -> Option<QueueKey> {
        let queues = self.customers.iter().filter(|(_, queue)| !queue.requests.is_empty());
        let mut order: Vec<_> = queues.map(|(name, queue)| (queue.virtual_time, name)).collect();
        order.sort_unstable();
        order.into_iter().find_map(|(_, name)| {
            let mut keys = self.customers[name].requests.keys();
            let (deadline, ticket) = *keys.find(|(_, ticket)| fits(*ticket))?;
            Some(QueueKey { customer: name.clone(), deadline, ticket })
        })
    }

    /// Removes a request that is about to run and charges its cost to the customer's share. `false`
    /// when it is no longer queued.
    pub fn dequeue(&mut self, key: &QueueKey) -> bool {
        let Some(queue) = self.customers.get_mut(&key.customer) else { return false };
        let Some(cost) = queue.requests.remove(&(key.deadline, key.ticket)) else { return false };
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += u64::from(cost) * COST_SCALE / u64::from(queue.weight);
        self.length -= 1;
        self.evict_idle();
        true
    }

    /// Removes a request without charging its customer. `false` when it is no longer queued.
    pub fn remove(&mut self, key: &QueueKey) -> bool {
        let queue = self.customers.get_mut(&key.customer);
        let id = (key.deadline, key.ticket);
        let removed = queue.is_some_and(|queue| queue.requests.remove(&id).is_some());
        self.length -= usize::from(removed);
        self.evict_idle();
        removed
    }

    /// Estimates how many requests are served before one of `customer` with this deadline.
    pub fn ahead_of(&self, customer: &str, weight: u32, deadline: u64) -> usize {
        let own = self
            .customers
            .get(customer)
            .map_or(0, |queue| queue.requests.range(..(deadline, 0)).count());
        let queues = self.customers.iter().filter(|(name, _)| *name != customer);
        // While this customer gets `own + 1` turns, others get turns in proportion to their
        // weights.
        let others = queues.map(|(_, queue)| {
            let turns = (own + 1) * queue.weight as usize / weight.max(1) as usize;
            queue.requests.len().min(turns)
        });
        own + others.sum::<usize>()
    }

    /// Evicts customers without requests whose virtual time is not ahead of the queue's, since a
    /// new entry would start at the same virtual time.
    fn evict_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, queue| !queue.requests.is_empty() || queue.virtual_time > virtual_time);
    }
}
