//! Guards against a page `docs/errors.md` that disagrees with the codes of the program.

use std::{collections::BTreeMap, fs, path::Path};

use tarragon_codes::Code;
use yare::parameterized;

/// Cells of each table row of the page: code, meaning, HTTP status, advice.
fn table_rows() -> Vec<[String; 4]> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/errors.md");
    let text = fs::read_to_string(path).unwrap();
    let rows = text.lines().filter_map(|line| {
        let cells: Vec<_> = line
            .strip_prefix("| ")?
            .strip_suffix(" |")?
            .split(" | ")
            .collect();
        let cells: [&str; 4] = cells.try_into().ok()?;
        cells[0].parse::<u16>().ok()?;
        Some(cells.map(str::to_owned))
    });
    rows.collect()
}

#[test]
fn page_lists_each_code_once_in_order() {
    let listed: Vec<_> = table_rows()
        .into_iter()
        .map(|[number, ..]| number)
        .collect();
    let codes: Vec<_> = Code::ALL
        .iter()
        .map(|code| code.number().to_string())
        .collect();
    assert_eq!(listed, codes);
}

#[parameterized(
    meaning = { 1, |code| code.to_string() },
    status = { 2, |code| code.http_status().to_string() },
    advice = { 3, |code| code.advice().to_owned() },
)]
fn page_column_matches_the_code(column: usize, expected: fn(Code) -> String) {
    let rows: BTreeMap<_, _> = table_rows()
        .into_iter()
        .map(|row| (row[0].clone(), row))
        .collect();
    for &code in Code::ALL {
        assert_eq!(
            rows[&code.number().to_string()][column],
            expected(code),
            "{code}"
        );
    }
}

#[test]
fn codes_have_statuses_of_their_group() {
    for &code in Code::ALL {
        let status = code.http_status();
        assert!((400..600).contains(&status), "{code}");
        // A load balancer tries another host only after one of these statuses.
        if (5_000..6_000).contains(&code.number()) {
            assert!(matches!(status, 503 | 504), "{code}");
        }
    }
}
