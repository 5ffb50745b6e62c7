//! Tests the order in which queued requests are served: compares the queue with a reference queue
//! on random operations, and checks the shares of customers.

use damaskhoist::admission::{FairQueue, QueueKey, QueuedRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCALE: u64 = 1 << 20;

/// Start-time fair queueing over plain lists, which never evicts a customer.
#[derive(Default)]
struct ReferenceQueue {
    virtual_time: u64,
    customers: Vec<(String, u64, u32)>,
    waiting: Vec<(QueueKey, u32)>,
}

impl ReferenceQueue {
    fn push(&mut self, request: &QueuedRequest<'_>) {
        let (name, weight) = (request.customer.to_owned(), request.weight.max(1));
        let has_no_requests = !self.waiting.iter().any(|(key, _)| key.customer == name);
        match self.customers.iter_mut().find(|customer| customer.0 == name) {
            Some(customer) => {
                customer.1 =
                    if has_no_requests { customer.1.max(self.virtual_time) } else { customer.1 };
                customer.2 = weight;
            }
            None => self.customers.push((name.clone(), self.virtual_time, weight)),
        }
        let key = QueueKey { customer: name, deadline: request.deadline, ticket: request.ticket };
        self.waiting.push((key, request.cost.max(1)));
    }

    fn first(&self, fits: impl Fn(u64) -> bool) -> Option<QueueKey> {
        let customer_time = |key: &QueueKey| {
            self.customers.iter().find(|customer| customer.0 == key.customer).map(|c| c.1)
        };
        let fitting = self.waiting.iter().map(|(key, _)| key).filter(|key| fits(key.ticket));
        fitting
            .min_by_key(|key| (customer_time(key), key.customer.clone(), key.deadline, key.ticket))
            .cloned()
    }

    fn remove(&mut self, key: &QueueKey, charges_cost: bool) -> bool {
        let Some(index) = self.waiting.iter().position(|(known, _)| known == key) else {
            return false;
        };
        let (_, cost) = self.waiting.remove(index);
        let customers = &mut self.customers;
        let customer = customers.iter_mut().find(|customer| customer.0 == key.customer).unwrap();
        if charges_cost {
            self.virtual_time = self.virtual_time.max(customer.1);
            customer.1 += u64::from(cost) * SCALE / u64::from(customer.2);
        }
        true
    }
}

/// Guards against a queue that serves requests in another order than the reference queue.
/// `FAIR_QUEUE_SEEDS` sets the number of random runs.
#[test]
fn queue_agrees_with_a_reference_queue() {
    let seeds = std::env::var("FAIR_QUEUE_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(200) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut queue, mut reference) = (FairQueue::default(), ReferenceQueue::default());
        let mut keys: Vec<QueueKey> = Vec::new();
        for ticket in 0..300 {
            match random.random_range(0..4) {
                0 | 1 => {
                    let customer = format!("workshop-{}", random.random_range(0..5));
                    let request = QueuedRequest {
                        ticket,
                        customer: &customer,
                        weight: random.random_range(0..4),
                        deadline: random.random_range(0..20),
                        cost: random.random_range(0..50),
                    };
                    reference.push(&request);
                    keys.push(queue.push(request));
                }
                2 => {
                    let divisor = random.random_range(1..4);
                    let fits = |ticket: u64| ticket.is_multiple_of(divisor);
                    let first = queue.first(fits);
                    assert_eq!(first, reference.first(fits), "seed {seed}, step {ticket}");
                    if let Some(key) = first {
                        assert!(queue.dequeue(&key) && reference.remove(&key, true));
                    }
                }
                _ if keys.is_empty() => {}
                _ => {
                    let key = keys.swap_remove(random.random_range(0..keys.len()));
                    let removed = queue.remove(&key);
                    assert_eq!(
                        removed,
                        reference.remove(&key, false),
                        "seed {seed}, step {ticket}"
                    );
                }
            }
            assert_eq!(queue.len(), reference.waiting.len(), "seed {seed}, step {ticket}");
        }
    }
}

/// Guards against a customer that fills the queue and starves the others.
#[test]
fn customers_get_slots_by_weight() {
    let mut queue = FairQueue::default();
    for ticket in 0..400 {
        let (customer, weight) = if ticket < 300 { ("large", 1) } else { ("small", 3) };
        queue.push(QueuedRequest { ticket, customer, weight, deadline: ticket, cost: 10 });
    }
    let mut small = 0;
    for _ in 0..100 {
        let key = queue.first(|_| true).unwrap();
        small += u32::from(key.customer == "small");
        assert!(queue.dequeue(&key));
    }
    assert!((74..=76).contains(&small), "weight 3 of 4 got {small} of 100 slots");
}
