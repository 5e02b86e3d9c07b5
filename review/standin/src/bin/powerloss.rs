//! All machines lose their processes right after a burst of streams has begun, while two software versions serve.
//!
//! The callers take their streams up again once the machines have been back for longer than `stableWindowMs`.

use carobfield::http_client::{self, HttpClient};
use carobfield_platform_standin::{
    caller::{self, TestRequest},
    deployment::{MODEL, configuration},
    objects::ObjectStore,
    runner::{Runner, RunnerConfig},
};
use carobfield_review_standin::{
    BROKEN, Block, EntryProcess, HELD, NOT_RUN, Record, TempDir, is_calm, is_ready, register,
    wait_for_start,
};
use http_body_util::BodyExt;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const ENTRIES: u8 = 3;
const ENGINES: u8 = 4;
/// Streams of the burst; the engines have room for 32.
const BURST: usize = 24;
/// Streams each second beside the burst. With it, a second has 42 at most, less than 2.4 times as many.
const RATE: u64 = 18;
const EVENTS: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which the machines are down.
const DOWN: Duration = Duration::from_millis(800);
/// Time after the machines' start at which callers take their streams up: they are in touch after 3 s.
const TAKE_UP: Duration = Duration::from_millis(4_500);

/// A stream as its caller knows it.
#[derive(Clone, Debug)]
struct Begun {
    id: String,
    sent: Instant,
    first: Option<Instant>,
    last_event: u64,
    complete: bool,
    status: u16,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let code = match run().await {
        Ok(code) => code,
        Err(e) => {
            println!("not run: {e}");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

fn stream() -> TestRequest {
    TestRequest {
        target: String::from("/long-draft/x"),
        model: String::from(MODEL),
        events: EVENTS,
        timeout: DEADLINE,
        ..TestRequest::default()
    }
}

/// Sends a stream's request and reads its events until it ends or `stop` is set.
async fn read(
    client: HttpClient,
    entry: SocketAddr,
    request: TestRequest,
    begun: Arc<AtomicUsize>,
    mut stop: watch::Receiver<bool>,
) -> Begun {
    let (id, request) = request.build(entry);
    let mut stream = Begun {
        id,
        sent: Instant::now(),
        first: None,
        last_event: 0,
        complete: false,
        status: 0,
    };
    let Ok(response) = http_client::send(&client, request).await else {
        return stream;
    };
    stream.status = response.status().as_u16();
    let mut body = response.into_body();
    let mut text = String::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            _stopped = stop.wait_for(|s| *s) => return stream,
        };
        match frame {
            Some(Ok(frame)) => {
                text.push_str(&String::from_utf8_lossy(
                    frame.data_ref().map_or(&[], |d| d),
                ));
                let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
                let last = whole
                    .lines()
                    .rev()
                    .find_map(|l| l.strip_prefix("id: ")?.parse().ok());
                if let Some(last) = last.filter(|_| stream.status == 200) {
                    if stream.first.is_none() {
                        stream.first = Some(Instant::now());
                        begun.fetch_add(1, Ordering::SeqCst);
                    }
                    stream.last_event = last;
                }
            }
            Some(Err(_)) => return stream,
            None => {
                stream.complete = true;
                return stream;
            }
        }
    }
}

async fn run() -> Result<i32, Box<dyn std::error::Error>> {
    let record = Record::create()?;
    let block = Block::find().ok_or("no free addresses")?;
    let dir = TempDir::create()?;
    let stop = CancellationToken::new();
    let store = ObjectStore::start(block.address(1, 7000), stop.clone()).await?;
    let mut config = configuration(1, 4);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        if route["name"] == "long-draft" {
            route["timeoutMs"] = 20_000.into();
        }
    }
    store.put("config", "main", &config);
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let config = RunnerConfig {
            id: format!("engine-{n}"),
            service: String::from("engines"),
            version: if n < ENGINES / 2 { "v1" } else { "v2" },
            address: block.address(100 + n, 9000),
            model: Some(String::from(MODEL)),
            adapter_slots: 4,
            max_requests: 16,
            service_time: Duration::ZERO,
        };
        let engine = Runner::start(config, &stop).await?;
        register(&store, &engine);
        engines.push(engine);
    }
    let mut entries: Vec<EntryProcess> = (0..ENTRIES)
        .map(|n| EntryProcess::new(block, n, ENTRIES, &dir.0))
        .collect();
    for entry in &mut entries {
        entry.start(true)?;
    }
    let ready: Vec<SocketAddr> = entries.iter().map(|e| e.ready).collect();
    let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
    if !wait_for_start(&store, &ready, engines.len(), Duration::from_secs(15)).await {
        return Err("the deployment did not start".into());
    }
    let client = caller::client();
    let (stop_reading, stopped) = watch::channel(false);
    let begun = Arc::new(AtomicUsize::new(0));
    let open = |n: usize| {
        let task = read(
            client.clone(),
            callers[n % callers.len()],
            stream(),
            Arc::clone(&begun),
            stopped.clone(),
        );
        tokio::spawn(task)
    };

    // A few streams a second, and then many at once.
    let mut streams = Vec::new();
    let started = Instant::now();
    let steady = (4 * RATE + rand::random_range(0..RATE)) as usize;
    for n in 0..steady {
        tokio::time::sleep_until((started + Duration::from_millis(n as u64 * 1_000 / RATE)).into())
            .await;
        streams.push(open(n));
    }
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..200))).await;
    let before = begun.load(Ordering::SeqCst);
    let burst = Instant::now();
    for n in 0..BURST {
        streams.push(open(n));
    }
    while begun.load(Ordering::SeqCst) < before + BURST {
        if burst.elapsed() > Duration::from_secs(2) {
            return Err("the burst was not served".into());
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    record.note(&format!(
        "{BURST} streams have begun within {} ms",
        burst.elapsed().as_millis()
    ));
    // Zero, unless the width of the window is to be measured.
    let delay = std::env::var("DELAY_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    if is_calm() {
        // The callers leave, and come back as in the other run.
        stop_reading.send_replace(true);
        record.note("TROUBLE=0: the processes go on, the callers leave");
    } else {
        for entry in &mut entries {
            entry.kill();
        }
        record.note("all entries are killed");
    }
    let killed = Instant::now();
    tokio::time::sleep(DOWN).await;
    if !is_calm() {
        for entry in &mut entries {
            entry.start(false)?;
        }
    }
    let back = Instant::now();
    let mut cut = Vec::new();
    let mut whole = 0;
    for task in streams {
        let stream = task.await?;
        whole += usize::from(stream.complete);
        record.line_at(
            stream.sent,
            &format!(
                "{} sent: status {}, last event {}, complete {}",
                stream.id, stream.status, stream.last_event, stream.complete
            ),
        );
        if stream.first.is_some() && !stream.complete {
            cut.push(stream);
        }
    }
    record.note(&format!(
        "{whole} streams were whole, {} were broken off",
        cut.len()
    ));
    tokio::time::sleep_until((back + TAKE_UP).into()).await;
    for address in &ready {
        if !is_ready(&client, *address).await {
            return Err("an entry is not ready again".into());
        }
    }

    // Each caller takes its stream up, and as many new streams begin.
    stop_reading.send_replace(false);
    let (mut taken, mut went_on, mut new) = (0, 0, 0);
    let mut answers = Vec::new();
    for (n, stream) in cut.into_iter().enumerate() {
        let headers = vec![
            ("resumes", stream.id.clone()),
            ("last-event-id", stream.last_event.to_string()),
        ];
        let again = TestRequest {
            headers,
            ..self::stream()
        };
        let (client, entry, other) = (
            client.clone(),
            callers[(n + 1) % callers.len()],
            callers[n % callers.len()],
        );
        answers.push(tokio::spawn(async move {
            let fresh = self::stream();
            let (resumed, begun) =
                tokio::join!(again.send(&client, entry), fresh.send(&client, other));
            (stream, entry, resumed, begun)
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for answer in answers {
        let (stream, entry, resumed, fresh) = answer.await?;
        taken += 1;
        went_on += u32::from(resumed.status == 200 && !resumed.body.is_empty());
        new += u32::from(fresh.status == 200 && !fresh.body.is_empty());
        let age = killed.saturating_duration_since(stream.first.unwrap_or(killed));
        let text = String::from_utf8_lossy(&resumed.body);
        let text = text.lines().next().unwrap_or("").to_owned();
        record.line(&format!(
            "{} at {entry} takes up {} after event {}, begun {} ms before the end: status {} {text:?}",
            resumed.id, stream.id, stream.last_event, age.as_millis(), resumed.status
        ));
        record.line(&format!(
            "{} begins anew: status {}",
            fresh.id, fresh.status
        ));
    }
    for engine in &engines {
        for run in engine.runs() {
            record.line(&format!(
                "{} ran at {} {} after event {}",
                run.id, engine.config.id, engine.config.version, run.after
            ));
        }
    }
    record.note(&format!("of {taken} streams that were taken up {went_on} went on; of {taken} new streams {new} began"));
    if taken < 12 {
        return Err("fewer than 12 streams were taken up".into());
    }
    let broken = 2 * went_on < new;
    record.note(if broken {
        "LOST is broken"
    } else {
        "LOST held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
