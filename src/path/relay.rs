//! Passes an answer's body on to the caller, and takes resumable streams up elsewhere when they break.

use crate::{
    clock::BootInstant,
    holding::lock,
    metrics,
    path::{
        attempt::{Answered, Attempt, Source},
        job::Job,
    },
    sse::{EventBuffer, EventTooLarge},
};
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{Response, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use log::{info, warn};
use std::{io, time::Duration};

/// Upstreams at which one stream is taken up, beside the route's own bound.
const MAX_RESUMES: u32 = 4;

/// An answer on its way to the caller.
struct Relay {
    job: Job,
    body: Option<Incoming>,
    /// The present upstream; `None` once its part ended.
    source: Option<Source>,
    cutter: EventBuffer,
    resumable: bool,
    resumes: u32,
    pace: Pace,
    /// When the first upstream was sent the request.
    sent: BootInstant,
    tries: u32,
    logged: bool,
}

/// When the parts of an answer came.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<BootInstant>,
    last: BootInstant,
    longest_gap: Duration,
    /// End of the longest gap.
    gap_end: BootInstant,
}

impl Pace {
    fn part(&mut self, now: BootInstant) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            let gap = now.since(self.last);
            if gap > self.longest_gap {
                self.longest_gap = gap;
                self.gap_end = now;
            }
        }
        self.last = now;
    }
}

/// What comes next.
enum Next {
    Data(Bytes),
    End,
    Broken(&'static str),
}

/// Turns an upstream's answer into the caller's; `tries` upstreams were sent the request so far.
pub fn relay(job: Job, answered: Answered, tries: u32) -> Response<Body> {
    let (head, body) = answered.response.into_parts();
    let is_stream = job.route.kind.is_stream() && head.status.is_success();
    let resumable = is_stream && job.route.kind.is_repeatable();
    let mut response = Response::new(());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if resumable {
        // The whole may come from several upstreams.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let relay = Relay {
        cutter: EventBuffer::new(job.call.last_event),
        job,
        body: Some(body),
        resumable,
        resumes: 0,
        logged: false,
        pace: Pace::default(),
        sent: answered.source.sent.at,
        source: Some(answered.source),
        tries,
    };
    let frames = stream::unfold(Some(relay), async |state| {
        let mut relay = state?;
        match relay.next().await {
            Next::Data(data) => Some((Ok(Frame::data(data)), Some(relay))),
            Next::End => None,
            Next::Broken(problem) => Some((Err(io::Error::other(problem)), None)),
        }
    });
    response.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    async fn next(&mut self) -> Next {
        loop {
            let Some(body) = self.body.as_mut() else {
                return self.ended();
            };
            let left = self.job.left();
            let frame = match tokio::time::timeout(left, body.frame()).await {
                Ok(frame) => frame,
                Err(_elapsed) => return self.broken("timeout"),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.cut(data) {
                        Ok(Some(data)) => return self.pass(data),
                        Ok(None) => {}
                        Err(EventTooLarge) => return self.broken("event too large"),
                    }
                }
                None => {
                    self.finish_part();
                    return match self.cutter.take_rest() {
                        Some(rest) => self.pass(rest),
                        None => self.ended(),
                    };
                }
                Some(Err(_broken)) => {
                    self.body = None;
                    if let Some(source) = self.source.take() {
                        self.job.failed(&source.upstream, "answer broke off");
                    }
                    if !self.resume().await {
                        return self.broken("answer broke off");
                    }
                }
            }
        }
    }

    /// Holds back a part of an event of a resumable stream; other bodies pass as they come.
    fn cut(&mut self, data: Bytes) -> Result<Option<Bytes>, EventTooLarge> {
        if self.resumable {
            self.cutter.push(&data)
        } else {
            Ok(Some(data))
        }
    }

    fn pass(&mut self, data: Bytes) -> Next {
        let now = BootInstant::now();
        if self.pace.first.is_none() {
            self.measure(now);
            let taken = now.since(self.job.arrived);
            metrics::first_chunk(self.job.route.kind.as_str(), taken.as_secs_f64());
        }
        self.pace.part(now);
        if self
            .body
            .as_ref()
            .is_some_and(http_body::Body::is_end_stream)
        {
            // The server asks for nothing more once the stated length has come.
            self.finish_part();
        }
        Next::Data(data)
    }

    /// Compares the time to the first part with what was expected.
    fn measure(&self, now: BootInstant) {
        if let Some(source) = &self.source {
            let mut schedule = lock(&self.job.entry.prefill);
            let measured = now.since(source.sent.at);
            schedule.record_measurement(&source.upstream.id, source.sent.expected, measured);
        }
    }

    /// The present upstream's answer ended whole: its connection may serve the next request.
    fn finish_part(&mut self) {
        self.body = None;
        if let Some(source) = self.source.take() {
            let pool = &self.job.entry.pool;
            pool.give_back(source.connection, source.keep);
        }
    }

    fn ended(&mut self) -> Next {
        self.log("complete");
        Next::End
    }

    fn broken(&mut self, problem: &'static str) -> Next {
        self.log(problem);
        Next::Broken(problem)
    }

    /// Logs the end of the answer, once.
    fn log(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.logged, true) {
            return;
        }
        let arrived = self.job.arrived;
        let took = BootInstant::now().since(arrived);
        let first = self.pace.first.map(|t| t.since(arrived));
        let prompt = self.job.call.work.as_ref().map_or(0, |w| w.prompt_tokens);
        metrics::request(self.job.route.kind.as_str(), outcome);
        info!(
            request = &*self.job.call.id, outcome = outcome, took_ms = took.as_millis() as u64,
            first_ms = first.unwrap_or_default().as_millis() as u64, gap_ms = self.pace.longest_gap.as_millis() as u64,
            gap_at_ms = self.pace.gap_end.since(arrived).as_millis() as u64, sent_ms = self.sent.since(arrived).as_millis() as u64,
            prompt_tokens = prompt, tries = self.tries, resumes = self.resumes;
            "routing: answer ended"
        );
    }

    /// Takes the stream up at another upstream after its last whole event.
    async fn resume(&mut self) -> bool {
        let bound = self.job.route.attempts.min(MAX_RESUMES);
        while self.resumable && self.tries < bound && !self.job.left().is_zero() {
            if !self.job.take_repeat() {
                warn!(request = &*self.job.call.id; "routing: no repeat left to take a stream up");
                return false;
            }
            let Ok((placement, read)) = self.job.place_ready(&[]).await else {
                return false;
            };
            self.tries += 1;
            self.resumes += 1;
            let last = self.cutter.last_event_id();
            info!(request = &*self.job.call.id, upstream = &*placement.upstream.id, last_event = last.unwrap_or(0); "routing: stream taken up");
            if let Attempt::Answered(answered) = self.job.attempt(&placement, last, read).await
                && answered.response.status().is_success()
            {
                self.cutter.discard_partial();
                self.body = Some(answered.response.into_body());
                self.source = Some(answered.source);
                return true;
            }
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let outcome = if self.source.is_some() {
            "left"
        } else {
            "complete"
        };
        self.log(outcome);
    }
}
