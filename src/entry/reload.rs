//! Reloads the settings file on SIGHUP or when its content changes.

use crate::{entry::context::Entry, holding::lock, settings, supervisor::ChildError};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Interval at which the file is polled; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the settings file until `stop`.
///
/// # Errors
/// The signal handler can't be installed.
pub async fn follow(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut last_read = std::fs::read(&entry.config.source).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = hangups.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let text = match std::fs::read(&entry.config.source) {
            Ok(text) => text,
            Err(e) => {
                warn!(error:% = e; "the settings file can't be read; the current settings stay in force");
                continue;
            }
        };
        if text != last_read || signalled {
            reload(&entry);
        }
        last_read = text;
    }
}

/// Applies the settings that can change at run time.
fn reload(entry: &Entry) {
    match settings::read_entry(&entry.config.source) {
        Ok(config) => {
            info!(peers = config.peers.0.len(); "settings reloaded");
            *lock(&entry.seeds) = config.peers.0;
        }
        Err(findings) => {
            warn!(findings:% = findings; "the new settings are invalid; the current ones stay in force");
        }
    }
}
