//! The text that stand-in engines generate: fixed by model, prompt and length, so that any reader can check it.

use rapidhash::v3::rapidhash_v3;

/// Words that texts are made of.
const WORDS: [&str; 16] = [
    "basin", "ledger", "permit", "scout", "effluent", "badge", "annex", "dye", "plate", "camp",
    "award", "notice", "limit", "sample", "troop", "désk",
];

/// Hash of a prompt, as it stands in the text.
pub fn prompt_hash(prompt: &str) -> u64 {
    rapidhash_v3(prompt.as_bytes())
}

/// Token `index` of the text for a model and a prompt.
pub fn token(model: &str, prompt: u64, index: u64) -> String {
    if index == 0 {
        return format!("[{model} {prompt:016x}]");
    }
    let word = rapidhash_v3(&[prompt.to_be_bytes(), index.to_be_bytes()].concat());
    format!(" {}", WORDS[(word % WORDS.len() as u64) as usize])
}

/// The whole text of `tokens` tokens.
pub fn full_text(model: &str, prompt: &str, tokens: u64) -> String {
    let prompt = prompt_hash(prompt);
    (0..tokens).map(|i| token(model, prompt, i)).collect()
}
