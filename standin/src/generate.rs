//! Text that stand-in engines generate, determined by model, prompt and length, so that any caller
//! can check it.

use rapidhash::v3::rapidhash_v3;

/// Vocabulary of the generated text.
const WORDS: [&str; 16] = [
    "basin", "ledger", "permit", "scout", "effluent", "badge", "annex", "dye", "plate", "camp",
    "award", "notice", "limit", "sample", "troop", "désk",
];

/// Returns the hash of a prompt, which the first token contains.
pub fn prompt_hash(prompt: &str) -> u64 {
    rapidhash_v3(prompt.as_bytes())
}

/// Returns token `index` of the text for a model and the hash of a prompt.
pub fn token(model: &str, prompt_hash: u64, index: u64) -> String {
    if index == 0 {
        return format!("[{model} {prompt_hash:016x}]");
    }
    let hash = rapidhash_v3(&[prompt_hash.to_be_bytes(), index.to_be_bytes()].concat());
    format!(" {}", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// Returns the complete text of `tokens` tokens.
pub fn full_text(model: &str, prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|i| token(model, hash, i)).collect()
}
