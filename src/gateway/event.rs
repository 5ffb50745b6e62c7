use bytes::Bytes;

/// One complete server-sent event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event; `None` if it has no id or one that is not a number.
    pub id: Option<u64>,
    /// The bytes as the upstream sent them, including the blank line at the end.
    pub bytes: Bytes,
}

impl Event {
    /// The values of the data fields, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::new();
        let mut is_first = true;
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let Some(value) = field(line, b"data") else { continue };
            if !is_first {
                data.push(b'\n');
            }
            is_first = false;
            data.extend_from_slice(value);
        }
        data
    }
}

/// Value of a line of an event; `None` if the line is not of the field `name`.
pub(super) fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
