//! Takes in changes of the settings file, with a signal or without one.

use crate::{entry::context::Entry, holding::lock, settings, supervisor::ChildError};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Interval between looks at the file; settings may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Looks at the settings file until `stop`.
///
/// # Errors
/// The signal can't be waited for.
pub async fn follow(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut seen = std::fs::read(&entry.config.source).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = hangups.recv() => true,
            () = tokio::time::sleep(LOOK_INTERVAL) => false,
        };
        let text = match std::fs::read(&entry.config.source) {
            Ok(text) => text,
            Err(e) => {
                warn!(error:% = e; "the settings file can't be read; the present settings stay");
                continue;
            }
        };
        if text != seen || signalled {
            reload(&entry);
        }
        seen = text;
    }
}

/// Puts the settings in force that can change while the process runs.
fn reload(entry: &Entry) {
    match settings::read_entry(&entry.config.source) {
        Ok(config) => {
            info!(peers = config.peers.0.len(); "settings reloaded");
            *lock(&entry.seeds) = config.peers.0;
        }
        Err(findings) => {
            warn!(findings:% = findings; "the new settings have findings; the present ones stay");
        }
    }
}
