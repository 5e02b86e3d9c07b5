//! Carries one order out: gives it, repeats it, and says how it ended.

use crate::{
    clock::BootInstant,
    decide::order_sequence::OrderSequence,
    edge::{
        orders::{Order, OrderClient, OrderIssuer, OrderResponse},
        registration::Registration,
    },
    entry::context::Entry,
    ident::Generation,
    metrics,
};
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::sync::Mutex;

/// Waits between repeats of a load order; a warm load takes about 25 ms, one from the store 250 ms.
const LOAD_POLLS_MS: [u64; 10] = [30, 30, 60, 70, 70, 20, 20, 20, 30, 40];

/// Wait between further repeats.
const LATE_POLL: Duration = Duration::from_millis(60);

/// Wait after an order that another one is in the way of, or that got no answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for an adapter's load or eviction; many loads at once slow each other down.
const ORDER_LIMIT: Duration = Duration::from_secs(6);

/// Longest time for a base model's load.
const MODEL_LIMIT: Duration = Duration::from_secs(30);

/// Interval between repeats of a base model's load order.
const MODEL_POLL: Duration = Duration::from_millis(200);

/// Time from announcing an eviction to ordering it, in which other entries learn of it.
const EVICT_NOTICE: Duration = Duration::from_millis(30);

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It holds now.
    Done,
    /// It was not begun because its adapter came into use.
    Kept,
    /// It was given up.
    Failed,
}

/// Whether an ended order may still be carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Late {
    /// It can't.
    Never,
    /// Until the engine has accepted another one.
    UntilNext,
    /// For some seconds: it was accepted and not seen to end.
    UnderWay,
}

/// An order that ended.
#[derive(Debug)]
pub struct Ended {
    /// The order.
    pub order: Order,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it may still be carried out.
    pub late: Late,
}

/// What was tried for one order so far.
#[derive(Clone, Copy, Debug)]
struct Tries {
    count: usize,
    /// Whether the engine accepted it.
    accepted: bool,
    /// Highest number under which it got no answer.
    unanswered: Option<u64>,
    last: OrderResponse,
}

impl Default for Tries {
    fn default() -> Self {
        Self {
            count: 0,
            accepted: false,
            unanswered: None,
            last: OrderResponse::NotSent,
        }
    }
}

/// Gives one order and repeats it until it holds; orders are idempotent.
#[derive(Debug)]
pub struct OrderRun<O> {
    /// What the parts of the entry share.
    pub entry: Arc<Entry>,
    /// Reaches the engines.
    pub orders: O,
    /// The engine's process.
    pub upstream: Arc<Registration>,
    /// Fencing number.
    pub generation: Generation,
    /// Numbers the orders to this process; held while one is given.
    pub sequence: Arc<Mutex<OrderSequence>>,
}

impl<O: OrderClient> OrderRun<O> {
    /// Carries `order` out, or gives it up.
    pub async fn drive(&self, order: Order) -> Ended {
        let begun = BootInstant::now();
        if let Order::EvictAdapter(key) = &order {
            tokio::time::sleep(EVICT_NOTICE).await;
            if self.entry.is_adapter_in_use(&self.upstream.id, key) {
                return Ended {
                    order,
                    outcome: Outcome::Kept,
                    late: Late::Never,
                };
            }
        }
        let tries = self.try_until_settled(&order, begun).await;
        let outcome = match tries.last {
            OrderResponse::AlreadySatisfied => Outcome::Done,
            _ => Outcome::Failed,
        };
        let late = match tries.unanswered {
            _ if tries.accepted && outcome == Outcome::Failed => Late::UnderWay,
            Some(number) if self.sequence.lock().await.is_pending(number) => Late::UntilNext,
            _ => Late::Never,
        };
        let ended = Ended {
            order,
            outcome,
            late,
        };
        self.log(&ended, tries.last, begun);
        ended
    }

    /// Gives `order` until it is accepted, then looks until it holds.
    async fn try_until_settled(&self, order: &Order, begun: BootInstant) -> Tries {
        let limit = match order {
            Order::LoadModel(_) => MODEL_LIMIT,
            Order::LoadAdapter(..) | Order::EvictAdapter(_) => ORDER_LIMIT,
        };
        let mut tries = Tries::default();
        while BootInstant::now().since(begun) < limit && self.entry.may_send_orders() {
            let (number, answer) = if tries.accepted {
                self.look(order).await
            } else {
                self.give(order).await
            };
            tries.last = answer;
            let pause = match answer {
                OrderResponse::Accepted => {
                    tries.accepted = true;
                    poll_delay(order, tries.count)
                }
                OrderResponse::Unknown => {
                    tries.unanswered = tries.unanswered.max(number);
                    RETRY_DELAY
                }
                OrderResponse::Busy | OrderResponse::NotSent => RETRY_DELAY,
                OrderResponse::AlreadySatisfied
                | OrderResponse::Fenced
                | OrderResponse::OtherProcess
                | OrderResponse::Invalid => break,
            };
            tries.count += 1;
            tokio::time::sleep(pause).await;
        }
        tries
    }

    /// Gives an order that was not accepted yet, as the only one at a time; its number and the answer.
    async fn give(&self, order: &Order) -> (Option<u64>, OrderResponse) {
        let mut sequence = self.sequence.lock().await;
        if sequence.expected().is_none()
            && let Some(report) = self.orders.fetch_report(&self.upstream).await
        {
            sequence.set_count(report.accepted_orders);
        }
        let Some(number) = sequence.expected() else {
            return (None, OrderResponse::NotSent);
        };
        let answer = self.send(order, number).await;
        sequence.record_response(order, number, answer);
        (Some(number), answer)
    }

    /// Looks whether an accepted order holds by now. A repeat of the order tells it at once; where orders get no
    /// answers, the report tells it some hundred milliseconds later.
    async fn look(&self, order: &Order) -> (Option<u64>, OrderResponse) {
        let sequence = *self.sequence.lock().await;
        let number = sequence.expected().filter(|_| !sequence.has_pending());
        let Some(number) = number else {
            return (None, self.look_at_report(order).await);
        };
        let answer = self.send(order, number).await;
        match answer {
            OrderResponse::Unknown => self.sequence.lock().await.record_no_response(number),
            // It is under way no more, and others were accepted since: the report tells whether it holds.
            OrderResponse::Busy => return (None, self.look_at_report(order).await),
            _ => {}
        }
        (Some(number), answer)
    }

    async fn look_at_report(&self, order: &Order) -> OrderResponse {
        let Some(report) = self.orders.fetch_report(&self.upstream).await else {
            return OrderResponse::NotSent;
        };
        if report.satisfies(order) {
            OrderResponse::AlreadySatisfied
        } else {
            OrderResponse::Accepted
        }
    }

    async fn send(&self, order: &Order, number: u64) -> OrderResponse {
        let issuer = OrderIssuer {
            holder: &self.entry.config.id,
            generation: self.generation,
            expected_orders: Some(number),
        };
        let answer = self.orders.send(&self.upstream, issuer, order).await;
        metrics::order(order.as_str(), answer.as_str());
        answer
    }

    fn log(&self, ended: &Ended, last: OrderResponse, begun: BootInstant) {
        let adapter = match &ended.order {
            Order::LoadModel(model) => model.to_string(),
            Order::LoadAdapter(key, _) | Order::EvictAdapter(key) => key.to_string(),
        };
        let took_ms = BootInstant::now().since(begun).as_millis() as u64;
        info!(
            upstream = &*self.upstream.id, order = ended.order.as_str(), model = adapter, generation = self.generation,
            outcome:? = ended.outcome, answer = last.as_str(), late:? = ended.late, took_ms = took_ms;
            "placement: order ended"
        );
    }
}

fn poll_delay(order: &Order, tries: usize) -> Duration {
    match order {
        Order::LoadModel(_) => MODEL_POLL,
        Order::LoadAdapter(..) | Order::EvictAdapter(_) => LOAD_POLLS_MS
            .get(tries)
            .map_or(LATE_POLL, |ms| Duration::from_millis(*ms)),
    }
}
