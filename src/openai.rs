//! The `OpenAI` format of requests, responses, streamed chunks and errors.

use serde_json::{Value, json};
use std::fmt::{Display, Formatter};

/// Leading characters of the prompt that requests must share to have the same prefix.
const PREFIX_CHARS: usize = 256;

/// API endpoint that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interface {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A validated request for text.
#[derive(Clone, Debug)]
pub struct TextRequest {
    /// Model as the caller wrote it.
    pub model: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The request without its model and `stream`, as JSON text.
    pub body: String,
    /// Leading characters of the prompt.
    pub prefix: String,
}

/// Validation error of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Description of the error.
    pub message: String,
    /// Field in error.
    pub field: &'static str,
}

impl Display for RequestError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for RequestError {}

fn invalid<T>(field: &'static str, message: &str) -> Result<T, RequestError> {
    Err(RequestError {
        message: message.to_owned(),
        field,
    })
}

/// Parses and validates a request for text.
///
/// # Errors
/// The first error found.
pub fn parse(interface: Interface, data: &[u8]) -> Result<TextRequest, RequestError> {
    let Ok(mut value) = serde_json::from_slice::<Value>(data) else {
        return invalid("body", "not valid JSON");
    };
    let Some(object) = value.as_object_mut() else {
        return invalid("body", "expected an object");
    };
    let model = match object.remove("model") {
        Some(Value::String(model)) if !model.is_empty() => model,
        _ => return invalid("model", "expected the name of an adapter"),
    };
    let stream = match object.remove("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => stream,
        Some(_) => return invalid("stream", "expected true or false"),
    };
    if object.get("n").is_some_and(|n| *n != json!(1)) {
        return invalid("n", "only one choice is offered");
    }
    if object
        .get("max_tokens")
        .is_some_and(|m| m.as_u64().is_none_or(|m| m == 0))
    {
        return invalid("max_tokens", "expected a whole number above 0");
    }
    let prompt = match interface {
        Interface::Text => object
            .get("prompt")
            .and_then(Value::as_str)
            .map(ToOwned::to_owned),
        Interface::Chat => object
            .get("messages")
            .filter(|m| is_message_list(m))
            .map(Value::to_string),
    };
    let Some(prompt) = prompt else {
        return match interface {
            Interface::Text => invalid("prompt", "expected text"),
            Interface::Chat => invalid("messages", "expected a list of messages with a role"),
        };
    };
    let prefix = prompt.chars().take(PREFIX_CHARS).collect();
    Ok(TextRequest {
        model,
        stream,
        body: value.to_string(),
        prefix,
    })
}

fn is_message_list(messages: &Value) -> bool {
    let list = messages.as_array().filter(|l| !l.is_empty());
    list.is_some_and(|l| {
        l.iter()
            .all(|m| m.get("role").is_some_and(Value::is_string))
    })
}

/// Fields shared by all chunks of one response.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// API endpoint of the request.
    pub interface: Interface,
    /// Request identifier.
    pub id: String,
    /// Model that produced the text.
    pub model: String,
    /// When the response was created, in seconds since the Unix epoch.
    pub created: u64,
}

impl ResponseMetadata {
    /// Builds a complete response.
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

    /// Builds a streamed chunk; the last one has a finish reason.
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

/// Builds an error body in the format that `OpenAI` clients expect.
pub fn error_body(kind: &str, code: &str, message: &str) -> Value {
    json!({ "error": { "message": message, "type": kind, "param": null, "code": code } })
}
