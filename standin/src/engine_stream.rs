//! Response stream of a stand-in engine: the tokens of a run as events, with the injected faults.

use crate::{
    engine::Engine,
    engine_state::{Run, RunState},
    generate,
    web::ConnectionDropped,
};
use bytes::Bytes;
use carobfield::sse;
use serde_json::json;
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Writer of a run's tokens as events, with the injected faults.
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub(crate) struct StreamWriter {
    engine: Arc<Engine>,
    run: Arc<Run>,
    chat: bool,
    /// Tokens read from the run.
    sent: u64,
    /// Byte offset to resume from; earlier text is not sent again.
    skip_until: u64,
    offset: u64,
    model: String,
    truncate: bool,
    cut: bool,
    duplicate: bool,
    reorder: bool,
    foreign: bool,
    queued: VecDeque<String>,
    /// Whether the run continues when the writer is dropped.
    keep_run: bool,
    finished: bool,
}

impl StreamWriter {
    pub(crate) fn new(engine: Arc<Engine>, run: Arc<Run>, chat: bool, resume: Option<u64>) -> Self {
        run.readers.send_modify(|n| *n += 1);
        let wrong_model = engine.state.take_fault(|f| &mut f.wrong_model);
        let model = if wrong_model {
            "somebody-else@1".to_owned()
        } else {
            run.model.clone()
        };
        Self {
            chat,
            sent: 0,
            skip_until: resume.unwrap_or(0),
            offset: 0,
            model,
            truncate: resume.is_none() && engine.state.take_fault(|f| &mut f.truncate),
            cut: resume.is_none() && engine.state.take_fault(|f| &mut f.cut),
            duplicate: engine.state.take_fault(|f| &mut f.duplicate),
            reorder: engine.state.take_fault(|f| &mut f.reorder),
            foreign: engine.state.take_fault(|f| &mut f.foreign),
            queued: VecDeque::new(),
            keep_run: false,
            finished: false,
            engine,
            run,
        }
    }

    pub(crate) async fn next_chunk(&mut self) -> Option<Result<Bytes, ConnectionDropped>> {
        loop {
            if let Some(event) = self.queued.pop_front() {
                let delay_ms = self.engine.state.faults().late_ms;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                return Some(Ok(Bytes::from(event)));
            }
            if self.finished {
                return None;
            }
            let halfway = self.sent * 2 >= self.run.tokens;
            if self.cut && halfway {
                self.finished = true;
                return Some(Err(ConnectionDropped));
            }
            if self.truncate && halfway {
                self.keep_run = true;
                return None;
            }
            self.advance().await;
        }
    }

    /// Waits for the next token or the end of the run, and queues its event.
    async fn advance(&mut self) {
        let mut progress = self.run.progress.subscribe();
        let sent = self.sent;
        let reached = progress
            .wait_for(|p| p.tokens > sent || p.state != RunState::Running)
            .await
            .map(|p| *p);
        match reached {
            Ok(p) if p.tokens > sent => self.queue_token(),
            Ok(p) if p.state == RunState::Done => {
                self.finished = true;
                self.keep_run = true;
                self.queued.push_back(self.event("", Some("length")));
                self.queued.push_back(sse::format_event("[DONE]"));
            }
            _ => {
                // The run was cancelled or its adapter was evicted.
                self.finished = true;
            }
        }
    }

    fn queue_token(&mut self) {
        let prompt = generate::prompt_hash(&self.run.prompt);
        let text = generate::token(&self.run.model, prompt, self.sent);
        self.sent += 1;
        let end = self.offset + text.len() as u64;
        if end <= self.skip_until {
            self.offset = end;
            return;
        }
        let event = self.event(&text, None);
        if self.foreign {
            self.foreign = false;
            let foreign = event.replace(&self.run.name, "00000000000000000000000000000000-1");
            self.queued.push_back(foreign.replace('[', "<"));
        }
        self.offset = end;
        if self.duplicate {
            self.queued.push_back(event.clone());
        }
        if self.reorder && self.sent == 2 {
            let index = self.queued.len();
            self.queued.push_back(event);
            let next_text = generate::token(&self.run.model, prompt, self.sent);
            self.sent += 1;
            let next_event = self.event(&next_text, None);
            self.offset += next_text.len() as u64;
            self.queued.insert(index, next_event);
            return;
        }
        self.queued.push_back(event);
    }

    fn event(&self, text: &str, finish_reason: Option<&str>) -> String {
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish_reason })
        };
        let mut event = json!({
            "id": self.run.name, "model": self.model, "offset": self.offset, "choices": [choice],
        });
        if finish_reason.is_some() {
            event["usage"] = json!({ "completion_tokens": self.sent });
        }
        sse::format_event(&event.to_string())
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        self.run.readers.send_modify(|n| *n -= 1);
        if self.keep_run {
            return;
        }
        // Cancels the run unless another reader resumes it within the grace period.
        let (engine, run) = (Arc::clone(&self.engine), Arc::clone(&self.run));
        let grace = Duration::from_millis(self.engine.config.grace);
        tokio::spawn(async move {
            tokio::time::sleep(grace).await;
            if *run.readers.borrow() == 0 {
                engine.state.cancel(&run.name);
            }
        });
    }
}
