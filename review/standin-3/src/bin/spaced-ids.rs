//! Runners whose event IDs increase by more than one: streams that clients take up after a machine was killed.

use carobfield_platform_standin::{
    deployment::{MODEL, configuration},
    objects::ObjectStore,
};
use review_standin_3::{
    EntryProcess, EntrySettings, Net, Record, Verdict, has_trouble, streams::stream, temporary_dir,
    wait_ready,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

const ENTRIES: usize = 3;
const ENGINES: u8 = 3;
const STREAMS: usize = 16;
const NEW_STREAMS: usize = 16;
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 160;
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Tokens of an event, as in the site's sheet; the ID of an event is the number of tokens up to its end.
const TOKENS: u64 = 6;

fn id_step() -> u64 {
    std::env::var("ID_STEP")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(TOKENS)
}

/// Sound runner of one model: reports, orders and streams, one request at a time on a connection.
struct Engine {
    id: String,
    address: SocketAddr,
    record: Record,
}

impl Engine {
    async fn start(self: Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let engine = Arc::clone(&self);
                tokio::spawn(async move {
                    let _ = engine.serve(socket).await;
                });
            }
        });
        Ok(())
    }

    fn models() -> Value {
        json!([{ "name": MODEL, "version": 1, "adapters": [] }])
    }

    fn registration(&self, beat: u64) -> Value {
        json!({
            "service": "engines", "address": self.address.to_string(), "zone": "local", "version": "v1", "slots": 32,
            "state": "ready", "coldMs": 0, "sequence": beat, "born": 1, "models": Self::models(),
        })
    }

    async fn serve(&self, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut socket = BufReader::new(socket);
        loop {
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                if socket.read_line(&mut line).await? == 0 {
                    return Ok(());
                }
                let line = line.trim_end().to_owned();
                if line.is_empty() {
                    break;
                }
                lines.push(line);
            }
            let header = |name: &str| {
                let mut fields = lines.iter().filter_map(|l| l.split_once(':'));
                fields
                    .find(|(k, _)| k.eq_ignore_ascii_case(name))
                    .map(|(_, v)| v.trim().to_owned())
            };
            let length = header("content-length")
                .and_then(|t| t.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            socket.read_exact(&mut body).await?;
            let path = lines[0].split(' ').nth(1).unwrap_or_default();
            let expected = header("x-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                socket
                    .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            }
            match path {
                "/-/report" => {
                    let report = json!({
                        "stage": "unified", "models": Self::models(), "busy": false, "sequence": 0, "waiting": 0, "running": 0,
                        "kvUsed": 0, "kvTotal": 100_000, "handles": 0, "coming": [], "born": 1,
                    });
                    let text = report.to_string();
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        text.len()
                    );
                    socket.write_all((head + &text).as_bytes()).await?;
                }
                "/-/order" => {
                    socket
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        .await?;
                }
                _ => {
                    let id = header("x-request-id").unwrap_or_default();
                    let after = header("last-event-id")
                        .and_then(|t| t.parse().ok())
                        .unwrap_or(0);
                    self.record
                        .line(&format!("{} runs {id} after event {after}", self.id));
                    self.write_stream(&mut socket, &id, after).await?;
                }
            }
        }
    }

    /// Writes the events after the one with the ID `after`; ends when the connection is closed.
    async fn write_stream(
        &self,
        socket: &mut BufReader<TcpStream>,
        id: &str,
        after: u64,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).await?;
        let step = id_step();
        for event in after / step + 1..=EVENTS {
            let text = format!(
                "id: {}\ndata: tokens {} to {}\n\n",
                event * step,
                (event - 1) * step + 1,
                event * step
            );
            socket
                .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .await?;
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(EVENT_TIME) => {}
                read = socket.get_mut().peek(&mut byte) => if read? == 0 {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                },
            }
        }
        socket.write_all(b"0\r\n\r\n").await
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    match run().await {
        Ok(verdict) => verdict.into(),
        Err(e) => {
            eprintln!("not run: {e}");
            Verdict::NotRun.into()
        }
    }
}

async fn run() -> std::io::Result<Verdict> {
    let record = Record::create()?;
    let net = Net::new();
    let dir = temporary_dir("spaced")?;
    let stop = CancellationToken::new();
    let store_address = net.address(1, 7000);
    let store = ObjectStore::start(store_address, stop.clone()).await?;
    let mut configured = configuration(1, 4);
    for route in configured["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = 20_000.into();
    }
    store.put("config", "main", &configured);
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let engine = Arc::new(Engine {
            id: format!("i-engine-{n}"),
            address: net.address(200 + n, 9000),
            record: record.clone(),
        });
        Arc::clone(&engine).start().await?;
        store.put("servers", &engine.id, &engine.registration(0));
        engines.push(engine);
    }
    let beating = (Arc::clone(&store), engines.clone());
    tokio::spawn(async move {
        for beat in 1.. {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            for engine in &beating.1 {
                beating
                    .0
                    .put("servers", &engine.id, &engine.registration(beat));
            }
        }
    });
    let seeds: Vec<SocketAddr> = (0..ENTRIES)
        .map(|n| net.address(10 + n as u8, 8144))
        .collect();
    let mut settings = Vec::new();
    let mut processes = Vec::new();
    for n in 0..ENTRIES {
        let entry = EntrySettings {
            id: format!("front-{n}"),
            zone: format!("abdali-{n}"),
            ip: net.ip(10 + n as u8),
            store: store_address,
            seeds: seeds.clone(),
            memory_mb: 260,
            first_start: true,
        };
        settings.push(entry.clone());
        processes.push(EntryProcess::start(entry, &dir)?);
    }
    if !wait_ready(&settings, Duration::from_secs(15)).await {
        return Ok(Verdict::NotRun);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut begun = JoinSet::new();
    for n in 0..STREAMS {
        let entry = settings[0].callers();
        begun.spawn(async move {
            let id = format!("{:016x}", 0xa000 + n);
            (n, id.clone(), stream(entry, &id, n, None, u64::MAX).await)
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if has_trouble() {
        processes[0].kill();
        record.line("front-0 is killed");
        tokio::time::sleep(Duration::from_millis(500)).await;
        processes[0].spawn()?;
        record.line("front-0 starts again");
    }
    let last = EVENTS * id_step();
    let mut ended = begun.join_all().await;
    ended.sort_by_key(|(n, _, _)| *n);
    let (mut asked, mut went_on, mut whole) = (0, 0, 0);
    for (n, id, received) in &ended {
        record.line(&format!(
            "stream {n} {id}: {}, events {:?} to {:?}",
            received.status, received.first, received.last
        ));
        let Some(after) = received.last.filter(|l| *l < last) else {
            whole += usize::from(received.last == Some(last));
            continue;
        };
        asked += 1;
        let again = format!("{:016x}", 0xb000 + n);
        let answer = stream(
            settings[1 + n % 2].callers(),
            &again,
            *n,
            Some((id, after)),
            1,
        )
        .await;
        went_on += usize::from(answer.status == 200 && answer.first.is_some());
        record.line(&format!(
            "stream {n} taken up by {again} after event {after}: {} {}, first event {:?}",
            answer.status, answer.reason, answer.first
        ));
    }
    let mut new = 0;
    for n in 0..NEW_STREAMS {
        let id = format!("{:016x}", 0xc000 + n);
        let answer = stream(settings[1 + n % 2].callers(), &id, n, None, 1).await;
        new += usize::from(answer.first.is_some());
        record.line(&format!(
            "new stream {id}: {} {}, first event {:?}",
            answer.status, answer.reason, answer.first
        ));
    }
    let summary = format!(
        "{went_on} of {asked} streams that were taken up went on, {whole} were not broken; {new} of {NEW_STREAMS} new streams began"
    );
    record.line(&summary);
    println!("{summary}");
    processes.clear();
    stop.cancel();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("{}", dir.display());
    }
    if asked == 0 && whole == STREAMS {
        return Ok(Verdict::Held);
    }
    if asked < 12 || new == 0 {
        return Ok(Verdict::NotRun);
    }
    let (share, share_new) = (
        f64::from(went_on as u32) / f64::from(asked),
        f64::from(new as u32) / NEW_STREAMS as f64,
    );
    Ok(if share < share_new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
