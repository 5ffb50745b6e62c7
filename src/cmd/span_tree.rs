use std::collections::{BTreeMap, HashSet};

use crate::cmd::span_line::SpanLine;
use crate::cmd::text_table::cell;

/// Spans of one trace, by their parents.
pub(super) struct SpanTree<'a> {
    roots: Vec<&'a SpanLine>,
    children: BTreeMap<&'a str, Vec<&'a SpanLine>>,
    start_unix_us: u64,
}

impl<'a> SpanTree<'a> {
    /// Arranges spans; one whose parent is in no file is a root.
    pub(super) fn new(spans: &'a [SpanLine]) -> Self {
        let known: HashSet<_> = spans.iter().map(|span| span.span_id.as_str()).collect();
        let mut tree = Self {
            roots: Vec::new(),
            children: BTreeMap::new(),
            start_unix_us: spans.iter().map(|span| span.start_unix_us).min().unwrap_or(0),
        };
        let mut seen = HashSet::new();
        for span in spans {
            if !seen.insert(span.span_id.as_str()) {
                continue;
            }
            match span.parent_span_id.as_deref() {
                Some(parent) if known.contains(parent) && parent != span.span_id => {
                    tree.children.entry(parent).or_default().push(span);
                }
                _ => tree.roots.push(span),
            }
        }
        for list in tree.children.values_mut().chain([&mut tree.roots]) {
            list.sort_by_key(|span| span.start_unix_us);
        }
        tree
    }

    /// One line a span: start within the trace, duration, name, host and attributes.
    pub(super) fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let mut open: Vec<(&SpanLine, usize)> =
            self.roots.iter().rev().map(|root| (*root, 0)).collect();
        while let Some((span, depth)) = open.pop() {
            lines.push(self.line(span, depth));
            let children = self.children.get(span.span_id.as_str()).map_or(&[][..], Vec::as_slice);
            open.extend(children.iter().rev().map(|child| (*child, depth + 1)));
        }
        lines
    }

    fn line(&self, span: &SpanLine, depth: usize) -> String {
        let start_ms = (span.start_unix_us - self.start_unix_us) as f64 / 1_000.0;
        let duration_ms = span.duration_us as f64 / 1_000.0;
        let indent = "  ".repeat(depth);
        let mut line = format!(
            "{start_ms:>10.3} ms {duration_ms:>10.3} ms  {indent}{} @{}",
            span.name, span.host_id
        );
        for (key, value) in &span.attributes {
            line.push_str(&format!(" {key}={}", cell(value)));
        }
        line
    }
}
