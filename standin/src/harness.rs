//! Test harness: runs a deployment as separate processes on IP numbers of its own, and breaks it.

use crate::{
    client::{self, CompletionRequest, Reply},
    layout::Layout,
    run_log::LogEntry,
};
use bytes::Bytes;
use carobfield::{
    catalogue_store::{Applied, ApplyError, CatalogueStore},
    declarations,
    findings::Findings,
    http_client::{self, BufferedResponse, HttpClient},
    object_api::ObjectApi,
};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::Write,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

/// Interval between looks while waiting.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait of a call of the harness itself.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// VM numbers within a deployment's network.
const PLATFORM_VM: u8 = 1;
const FIRST_ENTRY: u8 = 10;
const FIRST_ENGINE: u8 = 100;
const FIRST_SERVICE: u8 = 200;

/// Key shared by a deployment's processes.
const KEY: &str = "harness-key";

/// Deployments started by this process.
static DEPLOYMENTS: AtomicU8 = AtomicU8::new(0);

/// Which of our processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The gateway of an entry VM.
    Gateway,
    /// The dispatcher of an entry VM.
    Dispatcher,
    /// The stand-ins.
    Platform,
}

impl Role {
    fn binary(self) -> &'static str {
        match self {
            Self::Gateway => "carobfield-gateway",
            Self::Dispatcher => "carobfield-dispatcher",
            Self::Platform => "carobfield-standin",
        }
    }
}

/// A child process; killed when dropped.
#[derive(Debug)]
struct Proc {
    child: Child,
}

impl Proc {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            let _already_gone = kill_process(pid, signal);
        }
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _already_gone = self.child.kill();
        let _already_waited = self.child.wait();
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// What it consists of.
    pub layout: Layout,
    /// HTTP client of the harness.
    pub client: HttpClient,
    dir: PathBuf,
    network: (u8, u8),
    platform: Option<Proc>,
    gateways: Vec<Option<Proc>>,
    dispatchers: Vec<Option<Proc>>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
        } else {
            let _best_effort = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Folder of the binaries that were built with this one.
///
/// # Panics
/// The path of the running binary is not known.
pub fn binary_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the running binary has a path");
    let dir = exe.parent().expect("a binary lies in a folder");
    if dir.ends_with("deps") {
        dir.join("..")
    } else {
        dir.to_path_buf()
    }
}

impl Deployment {
    /// Starts the stand-ins and every process of the system, with the catalogue in force.
    ///
    /// # Panics
    /// A process could not be started.
    pub async fn start(layout: Layout) -> Self {
        let mut deployment = Self::platform_only(layout).await;
        for n in 0..deployment.layout.entries {
            deployment.start_role(Role::Dispatcher, n);
            deployment.start_role(Role::Gateway, n);
        }
        deployment.wait_ready().await;
        deployment
    }

    /// Starts the stand-ins and puts the catalogue in force.
    ///
    /// # Panics
    /// A process could not be started.
    pub async fn platform_only(layout: Layout) -> Self {
        let count = DEPLOYMENTS.fetch_add(1, Ordering::SeqCst);
        let second = (std::process::id() % 200) as u8 + 20;
        let dir = std::env::temp_dir().join(format!("carobfield-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder for settings and logs can be made");
        let entries = usize::from(layout.entries);
        let mut deployment = Self {
            layout,
            client: http_client::build(),
            dir,
            network: (second, count),
            platform: None,
            gateways: std::iter::repeat_with(|| None).take(entries).collect(),
            dispatchers: std::iter::repeat_with(|| None).take(entries).collect(),
        };
        deployment.write_settings();
        deployment.platform = Some(deployment.spawn(Role::Platform, 0));
        let objects = deployment.object_api();
        deployment
            .wait_for("the object API", || async {
                objects.get("x").await.is_ok()
            })
            .await;
        let text = deployment.catalogue();
        deployment
            .apply(0, &text)
            .await
            .expect("the first catalogue applies");
        deployment
    }

    fn ip(&self, vm: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network.0, self.network.1, vm))
    }

    fn at(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(vm), port)
    }

    /// Address of a gateway towards callers.
    pub fn gateway(&self, n: u8) -> SocketAddr {
        self.at(FIRST_ENTRY + n, 8080)
    }

    /// Addresses of every gateway towards callers.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        (0..self.layout.entries).map(|n| self.gateway(n)).collect()
    }

    /// Address of a gateway towards operators.
    pub fn gateway_operators(&self, n: u8) -> SocketAddr {
        self.at(FIRST_ENTRY + n, 8081)
    }

    /// Address of a dispatcher towards the system's own processes.
    pub fn dispatcher_link(&self, n: u8) -> SocketAddr {
        self.at(FIRST_ENTRY + n, 8090)
    }

    /// Address of a dispatcher towards operators.
    pub fn dispatcher_operators(&self, n: u8) -> SocketAddr {
        self.at(FIRST_ENTRY + n, 8091)
    }

    /// Address of an engine.
    pub fn engine(&self, n: u8) -> SocketAddr {
        self.at(FIRST_ENGINE + n, 9000)
    }

    /// Address of a plain service.
    pub fn service(&self, n: u8) -> SocketAddr {
        self.at(FIRST_SERVICE + n, 9100)
    }

    /// Address of the object API.
    pub fn objects(&self) -> SocketAddr {
        self.at(PLATFORM_VM, 7000)
    }

    /// Address of the VM list.
    pub fn vms(&self) -> SocketAddr {
        self.at(PLATFORM_VM, 7001)
    }

    /// Address of the weight store.
    pub fn weights(&self) -> SocketAddr {
        self.at(PLATFORM_VM, 7002)
    }

    /// A client of the object API.
    pub fn object_api(&self) -> ObjectApi {
        ObjectApi::new(self.objects())
    }

    fn centre(&self, n: u8) -> String {
        format!("centre-{}", n % self.layout.centres.max(1))
    }

    /// Declarations of the layout.
    pub fn catalogue(&self) -> String {
        let l = &self.layout;
        let mut text = format!(
            "[deployment]\nload-rate = {}\nload-streams = 2\nobjective = {}\n\n",
            l.load_rate, l.objective
        );
        for (pool, fencing) in [("checked", "checked"), ("open", "ignored")] {
            let _infallible = write!(
                text,
                "[pool {pool}]\nkind = engine\nbase = base\nslots = {}\nbatch = {}\nfencing = {fencing}\n\n",
                l.slots, l.batch
            );
        }
        text.push_str("[pool application]\nkind = service\nbatch = 32\n\n");
        text.push_str("[service status]\npool = application\nclass = interactive\n\n");
        for n in 0..l.adapters {
            let (owner, class) = ((l.owner)(n), (l.class)(n));
            let _infallible = write!(
                text,
                "[adapter adapter-{n}]\nowner = {owner}\nbase = base\nclass = {class}\nversions = 1, 2\ncurrent = 1\n\n"
            );
        }
        text
    }

    /// Applies declarations that start from revision `base`.
    ///
    /// # Errors
    /// See [`ApplyError`].
    ///
    /// # Panics
    /// The declarations have findings.
    pub async fn apply(&self, base: u64, text: &str) -> Result<Applied, ApplyError> {
        let texts = [(String::from("catalogue.ini"), text.to_owned())];
        let entries = declarations::read_texts(&texts, Findings::default());
        let entries = entries.expect("the declarations have no findings");
        CatalogueStore::new(self.object_api())
            .apply(base, &entries)
            .await
    }

    fn settings_file(&self, role: Role, n: u8) -> PathBuf {
        self.dir.join(format!("{}-{n}.ini", role.binary()))
    }

    fn log_file(&self, role: Role, n: u8) -> PathBuf {
        self.dir.join(format!("{}-{n}.log", role.binary()))
    }

    fn write_settings(&self) {
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
            let (at, centre) = (self.gateway(n), self.centre(n));
            let _infallible = write!(
                text,
                "[entry entry-{n}]\nlisten = {at}\ndata-centre = {centre}\n"
            );
        }
        for n in 0..l.engines {
            let open = n + l.open_engines >= l.engines;
            let (pool, fencing) = if open {
                ("open", false)
            } else {
                ("checked", true)
            };
            let (at, centre) = (self.engine(n), self.centre(n));
            let _infallible = write!(
                text,
                "[engine engine-{n}]\nlisten = {at}\npool = {pool}\ndata-centre = {centre}\n\
                 fencing = {fencing}\nslots = {}\nbatch = {}\nstep-us = {}\ndown-ms = {}\n",
                l.slots, l.batch, l.step_us, l.down_ms
            );
        }
        for n in 0..l.services {
            let (at, centre) = (self.service(n), self.centre(n));
            let _infallible = write!(
                text,
                "[service status-{n}]\nlisten = {at}\npool = application\ndata-centre = {centre}\n\
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

    /// Gives the dispatcher of one VM the name of another's, for its next start.
    ///
    /// # Panics
    /// The settings could not be written.
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

    fn spawn(&self, role: Role, n: u8) -> Proc {
        let settings = self.settings_file(role, n);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file(role, n));
        let log = log.expect("the log file can be opened");
        let child = Command::new(binary_dir().join(role.binary()))
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the process can be started");
        Proc { child }
    }

    /// Starts one process of an entry VM.
    pub fn start_role(&mut self, role: Role, n: u8) {
        let proc = self.spawn(role, n);
        *self.slot(role, n) = Some(proc);
    }

    fn slot(&mut self, role: Role, n: u8) -> &mut Option<Proc> {
        match role {
            Role::Gateway => &mut self.gateways[usize::from(n)],
            Role::Dispatcher => &mut self.dispatchers[usize::from(n)],
            Role::Platform => &mut self.platform,
        }
    }

    /// Kills a process at once.
    pub fn kill(&mut self, role: Role, n: u8) {
        *self.slot(role, n) = None;
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, role: Role, n: u8, signal: Signal) {
        if let Some(proc) = self.slot(role, n) {
            proc.signal(signal);
        }
    }

    /// Waits until a process has ended by itself; its exit code.
    ///
    /// # Panics
    /// It did not end in time.
    pub async fn wait_exit(&mut self, role: Role, n: u8, limit: Duration) -> Option<i32> {
        let started = std::time::Instant::now();
        loop {
            let slot = self.slot(role, n);
            let status = match slot {
                Some(proc) => proc
                    .child
                    .try_wait()
                    .expect("the process can be waited for"),
                None => return None,
            };
            if let Some(status) = status {
                *slot = None;
                return status.code();
            }
            assert!(
                started.elapsed() < limit,
                "{role:?} {n} did not end within {limit:?}"
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Log of a process so far.
    pub fn log(&self, role: Role, n: u8) -> String {
        std::fs::read_to_string(self.log_file(role, n)).unwrap_or_default()
    }

    /// Memory of a process in use, in kilobytes, and its processor time in clock ticks.
    pub fn usage(&mut self, role: Role, n: u8) -> Option<(u64, u64)> {
        let pid = self.slot(role, n).as_ref()?.child.id();
        let read = |name: &str| {
            std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join(name)).ok()
        };
        let status = read("status")?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let memory = line.split_whitespace().nth(1)?.parse().ok()?;
        let stat = read("stat")?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some((memory, ticks))
    }

    /// Runs the operators' command; its exit code and what it printed.
    ///
    /// # Panics
    /// The command could not be started.
    pub fn control(&self, args: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(binary_dir().join("carobfield-ctl"))
            .arg("--object-api")
            .arg(self.objects().to_string())
            .args(args)
            .output()
            .expect("the command can be started");
        let printed = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&printed).into_owned(),
        )
    }

    /// A folder with the layout's declarations, below the deployment's own.
    ///
    /// # Panics
    /// The folder could not be written.
    pub fn catalogue_dir(&self, name: &str, text: &str) -> PathBuf {
        let dir = self.dir.join(name);
        std::fs::create_dir_all(&dir).expect("the folder can be made");
        std::fs::write(dir.join("catalogue.ini"), text).expect("declarations can be written");
        dir
    }

    /// Waits until `holds`, at most half a minute.
    ///
    /// # Panics
    /// It did not hold in time.
    pub async fn wait_for<F, T>(&self, what: &str, mut holds: F)
    where
        F: FnMut() -> T,
        T: Future<Output = bool>,
    {
        let started = std::time::Instant::now();
        while !holds().await {
            assert!(
                started.elapsed() < Duration::from_secs(40),
                "waited in vain for {what}"
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until a line with every one of `parts` stands in a process's log after `from` bytes.
    pub async fn wait_log(&self, role: Role, n: u8, from: usize, parts: &[&str]) {
        let has = || {
            let log = self.log(role, n);
            let tail = log.get(from..).unwrap_or("").to_owned();
            tail.lines()
                .any(|line| parts.iter().all(|p| line.contains(p)))
        };
        self.wait_for(&format!("{parts:?} in the log of {role:?} {n}"), || async {
            has()
        })
        .await;
    }

    async fn wait_ready(&self) {
        for n in 0..self.layout.entries {
            self.wait_gateway(n).await;
        }
        let (upstreams, entries) = (
            self.layout.engines + self.layout.services,
            self.layout.entries,
        );
        self.wait_for("every upstream to be held", || async {
            let mut held = 0;
            for n in 0..entries {
                held += self.held(n).await.len();
            }
            held == usize::from(upstreams)
        })
        .await;
    }

    /// Waits until a gateway is ready and sees every dispatcher.
    pub async fn wait_gateway(&self, n: u8) {
        let at = self.gateway_operators(n);
        let (client, wanted) = (&self.client, u64::from(self.layout.entries));
        self.wait_for("a gateway to be ready", || async {
            let ready = get(client, at, "/readyz")
                .await
                .is_some_and(|a| a.status == 200);
            let status: Option<serde_json::Value> = get_json(client, at, "/status").await;
            ready && status.is_some_and(|s| s["dispatchers"].as_u64().unwrap_or(0) >= wanted)
        })
        .await;
    }

    /// Names of the upstreams that a dispatcher holds and may use.
    pub async fn held(&self, n: u8) -> Vec<String> {
        let at = self.dispatcher_operators(n);
        let status: Option<serde_json::Value> = get_json(&self.client, at, "/status").await;
        let upstreams = status.map(|s| s["upstreams"].clone()).unwrap_or_default();
        let all = upstreams.as_array().cloned().unwrap_or_default();
        let open = all.iter().filter(|u| u["accepting"] == true);
        open.filter_map(|u| u["id"].as_str().map(ToOwned::to_owned))
            .collect()
    }

    /// Generation of an upstream's latest holder, as a dispatcher knows it.
    pub async fn generation(&self, n: u8, upstream: &str) -> u64 {
        let at = self.dispatcher_operators(n);
        let status: Option<serde_json::Value> = get_json(&self.client, at, "/status").await;
        let known = status.map(|s| s["generations"][upstream].clone());
        known.and_then(|g| g.as_u64()).unwrap_or(0)
    }

    /// The dispatcher that holds an upstream.
    pub async fn holder(&self, upstream: &str) -> Option<u8> {
        for n in 0..self.layout.entries {
            if self.held(n).await.iter().any(|u| u == upstream) {
                return Some(n);
            }
        }
        None
    }

    /// Asks a gateway for text.
    pub async fn complete(&self, n: u8, request: &CompletionRequest) -> Reply {
        client::complete(&self.client, self.gateway(n), request).await
    }

    /// Posts JSON to a stand-in.
    ///
    /// # Panics
    /// The stand-in did not answer with success, or at all where it should.
    pub async fn post<T: Serialize + Sync>(&self, at: SocketAddr, path: &str, value: &T) {
        let body = serde_json::to_vec(value).expect("the value has a JSON form");
        let uri = format!("http://{at}{path}");
        let request = http_client::json_request(&Method::POST, &uri, Bytes::from(body));
        let answer = http_client::call(&self.client, request, CALL_LIMIT).await;
        let status = answer.as_ref().map_or(0, |a| a.status);
        assert!(
            status == 200 || path == "/restart",
            "POST {uri}: {answer:?}"
        );
    }

    /// Run log of an engine.
    ///
    /// # Panics
    /// The engine did not answer.
    pub async fn engine_log(&self, n: u8) -> Vec<LogEntry> {
        let at = self.engine(n);
        self.read_log(at).await
    }

    /// Run log of a plain service.
    ///
    /// # Panics
    /// The service did not answer.
    pub async fn service_log(&self, n: u8) -> Vec<LogEntry> {
        let at = self.service(n);
        self.read_log(at).await
    }

    async fn read_log(&self, at: SocketAddr) -> Vec<LogEntry> {
        for _ in 0..100 {
            if let Some(log) = get_json(&self.client, at, "/log").await {
                return log;
            }
            tokio::time::sleep(LOOK_INTERVAL * 5).await;
        }
        panic!("no run log from {at}");
    }

    /// Run logs of every engine and service.
    pub async fn all_logs(&self) -> Vec<LogEntry> {
        let mut all = Vec::new();
        for n in 0..self.layout.engines {
            all.extend(self.engine_log(n).await);
        }
        for n in 0..self.layout.services {
            all.extend(self.service_log(n).await);
        }
        all
    }
}

/// Names each case, an asynchronous function of the module `case`, and runs it on a runtime of its own.
#[macro_export]
macro_rules! process_tests {
    ($($name:ident),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                tokio::runtime::Runtime::new().expect("a runtime starts").block_on(case::$name());
            }
        )+
    };
}

/// Reads a page.
pub async fn get(client: &HttpClient, at: SocketAddr, path: &str) -> Option<BufferedResponse> {
    let uri = format!("http://{at}{path}");
    let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
    http_client::call(client, request, CALL_LIMIT).await.ok()
}

/// Reads a page's JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &HttpClient,
    at: SocketAddr,
    path: &str,
) -> Option<T> {
    let answer = get(client, at, path).await?;
    serde_json::from_slice(&answer.body).ok()
}
