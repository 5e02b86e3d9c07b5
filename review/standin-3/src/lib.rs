//! Common parts of the scripts: entry processes as the deploy file starts them, a rewriting proxy before the store, and records.

pub mod engine;
pub mod streams;

use std::{
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Whether the disruption is to be injected.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Result of a script.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        Self::from(match verdict {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        })
    }
}

/// Record of a script: each line has the seconds since its start.
#[derive(Clone, Debug)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    /// Creates `record.txt` in the folder that `RECORD_DIR` names.
    pub fn create() -> std::io::Result<Self> {
        let dir = std::env::var("RECORD_DIR").unwrap_or_else(|_| String::from("."));
        let file = File::create(Path::new(&dir).join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new((file, Instant::now())))))
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.1.elapsed().as_secs_f64();
        let _ = writeln!(inner.0, "{at:8.3} {text}");
    }
}

/// Loopback network of this run.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    /// Derives a network from the process's identifier, so that runs at the same time don't meet.
    pub fn new() -> Self {
        let id = std::process::id();
        Self(100 + (id % 100) as u8, (id / 100 % 250) as u8)
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// Settings of an entry, as the deploy file's template fills them in.
#[derive(Clone)]
pub struct EntrySettings {
    pub id: String,
    pub zone: String,
    pub ip: IpAddr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub memory_mb: u64,
    pub first_start: bool,
}

impl EntrySettings {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8149)
    }

    pub fn link(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8144)
    }

    fn text(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        format!(
            "[entry]\nid = {id}\ndata-centre = {zone}\ncallers = {callers}\ndirectory = {ip}:8143\nready = {ip}:8141\nlink = {link}\n\
             operators = {ip}:9464\nstore = {store}\npeers = {peers}\nprocessor = 0.25\nmemory-mb = {memory}\nfirst-start = {first}\n\n\
             [limits]\ngrace-s = 8\nrepeat-ratio = 0.2\nrepeat-slack = 58\nrepeat-window-s = 10\n\n\
             [log]\nlevel = info\nform = text\noutput = stdout\n",
            id = self.id,
            zone = self.zone,
            callers = self.callers(),
            ip = self.ip,
            link = self.link(),
            store = self.store,
            peers = seeds.join(","),
            memory = self.memory_mb,
            first = self.first_start,
        )
    }
}

/// Entry process; killed when dropped.
pub struct EntryProcess {
    pub settings: EntrySettings,
    dir: PathBuf,
    child: Option<Child>,
}

impl EntryProcess {
    pub fn start(settings: EntrySettings, dir: &Path) -> std::io::Result<Self> {
        let mut entry = Self {
            settings,
            dir: dir.to_path_buf(),
            child: None,
        };
        entry.spawn()?;
        entry.settings.first_start = false;
        Ok(entry)
    }

    /// Starts the process by the command of the deploy file.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let config = self.dir.join(format!("{}.conf", self.settings.id));
        std::fs::write(&config, self.settings.text())?;
        let log = self.dir.join(format!("{}.log", self.settings.id));
        let log = File::options().create(true).append(true).open(log)?;
        let program = std::env::var("ENTRY_PROGRAM")
            .unwrap_or_else(|_| String::from("target/release/carobfield-entry"));
        let child = Command::new(program)
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, by its name for `kill`.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = self.child.as_ref().map(|c| c.id().cast_signed());
        if let Some(pid) = pid.and_then(rustix::process::Pid::from_raw) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the largest resident memory of a process, in bytes.
pub fn peak_memory(pid: u32) -> u64 {
    status_kb(pid, "VmHWM:") << 10
}

/// Returns the resident memory of a process, in bytes.
pub fn memory(pid: u32) -> u64 {
    status_kb(pid, "VmRSS:") << 10
}

fn status_kb(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0)
}

/// Creates an empty temporary folder for settings and logs.
pub fn temporary_dir(name: &str) -> std::io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("carobfield-review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Waits until `GET /-/readyz` of every entry is answered with 200.
pub async fn wait_ready(entries: &[EntrySettings], limit: Duration) -> bool {
    let started = Instant::now();
    for entry in entries {
        while !is_ready(SocketAddr::new(entry.ip, 8141)).await {
            if started.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    true
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let mut text = Vec::new();
    stream.write_all(request).await.is_ok()
        && stream.read_to_end(&mut text).await.is_ok()
        && text.starts_with(b"HTTP/1.1 200")
}

/// Proxy before the store that shows one entry other addresses of the runners: `from` and `to` have the same length.
pub async fn rewrite_store(
    listen: SocketAddr,
    store: SocketAddr,
    from: String,
    to: String,
) -> std::io::Result<()> {
    assert_eq!(from.len(), to.len());
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let (from, to) = (from.clone().into_bytes(), to.clone().into_bytes());
            tokio::spawn(async move {
                let Ok(upstream) = TcpStream::connect(store).await else {
                    return;
                };
                let _ = client.set_nodelay(true);
                let _ = upstream.set_nodelay(true);
                let (mut client_in, mut client_out) = client.into_split();
                let (mut upstream_in, mut upstream_out) = upstream.into_split();
                let requests = async move {
                    let _ = tokio::io::copy(&mut client_in, &mut upstream_out).await;
                };
                let responses = async move {
                    let mut held = Vec::new();
                    let mut buffer = vec![0; 64 << 10];
                    while let Ok(n) = upstream_in.read(&mut buffer).await {
                        if n == 0 {
                            break;
                        }
                        held.extend_from_slice(&buffer[..n]);
                        let mut at = 0;
                        while at + from.len() <= held.len() {
                            if held[at..at + from.len()] == from[..] {
                                held[at..at + from.len()].copy_from_slice(&to);
                            }
                            at += 1;
                        }
                        // The beginning of the text may be the end of what has come so far.
                        let kept = (1..from.len().min(held.len() + 1))
                            .rev()
                            .find(|n| held.ends_with(&from[..*n]))
                            .unwrap_or(0);
                        let rest = held.split_off(held.len() - kept);
                        if client_out.write_all(&held).await.is_err() {
                            return;
                        }
                        held = rest;
                    }
                };
                tokio::select! {
                    () = requests => {}
                    () = responses => {}
                }
            });
        }
    });
    Ok(())
}
