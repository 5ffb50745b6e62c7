use std::borrow::Cow;

use serde::de::DeserializeOwned;
use winnow::ascii::multispace0;
use winnow::combinator::{delimited, eof, fail, opt, repeat, separated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Stateful;
use winnow::token::{any, take, take_till, take_while};

use crate::query::quoting::is_word_char;
use crate::query::{
    Comparison, Condition, CustomerChange, CustomerField, Literal, ObjectKind, OrderKey,
    PolicyChange, PolicyField, QueryError, Show, Statement, TableName,
};

/// Limit on nested conditions, which bounds the recursion depth and so the stack that the parser
/// uses.
const MAX_NESTING: u32 = 64;
/// Longest text of a statement.
const MAX_STATEMENT_BYTES: usize = 1 << 20;
const VERBS: [&str; 7] = ["show", "describe", "drain", "cancel", "delete", "set", "put"];

/// The remaining text; the state is the current nesting depth of conditions.
type Input<'a> = Stateful<&'a str, u32>;
type Error = ErrMode<ContextError<Cow<'static, str>>>;
type Parsed<T> = Result<T, Error>;

/// Parses a statement, which may end with a semicolon.
pub(super) fn parse(text: &str) -> Result<Statement, QueryError> {
    if text.len() > MAX_STATEMENT_BYTES {
        let expected = format!("a statement of at most {MAX_STATEMENT_BYTES} bytes");
        return Err(QueryError::new(text, 0, expected));
    }
    let input = Input { input: text, state: 0 };
    delimited(multispace0, statement, end_of_statement).parse(input).map_err(|error| {
        let expected: Vec<&str> = error.inner().context().map(AsRef::as_ref).collect();
        QueryError::new(text, error.offset(), expected.join(", in "))
    })
}

fn end_of_statement(input: &mut Input) -> Parsed<()> {
    (opt(symbol(";")), eof)
        .void()
        .context("a further clause or the end of the statement".into())
        .parse_next(input)
}

fn statement(input: &mut Input) -> Parsed<Statement> {
    match one_keyword(&VERBS, input)? {
        "show" => show(input).map(Statement::Show),
        "describe" => describe(input),
        "drain" => {
            one_keyword(&["host"], input)?;
            Ok(Statement::DrainHost { host: identifier(input)? })
        }
        "cancel" => {
            one_keyword(&["job"], input)?;
            Ok(Statement::CancelJob { job: identifier(input)? })
        }
        "delete" => delete(input),
        "set" => set(input),
        _ => put(input),
    }
}

fn describe(input: &mut Input) -> Parsed<Statement> {
    let kind = one_named_value(&ObjectKind::ALL, ObjectKind::name, input)?;
    Ok(Statement::Describe { kind, id: identifier(input)? })
}

fn delete(input: &mut Input) -> Parsed<Statement> {
    let kind = one_keyword(&["job", "file", "service", "customer"], input)?;
    let id = identifier(input)?;
    Ok(match kind {
        "job" => Statement::DeleteJob { job: id },
        "file" => Statement::DeleteFile { file: id },
        "service" => Statement::DeleteService { service: id },
        _ => Statement::DeleteCustomer { customer: id },
    })
}

fn set(input: &mut Input) -> Parsed<Statement> {
    if one_keyword(&["customer", "policy"], input)? == "policy" {
        let changes = repeat(1.., policy_change).parse_next(input)?;
        return Ok(Statement::SetPolicy { changes });
    }
    let customer = identifier(input)?;
    let changes = repeat(1.., customer_change).parse_next(input)?;
    Ok(Statement::SetCustomer { customer, changes })
}

fn customer_change(input: &mut Input) -> Parsed<CustomerChange> {
    let field = one_named_value(&CustomerField::ALL, CustomerField::name, input)?;
    Ok(CustomerChange { field, value: number(input).map_err(ErrMode::cut)? })
}

fn policy_change(input: &mut Input) -> Parsed<PolicyChange> {
    let field = one_named_value(&PolicyField::ALL, PolicyField::name, input)?;
    Ok(PolicyChange { field, value: number(input).map_err(ErrMode::cut)? })
}

fn put(input: &mut Input) -> Parsed<Statement> {
    match one_keyword(&["service", "customer"], input)? {
        "service" => json(input).map(Statement::PutService),
        _ => json(input).map(Statement::PutCustomer),
    }
}

fn show(input: &mut Input) -> Parsed<Show> {
    let table = one_named_value(&TableName::ALL, TableName::name, input)?;
    let mut show = Show { table, filter: None, order: Vec::new(), limit: None, after: None };
    if opt(keyword("where")).parse_next(input)?.is_some() {
        show.filter = Some(condition(input)?);
    }
    if opt(keyword("order")).parse_next(input)?.is_some() {
        one_keyword(&["by"], input)?;
        show.order = separated(1.., order_key, symbol(",")).parse_next(input)?;
    }
    if opt(keyword("limit")).parse_next(input)?.is_some() {
        show.limit = Some(number(input)?);
    }
    if opt(keyword("after")).parse_next(input)?.is_some() {
        show.after = Some(identifier(input)?);
    }
    Ok(show)
}

fn order_key(input: &mut Input) -> Parsed<OrderKey> {
    let column = column(input)?;
    if opt(keyword("desc")).parse_next(input)?.is_some() {
        return Ok(OrderKey { column, descending: true });
    }
    opt(keyword("asc")).parse_next(input)?;
    Ok(OrderKey { column, descending: false })
}

fn condition(input: &mut Input) -> Parsed<Condition> {
    let mut parts: Vec<Condition> = separated(1.., conjunction, keyword("or")).parse_next(input)?;
    Ok(if parts.len() == 1 { parts.remove(0) } else { Condition::Or(parts) })
}

fn conjunction(input: &mut Input) -> Parsed<Condition> {
    let mut parts: Vec<Condition> = separated(1.., term, keyword("and")).parse_next(input)?;
    Ok(if parts.len() == 1 { parts.remove(0) } else { Condition::And(parts) })
}

/// Parses a condition in parentheses, a negated condition, or a predicate on one column.
fn term(input: &mut Input) -> Parsed<Condition> {
    if input.state >= MAX_NESTING {
        return fail
            .context("fewer nested conditions".into())
            .parse_next(input)
            .map_err(ErrMode::cut);
    }
    if opt(keyword("not")).parse_next(input)?.is_some() {
        let inner = nested(term, input)?;
        return Ok(Condition::Not(Box::new(inner)));
    }
    if opt(symbol("(")).parse_next(input)?.is_some() {
        let inner = nested(condition, input)?;
        symbol(")").context("and, or, or ')'".into()).parse_next(input).map_err(ErrMode::cut)?;
        return Ok(inner);
    }
    // No alternative is left, so the error is final and keeps its position.
    predicate(input).map_err(ErrMode::cut)
}

/// Parses a condition one level deeper than the current one.
fn nested(inner: fn(&mut Input) -> Parsed<Condition>, input: &mut Input) -> Parsed<Condition> {
    input.state += 1;
    let condition = inner(input).map_err(ErrMode::cut);
    input.state -= 1;
    condition
}

fn predicate(input: &mut Input) -> Parsed<Condition> {
    let column = column(input)?;
    if opt(keyword("in")).parse_next(input)?.is_some() {
        symbol("(").context("'('".into()).parse_next(input)?;
        let literals = separated(1.., literal, symbol(",")).parse_next(input)?;
        symbol(")").context("',' or ')'".into()).parse_next(input)?;
        return Ok(Condition::In(column, literals));
    }
    if opt(keyword("is")).parse_next(input)?.is_some() {
        let is_negated = one_keyword(&["null", "not"], input)? == "not";
        if !is_negated {
            return Ok(Condition::IsNull(column));
        }
        one_keyword(&["null"], input)?;
        return Ok(Condition::Not(Box::new(Condition::IsNull(column))));
    }
    let comparison = comparison(input)?;
    Ok(Condition::Compare(column, comparison, literal(input)?))
}

fn comparison(input: &mut Input) -> Parsed<Comparison> {
    if opt(keyword("contains")).parse_next(input)?.is_some() {
        return Ok(Comparison::Contains);
    }
    for comparison in Comparison::ALL {
        if opt(symbol(comparison.symbol())).parse_next(input)?.is_some() {
            return Ok(comparison);
        }
    }
    fail.context("a comparison (=, !=, <, <=, >, >=, contains, in, is)".into()).parse_next(input)
}

fn literal(input: &mut Input) -> Parsed<Literal> {
    if let Some(text) = opt(quoted).parse_next(input)? {
        return Ok(Literal::Text(text));
    }
    word.verify_map(Literal::from_word)
        .context("a value: a word, a number in range, or quoted text".into())
        .parse_next(input)
}

fn identifier(input: &mut Input) -> Parsed<String> {
    if let Some(text) = opt(quoted).parse_next(input)? {
        return Ok(text);
    }
    word.map(str::to_owned).context("a name or quoted text".into()).parse_next(input)
}

fn column(input: &mut Input) -> Parsed<String> {
    word.verify(|word: &str| is_column_name(word))
        .map(str::to_ascii_lowercase)
        .context("the name of a column".into())
        .parse_next(input)
}

fn is_column_name(word: &str) -> bool {
    const KEYWORDS: [&str; 13] = [
        "and", "or", "not", "in", "is", "where", "order", "by", "limit", "after", "asc", "desc",
        "contains",
    ];
    let is_keyword = KEYWORDS.iter().any(|keyword| word.eq_ignore_ascii_case(keyword));
    let is_identifier_char =
        |character: char| character.is_ascii_alphanumeric() || character == '_';
    !is_keyword
        && !word.starts_with(|first: char| first.is_ascii_digit())
        && word.chars().all(is_identifier_char)
}

fn number(input: &mut Input) -> Parsed<u32> {
    word.verify_map(|word: &str| word.parse().ok())
        .context("a whole number from 0 to 4294967295".into())
        .parse_next(input)
}

/// Parses text in single or double quotes; a quote inside the text is doubled.
fn quoted(input: &mut Input) -> Parsed<String> {
    let quote: char = any.verify(|character| "'\"".contains(*character)).parse_next(input)?;
    let mut text = String::new();
    loop {
        text.push_str(take_till(0.., quote).parse_next(input)?);
        let closing: Option<char> = opt(any).parse_next(input)?;
        if closing.is_none() {
            let missing = fail.context("the closing quote".into());
            return { missing }.parse_next(input).map_err(ErrMode::cut);
        }
        if opt(quote).parse_next(input)?.is_none() {
            break;
        }
        text.push(quote);
    }
    multispace0.parse_next(input)?;
    Ok(text)
}

/// Parses a JSON object into a message of the schema. A failure is positioned at the JSON error.
fn json<T: DeserializeOwned>(input: &mut Input) -> Parsed<Box<T>> {
    let rest: &str = input.input;
    let mut values = serde_json::Deserializer::from_str(rest).into_iter::<T>();
    let error = match values.next() {
        Some(Ok(value)) => {
            (take(char_count(&rest[..values.byte_offset()])), multispace0).parse_next(input)?;
            return Ok(Box::new(value));
        }
        Some(Err(error)) => error,
        None => return fail.context("a JSON object".into()).parse_next(input),
    };
    take(char_count(&rest[..error_offset(rest, &error)])).parse_next(input)?;
    let reason = error.to_string();
    let reason = reason.split(" at line ").next().unwrap_or_default();
    fail.context(format!("JSON of the schema ({reason})").into()).parse_next(input)
}

fn char_count(text: &str) -> usize {
    text.chars().count()
}

/// Byte offset of a JSON error in `text`, rounded down to a character boundary.
fn error_offset(text: &str, error: &serde_json::Error) -> usize {
    let lines = text.split_inclusive('\n').take(error.line().saturating_sub(1));
    let mut offset = lines.map(str::len).sum::<usize>() + error.column().saturating_sub(1);
    offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// Parses one of several keywords; the error lists all of them.
fn one_keyword(keywords: &[&'static str], input: &mut Input) -> Parsed<&'static str> {
    one_named_value(keywords, |name| name, input)
}

/// Parses the name of one of several values; the error lists all names.
fn one_named_value<T: Copy>(
    values: &[T],
    name: impl Fn(T) -> &'static str,
    input: &mut Input,
) -> Parsed<T> {
    let find =
        |word: &str| values.iter().copied().find(|value| word.eq_ignore_ascii_case(name(*value)));
    let names: Vec<_> = values.iter().map(|value| name(*value)).collect();
    word.verify_map(find).context(names.join(", ").into()).parse_next(input)
}

fn keyword<'a>(name: &'static str) -> impl Parser<Input<'a>, (), Error> {
    word.verify(move |word: &str| word.eq_ignore_ascii_case(name)).void()
}

fn symbol<'a>(text: &'static str) -> impl Parser<Input<'a>, (), Error> {
    (text, multispace0).void()
}

fn word<'a>(input: &mut Input<'a>) -> Parsed<&'a str> {
    let word = take_while(1.., is_word_char).parse_next(input)?;
    multispace0.parse_next(input)?;
    Ok(word)
}
