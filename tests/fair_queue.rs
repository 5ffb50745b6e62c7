//! Guards the order of waiting requests: compares the queue with a naive version on random
//! histories, and checks shares of customers.

use damaskhoist::admission::{FairQueue, QueueKey, QueuedRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCALE: u64 = 1 << 20;

/// Start-time fair queueing over plain lists, with every customer kept for ever.
#[derive(Default)]
struct NaiveQueue {
    now: u64,
    customers: Vec<(String, u64, u32)>,
    waiting: Vec<(QueueKey, u32)>,
}

impl NaiveQueue {
    fn push(&mut self, request: &QueuedRequest<'_>) {
        let (name, weight) = (request.customer.to_owned(), request.weight.max(1));
        let is_idle = !self.waiting.iter().any(|(key, _)| key.customer == name);
        match self.customers.iter_mut().find(|customer| customer.0 == name) {
            Some(customer) => {
                customer.1 = if is_idle { customer.1.max(self.now) } else { customer.1 };
                customer.2 = weight;
            }
            None => self.customers.push((name.clone(), self.now, weight)),
        }
        let key = QueueKey { customer: name, deadline: request.deadline, ticket: request.ticket };
        self.waiting.push((key, request.cost.max(1)));
    }

    fn first(&self, fits: impl Fn(u64) -> bool) -> Option<QueueKey> {
        let time = |key: &QueueKey| {
            self.customers.iter().find(|customer| customer.0 == key.customer).map(|c| c.1)
        };
        let fitting = self.waiting.iter().map(|(key, _)| key).filter(|key| fits(key.ticket));
        fitting
            .min_by_key(|key| (time(key), key.customer.clone(), key.deadline, key.ticket))
            .cloned()
    }

    fn take(&mut self, key: &QueueKey, charged: bool) -> bool {
        let Some(place) = self.waiting.iter().position(|(known, _)| known == key) else {
            return false;
        };
        let (_, cost) = self.waiting.remove(place);
        let customers = &mut self.customers;
        let customer = customers.iter_mut().find(|customer| customer.0 == key.customer).unwrap();
        if charged {
            self.now = self.now.max(customer.1);
            customer.1 += u64::from(cost) * SCALE / u64::from(customer.2);
        }
        true
    }
}

/// Runs both queues side by side. `FAIR_QUEUE_SEEDS` asks for more histories.
#[test]
fn queue_agrees_with_a_naive_one() {
    let seeds = std::env::var("FAIR_QUEUE_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(200) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut queue, mut naive) = (FairQueue::default(), NaiveQueue::default());
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
                    naive.push(&request);
                    keys.push(queue.push(request));
                }
                2 => {
                    let divisor = random.random_range(1..4);
                    let fits = |ticket: u64| ticket.is_multiple_of(divisor);
                    let first = queue.first(fits);
                    assert_eq!(first, naive.first(fits), "seed {seed}, step {ticket}");
                    if let Some(key) = first {
                        assert!(queue.take(&key) && naive.take(&key, true));
                    }
                }
                _ if keys.is_empty() => {}
                _ => {
                    let key = keys.swap_remove(random.random_range(0..keys.len()));
                    let removed = queue.remove(&key);
                    assert_eq!(removed, naive.take(&key, false), "seed {seed}, step {ticket}");
                }
            }
            assert_eq!(queue.len(), naive.waiting.len(), "seed {seed}, step {ticket}");
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
        assert!(queue.take(&key));
    }
    assert!((74..=76).contains(&small), "weight 3 of 4 got {small} of 100 slots");
}
