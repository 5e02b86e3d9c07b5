//! Settings files of the processes in a deployment of the test harness.

use crate::harness::{Deployment, KEY, Role};
use std::{fmt::Write, path::PathBuf};

impl Deployment {
    pub(crate) fn write_settings(&self) {
        let write = |path: PathBuf, text: String| {
            std::fs::write(path, text).expect("settings can be written");
        };
        write(
            self.settings_file(Role::Platform, 0),
            self.platform_settings(),
        );
        for n in 0..self.layout.entries {
            write(
                self.settings_file(Role::Dispatcher, n),
                self.dispatcher_settings(n),
            );
            write(
                self.settings_file(Role::Gateway, n),
                self.gateway_settings(n),
            );
        }
    }

    fn platform_settings(&self) -> String {
        let l = &self.layout;
        let mut text = format!(
            "[object-api]\nlisten = {}\n[vm-list]\nlisten = {}\nlag-ms = 300\n\
             [weight-store]\nlisten = {}\nrate = {}\nstreams = 2\n",
            self.objects(),
            self.vms(),
            self.weights(),
            l.load_rate
        );
        for n in 0..l.entries {
            let (address, centre) = (self.gateway(n), self.centre(n));
            let _infallible = write!(
                text,
                "[entry entry-{n}]\nlisten = {address}\ndata-centre = {centre}\n"
            );
        }
        for n in 0..l.engines {
            let open = n + l.open_engines >= l.engines;
            let (pool, fencing) = if open {
                ("open", false)
            } else {
                ("checked", true)
            };
            let (address, centre) = (self.engine(n), self.centre(n));
            let _infallible = write!(
                text,
                "[engine engine-{n}]\nlisten = {address}\npool = {pool}\ndata-centre = {centre}\n\
                 fencing = {fencing}\nslots = {}\nbatch = {}\nstep-us = {}\ndown-ms = {}\n",
                l.slots, l.batch, l.step_us, l.down_ms
            );
        }
        for n in 0..l.services {
            let (address, centre) = (self.service(n), self.centre(n));
            let _infallible = write!(
                text,
                "[service status-{n}]\nlisten = {address}\npool = application\ndata-centre = {centre}\n\
                 work-ms = {}\n",
                l.work_ms
            );
        }
        text
    }

    fn dispatcher_settings(&self, n: u8) -> String {
        format!(
            "[dispatcher]\nid = entry-{n}\ndata-centre = {}\nlink = {}\noperators = {}\n\
             object-api = {}\nvm-list = {}\nkey = {KEY}\npeers = {}\neviction = {}\n\
             max-timeout-ms = {}\n[log]\nlevel = {}\n",
            self.centre(n),
            self.dispatcher_link(n),
            self.dispatcher_operators(n),
            self.objects(),
            self.vms(),
            self.peers(n),
            self.layout.eviction,
            self.layout.max_timeout,
            self.layout.log
        )
    }

    fn gateway_settings(&self, n: u8) -> String {
        format!(
            "[gateway]\nid = entry-{n}\ndata-centre = {}\ncallers = {}\noperators = {}\n\
             dispatcher = {}\nobject-api = {}\nkey = {KEY}\npeers = {}\nplacement = {}\n\
             [limits]\nmax-age-s = {}\nmax-timeout-ms = {}\n[log]\nlevel = {}\n",
            self.centre(n),
            self.gateway(n),
            self.gateway_operators(n),
            self.dispatcher_link(n),
            self.objects(),
            self.peers(n),
            self.layout.placement,
            self.layout.max_age,
            self.layout.max_timeout,
            self.layout.log
        )
    }

    /// Changes the settings of dispatcher `n` so that it has the name of dispatcher `name` from its next start on.
    ///
    /// # Panics
    /// Panics if the settings could not be written.
    pub fn rename_dispatcher(&self, n: u8, name: u8) {
        let text = self.dispatcher_settings(n);
        let text = text.replace(
            &format!("id = entry-{n}\n"),
            &format!("id = entry-{name}\n"),
        );
        let file = self.settings_file(Role::Dispatcher, n);
        std::fs::write(file, text).expect("settings can be written");
    }

    fn peers(&self, own: u8) -> String {
        let others = (0..self.layout.entries).filter(|n| *n != own);
        let links: Vec<String> = others
            .map(|n| self.dispatcher_link(n).to_string())
            .collect();
        links.join(", ")
    }
}
