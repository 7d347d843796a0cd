//! Estimated lengths, before a request is admitted.

use std::hash::Hasher;

use serde::Deserialize;

/// Bytes of text for each token, on the average.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed length of an answer whose request sets no limit, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Leading bytes of a single-message prompt that count as its prefix.
const PREFIX_BYTES: usize = 1_024;

/// The parts of a chat-completion request that matter here.
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
    fn text(&self) -> String {
        match &self.content {
            serde_json::Value::String(text) => text.clone(),
            serde_json::Value::Null => String::new(),
            other => other.to_string(),
        }
    }
}

/// Estimated lengths in tokens, and the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Estimate {
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
    pub(crate) prefix: u64,
}

impl Chat {
    /// Reads a request.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let chat: Self = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if chat.messages.is_empty() {
            return Err("messages must not be empty".into());
        }
        Ok(chat)
    }

    pub(crate) fn estimate(&self) -> Estimate {
        let texts: Vec<String> = self.messages.iter().map(ChatMessage::text).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let answer = self.max_completion_tokens.or(self.max_tokens);
        Estimate {
            prompt: tokens(bytes),
            answer: answer.unwrap_or(DEFAULT_ANSWER_TOKENS).max(1),
            prefix: prefix(&texts),
        }
    }
}

/// Estimated tokens of a text.
pub(crate) fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
}

/// Hash of the first of several messages, or of the leading part of a single one.
fn prefix(texts: &[String]) -> u64 {
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
