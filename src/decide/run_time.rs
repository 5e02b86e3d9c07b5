//! Forecasts how long requests take once they are sent, from those that have ended.
//!
//! | load pattern | answer |
//! |---|---|
//! | answers of very different size, whose callers estimate it roughly | recent requests of similar estimate, scaled by it: their spread covers both the estimates and the engines |
//! | engines that get slower as a burst fills them | a margin on the time |
//! | a process that has just started, or sizes never seen | no forecast |

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Ended requests that are kept for each route.
const MAX_RUNS: usize = 256;

/// Ended requests of similar size below which nothing is forecast.
const MIN_RUNS: usize = 8;

/// Largest ratio of two sizes that are similar.
const MAX_SIZE_RATIO: u32 = 3;

/// Factor on the forecast time.
const MARGIN: f64 = 1.25;

/// Times of a request that has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTime {
    /// Estimated number of generated tokens; 0 for plain services.
    pub size: u32,
    /// Time from sending it to the first chunk of the response.
    pub first: Duration,
    /// Time from there to the end of the response.
    pub rest: Duration,
}

impl RunTime {
    fn is_similar(&self, size: u32) -> bool {
        let (smaller, larger) = (self.size.min(size), self.size.max(size));
        larger <= smaller.saturating_mul(MAX_SIZE_RATIO)
    }

    /// Returns the time that a request of `size` takes if it runs like this one.
    fn scaled(&self, size: u32) -> Duration {
        if self.size == 0 {
            return self.first + self.rest;
        }
        let ratio = f64::from(size) / f64::from(self.size);
        self.first + self.rest.mul_f64(ratio)
    }
}

/// Times of recently ended requests, keyed by the name of the route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Arc<str>, VecDeque<RunTime>>,
}

impl RunTimes {
    /// Records a request that has ended.
    pub fn record(&mut self, route: &Arc<str>, run: RunTime) {
        let runs = self.routes.entry(Arc::clone(route)).or_default();
        if runs.len() >= MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Returns a time within which a request of `size` ends after it was sent, with the probability `confidence`; `None` if too
    /// few similar ones have ended for that.
    pub fn forecast(&self, route: &str, size: u32, confidence: f64) -> Option<Duration> {
        let runs = self.routes.get(route)?;
        let similar = runs.iter().filter(|r| r.is_similar(size));
        let mut times: Vec<Duration> = similar.map(|r| r.scaled(size)).collect();
        if times.len() < MIN_RUNS {
            return None;
        }
        times.sort_unstable();
        // The slowest of n runs bounds the next one with a probability of n in n + 1.
        let rank = ((times.len() + 1) as f64 * confidence).ceil() as usize;
        let time = times.get(rank.saturating_sub(1))?;
        Some(time.mul_f64(MARGIN))
    }
}
