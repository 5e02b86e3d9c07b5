//! Test harness: runs a deployment as separate processes on its own loopback addresses and injects failures.

use crate::layout::Layout;
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
use serde::de::DeserializeOwned;
use std::{
    fmt::Write,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

/// Interval between polls while waiting for a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of the harness's own HTTP requests.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Last octets of the VMs' addresses within a deployment's network.
const PLATFORM_VM: u8 = 1;
const FIRST_ENTRY: u8 = 10;
const FIRST_ENGINE: u8 = 100;
const FIRST_SERVICE: u8 = 200;

/// Key shared by a deployment's processes.
pub(crate) const KEY: &str = "harness-key";

/// Number of deployments started by this process, used in their addresses and folder names.
static DEPLOYMENTS: AtomicU8 = AtomicU8::new(0);

/// Kind of process in a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Gateway of an entry VM.
    Gateway,
    /// Dispatcher of an entry VM.
    Dispatcher,
    /// Stand-ins of the platform, engines and services.
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

/// Child process that is killed on drop.
#[derive(Debug)]
struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            let _already_gone = kill_process(pid, signal);
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _already_gone = self.child.kill();
        let _already_waited = self.child.wait();
    }
}

/// Running deployment; its processes are killed on drop.
#[derive(Debug)]
pub struct Deployment {
    /// Sizes and settings.
    pub layout: Layout,
    /// HTTP client of the harness.
    pub client: HttpClient,
    dir: PathBuf,
    network: (u8, u8),
    platform: Option<ChildProcess>,
    gateways: Vec<Option<ChildProcess>>,
    dispatchers: Vec<Option<ChildProcess>>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs are in {}", self.dir.display());
        } else {
            let _best_effort = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the folder of the binaries that were built with the running one.
///
/// # Panics
/// Panics if the path of the running binary is unknown.
pub fn binary_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the running binary has a path");
    let dir = exe.parent().expect("the binary's path has a parent");
    if dir.ends_with("deps") {
        dir.join("..")
    } else {
        dir.to_path_buf()
    }
}

impl Deployment {
    /// Starts the stand-ins, applies the catalogue, and starts every gateway and dispatcher.
    ///
    /// # Panics
    /// Panics if a process could not be started.
    pub async fn start(layout: Layout) -> Self {
        let mut deployment = Self::platform_only(layout).await;
        for n in 0..deployment.layout.entries {
            deployment.start_role(Role::Dispatcher, n);
            deployment.start_role(Role::Gateway, n);
        }
        deployment.wait_ready().await;
        deployment
    }

    /// Starts the stand-ins and applies the catalogue.
    ///
    /// # Panics
    /// Panics if a process could not be started.
    pub async fn platform_only(layout: Layout) -> Self {
        let count = DEPLOYMENTS.fetch_add(1, Ordering::SeqCst);
        let second_octet = (std::process::id() % 200) as u8 + 20;
        let dir = std::env::temp_dir().join(format!("carobfield-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder for settings and logs can be created");
        let entries = usize::from(layout.entries);
        let mut deployment = Self {
            layout,
            client: http_client::build(),
            dir,
            network: (second_octet, count),
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

    fn address(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(vm), port)
    }

    /// Returns the address of a gateway for callers.
    pub fn gateway(&self, n: u8) -> SocketAddr {
        self.address(FIRST_ENTRY + n, 8080)
    }

    /// Returns the addresses of every gateway for callers.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        (0..self.layout.entries).map(|n| self.gateway(n)).collect()
    }

    /// Returns the address of a gateway for operators.
    pub fn gateway_operators(&self, n: u8) -> SocketAddr {
        self.address(FIRST_ENTRY + n, 8081)
    }

    /// Returns the address of a dispatcher for gateways and other dispatchers.
    pub fn dispatcher_link(&self, n: u8) -> SocketAddr {
        self.address(FIRST_ENTRY + n, 8090)
    }

    /// Returns the address of a dispatcher for operators.
    pub fn dispatcher_operators(&self, n: u8) -> SocketAddr {
        self.address(FIRST_ENTRY + n, 8091)
    }

    /// Returns the address of an engine.
    pub fn engine(&self, n: u8) -> SocketAddr {
        self.address(FIRST_ENGINE + n, 9000)
    }

    /// Returns the address of a plain service.
    pub fn service(&self, n: u8) -> SocketAddr {
        self.address(FIRST_SERVICE + n, 9100)
    }

    /// Returns the address of the object API.
    pub fn objects(&self) -> SocketAddr {
        self.address(PLATFORM_VM, 7000)
    }

    /// Returns the address of the VM list.
    pub fn vms(&self) -> SocketAddr {
        self.address(PLATFORM_VM, 7001)
    }

    /// Returns the address of the weight store.
    pub fn weights(&self) -> SocketAddr {
        self.address(PLATFORM_VM, 7002)
    }

    /// Returns a client of the object API.
    pub fn object_api(&self) -> ObjectApi {
        ObjectApi::new(self.objects())
    }

    pub(crate) fn centre(&self, n: u8) -> String {
        format!("centre-{}", n % self.layout.centres.max(1))
    }

    /// Returns the layout's declarations as INI text.
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

    /// Applies declarations on top of revision `base`.
    ///
    /// # Errors
    /// See [`ApplyError`].
    ///
    /// # Panics
    /// Panics if the declarations have findings.
    pub async fn apply(&self, base: u64, text: &str) -> Result<Applied, ApplyError> {
        let texts = [(String::from("catalogue.ini"), text.to_owned())];
        let entries = declarations::read_texts(&texts, Findings::default());
        let entries = entries.expect("the declarations have no findings");
        CatalogueStore::new(self.object_api())
            .apply(base, &entries)
            .await
    }

    pub(crate) fn settings_file(&self, role: Role, n: u8) -> PathBuf {
        self.dir.join(format!("{}-{n}.ini", role.binary()))
    }

    fn log_file(&self, role: Role, n: u8) -> PathBuf {
        self.dir.join(format!("{}-{n}.log", role.binary()))
    }

    fn spawn(&self, role: Role, n: u8) -> ChildProcess {
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
        ChildProcess { child }
    }

    /// Starts a process of an entry VM.
    pub fn start_role(&mut self, role: Role, n: u8) {
        let process = self.spawn(role, n);
        *self.process_mut(role, n) = Some(process);
    }

    fn process_mut(&mut self, role: Role, n: u8) -> &mut Option<ChildProcess> {
        match role {
            Role::Gateway => &mut self.gateways[usize::from(n)],
            Role::Dispatcher => &mut self.dispatchers[usize::from(n)],
            Role::Platform => &mut self.platform,
        }
    }

    /// Kills a process with `SIGKILL`.
    pub fn kill(&mut self, role: Role, n: u8) {
        *self.process_mut(role, n) = None;
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, role: Role, n: u8, signal: Signal) {
        if let Some(process) = self.process_mut(role, n) {
            process.signal(signal);
        }
    }

    /// Waits until a process has exited by itself and returns its exit code.
    ///
    /// # Panics
    /// Panics if it did not exit within `limit`.
    pub async fn wait_exit(&mut self, role: Role, n: u8, limit: Duration) -> Option<i32> {
        let started = std::time::Instant::now();
        loop {
            let process = self.process_mut(role, n);
            let status = match process {
                Some(running) => running
                    .child
                    .try_wait()
                    .expect("the process can be waited for"),
                None => return None,
            };
            if let Some(status) = status {
                *process = None;
                return status.code();
            }
            assert!(
                started.elapsed() < limit,
                "{role:?} {n} did not exit within {limit:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the log of a process so far.
    pub fn log(&self, role: Role, n: u8) -> String {
        std::fs::read_to_string(self.log_file(role, n)).unwrap_or_default()
    }

    /// Returns the resident memory of a process in kilobytes and its processor time in clock ticks.
    pub fn usage(&mut self, role: Role, n: u8) -> Option<(u64, u64)> {
        let pid = self.process_mut(role, n).as_ref()?.child.id();
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

    /// Runs `carobfield-ctl` and returns its exit code and output.
    ///
    /// # Panics
    /// Panics if the command could not be started.
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

    /// Creates a folder with the declarations `text` below the deployment's folder.
    ///
    /// # Panics
    /// Panics if the folder could not be written.
    pub fn catalogue_dir(&self, name: &str, text: &str) -> PathBuf {
        let dir = self.dir.join(name);
        std::fs::create_dir_all(&dir).expect("the folder can be created");
        std::fs::write(dir.join("catalogue.ini"), text).expect("declarations can be written");
        dir
    }
}

/// Defines a test for each named asynchronous function of the module `case`, with its own runtime.
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

/// Sends a GET request and returns the response, if there is one.
pub async fn get(client: &HttpClient, address: SocketAddr, path: &str) -> Option<BufferedResponse> {
    let uri = format!("http://{address}{path}");
    let request = http_client::json_request(&Method::GET, &uri, Bytes::new());
    http_client::call(client, request, CALL_TIMEOUT).await.ok()
}

/// Sends a GET request and parses the response as JSON.
pub async fn get_json<T: DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let response = get(client, address, path).await?;
    serde_json::from_slice(&response.body).ok()
}
