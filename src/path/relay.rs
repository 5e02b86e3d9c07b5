//! Relays a response body to the caller, and resumes broken streams at another upstream where the route allows it.

use crate::{
    clock::BootInstant,
    decide::{
        engine_speed::{EventTimes, StreamTimes},
        run_time::RunTime,
        shutdown::Shutdown,
    },
    edge::codec::InferenceWork,
    holding::lock,
    metrics,
    path::{
        attempt::{
            AttemptOutcome, CrashCheck, Framing, PROVEN_AFTER, ResponseSource, UpstreamResponse,
        },
        chunk_timings::ChunkTimings,
        event_buffer::{Buffering, EventBuffer, EventFault},
        job::ProxyRequest,
        received::{Break, Received},
        transport::{BrokenBody, UpstreamBody},
    },
    sse,
};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{Response, StatusCode, header};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, StreamBody};
use log::{info, warn};
use std::io;

/// Largest number of attempts for one stream, whatever the route allows.
const MAX_STREAM_ATTEMPTS: u32 = 4;

/// State of a response body that is being relayed.
struct Relay {
    request: ProxyRequest,
    body: Option<UpstreamBody>,
    /// The current upstream; `None` once its response ended.
    source: Option<ResponseSource>,
    /// Time of the current upstream's first chunk.
    started: Option<BootInstant>,
    framing: Framing,
    /// The stream's events; `None` if the body is no stream.
    events: Option<EventBuffer>,
    resumable: bool,
    resumes: u32,
    timings: ChunkTimings,
    /// Times between the events of the current upstream.
    times: StreamTimes,
    /// Time at which the request was first sent to an upstream.
    first_sent: BootInstant,
    attempts: u32,
    /// Status that the caller gets.
    status: StatusCode,
    /// Time at which the last upstream's response was read to its end.
    ended: Option<BootInstant>,
    /// Whether the current upstream has responded to the prompt for long enough to clear its parts.
    proven: bool,
    logged: bool,
}

/// Next item of the relayed body.
enum RelayStep {
    Data(Bytes),
    End,
    Broken(&'static str),
}

/// Converts an upstream's response into the caller's; `attempts` counts the attempts so far.
pub fn relay(
    mut request: ProxyRequest,
    received: UpstreamResponse,
    attempts: u32,
) -> Response<Body> {
    request.go_first();
    let (head, body) = received.response.into_parts();
    let is_stream = request.route.kind.is_stream() && head.status.is_success();
    let resumable = is_stream && request.route.kind.is_repeatable();
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if is_stream {
        // A stream may end before its upstream's length, or be assembled from the responses of several upstreams.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let buffering = if resumable {
        Buffering::CompleteEvents
    } else {
        Buffering::None
    };
    let last_event = request.head.last_event;
    let relay = Relay {
        events: is_stream.then(|| {
            let account = request.entry.upstream_bytes.account();
            EventBuffer::new(buffering, last_event, account)
        }),
        request,
        body: Some(body),
        framing: received.framing,
        started: None,
        resumable,
        resumes: 0,
        proven: false,
        logged: false,
        timings: ChunkTimings::default(),
        times: StreamTimes::default(),
        first_sent: received.source.sent.at,
        source: Some(received.source),
        attempts,
        status: head.status,
        ended: None,
    };
    let frames = stream::unfold(Some(relay), async |state| {
        let mut relay = state?;
        match relay.next().await {
            RelayStep::Data(data) => Some((Ok(Frame::data(data)), Some(relay))),
            RelayStep::End => None,
            RelayStep::Broken(problem) => {
                // The server discards what it has not written yet when the body fails; this lets it write first.
                tokio::task::yield_now().await;
                Some((Err(io::Error::other(problem)), None))
            }
        }
    });
    response.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    async fn next(&mut self) -> RelayStep {
        loop {
            let event = self.last_event();
            let received = match self.events.as_ref().map(EventBuffer::check) {
                Some(Err(fault)) => self.pass_gap(fault).await,
                _ => match self.receive().await {
                    Received::Data(data) => self.complete_events(data).await,
                    Received::Nothing => Ok(None),
                    Received::End => return self.finish(),
                    Received::TimedOut => return self.fail("timeout"),
                    Received::Broken(broken) => Err(broken),
                },
            };
            match received {
                Ok(Some(data)) => {
                    let received = BootInstant::now();
                    if self.timings.first.is_none() {
                        self.begin(received).await;
                    }
                    if self.started.is_some() && self.events.is_some() {
                        let gap = received.since(self.timings.last);
                        let times = self.times.add(gap, event, self.last_event());
                        self.report_times(times);
                    }
                    return self.forward_chunk(data, received);
                }
                Ok(None) => {}
                Err(broken) => {
                    if !self.recover(broken).await {
                        return self.fail(broken.problem);
                    }
                }
            }
        }
    }

    /// Receives the next part of the current upstream's response.
    async fn receive(&mut self) -> Received {
        let Some(body) = self.body.as_mut() else {
            return Received::End;
        };
        let left = self.request.time_left();
        let asked = BootInstant::now();
        let Ok(frame) = tokio::time::timeout(left, body.frame()).await else {
            return Received::TimedOut;
        };
        self.times.wait(BootInstant::now().since(asked));
        match frame {
            Some(Ok(frame)) => frame.into_data().map_or(Received::Nothing, Received::Data),
            None if !self.is_cut_short() => {
                self.finish_upstream_body();
                Received::End
            }
            None => Received::Broken(Break::new("answer broke off")),
            Some(Err(BrokenBody(listener))) => Received::Broken(Break {
                problem: "answer broke off",
                listener,
            }),
        }
    }

    /// Gives up the current upstream and resumes the stream at another one; false if that is not possible.
    async fn recover(&mut self, broken: Break) -> bool {
        self.body = None;
        self.times = StreamTimes::default();
        let source = self.source.take();
        let ran = self.started.map(|t| BootInstant::now().since(t));
        let check = source.map(|s| {
            self.request
                .record_broken_connection(&s.upstream, broken.problem, ran, broken.listener)
        });
        if !self.events.as_ref().is_none_or(EventBuffer::can_resume) {
            info!(request = &*self.request.head.id; "routing: events without increasing IDs, stream not resumed");
            return false;
        }
        self.resume(check).await
    }

    /// Returns whether a body that has ended regularly is incomplete all the same. A stream is: inside an event, or before the
    /// upstream's first one if it had to continue the stream, or if only the end of the connection ends the body. Any other
    /// successful response is if the connection ended right after the head.
    fn is_cut_short(&self) -> bool {
        let Some(events) = &self.events else {
            let is_empty = self.timings.first.is_none();
            return is_empty && self.framing == Framing::Close && self.status.is_success();
        };
        let must_have_events = self.resumes > 0 || self.framing == Framing::Close;
        events.is_inside_event() || (must_have_events && !events.has_events())
    }

    /// Returns only complete events of a resumable stream, and buffers the rest; other bodies are not buffered.
    async fn complete_events(&mut self, data: Bytes) -> Result<Option<Bytes>, Break> {
        let Some(events) = &mut self.events else {
            return Ok(Some(data));
        };
        let passed = events.push(data);
        if events.take_gaps()
            && let Some(source) = &self.source
        {
            self.request.entry.record_gaps(&source.upstream.build());
        }
        match passed {
            Ok(passed) => Ok(passed),
            Err(fault) => self.pass_gap(fault).await,
        }
    }

    /// Returns the buffered events if `fault` is a gap, and the IDs of the upstream's build have gaps.
    async fn pass_gap(&mut self, fault: EventFault) -> Result<Option<Bytes>, Break> {
        let passed = if fault == EventFault::Gap && self.build_has_gaps().await {
            self.events.as_mut().map(EventBuffer::allow_gaps)
        } else {
            None
        };
        let passed = passed.unwrap_or(Err(fault));
        passed.map_err(|fault| Break::new(fault.as_str()))
    }

    async fn build_has_gaps(&mut self) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        let build = source.upstream.build();
        let has_gaps = self.request.has_event_gaps(&build).await;
        info!(
            request = &*self.request.head.id, upstream = &*source.upstream.id, build:% = build, last_event = self.last_event(),
            known = has_gaps;
            "routing: gap in the event ids of a resumed stream"
        );
        has_gaps
    }

    /// Records the first chunk, which was received at `now`, before it is passed on.
    async fn begin(&mut self, now: BootInstant) {
        self.record_prefill(now);
        self.record_beginning().await;
        let taken = BootInstant::now().since(self.request.arrived);
        metrics::first_chunk(self.request.route.kind.as_str(), taken.as_secs_f64());
    }

    fn forward_chunk(&mut self, data: Bytes, now: BootInstant) -> RelayStep {
        self.timings.record(now);
        if let Some(source) = &mut self.source {
            source.sent.prefill.finish();
        }
        let started = *self.started.get_or_insert(now);
        if !self.proven && now.since(started) >= PROVEN_AFTER {
            self.clear_parts();
        }
        let has_ended = self.body.as_ref().is_some_and(UpstreamBody::is_end_stream);
        if has_ended && !self.is_cut_short() {
            // The server does not poll the body again once `Content-Length` bytes were sent.
            self.finish_upstream_body();
        }
        RelayStep::Data(data)
    }

    fn last_event(&self) -> Option<u64> {
        self.events.as_ref().and_then(EventBuffer::last_event_id)
    }

    fn report_times(&self, times: Option<EventTimes>) {
        if let (Some(times), Some(source)) = (times, &self.source) {
            self.request.entry.record_speed(&source.upstream, times);
        }
    }

    /// Clears the parts of the prompt of suspicion.
    fn clear_parts(&mut self) {
        self.proven = true;
        let parts: Vec<u64> = self.request.prompt_parts().collect();
        self.request.entry.clear_part_strikes(&parts);
    }

    /// Binds a stream that may be resumed to the build that brings its first event.
    async fn record_beginning(&mut self) {
        if let Some(source) = self.source.as_ref().filter(|_| self.resumable) {
            let build = source.upstream.build();
            let (entry, id) = (&self.request.entry, &self.request.head.id);
            entry.record_begun(id, &build);
            entry.store_beginning(id, &build).await;
            self.request.build = Some(build);
        }
    }

    /// Reports the actual time to the first chunk to the prefill schedule, next to the expected time.
    fn record_prefill(&self, now: BootInstant) {
        if let Some(source) = &self.source {
            let mut schedule = lock(&self.request.entry.prefill);
            let measured = now.since(source.sent.at);
            let expected = source.sent.prefill.expected;
            schedule.record_measurement(&source.upstream.id, expected, measured);
        }
    }

    /// Returns the connection to the pool after the upstream's response was read to the end.
    fn finish_upstream_body(&mut self) {
        self.body = None;
        self.ended = Some(BootInstant::now());
        let times = self.times.finish();
        self.report_times(times);
        if let Some(source) = self.source.take() {
            self.request.entry.clear_strikes(self.request.fingerprint);
            if self.events.is_some() && !self.proven {
                self.clear_parts();
            }
            if let Some(connection) = source.connection {
                let pool = &self.request.entry.pool;
                pool.release(connection, source.keep_alive);
            }
        }
    }

    fn finish(&mut self) -> RelayStep {
        self.log("complete");
        RelayStep::End
    }

    fn fail(&mut self, problem: &'static str) -> RelayStep {
        self.log(problem);
        RelayStep::Broken(problem)
    }

    /// Records how long the run took, if the response shows that: a complete answer to a request that one attempt served from
    /// its beginning.
    fn record_run_time(&self) {
        let is_whole = self.attempts == 1 && self.status.is_success();
        let Some(ended) = self.ended.filter(|_| is_whole) else {
            return;
        };
        if self.request.head.last_event.is_some() {
            return;
        }
        let first = self.timings.first.unwrap_or(ended);
        let work = self.request.head.work.as_ref();
        let run = RunTime {
            size: work.map_or(0, InferenceWork::size),
            first: first.since(self.first_sent),
            rest: ended.since(first),
        };
        lock(&self.request.entry.run_times).record(&self.request.route.name, run);
    }

    /// Logs the end of the response and counts its outcome, once.
    fn log(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.logged, true) {
            return;
        }
        let arrived = self.request.arrived;
        let took = BootInstant::now().since(arrived);
        let first = self.timings.first.map(|t| t.since(arrived));
        let prompt = self
            .request
            .head
            .work
            .as_ref()
            .map_or(0, |w| w.prompt_tokens);
        self.record_run_time();
        metrics::request(self.request.route.kind.as_str(), outcome);
        info!(
            request = &*self.request.head.id, customer = self.request.customer_name(), outcome = outcome, took_ms = took.as_millis() as u64,
            first_ms = first.unwrap_or_default().as_millis() as u64, gap_ms = self.timings.longest_gap.as_millis() as u64,
            gap_at_ms = self.timings.gap_end.since(arrived).as_millis() as u64, sent_ms = self.first_sent.since(arrived).as_millis() as u64,
            prompt_tokens = prompt, tries = self.attempts, resumes = self.resumes, framing = self.framing.as_str(),
            inside_event = self.events.as_ref().is_some_and(EventBuffer::is_inside_event);
            "routing: answer ended"
        );
    }

    /// Returns whether a response to a resumed stream is a run's unencoded event stream, by its head.
    fn continues_stream(&self, received: &UpstreamResponse) -> bool {
        let (status, headers) = (received.response.status(), received.response.headers());
        let is_signed = self.request.entry.codec.is_signed(headers);
        let continues = status == StatusCode::OK
            && is_signed
            && sse::is_event_stream(headers)
            && !headers.contains_key(header::CONTENT_ENCODING);
        if !continues {
            info!(
                request = &*self.request.head.id, upstream = &*received.source.upstream.id, status = status.as_u16(), signed = is_signed;
                "routing: response does not continue the stream"
            );
        }
        continues
    }

    /// Resumes the stream at another upstream after its last complete event; false if that is not possible.
    async fn resume(&mut self, mut check: Option<CrashCheck>) -> bool {
        let max_attempts = self.request.route.attempts.min(MAX_STREAM_ATTEMPTS);
        while self.resumable && self.attempts < max_attempts && !self.request.time_left().is_zero()
        {
            self.request.finish_check(check.take()).await;
            if self.request.check_quarantine().is_err() {
                info!(request = &*self.request.head.id; "routing: upstreams crashed under the stream, not resumed");
                return false;
            }
            if self.request.max_wait_before_exit().is_err() {
                info!(request = &*self.request.head.id; "routing: the shutdown leaves too little time, stream not resumed");
                return false;
            }
            if !self.request.take_retry() {
                warn!(request = &*self.request.head.id; "routing: retry budget exhausted, stream not resumed");
                return false;
            }
            let max_wait = self.request.max_wait(true);
            let selected = self.request.select_ready_upstream(&[], max_wait).await;
            let Ok((placement, prefill)) = selected else {
                return false;
            };
            self.attempts += 1;
            self.resumes += 1;
            let events = self.events.as_ref();
            let last = events.and_then(EventBuffer::last_event_id);
            info!(
                request = &*self.request.head.id, upstream = &*placement.upstream.id, build:% = placement.upstream.build(),
                last_event = last.unwrap_or(0);
                "routing: stream resumed"
            );
            match self.request.attempt(&placement, last, prefill).await {
                AttemptOutcome::Response(received) if self.continues_stream(&received) => {
                    if let Some(events) = &mut self.events {
                        events.resume();
                    }
                    self.framing = received.framing;
                    self.body = Some(received.response.into_body());
                    self.source = Some(received.source);
                    self.started = None;
                    self.proven = false;
                    return true;
                }
                AttemptOutcome::Uncertain(broken) => check = broken,
                _ => {}
            }
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let shutdown = self.request.entry.shutdown();
        let has_expired = |s: Shutdown| s.time_left(BootInstant::now()).is_zero();
        let outcome = match shutdown {
            _ if self.ended.is_some() => "complete",
            Some(s) if has_expired(s) => "cut by the shutdown",
            _ => "left",
        };
        self.log(outcome);
    }
}
