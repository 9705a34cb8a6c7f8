//! Table tests of the operations on budget records, and property tests of generated sequences against a model.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;

use bramleywind_ledger::{
    BudgetError, BudgetPage, BudgetRecord, JournalledBudget, MAX_UNRESOLVED_RESERVATIONS,
    MemberRecord, OpenReservation, WitnessId,
};
use bramleywind_types::{
    ConfigRevision, IncarnationId, InstanceId, JournalSequence, RequestKey, TokenCount,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use test_case::test_case;

fn incarnation(number: u64) -> IncarnationId {
    IncarnationId::from_number(number)
}

fn holder() -> InstanceId {
    "akl-a-1".parse().unwrap()
}

fn key(text: &str) -> RequestKey {
    RequestKey { workspace: "ferries".parse().unwrap(), key: text.parse().unwrap() }
}

fn record(credit: u64) -> BudgetRecord {
    let mut record = BudgetRecord::default();
    assert!(record.set_base(ConfigRevision(1), TokenCount(credit)));
    record
}

fn journalled(settled: u64, open: &[(u64, u64)]) -> JournalledBudget {
    let open = open.iter().map(|(sequence, tokens)| {
        let key = Some(key(&format!("key-{sequence}")));
        (JournalSequence(*sequence), OpenReservation { tokens: TokenCount(*tokens), key })
    });
    JournalledBudget { settled: TokenCount(settled), open: open.collect() }
}

/// Guards against a grant that exceeds the pool.
#[test_case(100, &[30], 30, 70 ; "from a full pool")]
#[test_case(100, &[60, 60], 40, 0 ; "only what is left")]
#[test_case(100, &[100, 1], 0, 0 ; "nothing from an empty pool")]
#[test_case(0, &[5], 0, 0 ; "nothing without credit")]
fn grants_come_out_of_the_pool(credit: u64, asked: &[u64], last: u64, pool: u64) {
    let mut record = record(credit);
    let grants = asked
        .iter()
        .zip(1..)
        .map(|(tokens, number)| record.grant(incarnation(number), &holder(), TokenCount(*tokens)));
    assert_eq!(grants.last(), Some(TokenCount(last)));
    assert_eq!(record.pool(), TokenCount(pool));
}

/// Guards against a close that drops acknowledged reservations, or that refunds more than it counted.
#[test_case(20, &[], 20, 80, 0 ; "settled only")]
#[test_case(20, &[(3, 25)], 45, 55, 1 ; "open reservations count as spent")]
#[test_case(20, &[(3, 40)], 50, 50, 0 ; "more than the grant counts the whole grant and lists nothing")]
#[test_case(0, &[], 0, 100, 0 ; "unused")]
fn closing_counts_acknowledged_entries(
    settled: u64,
    open: &[(u64, u64)],
    counted: u64,
    pool: u64,
    listed: usize,
) {
    let mut record = record(100);
    record.grant(incarnation(1), &holder(), TokenCount(50));
    assert!(record.close_sealed_slice(incarnation(1), &journalled(settled, open)));
    assert_eq!((record.settled, record.pool()), (TokenCount(counted), TokenCount(pool)));
    assert_eq!(record.unresolved.len(), listed);
    // Closing again has no effect, as by a second reclaimer.
    let closed = record.clone();
    assert!(!record.close_sealed_slice(incarnation(1), &journalled(settled, open)));
    assert_eq!(record, closed);
}

/// Guards against a refund that is made twice or that exceeds the counted tokens.
#[test_case(10, Some(15) ; "less than reserved")]
#[test_case(25, Some(0) ; "all that was reserved")]
#[test_case(99, Some(0) ; "a bill never exceeds its reservation")]
fn a_late_settlement_is_refunded_once(billed: u64, refund: Option<u64>) {
    let mut record = record(100);
    record.grant(incarnation(1), &holder(), TokenCount(50));
    record.close_sealed_slice(incarnation(1), &journalled(0, &[(3, 25)]));
    let mut resolve =
        || record.resolve_reservation(incarnation(1), JournalSequence(3), TokenCount(billed));
    assert_eq!(resolve(), refund.map(TokenCount));
    assert_eq!(resolve(), None);
    assert_eq!(record.settled, TokenCount(25 - refund.unwrap()));
}

/// Guards against a retry that refunds its own bill or that of another request.
#[test]
fn a_retry_refunds_only_other_attempts_of_its_key() {
    let mut record = record(100);
    record.grant(incarnation(1), &holder(), TokenCount(50));
    record.close_sealed_slice(incarnation(1), &journalled(0, &[(3, 25), (4, 5)]));
    let is_billed =
        |entry: &bramleywind_ledger::UnresolvedReservation| entry.sequence == JournalSequence(3);
    assert_eq!(record.resolve_key(&key("key-3"), is_billed), TokenCount(0));
    assert_eq!(record.resolve_key(&key("key-3"), |_| false), TokenCount(25));
    assert_eq!(record.resolve_key(&key("key-3"), |_| false), TokenCount(0));
    assert_eq!((record.settled, record.unresolved.len()), (TokenCount(5), 1));
}

/// Guards against a list of unresolved reservations that exceeds the store's largest value.
#[test]
fn unresolved_reservations_are_bounded() {
    let mut record = record(1_000_000);
    let open: Vec<_> =
        (0..MAX_UNRESOLVED_RESERVATIONS as u64 + 5).map(|sequence| (sequence, 1)).collect();
    record.grant(incarnation(1), &holder(), TokenCount(10_000));
    record.close_sealed_slice(incarnation(1), &journalled(0, &open));
    assert_eq!(record.unresolved.len(), MAX_UNRESOLVED_RESERVATIONS);
    assert_eq!(record.settled, TokenCount(open.len() as u64));
}

/// Guards against a repeated top-up that is counted twice or that changes the amount.
#[test]
fn top_up_is_idempotent() {
    let mut record = record(100);
    let operation: bramleywind_types::OperationId = "op-1".parse().unwrap();
    assert_eq!(record.top_up(operation.clone(), TokenCount(40)), Ok(true));
    assert_eq!(record.top_up(operation.clone(), TokenCount(40)), Ok(false));
    assert_eq!(record.credit(), TokenCount(140));
    let error = record.top_up(operation, TokenCount(41)).unwrap_err();
    assert_eq!(
        error.to_string(),
        "operation `op-1` already added `40` tokens, not `41`; choose a new operation id"
    );
    let error = record.top_up("op-2".parse().unwrap(), TokenCount(u64::MAX)).unwrap_err();
    assert!(matches!(error, BudgetError::CreditOverflow { .. }));
}

/// Guards against a base below the committed tokens that is set without an error for the operator.
#[test_case(2, 60, Ok(()) ; "down to the committed tokens")]
#[test_case(2, 59, Err("base of `59` tokens is below what is spent or granted; set it to at least `60`") ; "below")]
#[test_case(1, 90, Err("revision `1` is not newer than revision `1` of the base; apply it as a newer revision") ; "old revision")]
#[test_case(2, 500, Ok(()) ; "up")]
fn a_base_below_the_committed_tokens_is_rejected(
    revision: u64,
    tokens: u64,
    expected: Result<(), &str>,
) {
    let mut record = record(100);
    record.grant(incarnation(1), &holder(), TokenCount(80));
    record.settle_slice(incarnation(1), TokenCount(30));
    record.grant(incarnation(2), &holder(), TokenCount(50));
    record.top_up("op-1".parse().unwrap(), TokenCount(20)).unwrap();
    let outcome = record.try_set_base(ConfigRevision(revision), TokenCount(tokens));
    assert_eq!(outcome.map_err(|error| error.to_string()), expected.map_err(str::to_owned));
}

/// Guards against an older configuration revision that replaces a newer one.
#[test]
fn base_follows_the_highest_revision() {
    let mut record = record(100);
    record.grant(incarnation(1), &holder(), TokenCount(90));
    assert!(record.set_base(ConfigRevision(3), TokenCount(50)));
    assert!(!record.set_base(ConfigRevision(2), TokenCount(500)));
    assert_eq!((record.credit(), record.pool()), (TokenCount(50), TokenCount(0)));
    assert_eq!(record.grant(incarnation(1), &holder(), TokenCount(1)), TokenCount(0));
}

/// Guards against a witness list that is considered final while the incarnation may still change it.
#[test]
fn only_sealed_or_superseded_witnesses_are_final() {
    let witness = WitnessId { instance: holder(), run: incarnation(9) };
    let mut member = MemberRecord {
        instance: holder(),
        incarnation: incarnation(2),
        run: incarnation(2),
        data_centre: "akl-a".parse().unwrap(),
        witnesses: vec![witness.clone()],
        sealed: false,
        superseded: BTreeMap::from([(incarnation(1), Vec::new())]),
    };
    assert_eq!(member.final_witnesses(incarnation(2)), None);
    assert_eq!(member.final_witnesses(incarnation(1)), Some([].as_slice()));
    assert_eq!(member.final_witnesses(incarnation(3)), None);
    member.sealed = true;
    assert_eq!(member.final_witnesses(incarnation(2)), Some([witness].as_slice()));
    assert_eq!(MemberRecord::from_bytes(&member.to_bytes()).unwrap(), member);
}

/// Guards against a change of the stored format, which older routers could not read.
#[test]
fn page_keeps_its_stored_format() {
    let mut page = BudgetPage::default();
    let record = page.budgets.entry("spring-season".parse().unwrap()).or_default();
    record.set_base(ConfigRevision(7), TokenCount(500));
    record.top_up("op-1".parse().unwrap(), TokenCount(50)).unwrap();
    record.grant(incarnation(1), &holder(), TokenCount(90));
    record.close_sealed_slice(incarnation(1), &journalled(5, &[(3, 25)]));
    record.grant(incarnation(2), &holder(), TokenCount(40));
    record.update_settled(incarnation(2), TokenCount(12));
    let text = String::from_utf8(page.to_bytes()).unwrap();
    insta::assert_snapshot!(text, @r#"{"budgets":{"spring-season":{"base":{"revision":7,"tokens":500},"top_ups":{"op-1":50},"settled":30,"slices":{"0000000000000002":{"holder":"akl-a-1","granted":40,"settled":12}},"unresolved":[{"incarnation":"0000000000000001","sequence":3,"key":{"workspace":"ferries","key":"key-3"},"tokens":25}]}}}"#);
    assert_eq!(BudgetPage::from_bytes(text.as_bytes()).unwrap(), page);
    assert!(BudgetPage::from_bytes(br#"{"budgets":{},"later_field":1}"#).is_err());
}

#[derive(Debug, Clone)]
enum RecordStep {
    Grant { slice: u64, tokens: u64 },
    Spend { slice: u64, tokens: u64, billed: u64 },
    ReleaseSurplus { slice: u64 },
    Close { slice: u64 },
    Resolve { pick: usize, billed: u64 },
    TopUp { operation: u8, tokens: u64 },
    SetBase { tokens: u64 },
}

fn any_record_step() -> impl Strategy<Value = RecordStep> {
    use RecordStep::{Close, Grant, ReleaseSurplus, Resolve, SetBase, Spend, TopUp};
    prop_oneof![
        (1..4_u64, 1..80_u64).prop_map(|(slice, tokens)| Grant { slice, tokens }),
        (1..4_u64, 1..60_u64, 0..60_u64).prop_map(|(slice, tokens, billed)| Spend {
            slice,
            tokens,
            billed
        }),
        (1..4_u64).prop_map(|slice| ReleaseSurplus { slice }),
        (1..4_u64).prop_map(|slice| Close { slice }),
        (any::<usize>(), 0..60_u64).prop_map(|(pick, billed)| Resolve { pick, billed }),
        (0..6_u8, 1..60_u64).prop_map(|(operation, tokens)| TopUp { operation, tokens }),
        (0..200_u64).prop_map(|tokens| SetBase { tokens }),
    ]
}

/// Guards against a sequence of operations after which the bills and open reservations exceed the committed
/// tokens of the record, or these exceed the credit.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn records_stay_within_the_credit(seed: u8) {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let steps = prop::collection::vec(any_record_step(), 1..60);
    let outcome = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut record = record(100);
        let mut journals: BTreeMap<u64, JournalledBudget> = BTreeMap::new();
        let (mut total_billed, mut sequence) = (0, 0);
        let mut open_tokens: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for step in steps {
            match step {
                RecordStep::Grant { slice, tokens } => {
                    record.grant(incarnation(slice), &holder(), TokenCount(tokens));
                }
                RecordStep::Spend { slice, tokens, billed } => {
                    let Some(granted) = record.slices.get(&incarnation(slice)) else { continue };
                    let journal = journals.entry(slice).or_default();
                    let open: TokenCount = journal.open.values().map(|open| open.tokens).sum();
                    let committed = journal.settled.saturating_add(open).0;
                    if committed + tokens > granted.granted.0 {
                        continue;
                    }
                    sequence += 1;
                    if billed < tokens {
                        journal.settled = journal.settled.saturating_add(TokenCount(billed));
                        total_billed += billed;
                    } else {
                        let reservation = OpenReservation { tokens: TokenCount(tokens), key: None };
                        journal.open.insert(JournalSequence(sequence), reservation);
                        open_tokens.insert((slice, sequence), tokens);
                    }
                }
                RecordStep::ReleaseSurplus { slice } => {
                    let journal = journals.entry(slice).or_default();
                    let open = journal.open.values().map(|open| open.tokens).sum();
                    let committed = journal.settled.saturating_add(open);
                    record.release_surplus(incarnation(slice), committed);
                }
                RecordStep::Close { slice } => {
                    let journal = journals.remove(&slice).unwrap_or_default();
                    record.close_sealed_slice(incarnation(slice), &journal);
                }
                RecordStep::Resolve { pick, billed } => {
                    if record.unresolved.is_empty() {
                        continue;
                    }
                    let entry = record.unresolved[pick % record.unresolved.len()].clone();
                    let billed = billed.min(entry.tokens.0);
                    record.resolve_reservation(
                        entry.incarnation,
                        entry.sequence,
                        TokenCount(billed),
                    );
                    open_tokens.remove(&(entry.incarnation.number(), entry.sequence.0));
                    total_billed += billed;
                }
                RecordStep::TopUp { operation, tokens } => {
                    let operation = format!("op-{operation}").parse().unwrap();
                    let _refusal = record.top_up(operation, TokenCount(tokens));
                }
                RecordStep::SetBase { tokens } => {
                    let revision = record.base.revision.next();
                    let _refusal = record.try_set_base(revision, TokenCount(tokens));
                }
            }
            let liabilities = total_billed + open_tokens.values().sum::<u64>();
            prop_assert!(TokenCount(liabilities) <= record.committed(), "{record:?}");
            prop_assert!(record.committed() <= record.credit(), "{record:?}");
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("seed {seed}: {error}");
    }
}
