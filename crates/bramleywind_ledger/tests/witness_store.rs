//! Tests of the witness's copies of journals: each is a prefix of the holder's log, and a seal is permanent.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalEntry, JournalSnapshot, SealOutcome, SealReport, WitnessId,
    WitnessStore,
};
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, TokenCount};
use test_case::test_case;

fn witness(run: u64) -> WitnessId {
    WitnessId { instance: "akl-b-1".parse().unwrap(), run: IncarnationId::from_number(run) }
}

fn budget() -> BudgetId {
    "ferries".parse().unwrap()
}

fn batch(first: u64, tokens: &[u64]) -> JournalBatch {
    let reserve = |tokens: &u64| JournalEntry::Reserve {
        budget: budget(),
        tokens: TokenCount(*tokens),
        key: None,
    };
    JournalBatch {
        incarnation: IncarnationId::from_number(1),
        first: JournalSequence(first),
        entries: tokens.iter().map(reserve).collect(),
    }
}

/// Guards against a copy with a gap, which a reclaimer would mistake for the whole journal, and against
/// entries that are counted twice because a message was repeated.
#[test_case(2, &[1], AppendOutcome::Accepted, 31 ; "next entry")]
#[test_case(0, &[10, 20], AppendOutcome::Accepted, 30 ; "repeated")]
#[test_case(1, &[20, 5], AppendOutcome::Accepted, 35 ; "overlapping")]
#[test_case(3, &[5], AppendOutcome::Gap { expected: JournalSequence(2) }, 30 ; "after a gap")]
fn append_keeps_a_prefix(first: u64, tokens: &[u64], expected: AppendOutcome, open: u64) {
    let mut store = WitnessStore::new(witness(7));
    assert_eq!(store.append(&witness(7), &batch(0, &[10, 20])), AppendOutcome::Accepted);
    assert_eq!(store.append(&witness(7), &batch(first, tokens)), expected);
    let SealOutcome::Sealed(journal) = store.seal(&witness(7), IncarnationId::from_number(1))
    else {
        panic!("the seal was rejected");
    };
    let total: TokenCount = journal.budgets[&budget()].open.values().map(|open| open.tokens).sum();
    assert_eq!(total, TokenCount(open));
}

/// Guards against an entry that is acknowledged after a reclaimer has read the journal.
#[test]
fn a_seal_rejects_all_later_messages() {
    let mut store = WitnessStore::new(witness(7));
    let incarnation = IncarnationId::from_number(1);
    let sealed = store.seal(&witness(7), incarnation);
    assert_eq!(sealed, SealOutcome::Sealed(JournalSnapshot::empty(incarnation)));
    assert_eq!(store.append(&witness(7), &batch(0, &[10])), AppendOutcome::Sealed);
    let mut snapshot = JournalSnapshot::empty(incarnation);
    snapshot.next = JournalSequence(4);
    assert_eq!(store.install_snapshot(&witness(7), &snapshot), AppendOutcome::Sealed);
    assert_eq!(store.seal(&witness(7), incarnation), sealed);
}

/// Guards against a restarted process that answers as the earlier run, whose journals are lost.
#[test]
fn another_run_is_a_different_witness() {
    let mut store = WitnessStore::new(witness(8));
    let incarnation = IncarnationId::from_number(1);
    let snapshot = JournalSnapshot::empty(incarnation);
    assert_eq!(store.append(&witness(7), &batch(0, &[10])), AppendOutcome::WrongRun);
    assert_eq!(store.install_snapshot(&witness(7), &snapshot), AppendOutcome::WrongRun);
    assert_eq!(store.seal(&witness(7), incarnation), SealOutcome::WrongRun);
    assert!(store.is_empty());
}

/// Guards against a delayed snapshot that removes acknowledged entries.
#[test]
fn an_older_snapshot_has_no_effect() {
    let mut store = WitnessStore::new(witness(7));
    let incarnation = IncarnationId::from_number(1);
    store.append(&witness(7), &batch(0, &[10, 20]));
    let snapshot = JournalSnapshot::empty(incarnation);
    assert_eq!(store.install_snapshot(&witness(7), &snapshot), AppendOutcome::Accepted);
    let SealOutcome::Sealed(journal) = store.seal(&witness(7), incarnation) else {
        panic!("the seal was rejected");
    };
    assert_eq!(journal.next, JournalSequence(2));
}

/// Guards against a seal report that misses entries which only one witness has.
#[test]
fn a_report_takes_the_longest_copy() {
    let incarnation = IncarnationId::from_number(1);
    let mut long = JournalSnapshot::empty(incarnation);
    batch(0, &[10, 20]).entries.iter().for_each(|entry| assert!(long.apply(entry)));
    let short = JournalSnapshot::empty(incarnation);
    let report = SealReport::from_journals([short, long.clone()]).unwrap();
    assert_eq!(report.journalled(&budget()), long.budgets[&budget()]);
    assert_eq!(SealReport::from_journals([]), None);
}
