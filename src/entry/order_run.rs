//! Executes one order: sends it, repeats it until it has taken effect, and reports how it ended.

use crate::{
    clock::BootInstant,
    decide::{order_sequence::OrderSequence, reservations::LateExecution},
    edge::{
        orders::{EngineReport, Order, OrderClient, OrderIssuer, OrderResponse},
        registration::{AdapterKey, Registration},
    },
    entry::{context::Entry, hold_offs},
    ident::Generation,
    metrics,
};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::sync::Mutex;

/// Delays between repeats of a load order; a warm load takes about 25 ms, one from the store 250 ms.
const LOAD_POLLS_MS: [u64; 10] = [30, 30, 60, 70, 70, 20, 20, 20, 30, 40];

/// Delay between further repeats.
const FURTHER_POLL: Duration = Duration::from_millis(60);

/// Delay after an order that was blocked by another one or got no response.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of an adapter's load or eviction; concurrent loads slow each other down.
const ADAPTER_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout of a base model's load.
const MODEL_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between repeats of a base model's load order.
const MODEL_POLL: Duration = Duration::from_millis(200);

/// Delay between announcing an eviction and ordering it, so that other entries learn of it first.
const EVICT_NOTICE: Duration = Duration::from_millis(30);

/// Time after which a report shows an order; reports are a few hundred milliseconds old.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// What an eviction finds at the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The adapter is loaded.
    Loaded,
    /// The adapter may still be loading by an order without a response. The engine answers an eviction of one that is
    /// loading as if it were absent, and loads it all the same.
    Uncertain,
    /// The engine has said that it lacks the adapter.
    Missing,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order has taken effect.
    Done,
    /// The eviction was not sent because its adapter came into use.
    Kept,
    /// The order was abandoned.
    Failed,
}

/// Order that ended, and its result.
#[derive(Debug)]
pub struct EndedOrder {
    /// Order that was executed.
    pub order: Order,
    /// Result of the order.
    pub outcome: OrderOutcome,
    /// Whether the engine may still execute it.
    pub late: LateExecution,
    /// The engine's state, if it has executed orders that this holder does not know of.
    pub report: Option<EngineReport>,
}

impl EndedOrder {
    fn new(order: Order, outcome: OrderOutcome, late: LateExecution) -> Self {
        Self {
            order,
            outcome,
            late,
            report: None,
        }
    }
}

/// State of the attempts at one order.
#[derive(Debug)]
struct Attempts {
    count: usize,
    /// Whether the engine accepted the order.
    accepted: bool,
    /// Highest sequence number under which the order got no response.
    pending: Option<u64>,
    last: OrderResponse,
    /// The engine's state, if its count of orders was unknown.
    report: Option<EngineReport>,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            count: 0,
            accepted: false,
            pending: None,
            last: OrderResponse::NotSent,
            report: None,
        }
    }
}

/// Sends one order and repeats it until it has taken effect; orders are idempotent.
#[derive(Debug)]
pub struct OrderRun<O> {
    /// Shared state of the entry.
    pub entry: Arc<Entry>,
    /// Client for orders to engines.
    pub orders: O,
    /// Registration of the engine's process.
    pub upstream: Arc<Registration>,
    /// Fencing number.
    pub generation: Generation,
    /// Sequence numbers of the orders to this process; locked while one is sent.
    pub sequence: Arc<Mutex<OrderSequence>>,
}

impl<O: OrderClient> OrderRun<O> {
    /// Executes `order`, or abandons it when its time runs out.
    pub async fn execute(&self, order: Order, presence: Presence) -> EndedOrder {
        let started = BootInstant::now();
        if let Order::EvictAdapter(key) = &order {
            match presence {
                Presence::Missing => {}
                Presence::Loaded => tokio::time::sleep(EVICT_NOTICE).await,
                Presence::Uncertain if self.wait_until_loaded(key).await => {}
                Presence::Uncertain => {
                    return EndedOrder::new(order, OrderOutcome::Failed, LateExecution::UnderWay);
                }
            }
            if presence != Presence::Missing && self.entry.is_adapter_in_use(&self.upstream.id, key)
            {
                return EndedOrder::new(order, OrderOutcome::Kept, LateExecution::Never);
            }
        }
        let attempts = self.attempt_until_settled(&order, started).await;
        let outcome = match attempts.last {
            OrderResponse::AlreadySatisfied => OrderOutcome::Done,
            _ => OrderOutcome::Failed,
        };
        let late = match attempts.pending {
            _ if attempts.accepted && outcome == OrderOutcome::Failed => LateExecution::UnderWay,
            Some(number) if self.sequence.lock().await.is_pending(number) => {
                LateExecution::UntilNext
            }
            _ => LateExecution::Never,
        };
        let ended = EndedOrder {
            report: attempts.report,
            ..EndedOrder::new(order, outcome, late)
        };
        self.log(&ended, attempts.last, started);
        ended
    }

    /// Sends `order` until it is accepted, then polls until it has taken effect.
    async fn attempt_until_settled(&self, order: &Order, started: BootInstant) -> Attempts {
        let timeout = match order {
            Order::LoadModel(_) => MODEL_TIMEOUT,
            Order::LoadAdapter(..) | Order::EvictAdapter(_) => ADAPTER_TIMEOUT,
        };
        let mut attempts = Attempts::default();
        while BootInstant::now().since(started) < timeout && self.may_order() {
            let (number, response) = if attempts.accepted {
                self.poll(order).await
            } else {
                match self.issue(order).await {
                    Ok(issued) => issued,
                    Err(report) => {
                        attempts.last = OrderResponse::NotSent;
                        attempts.report = Some(report);
                        break;
                    }
                }
            };
            attempts.last = response;
            let delay = match response {
                OrderResponse::Accepted => {
                    attempts.accepted = true;
                    poll_delay(order, attempts.count)
                }
                OrderResponse::Unknown | OrderResponse::HoldOff(_) => {
                    attempts.pending = attempts.pending.max(number);
                    RETRY_DELAY
                }
                OrderResponse::Busy | OrderResponse::NotSent => RETRY_DELAY,
                OrderResponse::AlreadySatisfied
                | OrderResponse::Fenced
                | OrderResponse::OtherProcess
                | OrderResponse::Invalid => break,
            };
            attempts.count += 1;
            tokio::time::sleep(delay).await;
        }
        attempts
    }

    /// Sends an order that was not accepted yet, under the lock that serialises orders; returns its sequence number
    /// and the response.
    ///
    /// # Errors
    /// The engine's state, where the count of its orders was unknown: it may hold more than this holder knows of, so the
    /// order must be planned anew.
    async fn issue(&self, order: &Order) -> Result<(Option<u64>, OrderResponse), EngineReport> {
        let mut sequence = self.sequence.lock().await;
        let Some(number) = sequence.expected() else {
            return match self.fetch_report().await {
                Some(report) => {
                    sequence.set_count(report.accepted_orders);
                    Err(report)
                }
                None => Ok((None, OrderResponse::NotSent)),
            };
        };
        let response = self.send(order, number).await;
        sequence.record_response(order, number, response);
        Ok((Some(number), response))
    }

    /// Waits until the engine is certainly not loading `key`; returns false if that takes too long.
    async fn wait_until_loaded(&self, key: &AdapterKey) -> bool {
        let started = BootInstant::now();
        while BootInstant::now().since(started) < ADAPTER_TIMEOUT {
            tokio::time::sleep(REPORT_LAG).await;
            let report = self.fetch_report().await;
            if report.is_some_and(|report| !report.is_loading(key)) {
                return true;
            }
        }
        false
    }

    /// Checks whether an accepted order has taken effect. A repeat of the order shows it at once; while orders get no
    /// response, the report shows it some hundred milliseconds later.
    async fn poll(&self, order: &Order) -> (Option<u64>, OrderResponse) {
        let sequence = *self.sequence.lock().await;
        let number = sequence.expected().filter(|_| !sequence.has_pending());
        let Some(number) = number else {
            return (None, self.poll_report(order).await);
        };
        let response = self.send(order, number).await;
        match response {
            OrderResponse::Unknown => self.sequence.lock().await.record_no_response(number),
            // The order is no longer executing and later ones were accepted: the report shows whether it took effect.
            OrderResponse::Busy => return (None, self.poll_report(order).await),
            _ => {}
        }
        (Some(number), response)
    }

    async fn poll_report(&self, order: &Order) -> OrderResponse {
        let Some(report) = self.fetch_report().await else {
            return OrderResponse::NotSent;
        };
        if report.satisfies(order) {
            OrderResponse::AlreadySatisfied
        } else {
            OrderResponse::Accepted
        }
    }

    fn may_order(&self) -> bool {
        self.entry.may_order(&self.upstream.id, self.generation)
    }

    async fn fetch_report(&self) -> Option<EngineReport> {
        hold_offs::fetch_report(&self.entry, &self.orders, &self.upstream).await
    }

    async fn send(&self, order: &Order, number: u64) -> OrderResponse {
        let issuer = OrderIssuer {
            holder: &self.entry.config.id,
            generation: self.generation,
            expected_orders: Some(number),
        };
        if self.entry.is_held_off(&self.upstream) || !self.may_order() {
            return OrderResponse::NotSent;
        }
        let response = self.orders.send(&self.upstream, issuer, order).await;
        if let OrderResponse::HoldOff(pause) = response {
            self.entry.record_hold_off(&self.upstream, pause, "order");
        }
        metrics::order(order.as_str(), response.as_str());
        response
    }

    fn log(&self, ended: &EndedOrder, last: OrderResponse, started: BootInstant) {
        let adapter = match &ended.order {
            Order::LoadModel(model) => model.to_string(),
            Order::LoadAdapter(key, _) | Order::EvictAdapter(key) => key.to_string(),
        };
        let took_ms = BootInstant::now().since(started).as_millis() as u64;
        info!(
            upstream = &*self.upstream.id, order = ended.order.as_str(), model = adapter, generation = self.generation,
            outcome:? = ended.outcome, answer = last.as_str(), late:? = ended.late, took_ms = took_ms;
            "placement: order ended"
        );
    }
}

fn poll_delay(order: &Order, attempts: usize) -> Duration {
    match order {
        Order::LoadModel(_) => MODEL_POLL,
        Order::LoadAdapter(..) | Order::EvictAdapter(_) => LOAD_POLLS_MS
            .get(attempts)
            .map_or(FURTHER_POLL, |ms| Duration::from_millis(*ms)),
    }
}
