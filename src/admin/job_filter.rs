use crate::query::{Comparison, Condition, Literal};

/// The one value that a condition demands of a column, if it demands one.
pub fn required_value(condition: Option<&Condition>, column: &str) -> Option<String> {
    match condition? {
        Condition::Compare(name, Comparison::Equal, literal) if name == column => {
            Some(text(literal))
        }
        Condition::In(name, literals) if name == column && literals.len() == 1 => {
            literals.first().map(text)
        }
        Condition::And(parts) => parts.iter().find_map(|part| required_value(Some(part), column)),
        _ => None,
    }
}

fn text(literal: &Literal) -> String {
    match literal {
        Literal::Text(text) => text.clone(),
        other => other.to_string(),
    }
}
