//! Estimates of the length of a request, made before it is admitted.
//!
//! The estimated token counts and a hash of the prompt's prefix become part of the ticket, which
//! the scheduler uses to choose a backend server and to apply limits.

use std::hash::Hasher;

use model::Part;
use serde::Deserialize;

/// Average number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed length in tokens of the answer to a request that sets no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Number of leading bytes of a prompt with a single message that are hashed as its prefix.
const PREFIX_BYTES: usize = 1_024;

/// The fields of a chat-completion request that determine its dispatch.
///
/// The type's name appears in messages to callers, as part of parse errors.
#[derive(Debug, Deserialize)]
pub(crate) struct Chat {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

impl ChatMessage {
    /// Returns the content if it is text, and its JSON if it has structure.
    fn text(&self) -> String {
        match &self.content {
            serde_json::Value::String(text) => text.clone(),
            serde_json::Value::Null => String::new(),
            other => other.to_string(),
        }
    }
}

/// Estimates for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Estimate {
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    /// Hash of the prompt's prefix, or 0 for none.
    pub(crate) prefix_hash: u64,
}

impl Chat {
    /// Parses the body of a request. The error is a message for the caller.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let chat: Self = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if chat.messages.is_empty() {
            return Err("messages must not be empty".into());
        }
        Ok(chat)
    }

    /// Returns the parts that other requests may have too: all messages but the last, which is the
    /// request's own, or the start of a single message that is long enough.
    pub(crate) fn parts(&self) -> Vec<Part> {
        let texts: Vec<String> = self.messages.iter().map(ChatMessage::text).collect();
        match texts.as_slice() {
            [only] => only.get(..PREFIX_BYTES).map(Part::from).into_iter().collect(),
            [shared @ .., _] => shared.iter().map(|text| Part::from(text.as_str())).collect(),
            [] => Vec::new(),
        }
    }

    /// Estimates the lengths of prompt and answer, and hashes the prompt's prefix.
    pub(crate) fn estimate(&self) -> Estimate {
        let texts: Vec<String> = self.messages.iter().map(ChatMessage::text).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let answer = self.max_completion_tokens.or(self.max_tokens);
        Estimate {
            prompt_tokens: tokens(bytes),
            answer_tokens: answer.unwrap_or(DEFAULT_ANSWER_TOKENS).max(1),
            prefix_hash: prefix_hash(&texts),
        }
    }
}

/// Estimates the number of tokens in a text of `bytes` bytes. It is at least 1.
pub(crate) fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
}

/// Hashes the first of several messages, or the first [`PREFIX_BYTES`] of a single one. Returns 0
/// if that message is empty, or if it is the only one and shorter than [`PREFIX_BYTES`].
fn prefix_hash(texts: &[String]) -> u64 {
    let shared = match texts {
        [] => return 0,
        [only] => only.as_bytes().get(..PREFIX_BYTES).unwrap_or_default(),
        [first, ..] => first.as_bytes(),
    };
    if shared.is_empty() {
        return 0;
    }
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(shared);
    hasher.finish().max(1)
}
