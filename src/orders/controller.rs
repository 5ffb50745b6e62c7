use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use serde_json::json;

use crate::configuration::ConfigurationWatch;
use crate::membership::{Membership, Status, UpstreamRecord};
use crate::orders::{Order, OrderLease, OrderPlan, Wanted};
use crate::schema::config::{Policy, Service};
use crate::schema::state::{command, outcome, Command, TakeFence};
use crate::serving::Dispatcher;
use crate::state::StateClient;
use crate::telemetry::Counters;
use crate::upstream::UpstreamCall;

/// Time between two looks at what is wanted and what is there.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Length of the lease: longer than a leader change, short enough for a new controller.
const LEASE_MS: u64 = 10_000;
/// Longest time of an order on its way where the configuration says nothing.
const DEFAULT_FLIGHT_MS: u32 = 2_000;
/// Hosts that try for the lease, so that questions don't grow with the fleet.
const CONTENDERS: usize = 2;

/// What a controller works with.
pub struct OrderParts {
    /// Name of the host.
    pub host_id: String,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// Hosts and upstreams.
    pub membership: Membership,
    /// What is wanted.
    pub configuration: ConfigurationWatch,
    /// Gives the leases.
    pub state: Arc<dyn StateClient>,
    /// Calls upstreams and knows what online requests wait for.
    pub dispatcher: Dispatcher,
    /// Counters of orders.
    pub counters: Counters,
}

/// Sends orders to the upstreams of each service whose lease this host holds.
pub struct OrderController {
    task: JoinHandle<()>,
}

impl OrderController {
    /// Starts to try for the leases.
    pub fn spawn(parts: OrderParts) -> Self {
        let driver = Driver { parts, started: Instant::now(), services: HashMap::new() };
        Self { task: task::spawn(driver.run()) }
    }

    /// Sends no more orders. The leases lapse.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

struct Driver {
    parts: OrderParts,
    started: Instant,
    services: HashMap<String, ServiceOrders>,
}

struct ServiceOrders {
    lease: OrderLease,
    plan: OrderPlan,
}

impl Driver {
    async fn run(mut self) {
        loop {
            task::sleep(STEP_INTERVAL).await;
            if !self.parts.configuration.is_confirmed() || !self.is_contender() {
                continue;
            }
            let view = self.parts.configuration.load_full();
            let configuration = view.configuration();
            let policy = configuration.policy.unwrap_or_default();
            for service in &configuration.services {
                if service.models.iter().any(|model| model.wanted_upstreams > 0) {
                    self.step(service, &policy).await;
                }
            }
        }
    }

    fn is_contender(&self) -> bool {
        let view = self.parts.membership.view();
        let hosts = view.hosts.iter();
        let mut serving = hosts.filter(|host| host.status == Status::Alive && host.record.entry);
        serving.by_ref().take(CONTENDERS).any(|host| host.record.host_id == self.parts.host_id)
    }

    async fn step(&mut self, service: &Service, policy: &Policy) {
        let flight_ms = u64::from(policy.order_flight_ms.unwrap_or(DEFAULT_FLIGHT_MS));
        let orders = self.services.remove(&service.name);
        let orders = orders.filter(|orders| orders.lease.flight_ms() == flight_ms);
        let mut orders = orders.unwrap_or_else(|| ServiceOrders {
            lease: OrderLease::new(LEASE_MS.max(4 * flight_ms), flight_ms),
            plan: OrderPlan::default(),
        });
        if orders.lease.is_due(self.now_ms()) {
            self.take_lease(&service.name, &mut orders.lease).await;
        }
        if let Some(fence) = orders.lease.fence(self.now_ms(), true) {
            orders.plan.restart(fence);
            self.send_orders(service, policy, &mut orders).await;
        }
        self.services.insert(service.name.clone(), orders);
    }

    async fn take_lease(&self, service: &str, lease: &mut OrderLease) {
        let asked_ms = self.now_ms();
        // A restarted host is another holder, as orders of its former life may be on their way.
        let holder = format!("{}-{}", self.parts.host_id, self.parts.incarnation);
        let take = TakeFence {
            scope: format!("orders/{service}"),
            holder,
            lease_ms: lease.lease_ms() as u32,
        };
        let command_id = format!("{}-{:x}", self.parts.host_id, rand::random::<u128>());
        let command = command::Command::TakeFence(take);
        let command = Command { command_id, proposed_at_unix_ms: 0, command: Some(command) };
        let Ok(answer) = self.parts.state.submit(command).await else { return };
        let Some(outcome::Outcome::FenceTaken(taken)) = answer.outcome else { return };
        match taken.held_by.is_empty() {
            true => lease.note_granted(taken.number, asked_ms, self.now_ms()),
            false => lease.note_lost(),
        }
    }

    async fn send_orders(&self, service: &Service, policy: &Policy, orders: &mut ServiceOrders) {
        let view = self.parts.membership.view();
        let upstreams: Vec<_> = view
            .upstreams
            .iter()
            .filter(|entry| entry.status == Status::Alive && entry.record.service == service.name)
            .map(|entry| (&*entry.record, entry.incarnation))
            .collect();
        let wanted: Vec<_> = service.models.iter().map(|model| self.wanted(model)).collect();
        let store_bytes_per_s = policy.weight_store_bytes_per_s.unwrap_or(0);
        for order in orders.plan.step(self.now_ms(), &wanted, &upstreams, store_bytes_per_s) {
            let id = &order.target.upstream_id;
            let Some((record, _)) = upstreams.iter().find(|(it, _)| it.upstream_id == *id) else {
                continue;
            };
            let checks = record.checks_fencing || service.upstreams_check_fencing;
            // Looked at for each order, as the ones before took time.
            let Some(fence) = orders.lease.fence(self.now_ms(), checks) else { continue };
            match self.post(record, &order, fence, orders.lease.flight_ms()).await {
                Some(200..=299) => {
                    self.parts.counters.count("orders.accepted");
                    orders.plan.note_accepted(&order.target);
                }
                Some(status) => {
                    log::warn!("{id} refused order {} with status {status}", order.order_id);
                    self.parts.counters.count("orders.refused");
                    orders.plan.note_refused(&order.target, self.now_ms());
                }
                // The order goes out again under the same id.
                None => self.parts.counters.count("orders.unanswered"),
            }
        }
    }

    fn wanted(&self, model: &crate::schema::config::Model) -> Wanted {
        Wanted {
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            upstreams: model.wanted_upstreams,
            weight_bytes: model.weight_bytes,
            // Without any upstream every online request for the model is refused.
            is_waited_for: !self.parts.dispatcher.fleet().load().has_model(&model.name),
        }
    }

    /// Status of the upstream's answer, or `None` without one.
    async fn post(
        &self,
        record: &UpstreamRecord,
        order: &Order,
        fence: u64,
        flight_ms: u64,
    ) -> Option<u16> {
        let target = &order.target;
        let body = json!({
            "order_id": order.order_id,
            "fence": fence,
            "kind": target.kind.name(),
            "model": target.model,
            "version": target.version,
            "adapter": target.adapter,
            "role": "",
        });
        let body = body.to_string();
        let timeout = Duration::from_millis(flight_ms / 2);
        let call = UpstreamCall {
            address: &record.address,
            method: "POST",
            path: "/v1/orders",
            headers: &[("content-type", "application/json")],
            body: body.as_bytes(),
            repeatable: false,
            timeout,
        };
        let answer = self.parts.dispatcher.connector().open(call);
        let answer = async_std::future::timeout(timeout, answer).await;
        answer.ok()?.ok().map(|response| response.status)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
