/// Letters of words that need no quotes.
pub(super) fn is_word_letter(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || "-_.:/".contains(letter)
}

/// Text as an identifier is written: bare when it is a word, else in quotes.
pub(super) fn identifier(text: &str) -> String {
    if !text.is_empty() && text.chars().all(is_word_letter) {
        return text.to_owned();
    }
    quoted(text)
}

/// Text in single quotes; a quote inside is doubled.
pub(super) fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
