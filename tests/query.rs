//! Tests of the query language: grammar, printing and parsing back, error positions, evaluation.

use std::collections::BTreeMap;

use damaskhoist::membership::MembershipView;
use damaskhoist::query::{
    Cell, Comparison, Condition, CustomerChange, CustomerField, Literal, ObjectKind, OrderKey,
    PolicyChange, PolicyField, Show, Statement, Table, TableName,
};
use damaskhoist::schema::config::{Configuration, Model, Service};
use damaskhoist::schema::state::{Item, Job};
use proptest::prelude::*;
use proptest::sample::select;
use rstest::rstest;

fn parse(text: &str) -> Statement {
    text.parse().unwrap_or_else(|error| panic!("{error}"))
}

#[rstest]
#[case("show items where job = j-17 and state = failed order by attempts desc limit 20")]
#[case("show hosts")]
#[case("show jobs where customer = x")]
#[case("show upstreams where not (load > 0.5 or zone in (Santander, 'Merkato 2')) after 40")]
#[case("describe job j-17")]
#[case("drain host santander-2")]
#[case("cancel job j-17")]
#[case("delete job j-17")]
#[case("set customer x weight 3")]
#[case("set policy batch_yield 40 retry_budget_percent 10")]
#[case(r#"put service {"name":"engraver-llm","max_attempts":3}"#)]
fn statements_in_canonical_form_print_unchanged(#[case] text: &str) {
    assert_eq!(parse(text).to_string(), text);
}

#[rstest]
#[case::keywords_in_capitals("SHOW Jobs WHERE State != DONE;", "show jobs where state != DONE")]
#[case::double_quotes("describe file \"a \"\"b\"\"\"", "describe file 'a \"b\"'")]
#[case::is_not_null("show jobs where due is not null", "show jobs where not due is null")]
#[case::no_spaces("show jobs where a<=1 and b!='x'", "show jobs where a <= 1 and b != x")]
fn other_spellings_print_in_canonical_form(#[case] text: &str, #[case] canonical: &str) {
    assert_eq!(parse(text).to_string(), canonical);
}

/// Guards against documentation that shows statements the parser rejects, or that leaves out a
/// table or a field.
#[test]
fn documented_statements_parse() {
    let page = include_str!("../docs/query-language.md");
    let mut blocks = page.split("```\n").skip(1);
    let statements: Vec<_> = blocks.next().unwrap().lines().map(parse).collect();
    assert!(statements.len() > 20);
    let fields = CustomerField::ALL.map(CustomerField::name).into_iter();
    let names = TableName::ALL.map(TableName::name).into_iter().chain(fields);
    for name in names.chain(PolicyField::ALL.map(PolicyField::name)) {
        assert!(page.contains(&format!("\"{name}\"")), "{name} is not documented");
    }
}

/// Guards against documentation that lists other columns than the tables have.
#[test]
fn documented_columns_match_the_tables() {
    let page = include_str!("../docs/query-language.md");
    let tables = [
        ("hosts", Table::from_hosts(&MembershipView::default(), &BTreeMap::new())),
        ("upstreams", Table::from_upstreams(&MembershipView::default(), &BTreeMap::new())),
        ("jobs", Table::from_jobs(&[])),
        ("items", Table::from_items(&[])),
        ("files", Table::from_files(&[])),
        ("services", Table::from_services(&[])),
        ("customers", Table::from_customers(&[])),
        ("configuration", Table::from_configuration(&Configuration::default())),
        ("counters", Table::from_counters(&BTreeMap::new())),
    ];
    assert_eq!(tables.len(), TableName::ALL.len());
    for (name, table) in tables {
        let row = format!("| `{name}` | `{}` |", table.columns.join("`, `"));
        assert!(page.contains(&row), "{row}");
    }
}

/// Guards against reading the wrong job or all jobs: `show items` reads only the job that the
/// condition requires, so a value that is only one of several alternatives must not count.
#[rstest]
#[case("show items where job = j-17 and state = failed", Some("j-17"))]
#[case("show items where state = failed and (job in (17))", Some("17"))]
#[case("show items where job = j-17 or state = failed", None)]
#[case("show items where not job = j-17", None)]
#[case("show items where job != j-17", None)]
#[case("show items", None)]
fn the_value_that_a_condition_requires_is_found(#[case] text: &str, #[case] job: Option<&str>) {
    let Statement::Show(show) = parse(text) else { panic!("not a read") };
    assert_eq!(show.required_value("job").as_deref(), job);
}

/// Guards against cells that are missing or under the wrong column, and against state names that a
/// filter does not match.
#[test]
fn rows_of_jobs_and_items_match_their_columns() {
    let job = Job { job_id: "j-1".into(), items: 4, state: 2, ..Job::default() };
    let fields = Table::from_jobs(&[job]).describe("j-1").unwrap();
    assert_eq!(fields.rows[2], [Cell::from("state"), Cell::from("completed")]);
    assert_eq!(fields.rows[5], [Cell::from("items"), Cell::Integer(4)]);
    assert_eq!(Table::from_jobs(&[]).describe("j-1"), None);
    let items = [1, 2, 3, 4, 5].map(|state| Item { state, ..Item::default() });
    let table = Table::from_items(&items);
    assert!(table.rows.iter().all(|row| row.len() == table.columns.len()));
    let Statement::Show(show) = parse("show items where state in (failed, leased)") else {
        panic!("not a read")
    };
    assert_eq!(show.evaluate(&table).unwrap().rows.len(), 2);
}

/// Guards against errors positioned at the start of the statement instead of the mistake.
#[rstest]
#[case("shw hosts", 0, "show")]
#[case("show hsts", 5, "hosts")]
#[case("show items where job", 20, "comparison")]
#[case("show items where job = ", 23, "value")]
#[case("show items where (job = 1", 25, "')'")]
#[case("show items where a = 1 limit x", 29, "whole number")]
#[case("show items limit 4294967296", 17, "whole number")]
#[case("show items where a = 99999999999999999999", 21, "number in range")]
#[case("show items where a = 'x", 23, "closing quote")]
#[case("show items limit 1 where a = 1", 19, "end of the statement")]
#[case("set customer x weight", 21, "whole number")]
#[case("set customer x colour 3", 15, "weight")]
#[case("put service {\"nam\": 1}", 17, "JSON")]
#[case("show items where order = 1", 17, "column")]
fn errors_have_the_position_of_the_mistake(
    #[case] text: &str,
    #[case] position: usize,
    #[case] expected: &str,
) {
    let error = text.parse::<Statement>().unwrap_err();
    assert!(error.expected.contains(expected), "{error}");
    assert_eq!(error.position, position, "{error}");
}

/// Guards against a stack overflow on deeply nested conditions, since the parser is recursive.
#[rstest]
#[case("(")]
#[case("not ")]
fn deep_nesting_is_rejected(#[case] opening: &str) {
    let text = format!("show items where {}", opening.repeat(50_000));
    assert!(text.parse::<Statement>().unwrap_err().expected.contains("nested"));
}

fn column() -> impl Strategy<Value = String> {
    select(vec!["a", "b", "job", "state", "attempts"]).prop_map(str::to_owned)
}

fn literal() -> impl Strategy<Value = Literal> {
    prop_oneof![
        any::<bool>().prop_map(Literal::Boolean),
        any::<i64>().prop_map(Literal::Integer),
        (-1e300..1e300).prop_map(Literal::Float),
        (-3..3).prop_map(|number| Literal::Float(f64::from(number))),
        ".{0,8}".prop_map(Literal::Text),
        "-?[0-9]{0,3}[.]?[0-9]{0,2}".prop_map(Literal::Text),
        select(vec!["true", "null", "and", "", "'", "\""])
            .prop_map(|text| Literal::Text(text.to_owned())),
    ]
}

fn condition() -> impl Strategy<Value = Condition> {
    let leaf = prop_oneof![
        (column(), select(&Comparison::ALL[..]), literal()).prop_map(
            |(column, comparison, literal)| Condition::Compare(column, comparison, literal)
        ),
        (column(), prop::collection::vec(literal(), 1..4))
            .prop_map(|(column, literals)| Condition::In(column, literals)),
        column().prop_map(Condition::IsNull),
    ];
    leaf.prop_recursive(4, 24, 3, |inner| {
        let several = prop::collection::vec(inner.clone(), 2..4);
        prop_oneof![
            several.clone().prop_map(Condition::And),
            several.prop_map(Condition::Or),
            inner.prop_map(|part| Condition::Not(Box::new(part))),
        ]
    })
}

fn show() -> impl Strategy<Value = Show> {
    let key =
        (column(), any::<bool>()).prop_map(|(column, descending)| OrderKey { column, descending });
    let order = prop::collection::vec(key, 0..3);
    let (table, filter) = (select(&TableName::ALL[..]), prop::option::of(condition()));
    let (limit, after) = (prop::option::of(any::<u32>()), prop::option::of(".{0,6}"));
    (table, filter, order, limit, after).prop_map(|(table, filter, order, limit, after)| Show {
        table,
        filter,
        order,
        limit,
        after,
    })
}

fn service() -> impl Strategy<Value = Service> {
    (".{0,9}", prop::collection::vec((".{0,6}", any::<u64>()), 0..3), any::<Option<bool>>())
        .prop_map(|(name, models, record_answers)| {
            let model = |(name, weight_bytes)| Model { name, weight_bytes, ..Model::default() };
            let models = models.into_iter().map(model).collect();
            Service { name, models, record_answers, ..Service::default() }
        })
}

fn statement() -> impl Strategy<Value = Statement> {
    let id = || ".{0,10}";
    let customer_change = (select(&CustomerField::ALL[..]), any::<u32>())
        .prop_map(|(field, value)| CustomerChange { field, value });
    let policy_change = (select(&PolicyField::ALL[..]), any::<u32>())
        .prop_map(|(field, value)| PolicyChange { field, value });
    prop_oneof![
        4 => show().prop_map(Statement::Show),
        1 => (select(&ObjectKind::ALL[..]), id())
            .prop_map(|(kind, id)| Statement::Describe { kind, id }),
        1 => id().prop_map(|host| Statement::DrainHost { host }),
        1 => id().prop_map(|job| Statement::CancelJob { job }),
        1 => id().prop_map(|job| Statement::DeleteJob { job }),
        1 => id().prop_map(|file| Statement::DeleteFile { file }),
        1 => id().prop_map(|service| Statement::DeleteService { service }),
        1 => id().prop_map(|customer| Statement::DeleteCustomer { customer }),
        1 => (id(), prop::collection::vec(customer_change, 1..4))
            .prop_map(|(customer, changes)| Statement::SetCustomer { customer, changes }),
        1 => prop::collection::vec(policy_change, 1..4)
            .prop_map(|changes| Statement::SetPolicy { changes }),
        1 => service().prop_map(|service| Statement::PutService(Box::new(service))),
    ]
}

fn cell() -> impl Strategy<Value = Cell> {
    prop_oneof![
        Just(Cell::Null),
        any::<bool>().prop_map(Cell::Boolean),
        (-2i64..3).prop_map(Cell::Integer),
        any::<i64>().prop_map(Cell::Integer),
        any::<f64>().prop_map(Cell::Float),
        (-2i32..3).prop_map(|number| Cell::Float(f64::from(number) / 2.0)),
        "[a-c]{0,2}".prop_map(Cell::Text),
    ]
}

fn table() -> impl Strategy<Value = Table> {
    prop::collection::vec(prop::collection::vec(cell(), 5), 0..30)
        .prop_map(|rows| Table { rows, ..Table::new(&["a", "b", "job", "state", "attempts"]) })
}

proptest! {
    /// Guards against a statement whose printed text parses to another statement, for example
    /// through missing quotes or parentheses.
    #[test]
    fn a_printed_statement_parses_back(statement in statement()) {
        let text = statement.to_string();
        prop_assert_eq!(text.parse::<Statement>().unwrap(), statement, "{}", text);
    }

    /// Guards against panics of the parser on arbitrary text and error positions outside the text.
    #[test]
    fn any_text_parses_or_fails_at_a_position_inside_it(text in ".{0,60}") {
        if let Err(error) = text.parse::<Statement>() {
            prop_assert!(text.is_char_boundary(error.position) && !error.expected.is_empty());
            prop_assert!(error.to_string().contains('^'));
        }
    }

    /// Guards against the same faults deeper in the grammar: keywords and symbols in random order
    /// reach further into it than arbitrary characters.
    #[test]
    fn any_words_parse_or_fail_at_a_position_inside_them(
        words in prop::collection::vec(select(vec![
            "show", "items", "where", "job", "=", "(", ")", "and", "or", "not", "in", ",", "'",
            "\"", "limit", "3", "order", "by", "desc", "is", "null", "put", "service", "{", "}",
            "{\"name\":", "\"ü\"", "set", "customer", "weight", ";", "after", "é", "\n",
        ]), 0..14),
        separator in select(vec!["", " "]),
    ) {
        let text = words.join(separator);
        match text.parse::<Statement>() {
            Ok(statement) => prop_assert_eq!(parse(&statement.to_string()), statement),
            Err(error) => {
                prop_assert!(text.is_char_boundary(error.position), "{}", error);
                prop_assert!(!error.expected.is_empty());
            }
        }
    }

    /// Guards against an inconsistent order, on which the standard sort panics, and against rows
    /// lost or repeated between pages.
    #[test]
    fn pages_together_contain_every_selected_row(
        mut show in show(), table in table(), page_rows in 1u32..7
    ) {
        (show.limit, show.after) = (None, None);
        let unpaged = show.evaluate(&table).unwrap();
        prop_assert_eq!(&unpaged.next, &None);
        let mut paged = Vec::new();
        show.limit = Some(page_rows);
        loop {
            let page = show.evaluate(&table).unwrap();
            prop_assert!(page.rows.len() <= page_rows as usize);
            paged.extend(page.rows);
            show.after = page.next;
            if show.after.is_none() {
                break;
            }
        }
        prop_assert_eq!(format!("{paged:?}"), format!("{:?}", unpaged.rows));
    }

    /// Guards against a row that satisfies both a condition and its negation, or neither.
    #[test]
    fn a_condition_and_its_negation_partition_the_rows(condition in condition(), table in table()) {
        let count_selected = |filter| {
            let filter = Some(filter);
            let order = Vec::new();
            let show = Show { table: TableName::Jobs, filter, order, limit: None, after: None };
            show.evaluate(&table).unwrap().rows.len()
        };
        let negation = Condition::Not(Box::new(condition.clone()));
        prop_assert_eq!(count_selected(condition) + count_selected(negation), table.rows.len());
    }
}

/// Guards against a wrong selection, order or cursor, and an error that does not list the columns.
#[test]
fn rows_are_filtered_sorted_and_limited() {
    let mut table = Table::new(&["job", "state", "attempts"]);
    for (job, state, attempts) in [("a", "failed", 1u64), ("b", "failed", 3), ("c", "done", 9)] {
        table.rows.push(vec![job.into(), state.into(), attempts.into()]);
    }
    let text = "show items where state = failed and attempts >= 1 order by attempts desc limit 1";
    let Statement::Show(show) = parse(text) else { panic!("not a read") };
    let page = show.evaluate(&table).unwrap();
    assert_eq!(page.rows, [&table.rows[1][..]]);
    assert_eq!(page.next.as_deref(), Some("1"));

    let Statement::Show(show) = parse("show items where jb = a") else { panic!("not a read") };
    let error = show.evaluate(&table).unwrap_err().to_string();
    assert_eq!(error, "no column 'jb': expected job, state, attempts");
}
