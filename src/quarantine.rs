//! Requests that are suspected of crashing upstreams, shared by all processes: each sends its new strikes to the
//! others.

use crate::{
    clock,
    holding::lock,
    ident::UpstreamId,
    poison::{RefusedRequest, Suspects, Verdict},
    wire::{Strike, StrikeEvent},
};
use log::info;
use std::{sync::Mutex, time::Duration};
use tokio::sync::broadcast;

/// Strikes buffered for each feed; one that is further behind starts again with all known strikes.
const STRIKE_BUFFER: usize = 1_024;

/// Suspected requests, and the channel of new strikes.
#[derive(Debug)]
pub struct Quarantine {
    suspects: Mutex<Suspects>,
    strikes: broadcast::Sender<Strike>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: Mutex::default(),
            strikes: broadcast::Sender::new(STRIKE_BUFFER),
        }
    }
}

impl Quarantine {
    /// Returns how a request may be run.
    pub fn verdict(&self, fingerprint: u64) -> Verdict {
        lock(&self.suspects).verdict(fingerprint, clock::unix_ms())
    }

    /// Returns for how long a request is still refused; `None` if it may be run.
    pub fn refused_for(&self, fingerprint: u64) -> Option<Duration> {
        lock(&self.suspects).refused_for(fingerprint, clock::unix_ms())
    }

    /// Records a strike and publishes it if it is new; returns whether it is.
    pub fn record(&self, strike: &Strike) -> bool {
        let is_new = lock(&self.suspects).record(strike);
        if is_new {
            info!(fingerprint:% = format!("{:016x}", strike.fingerprint), event:? = strike.event; "routing: strike");
            // Without feeds nobody needs it yet: a new feed starts with all known strikes.
            let _feeds = self.strikes.send(strike.clone());
        }
        is_new
    }

    /// Records that the process of `upstream` that started at `boot` ended while it ran the request.
    pub fn record_lost(&self, fingerprint: u64, upstream: UpstreamId, boot: u64) -> bool {
        self.observe(fingerprint, StrikeEvent::Lost { upstream, boot })
    }

    /// Clears the strikes of a request that has completed; returns whether it had any.
    pub fn clear(&self, fingerprint: u64) -> bool {
        if self.verdict(fingerprint) == Verdict::Allow {
            return false;
        }
        self.observe(fingerprint, StrikeEvent::Cleared)
    }

    /// Records an event that this process observes now.
    fn observe(&self, fingerprint: u64, event: StrikeEvent) -> bool {
        let at_ms = lock(&self.suspects).event_time(fingerprint, clock::unix_ms());
        self.record(&Strike {
            fingerprint,
            event,
            at_ms,
        })
    }

    /// Returns the requests that are refused now, for a record in the store.
    pub fn refused(&self) -> Vec<RefusedRequest> {
        lock(&self.suspects).refused(clock::unix_ms())
    }

    /// Returns all known strikes.
    pub fn known(&self) -> Vec<Strike> {
        lock(&self.suspects).all()
    }

    /// Returns a feed of all known and all later strikes.
    pub fn feed(&self) -> StrikeFeed {
        StrikeFeed {
            receiver: self.strikes.subscribe(),
            is_behind: true,
            received: Vec::new(),
        }
    }
}

/// Strikes that are still to be sent to one other process.
#[derive(Debug)]
pub struct StrikeFeed {
    receiver: broadcast::Receiver<Strike>,
    /// Whether all known strikes have to be sent, as at the start.
    is_behind: bool,
    received: Vec<Strike>,
}

impl StrikeFeed {
    /// Waits for a new strike.
    pub async fn changed(&mut self) {
        match self.receiver.recv().await {
            Ok(strike) => self.received.push(strike),
            Err(_lagged) => self.is_behind = true,
        }
    }

    /// Returns the strikes since the last call.
    pub fn take(&mut self, quarantine: &Quarantine) -> Vec<Strike> {
        loop {
            match self.receiver.try_recv() {
                Ok(strike) => self.received.push(strike),
                Err(broadcast::error::TryRecvError::Lagged(_)) => self.is_behind = true,
                Err(_empty) => break,
            }
        }
        let received = std::mem::take(&mut self.received);
        if std::mem::take(&mut self.is_behind) {
            return quarantine.known();
        }
        received
    }
}
