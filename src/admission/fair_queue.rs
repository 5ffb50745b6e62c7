use std::collections::BTreeMap;

/// Virtual time of one unit of cost at weight 1; keeps fractions of weights apart.
const COST_SCALE: u64 = 1 << 20;

/// Requests that wait for slots, fair between customers.
///
/// Each customer has a virtual time that advances by cost over weight with each request that is
/// taken. The customer that is furthest behind goes first; within a customer the earliest deadline
/// does. A customer that had nothing waiting starts at the time of the last request that was taken,
/// so that it can't save up a share. Holds no clock.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: BTreeMap<String, CustomerLine>,
    /// Virtual time at which the last request was taken.
    virtual_time: u64,
    length: usize,
}

#[derive(Debug, Default)]
struct CustomerLine {
    weight: u32,
    virtual_time: u64,
    /// Costs by deadline and ticket.
    requests: BTreeMap<(u64, u64), u32>,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest<'a> {
    /// Names the request; grows with each request, so that equal deadlines go in order.
    pub ticket: u64,
    /// Customer whose share it uses.
    pub customer: &'a str,
    /// Share of the customer relative to others; 0 counts as 1.
    pub weight: u32,
    /// Deadline on any clock.
    pub deadline: u64,
    /// Expected use, such as its tokens; 0 counts as 1.
    pub cost: u32,
}

/// Place of a request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueKey {
    /// Customer whose share the request uses.
    pub customer: String,
    /// Deadline on the clock of the queue's owner.
    pub deadline: u64,
    /// Names the request.
    pub ticket: u64,
}

impl FairQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request; gives its place.
    pub fn push(&mut self, request: QueuedRequest<'_>) -> QueueKey {
        if !self.customers.contains_key(request.customer) {
            self.customers.insert(request.customer.to_owned(), CustomerLine::default());
        }
        let line = self.customers.get_mut(request.customer).expect("the line was just added");
        if line.requests.is_empty() {
            line.virtual_time = line.virtual_time.max(self.virtual_time);
        }
        line.weight = request.weight.max(1);
        line.requests.insert((request.deadline, request.ticket), request.cost.max(1));
        self.length += 1;
        let customer = request.customer.to_owned();
        QueueKey { customer, deadline: request.deadline, ticket: request.ticket }
    }

    /// The first request in order that `fits`.
    pub fn first(&self, fits: impl Fn(u64) -> bool) -> Option<QueueKey> {
        let lines = self.customers.iter().filter(|(_, line)| !line.requests.is_empty());
        let mut order: Vec<_> = lines.map(|(name, line)| (line.virtual_time, name)).collect();
        order.sort_unstable();
        order.into_iter().find_map(|(_, name)| {
            let mut keys = self.customers[name].requests.keys();
            let (deadline, ticket) = *keys.find(|(_, ticket)| fits(*ticket))?;
            Some(QueueKey { customer: name.clone(), deadline, ticket })
        })
    }

    /// Takes a request to run it, at the expense of its customer's share. `false` when it is gone.
    pub fn take(&mut self, key: &QueueKey) -> bool {
        let Some(line) = self.customers.get_mut(&key.customer) else { return false };
        let Some(cost) = line.requests.remove(&(key.deadline, key.ticket)) else { return false };
        self.virtual_time = self.virtual_time.max(line.virtual_time);
        line.virtual_time += u64::from(cost) * COST_SCALE / u64::from(line.weight);
        self.length -= 1;
        self.forget_idle();
        true
    }

    /// Removes a request that no longer waits. `false` when it is gone.
    pub fn remove(&mut self, key: &QueueKey) -> bool {
        let line = self.customers.get_mut(&key.customer);
        let id = (key.deadline, key.ticket);
        let removed = line.is_some_and(|line| line.requests.remove(&id).is_some());
        self.length -= usize::from(removed);
        self.forget_idle();
        removed
    }

    /// About how many requests go before one of a customer with this deadline.
    pub fn ahead_of(&self, customer: &str, weight: u32, deadline: u64) -> usize {
        let own = self
            .customers
            .get(customer)
            .map_or(0, |line| line.requests.range(..(deadline, 0)).count());
        let lines = self.customers.iter().filter(|(name, _)| *name != customer);
        // While this customer's turn comes `own + 1` times, others get turns by their weights.
        let others = lines.map(|(_, line)| {
            let turns = (own + 1) * line.weight as usize / weight.max(1) as usize;
            line.requests.len().min(turns)
        });
        own + others.sum::<usize>()
    }

    /// A customer without requests whose time has passed would start anew anyway.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, line| !line.requests.is_empty() || line.virtual_time > virtual_time);
    }
}
