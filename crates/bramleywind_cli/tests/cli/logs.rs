//! Guards against a report that misses final refusals beside unused tokens, or blames those of a budget that is used up.

use bramleywind_cli::commands::logs_refusals::check_refusals;
use test_case::test_case;

/// Returns the lines of a request that was charged 900 of 1,000 tokens and of a refusal at the given second, which lacks `need`.
fn log_lines(refused_at: u32, need: u32) -> String {
    format!(
        r#"  1.5 front-1 {{"msg":"request ended","ts":"2026-12-31T23:59:59.5Z","workspace":"menders","outcome":"answered","elapsed_ms":500,"tokens_charged":900}}
a line of another program
  2.0 front-2 {{"msg":"funds missing","ts":"2026-12-31T23:59:{refused_at:02}Z","workspace":"menders","outcome":"Exhausted","prepaid":1000,"need":{need}}}
"#
    )
}

#[test_case(58, 60, 1; "before the request was charged")]
#[test_case(59, 60, 0; "while the request is open, within the tolerance")]
#[test_case(59, 40, 1; "while the request is open, with enough left")]
fn early_refusals_are_counted(refused_at: u32, need: u32, expected: u64) {
    let report = check_refusals(&log_lines(refused_at, need));
    let found = &report.workspaces[&"menders".parse().unwrap()];
    assert_eq!((found.refusals, found.early_refusals), (1, expected));
    assert_eq!((found.prepaid.0, found.charged.0, report.skipped_lines), (1_000, 900, 1));
}

#[test]
fn report_is_a_table() {
    let text =
        anstream::adapter::strip_str(&check_refusals(&log_lines(58, 60)).to_string()).to_string();
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("logs_refusals", text);
    });
}
