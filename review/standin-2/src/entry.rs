//! Entries of the system: processes started with the command and the settings template of the deploy file.

use crate::address;
use std::{
    collections::HashMap,
    fs::{self, File},
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

/// All processes that run.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills every process that was started.
pub fn kill_all() {
    for child in RUNNING.lock().unwrap().iter_mut() {
        let _gone = child.kill();
        let _waited = child.wait();
    }
    let _removed = fs::remove_dir_all(folder());
}

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("carobfield-review-{}", std::process::id()))
}

unsafe extern "C" {
    fn prctl(option: i32, signal: usize) -> i32;
}

/// Has the kernel kill this process when the one that started it ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: takes two numbers, and no memory.
    unsafe { prctl(PR_SET_PDEATHSIG, 9) };
    Ok(())
}

/// Settings that differ between deployments.
#[derive(Clone, Debug)]
pub struct Site {
    /// Address of the store.
    pub store: SocketAddr,
    /// Number of machines.
    pub entries: u8,
    /// `graceS` of the settings.
    pub grace_s: u32,
}

/// A machine with one entry.
#[derive(Debug)]
pub struct Entry {
    /// Number of the machine, from 0.
    pub n: u8,
    /// Name.
    pub name: String,
    site: Site,
    pid: Option<u32>,
}

impl Entry {
    /// Describes machine `n` of a site; it is not started.
    pub fn new(site: &Site, n: u8) -> Self {
        Self {
            n,
            name: format!("front-hall-{n}"),
            site: site.clone(),
            pid: None,
        }
    }

    /// Address for clients.
    pub fn clients(&self) -> SocketAddr {
        address(10 + self.n, 8149)
    }

    /// Starts the process; `bootstrap`: the whole system starts for the first time.
    pub fn start(&mut self, bootstrap: bool) {
        let template = fs::read_to_string("deploy/carobfield-entry.ini");
        let mut text = template
            .unwrap_or_else(|e| crate::record::stop(2, &format!("run from the repository: {e}")));
        let at = |port| address(10 + self.n, port).to_string();
        let seeds: Vec<String> = (0..self.site.entries.min(3))
            .map(|i| address(10 + i, 8144).to_string())
            .collect();
        let values = HashMap::from([
            ("node", self.name.clone()),
            ("zone", "hall".into()),
            ("listen.front", at(8149)),
            ("listen.directory", at(8143)),
            ("listen.ready", at(8141)),
            ("listen.control", at(8144)),
            ("ip", address(10 + self.n, 0).ip().to_string()),
            ("platform.address", self.site.store.to_string()),
            ("seeds", seeds.join(",")),
            ("limits.cpuShare", "0.25".into()),
            ("limits.memoryMb", "260".into()),
            ("bootstrap", bootstrap.to_string()),
            ("bounds.graceS", self.site.grace_s.to_string()),
            ("bounds.budgetRatio", "0.2".into()),
            ("bounds.budgetSlack", "58".into()),
            ("bounds.budgetWindowS", "10".into()),
        ]);
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = folder().join(format!("{}.ini", self.name));
        let started = fs::create_dir_all(folder()).and_then(|()| {
            fs::write(&settings, text)?;
            let log = File::options()
                .create(true)
                .append(true)
                .open(folder().join(format!("{}.log", self.name)))?;
            let mut command = Command::new("target/release/carobfield-entry");
            command
                .arg("--config")
                .arg(&settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log);
            // SAFETY: the call only sets a flag of the new process.
            unsafe { command.pre_exec(end_with_parent) };
            command.spawn()
        });
        let child = started
            .unwrap_or_else(|e| crate::record::stop(2, &format!("an entry can't be started: {e}")));
        self.pid = Some(child.id());
        RUNNING.lock().unwrap().push(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let Some(pid) = self.pid.take() else { return };
        let mut running = RUNNING.lock().unwrap();
        if let Some(at) = running.iter().position(|c| c.id() == pid) {
            let mut child = running.remove(at);
            let _gone = child.kill();
            let _waited = child.wait();
        }
    }

    /// Sends a signal by name, as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid {
            let _sent = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {pid}"))
                .status();
        }
    }

    /// Waits for the exit of a process that was told to stop; returns whether it came within `limit`.
    pub fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let Some(pid) = self.pid else { return true };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut running = RUNNING.lock().unwrap();
            if let Some(at) = running.iter().position(|c| c.id() == pid)
                && matches!(running[at].try_wait(), Ok(Some(_)))
            {
                running.remove(at);
                self.pid = None;
                return true;
            }
            drop(running);
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Returns the log of all processes of this machine.
    pub fn log(&self) -> String {
        fs::read_to_string(folder().join(format!("{}.log", self.name))).unwrap_or_default()
    }

    /// Waits until the machine says that it is ready; returns whether it did within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let answer = crate::http::call(
                address(10 + self.n, 8141),
                "GET",
                "/-/readyz",
                &[("Host", "ready".into())],
                "",
                Duration::from_millis(300),
            );
            if answer.status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
