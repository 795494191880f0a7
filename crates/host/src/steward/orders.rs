//! Executes the effects of the order controller: acquires and renews the order lease, reads the
//! state of engines and sends orders to them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use carobvane_core::{
    clock::ClockTime,
    ids::NodeIncarnation,
    lists::{ListDocument, ServerRole},
    orders::{
        EngineWeights, LEASE_LIFETIME, LeaseEvent, ORDER_TIMEOUT, OrderController, OrderEffect,
        OrderOutcome, WeightsStatus,
    },
};
use carobvane_proto::{
    engine::{EngineOrder, EngineState, LoadedModel},
    headers,
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    clock,
    keyvalue::{KeyvalueClient, KeyvalueError, Transaction},
};

/// Key that names the lease holder. Its creation revision is the fencing number of the orders.
const LEASE_HOLDER_KEY: &str = "carobvane/orders/holder";
/// HTTP status of an engine that rejects a stale fencing number.
const STALE_FENCING_STATUS: u16 = 412;

/// Runs the order controller of a steward.
pub struct OrderExecutor {
    own: NodeIncarnation,
    controller: RefCell<OrderController>,
    rng: RefCell<SmallRng>,
    /// Id of the lease in the key-value service; 0 before the first grant.
    lease_id: Cell<i64>,
    keyvalue: KeyvalueClient,
    client: awc::Client,
    /// Address and model of each engine, by server name.
    engines: RefCell<BTreeMap<String, (String, String)>>,
}

impl OrderExecutor {
    /// Creates an executor that tries to acquire the lease. Its orders cause at most `max_loads`
    /// loads of weights at once.
    pub fn new(
        own: NodeIncarnation,
        max_loads: usize,
        keyvalue: KeyvalueClient,
    ) -> Rc<OrderExecutor> {
        let mut rng = SmallRng::seed_from_u64(own.incarnation.0);
        let mut controller = OrderController::new(max_loads);
        controller.set_candidate(clock::now(), true, &mut rng);
        Rc::new(OrderExecutor {
            own,
            controller: RefCell::new(controller),
            rng: RefCell::new(rng),
            lease_id: Cell::new(0),
            keyvalue,
            client: awc::Client::builder().timeout(ORDER_TIMEOUT).finish(),
            engines: RefCell::new(BTreeMap::new()),
        })
    }

    /// Makes the state in `document` the target state of the engines.
    pub fn activate_lists(self: &Rc<Self>, document: &ListDocument) {
        let engines = document.servers.iter().filter_map(|(name, server)| match &server.role {
            ServerRole::Engine(model) => {
                Some((name.clone(), (server.address.clone(), model.clone())))
            }
            ServerRole::Service(_) => None,
        });
        *self.engines.borrow_mut() = engines.collect();
        let effects = self.controller.borrow_mut().apply(clock::now(), document);
        self.run_effects(effects);
    }

    /// Runs the timers that are due.
    pub fn tick(self: &Rc<Self>, now: ClockTime) {
        let effects = self.controller.borrow_mut().on_timer(now, &mut *self.rng.borrow_mut());
        self.run_effects(effects);
    }

    fn run_effects(self: &Rc<Self>, effects: Vec<OrderEffect>) {
        for effect in effects {
            let executor = Rc::clone(self);
            actix_rt::spawn(async move {
                match effect {
                    OrderEffect::Acquire => executor.acquire_lease().await,
                    OrderEffect::Renew => executor.renew_lease().await,
                    OrderEffect::Read { server } => executor.read_engine(&server).await,
                    OrderEffect::Send { server, fencing, order } => {
                        executor.send_order(&server, fencing, order).await;
                    }
                }
            });
        }
    }

    fn handle_lease_event(self: &Rc<Self>, event: LeaseEvent) {
        if let LeaseEvent::Acquired { fencing, .. } = event {
            log::info!(fencing; "order lease acquired");
        }
        let mut rng = self.rng.borrow_mut();
        let effects = self.controller.borrow_mut().on_lease(clock::now(), event, &mut *rng);
        drop(rng);
        self.run_effects(effects);
    }

    async fn acquire_lease(self: &Rc<Self>) {
        let sent_at = clock::now();
        match self.write_lease_holder().await {
            Ok(Some(fencing)) => self.handle_lease_event(LeaseEvent::Acquired { fencing, sent_at }),
            Ok(None) => self.handle_lease_event(LeaseEvent::HeldByOther),
            Err(error) => log::warn!(error:% = error; "failed to acquire the order lease"),
        }
    }

    /// Writes the holder key if it does not exist. Returns the fencing number if this process is
    /// now the holder.
    async fn write_lease_holder(&self) -> Result<Option<u64>, KeyvalueError> {
        if let Some(holder) = self.keyvalue.get(LEASE_HOLDER_KEY).await? {
            // The key may be from an earlier write whose acknowledgement was lost.
            let own = holder.value == self.holder_value() && holder.lease == self.lease_id.get();
            return Ok(own.then_some(holder.create_revision as u64));
        }
        let lease = self.keyvalue.lease_grant(LEASE_LIFETIME.as_secs() as u32).await?;
        self.lease_id.set(lease.id);
        let transaction = Transaction::new().require_absent(LEASE_HOLDER_KEY).put_with_lease(
            LEASE_HOLDER_KEY,
            &self.holder_value(),
            lease.id,
        );
        let result = self.keyvalue.txn(transaction).await?;
        if !result.succeeded {
            self.keyvalue.lease_revoke(lease.id).await?;
            return Ok(None);
        }
        Ok(Some(result.revision as u64))
    }

    fn holder_value(&self) -> Vec<u8> {
        format!("{}/{}", self.own.node.0, self.own.incarnation.0).into_bytes()
    }

    async fn renew_lease(self: &Rc<Self>) {
        let sent_at = clock::now();
        match self.keyvalue.lease_keepalive(self.lease_id.get()).await {
            Ok(lease) if lease.time_to_live.is_zero() => self.handle_lease_event(LeaseEvent::Lost),
            Ok(_) => self.handle_lease_event(LeaseEvent::Renewed { sent_at }),
            Err(error) => log::warn!(error:% = error; "failed to renew the order lease"),
        }
    }

    async fn read_engine(self: &Rc<Self>, server: &str) {
        let Some((address, model)) = self.engines.borrow().get(server).cloned() else { return };
        let requested_at = clock::now();
        let state: EngineState = match self.fetch_state(&address).await {
            Ok(state) => state,
            Err(error) => {
                log::debug!(server, error; "failed to read the state of an engine");
                return;
            }
        };
        let held = state.models.into_iter().find(|held| held.model == model);
        let held = held.map(|held| EngineWeights {
            model: held.model,
            version: held.version,
            adapters: held.adapters.into_iter().collect(),
        });
        let status = WeightsStatus { held, loading: state.loading };
        let effects = self.controller.borrow_mut().on_weights_status(
            clock::now(),
            requested_at,
            server,
            status,
        );
        self.run_effects(effects);
    }

    async fn fetch_state(&self, address: &str) -> Result<EngineState, String> {
        let url = format!("http://{address}/state");
        let mut response = self.client.get(url).send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        response.json().await.map_err(|error| error.to_string())
    }

    async fn send_order(self: &Rc<Self>, server: &str, fencing: u64, order: EngineWeights) {
        let Some((address, _)) = self.engines.borrow().get(server).cloned() else { return };
        log::info!(server, fencing, model = order.model, version = order.version; "order sent");
        let body = EngineOrder::HoldModel(LoadedModel {
            model: order.model,
            version: order.version,
            adapters: order.adapters.into_iter().collect(),
        });
        let request = self.client.post(format!("http://{address}/orders"));
        let request = request.insert_header((headers::FENCING_NUMBER, fencing.to_string()));
        let outcome = match request.send_json(&body).await {
            Ok(response) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(response) if response.status().as_u16() == STALE_FENCING_STATUS => {
                OrderOutcome::StaleFencing
            }
            Ok(_) | Err(_) => OrderOutcome::Unknown,
        };
        if outcome != OrderOutcome::Accepted {
            log::warn!(server, outcome:? = outcome; "order not accepted");
        }
        self.controller.borrow_mut().on_order_outcome(clock::now(), server, outcome);
    }
}
