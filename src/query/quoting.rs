/// Whether a word may contain this character without quotes.
pub(super) fn is_word_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || "-_.:/".contains(character)
}

/// Formats text as an identifier: unquoted if it is a word, otherwise in single quotes.
pub(super) fn format_identifier(text: &str) -> String {
    if !text.is_empty() && text.chars().all(is_word_char) {
        return text.to_owned();
    }
    quote(text)
}

/// Puts text in single quotes and doubles each single quote inside.
pub(super) fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
