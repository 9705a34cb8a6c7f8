use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use bramleywind_claims::{
    CrashReport, CrashReportId, CrashTracker, HomeCandidate, IdempotencyCache, KeyClaimRequest,
    KeyFinishRequest, RecordedOutcome, RequestFingerprint, choose_homes,
};
use bramleywind_config::{OperatorSigningKey, SignedConfig};
use bramleywind_ledger::{
    BudgetPage, BudgetRecord, JournalBatch, JournalEntry, SliceRecord, WitnessId, WitnessStore,
};
use bramleywind_store::{MAX_VALUE_BYTES, StoreKey};
use bramleywind_types::{
    BodyHash, BudgetId, ConfigRevision, EndpointId, IncarnationId, JournalSequence, RequestId,
    RequestKey, TokenCount,
};

use crate::{
    MeasureResult, TARGET_BUDGETS, fleet_shape, measurement_table::MeasurementTable,
    process_sample::ProcessSample,
};

/// The workspaces and budgets of the measured configurations. The last one has the target size.
const DOCUMENT_SHAPES: [(usize, usize); 4] =
    [(10, 460), (60, 2_760), (820, 38_000), (4_100, TARGET_BUDGETS)];

/// The numbers of budgets in a journal. Each settlement looks up its budget.
const JOURNAL_BUDGETS: [usize; 3] = [10, 500, 5_000];

/// The numbers of routers from which the homes of a key are chosen.
const HOME_CANDIDATES: [usize; 3] = [6, 96, 380];

/// Measures the sizes and processor times of single data structures.
pub fn measure(table: &mut MeasurementTable) -> MeasureResult<()> {
    measure_documents(table)?;
    measure_pages(table)?;
    for budgets in JOURNAL_BUDGETS {
        measure_journal(table, budgets)?;
    }
    for routers in HOME_CANDIDATES {
        measure_choice_of_homes(table, routers)?;
    }
    measure_idempotency_cache(table)?;
    measure_crash_reports(table)
}

/// Measures signed configurations: their size in the store, and the processor time of checking one.
fn measure_documents(table: &mut MeasurementTable) -> MeasureResult<()> {
    let key = OperatorSigningKey::from_seed([7; 32]);
    for (workspaces, budgets) in DOCUMENT_SHAPES {
        let document = fleet_shape::config_document(None, workspaces, budgets, 0)?;
        let text = serde_json::to_string(&document)?;
        drop(document);
        let signed = SignedConfig::sign(ConfigRevision(1), &text, &key);
        let value = signed.to_bytes();
        let before = ProcessSample::read_own()?;
        let opened = signed.open(&key.public_key())?;
        let after = ProcessSample::read_own()?;
        let seconds = after.processor_seconds - before.processor_seconds;
        let mut add = |quantity, value| table.add("document", budgets, quantity, value);
        add("text_bytes", text.len() as f64);
        add("store_value_bytes", value.len() as f64);
        add("store_value_bytes_per_budget", value.len() as f64 / budgets as f64);
        add("store_values_needed", value.len() as f64 / MAX_VALUE_BYTES as f64);
        add("check_processor_s", seconds);
        drop(opened);
    }
    table.print_fits("document", TARGET_BUDGETS)?;
    Ok(())
}

/// Measures the pages of all budgets of the target size, each budget used and with no, two or eight slices.
fn measure_pages(table: &mut MeasurementTable) -> MeasureResult<()> {
    for slices in [0, 2, 8] {
        let mut pages: BTreeMap<StoreKey, BudgetPage> = BTreeMap::new();
        for index in 0..TARGET_BUDGETS {
            let budget: BudgetId = fleet_shape::budget_name(index).parse()?;
            let page = pages.entry(StoreKey::budget_page(&budget)).or_default();
            page.budgets.insert(budget, budget_record(slices)?);
        }
        let sizes: Vec<usize> = pages.values().map(|page| page.to_bytes().len()).collect();
        let page = pages.values().next().cloned().unwrap_or_default();
        let bytes = page.to_bytes();
        let swap = measure_processor_us(|_| {
            let read = BudgetPage::from_bytes(black_box(&bytes)).unwrap_or_default();
            black_box(read.to_bytes());
        })?;
        let total: usize = sizes.iter().sum();
        let mut add = |quantity, value| table.add("page", slices, quantity, value);
        add("bytes_per_budget", total as f64 / TARGET_BUDGETS as f64);
        add("mean_page_bytes", total as f64 / sizes.len() as f64);
        add("largest_page_bytes", sizes.iter().copied().max().unwrap_or(0) as f64);
        add("all_pages_mb", total as f64 / 1e6);
        add("read_and_write_processor_us", swap);
    }
    Ok(())
}

/// Returns the record of a used budget with the given number of slices, each of another router.
pub fn budget_record(slices: usize) -> MeasureResult<BudgetRecord> {
    let mut record = BudgetRecord::default();
    record.set_base(ConfigRevision(812), TokenCount(100_000_000));
    record.settled = TokenCount(41_234_567);
    for slice in 0..slices {
        let holder = format!("north-a-r{slice:03}").parse()?;
        let (granted, settled) = (TokenCount(81_920), TokenCount(40_960));
        record.slices.insert(IncarnationId::random(), SliceRecord { holder, granted, settled });
    }
    Ok(record)
}

/// Measures the journal copy at a witness. A request is a reservation and its settlement.
fn measure_journal(table: &mut MeasurementTable, budgets: usize) -> MeasureResult<()> {
    let own = WitnessId { instance: "north-a-r000".parse()?, run: IncarnationId::from_number(1) };
    let incarnation = IncarnationId::from_number(2);
    let names: Vec<BudgetId> = (0..budgets)
        .map(|index| fleet_shape::budget_name(index).parse())
        .collect::<Result<_, _>>()?;
    let mut store = WitnessStore::new(own.clone());
    let mut next = JournalSequence(0);
    let mut append = |entry: JournalEntry| {
        let batch = JournalBatch { incarnation, first: next, entries: vec![entry] };
        next = next.next();
        black_box(store.append(&own, &batch));
        batch
    };
    let mut bytes = 0.0;
    let processor = measure_processor_us(|iteration| {
        let budget = names[iteration % names.len()].clone();
        let key = Some(request_key(iteration));
        let reserve = append(JournalEntry::Reserve { budget, tokens: TokenCount(2_048), key });
        let settle =
            append(JournalEntry::Settle { reservation: reserve.first, billed: TokenCount(812) });
        if iteration == 0 {
            bytes = (encoded_size(&reserve) + encoded_size(&settle)) as f64;
        }
    })?;
    table.add("journal", budgets, "processor_us_per_request", processor);
    table.add("journal", budgets, "bytes_per_request_and_witness", bytes);
    Ok(())
}

/// Measures the choice of the homes of a key.
fn measure_choice_of_homes(table: &mut MeasurementTable, routers: usize) -> MeasureResult<()> {
    let candidate = |index: usize| -> MeasureResult<HomeCandidate> {
        Ok(HomeCandidate {
            instance: format!("north-a-r{index:03}").parse()?,
            data_centre: format!("north-{}", index % 5).parse()?,
        })
    };
    let candidates: Vec<_> = (0..routers).map(candidate).collect::<Result<_, _>>()?;
    let processor = measure_processor_us(|iteration| {
        black_box(choose_homes(&request_key(iteration), &candidates));
    })?;
    table.add("home_choice", routers, "processor_us_per_keyed_request", processor);
    Ok(())
}

/// Measures a claim of a key and its recorded outcome, in the cache of one home.
fn measure_idempotency_cache(table: &mut MeasurementTable) -> MeasureResult<()> {
    let mut cache = IdempotencyCache::default();
    let now = Instant::now();
    let holder: bramleywind_types::InstanceId = "north-a-r000".parse()?;
    let mut bytes = 0.0;
    let processor = measure_processor_us(|iteration| {
        let (key, attempt) = (request_key(iteration), RequestId::random());
        let body_hash = BodyHash::of(&[b"body"]);
        let holder = holder.clone();
        let claim = KeyClaimRequest { key: key.clone(), body_hash, holder, attempt };
        black_box(cache.claim(&claim, |_| true, now));
        let outcome = RecordedOutcome {
            status: 200,
            content_type: Some("application/json".into()),
            body: vec![b'x'; 512],
        };
        let finish = KeyFinishRequest { key, attempt, outcome: Some(outcome) };
        black_box(cache.finish(&finish, now));
        if iteration == 0 {
            bytes = (encoded_size(&claim) + encoded_size(&finish)) as f64;
        }
    })?;
    table.add("key_home", 512, "processor_us_per_request", processor);
    table.add("key_home", 512, "bytes_per_request_and_home", bytes);
    table.add("key_home", 512, "state_bytes_per_key", cache.bytes() as f64 / cache.len() as f64);
    Ok(())
}

/// Measures the crash reports that a router receives from a peer.
fn measure_crash_reports(table: &mut MeasurementTable) -> MeasureResult<()> {
    let endpoint: EndpointId = "engine-1".parse()?;
    let workspace: bramleywind_types::WorkspaceId = "workspace-0001".parse()?;
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut bytes = 0.0;
    let processor = measure_processor_us(|iteration| {
        let body_hash = BodyHash::of(&[&iteration.to_le_bytes()]);
        let fingerprint = RequestFingerprint { workspace: workspace.clone(), body_hash };
        let id = CrashReportId(iteration as u64);
        let report = CrashReport::Strike { id, fingerprint, endpoint: endpoint.clone() };
        tracker.apply(&report, now);
        if iteration == 0 {
            bytes = encoded_size(&report) as f64;
        }
    })?;
    table.add("strike", 1, "processor_us_per_report", processor);
    table.add("strike", 1, "bytes_per_report_and_peer", bytes);
    Ok(())
}

/// Returns a different key for each iteration.
fn request_key(iteration: usize) -> RequestKey {
    RequestKey {
        workspace: "workspace-0001".parse().expect("the name is valid"),
        key: format!("order-{iteration:012}").parse().expect("the key is valid"),
    }
}

/// Returns the size of a message body as peer connections encode it, without frame and envelope.
fn encoded_size(message: &impl serde::Serialize) -> usize {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len())
}

/// Returns the processor time of one iteration of `work`, in microseconds, as the mean over half a second.
fn measure_processor_us(mut work: impl FnMut(usize)) -> MeasureResult<f64> {
    let before = ProcessSample::read_own()?;
    let started_at = Instant::now();
    let mut iterations = 0;
    while started_at.elapsed() < Duration::from_millis(500) {
        work(iterations);
        iterations += 1;
    }
    let after = ProcessSample::read_own()?;
    let seconds = after.processor_seconds - before.processor_seconds;
    Ok(1e6 * seconds / iterations as f64)
}
