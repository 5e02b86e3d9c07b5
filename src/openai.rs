//! The `OpenAI` form of requests, answers, streamed parts and errors.

use serde_json::{Value, json};
use std::fmt::{Display, Formatter};

/// Bytes of the prompt that requests must share to count as having the same prefix.
const PREFIX_BYTES: usize = 256;

/// Which of the two interfaces a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interface {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A request for text, checked.
#[derive(Clone, Debug)]
pub struct TextRequest {
    /// Model as the caller wrote it.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The request without its model and `stream`, as JSON text.
    pub body: String,
    /// Start of the prompt.
    pub prefix: String,
}

/// A problem with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// What is wrong.
    pub message: String,
    /// Field that it is about.
    pub field: &'static str,
}

impl Display for RequestError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for RequestError {}

fn problem<T>(field: &'static str, message: &str) -> Result<T, RequestError> {
    Err(RequestError {
        message: message.to_owned(),
        field,
    })
}

/// Reads and checks a request for text.
///
/// # Errors
/// The first problem found.
pub fn parse(interface: Interface, data: &[u8]) -> Result<TextRequest, RequestError> {
    let Ok(mut value) = serde_json::from_slice::<Value>(data) else {
        return problem("body", "not valid JSON");
    };
    let Some(object) = value.as_object_mut() else {
        return problem("body", "expected an object");
    };
    let model = match object.remove("model") {
        Some(Value::String(model)) if !model.is_empty() => model,
        _ => return problem("model", "expected the name of an adapter"),
    };
    let stream = match object.remove("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => stream,
        Some(_) => return problem("stream", "expected true or false"),
    };
    if object.get("n").is_some_and(|n| *n != json!(1)) {
        return problem("n", "only one choice is offered");
    }
    if object
        .get("max_tokens")
        .is_some_and(|m| m.as_u64().is_none_or(|m| m == 0))
    {
        return problem("max_tokens", "expected a whole number above 0");
    }
    let prompt = match interface {
        Interface::Text => object
            .get("prompt")
            .and_then(Value::as_str)
            .map(ToOwned::to_owned),
        Interface::Chat => object
            .get("messages")
            .filter(|m| is_chat(m))
            .map(Value::to_string),
    };
    let Some(prompt) = prompt else {
        return match interface {
            Interface::Text => problem("prompt", "expected text"),
            Interface::Chat => problem("messages", "expected a list of messages with a role"),
        };
    };
    let prefix = prompt.chars().take(PREFIX_BYTES).collect();
    Ok(TextRequest {
        model,
        stream,
        body: value.to_string(),
        prefix,
    })
}

fn is_chat(messages: &Value) -> bool {
    let list = messages.as_array().filter(|l| !l.is_empty());
    list.is_some_and(|l| {
        l.iter()
            .all(|m| m.get("role").is_some_and(Value::is_string))
    })
}

/// What is the same in every part of one answer.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// Which interface was used.
    pub interface: Interface,
    /// Request identifier.
    pub id: String,
    /// Model that produced the text.
    pub model: String,
    /// When the answer began, in seconds since the Unix epoch.
    pub created: u64,
}

impl ResponseMetadata {
    /// A whole answer.
    pub fn full_response(&self, text: &str, finish: &str, tokens: u64) -> Value {
        let choice = match self.interface {
            Interface::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
            Interface::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        };
        let object = match self.interface {
            Interface::Text => "text_completion",
            Interface::Chat => "chat.completion",
        };
        let usage = json!({
            "prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens,
        });
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": usage,
        })
    }

    /// A streamed part; the last one has a finish reason.
    pub fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let choice = match self.interface {
            Interface::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
            Interface::Chat => {
                let delta = if finish.is_some() && text.is_empty() {
                    json!({})
                } else {
                    json!({ "role": "assistant", "content": text })
                };
                json!({ "index": 0, "delta": delta, "finish_reason": finish })
            }
        };
        let object = match self.interface {
            Interface::Text => "text_completion",
            Interface::Chat => "chat.completion.chunk",
        };
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice],
        })
    }
}

/// An error in the form that `OpenAI` clients expect.
pub fn error_body(kind: &str, code: &str, message: &str) -> Value {
    json!({ "error": { "message": message, "type": kind, "param": null, "code": code } })
}
