//! Carries one order out: gives it, repeats it, and says how it ended.

use crate::{
    clock::BootInstant,
    edge::{
        orders::{Issuer, Order, OrderAnswer, Orders},
        registration::Registration,
    },
    entry::context::Entry,
    ident::Generation,
    metrics,
};
use log::info;
use std::{sync::Arc, time::Duration};

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
#[derive(Debug)]
pub struct Ended {
    /// The order.
    pub order: Order,
    /// Whether it holds now.
    pub done: bool,
    /// Whether some try of it got no answer.
    pub uncertain: bool,
    /// Whether it was not begun because its adapter came into use.
    pub kept: bool,
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
}

impl<O: Orders> OrderRun<O> {
    /// Carries `order` out, or gives it up.
    pub async fn drive(&self, order: Order) -> Ended {
        let begun = BootInstant::now();
        let limit = match order {
            Order::LoadModel(_) => MODEL_LIMIT,
            Order::LoadAdapter(..) | Order::EvictAdapter(_) => ORDER_LIMIT,
        };
        let mut ended = Ended {
            order,
            done: false,
            uncertain: false,
            kept: false,
        };
        if let Order::EvictAdapter(key) = &ended.order {
            tokio::time::sleep(EVICT_NOTICE).await;
            if self.entry.in_use(&self.upstream.id, key) {
                ended.kept = true;
                return ended;
            }
        }
        let mut tries = 0;
        let mut last = OrderAnswer::NotSent;
        while BootInstant::now().since(begun) < limit && self.entry.may_order() {
            last = self.give(&ended.order).await;
            ended.uncertain |= last == OrderAnswer::Unknown;
            match last {
                OrderAnswer::Holds => {
                    ended.done = true;
                    break;
                }
                OrderAnswer::Accepted => tokio::time::sleep(poll_delay(&ended.order, tries)).await,
                OrderAnswer::Busy | OrderAnswer::Unknown | OrderAnswer::NotSent => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                OrderAnswer::Fenced | OrderAnswer::OtherProcess | OrderAnswer::Invalid => break,
            }
            tries += 1;
        }
        // What was accepted and not seen to end may end later.
        ended.uncertain |= !ended.done && tries > 0;
        self.log(&ended, last, begun);
        ended
    }

    async fn give(&self, order: &Order) -> OrderAnswer {
        let issuer = Issuer {
            holder: &self.entry.config.id,
            generation: self.generation,
        };
        let answer = self.orders.give(&self.upstream, issuer, order).await;
        metrics::order(order.as_str(), answer.as_str());
        answer
    }

    fn log(&self, ended: &Ended, last: OrderAnswer, begun: BootInstant) {
        let adapter = match &ended.order {
            Order::LoadModel(model) => model.to_string(),
            Order::LoadAdapter(key, _) | Order::EvictAdapter(key) => key.to_string(),
        };
        let took_ms = BootInstant::now().since(begun).as_millis() as u64;
        info!(
            upstream = &*self.upstream.id, order = ended.order.as_str(), model = adapter, generation = self.generation,
            done = ended.done, answer = last.as_str(), uncertain = ended.uncertain, took_ms = took_ms;
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
