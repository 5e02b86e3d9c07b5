//! Request rates of adapters, over a short and a long window.

use crate::{clock::BootInstant, ident::ModelRef};
use std::{collections::HashMap, time::Duration};

/// Half-life of the short rate.
const FAST_HALF_LIFE: Duration = Duration::from_secs(20);

/// Half-life of the long rate.
const SLOW_HALF_LIFE: Duration = Duration::from_mins(5);

/// Adapters tracked for one upstream.
const MAX_ADAPTERS: usize = 4_096;

/// Exponentially decayed request counts of one adapter.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    fast: f64,
    slow: f64,
    updated_at: BootInstant,
    last_used_at: BootInstant,
}

impl Rate {
    fn decayed(self, now: BootInstant) -> Self {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = |half_life: Duration| (-elapsed / half_life.as_secs_f64()).exp2();
        let (fast, slow) = (
            self.fast * factor(FAST_HALF_LIFE),
            self.slow * factor(SLOW_HALF_LIFE),
        );
        Self {
            fast,
            slow,
            updated_at: now,
            ..self
        }
    }

    /// Returns the higher of the two rates, in requests per second.
    fn per_second(self) -> f64 {
        let rate = |count: f64, half_life: Duration| {
            count * std::f64::consts::LN_2 / half_life.as_secs_f64()
        };
        rate(self.fast, FAST_HALF_LIFE).max(rate(self.slow, SLOW_HALF_LIFE))
    }
}

/// Request rates of the adapters at one upstream.
#[derive(Debug, Default)]
pub struct Popularity {
    rates: HashMap<ModelRef, Rate>,
}

impl Popularity {
    /// Counts a request.
    pub fn record(&mut self, model: &ModelRef, now: BootInstant) {
        if self.rates.len() >= MAX_ADAPTERS && !self.rates.contains_key(model) {
            self.drop_unpopular(now);
        }
        let rate = self.rates.entry(model.clone()).or_default();
        *rate = rate.decayed(now);
        rate.fast += 1.0;
        rate.slow += 1.0;
        rate.last_used_at = now;
    }

    /// Returns the expected requests per second for `model`.
    pub fn rate(&self, model: &ModelRef, now: BootInstant) -> f64 {
        self.rates
            .get(model)
            .map_or(0.0, |r| r.decayed(now).per_second())
    }

    /// Returns the time of the last request for `model`.
    pub fn last_used(&self, model: &ModelRef) -> BootInstant {
        self.rates
            .get(model)
            .map_or(BootInstant(0), |r| r.last_used_at)
    }

    /// Drops the less popular half of the adapters.
    fn drop_unpopular(&mut self, now: BootInstant) {
        let mut values: Vec<f64> = self
            .rates
            .values()
            .map(|r| r.decayed(now).per_second())
            .collect();
        let middle = values.len() / 2;
        let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.rates
            .retain(|_, r| r.decayed(now).per_second() > median);
    }
}
