use serde_json::Value;

/// The request parsed from one line of a batch input file.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemInput {
    /// Request body, a JSON object, to be sent to the upstream.
    pub body: Value,
}

impl TryFrom<&[u8]> for ItemInput {
    type Error = String;

    fn try_from(line: &[u8]) -> Result<Self, String> {
        let mut line: Value = serde_json::from_slice(line)
            .map_err(|error| format!("the line is not valid JSON: {error}"))?;
        match line.get_mut("body").map(Value::take) {
            Some(body @ Value::Object(_)) => Ok(Self { body }),
            _ => Err("field `body` must be an object".to_owned()),
        }
    }
}
