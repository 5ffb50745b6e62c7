use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use serde_json::json;

use crate::configuration::ConfigurationWatch;
use crate::membership::{Membership, Status, UpstreamRecord};
use crate::orders::{Order, OrderLease, OrderPlan, WantedModel};
use crate::schema::config::{Policy, Service};
use crate::schema::state::{command, outcome, Command, TakeFence};
use crate::serving::Dispatcher;
use crate::state::StateClient;
use crate::telemetry::Counters;
use crate::upstream::UpstreamCall;

/// Interval at which the controller compares the wanted models with the loaded ones.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Length of a lease: longer than a change of the Raft leader, and short enough for another host to
/// take over soon.
const LEASE_MS: u64 = 10_000;
/// Longest time from sending an order until it takes effect, where the configuration sets none.
const DEFAULT_FLIGHT_MS: u32 = 2_000;
/// Number of hosts that compete for the leases, so that lease requests don't grow with the fleet.
const CANDIDATES: usize = 2;

/// Identity and components of the host that a controller works with.
pub struct OrderParts {
    /// Id of the host.
    pub host_id: String,
    /// Increases with each start of the host.
    pub incarnation: u64,
    /// Membership of hosts and upstreams.
    pub membership: Membership,
    /// Configuration with the wanted models.
    pub configuration: ConfigurationWatch,
    /// Client of the replicated state, which grants the leases.
    pub state: Arc<dyn StateClient>,
    /// Dispatcher whose connector sends the orders, and whose fleet shows which models have
    /// upstreams.
    pub dispatcher: Dispatcher,
    /// Counters of orders.
    pub counters: Counters,
}

/// Sends orders to the upstreams of each service whose lease this host holds.
pub struct OrderController {
    task: JoinHandle<()>,
}

impl OrderController {
    /// Starts to compete for the leases and to send orders.
    pub fn spawn(parts: OrderParts) -> Self {
        let controller =
            ControllerLoop { parts, started: Instant::now(), services: HashMap::new() };
        Self { task: task::spawn(controller.run()) }
    }

    /// Stops sending orders. The leases expire by themselves.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

struct ControllerLoop {
    parts: OrderParts,
    started: Instant,
    services: HashMap<String, ServiceOrders>,
}

struct ServiceOrders {
    lease: OrderLease,
    plan: OrderPlan,
}

impl ControllerLoop {
    async fn run(mut self) {
        loop {
            task::sleep(RECONCILE_INTERVAL).await;
            if !self.parts.configuration.is_confirmed() || !self.is_candidate() {
                continue;
            }
            let view = self.parts.configuration.load_full();
            let configuration = view.configuration();
            let policy = configuration.policy.unwrap_or_default();
            for service in &configuration.services {
                if service.models.iter().any(|model| model.wanted_upstreams > 0) {
                    self.reconcile(service, &policy).await;
                }
            }
        }
    }

    fn is_candidate(&self) -> bool {
        let view = self.parts.membership.view();
        let hosts = view.hosts.iter();
        let mut candidates = hosts.filter(|host| host.status == Status::Alive && host.record.entry);
        candidates.by_ref().take(CANDIDATES).any(|host| host.record.host_id == self.parts.host_id)
    }

    async fn reconcile(&mut self, service: &Service, policy: &Policy) {
        let flight_ms = u64::from(policy.order_flight_ms.unwrap_or(DEFAULT_FLIGHT_MS));
        let orders = self.services.remove(&service.name);
        let orders = orders.filter(|orders| orders.lease.flight_ms() == flight_ms);
        let mut orders = orders.unwrap_or_else(|| ServiceOrders {
            lease: OrderLease::new(LEASE_MS.max(4 * flight_ms), flight_ms),
            plan: OrderPlan::default(),
        });
        if orders.lease.needs_renewal(self.now_ms()) {
            self.acquire_lease(&service.name, &mut orders.lease).await;
        }
        if let Some(fence) = orders.lease.fence(self.now_ms(), true) {
            orders.plan.restart(fence);
            self.send_orders(service, policy, &mut orders).await;
        }
        self.services.insert(service.name.clone(), orders);
    }

    async fn acquire_lease(&self, service: &str, lease: &mut OrderLease) {
        let requested_ms = self.now_ms();
        // A restarted host is another holder, because orders from before the restart may not have
        // taken effect yet.
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
        let Some(outcome::Outcome::FenceTaken(granted)) = answer.outcome else { return };
        match granted.held_by.is_empty() {
            true => lease.record_grant(granted.number, requested_ms, self.now_ms()),
            false => lease.record_loss(),
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
        let wanted: Vec<_> = service.models.iter().map(|model| self.wanted_model(model)).collect();
        let store_bytes_per_s = policy.weight_store_bytes_per_s.unwrap_or(0);
        for order in orders.plan.next_orders(self.now_ms(), &wanted, &upstreams, store_bytes_per_s)
        {
            let id = &order.target.upstream_id;
            let Some((record, _)) = upstreams.iter().find(|(record, _)| record.upstream_id == *id)
            else {
                continue;
            };
            let checks = record.checks_fencing || service.upstreams_check_fencing;
            // Checked again for each order, because sending the previous ones took time.
            let Some(fence) = orders.lease.fence(self.now_ms(), checks) else { continue };
            match self.send_order(record, &order, fence, orders.lease.flight_ms()).await {
                Some(200..=299) => {
                    self.parts.counters.count("orders.accepted");
                    orders.plan.record_accepted(&order.target);
                }
                Some(status) => {
                    log::warn!("{id} refused order {} with status {status}", order.order_id);
                    self.parts.counters.count("orders.refused");
                    orders.plan.record_refused(&order.target, self.now_ms());
                }
                // The next round sends the order again under the same id.
                None => self.parts.counters.count("orders.unanswered"),
            }
        }
    }

    fn wanted_model(&self, model: &crate::schema::config::Model) -> WantedModel {
        WantedModel {
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            upstreams: model.wanted_upstreams,
            weight_bytes: model.weight_bytes,
            // Online requests for a model are refused while no upstream has it.
            blocks_online: !self.parts.dispatcher.fleet().load().has_model(&model.name),
        }
    }

    /// Sends an order and returns the status of the upstream's response; `None` on failure or
    /// timeout.
    async fn send_order(
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
