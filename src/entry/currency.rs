//! Judges whether this entry has the newest configuration, as far as it can know.

use crate::{
    clock::BootInstant,
    decide::pauses::Pauses,
    edge::store::ObjectKind,
    entry::{context::Entry, messages::ConfigurationSource},
    holding::lock,
    ident::Revision,
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Interval at which this process observes that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// What an entry knows of how current a configuration is.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationView {
    /// Whether it is the newest one, as far as the entry can know.
    pub is_current: bool,
    /// Newest revision that this entry has or hears of.
    pub newest: Revision,
    /// Where this entry learns of new configurations.
    pub source: ConfigurationSource,
    /// Time since the store answered this entry, if it ever did.
    pub contact_age: Option<Duration>,
}

/// How current the configuration of an entry is.
#[derive(Debug)]
pub struct Currency {
    /// Whether this entry watches the configuration in the store, and has listed it since the last interruption.
    follows: AtomicBool,
    /// The same for versions of adapters.
    follows_versions: AtomicBool,
    /// Pauses of this process.
    pauses: Mutex<Pauses>,
}

impl Default for Currency {
    /// Describes a process that has just started.
    fn default() -> Self {
        Self {
            follows: AtomicBool::new(false),
            follows_versions: AtomicBool::new(false),
            pauses: Mutex::new(Pauses::new(BootInstant::now())),
        }
    }
}

impl Currency {
    /// Records whether this entry learns every change of `kind` from the store by itself. The registry does that for upstreams.
    pub fn set_followed(&self, kind: ObjectKind, follows: bool) {
        match kind {
            ObjectKind::Configuration => self.follows.store(follows, Ordering::SeqCst),
            ObjectKind::Versions => self.follows_versions.store(follows, Ordering::SeqCst),
            _ => {}
        }
    }

    /// Returns whether this entry learns every new version of an adapter from the store, while it is in contact.
    pub fn follows_versions(&self) -> bool {
        self.follows_versions.load(Ordering::SeqCst)
    }

    /// Observes whether this process runs. Waits for nothing else, as a wait would look like a pause.
    pub async fn keep_ticking(&self) {
        loop {
            lock(&self.pauses).tick(BootInstant::now());
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }
}

impl Entry {
    /// Judges whether the configuration with `revision` is the newest one: no other can have been in force for long if this
    /// entry follows the store itself, or hears from an entry that does, and hears of no newer one.
    pub fn judge_configuration(&self, revision: Revision) -> ConfigurationView {
        let now = BootInstant::now();
        let is_paused = lock(&self.currency.pauses).is_recent(now);
        let source = self.configuration_source();
        let mut view = ConfigurationView {
            is_current: source == ConfigurationSource::Store,
            newest: self.revision(),
            source,
            contact_age: lock(&self.contact).age(now),
        };
        for info in lock(&self.peers).heard(now) {
            view.is_current |= info.configuration == ConfigurationSource::Store;
            view.newest = view.newest.max(info.revision);
        }
        view.is_current &= view.newest <= revision && !is_paused;
        view
    }

    /// Returns where this entry learns of new configurations at present.
    pub fn configuration_source(&self) -> ConfigurationSource {
        let has_followed = self.currency.follows.load(Ordering::SeqCst);
        if has_followed && lock(&self.contact).is_fresh(BootInstant::now()) {
            ConfigurationSource::Store
        } else {
            ConfigurationSource::Peers
        }
    }

    /// Returns whether a member of the control set knows every change of `kind` from the store.
    pub fn has_peer_following(&self, kind: ObjectKind) -> bool {
        let control = self.control.load();
        let peers = lock(&self.peers);
        let mut heard = peers.heard(BootInstant::now());
        heard.any(|info| {
            let follows = match kind {
                ObjectKind::Configuration => info.configuration == ConfigurationSource::Store,
                _ => info.follows,
            };
            follows && control.members.contains(&info.name)
        })
    }
}
