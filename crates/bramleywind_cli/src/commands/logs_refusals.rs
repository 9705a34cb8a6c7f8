//! `logs refusals`: checks the final refusals in gateways' logs against what was charged.

use std::{collections::BTreeMap, fmt, time::Duration};

use bramleywind_types::{TokenCount, WorkspaceId};
use serde::{Deserialize, Serialize};

use super::log_time::LogTime;
use crate::{CommandReport, Style};

/// The share of the prepaid total that may be out of reach, in hundredths, without a refusal being counted as early.
const TOLERATED_PERCENT: u64 = 5;

/// The final refusals of a workspace.
#[derive(Debug, Default, Serialize)]
pub struct WorkspaceRefusals {
    /// The prepaid total in the latest line that names it.
    pub prepaid: TokenCount,
    /// The tokens charged to all requests in the logs.
    pub charged: TokenCount,
    /// The number of final refusals.
    pub refusals: u64,
    /// The number of final refusals beside more uncharged tokens than are tolerated. Tokens that a lost process held count as
    /// uncharged.
    pub early_refusals: u64,
}

/// The report on all workspaces with final refusals.
#[derive(Debug, Serialize)]
pub struct RefusalReport {
    /// The workspaces with final refusals.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceRefusals>,
    /// The number of lines that are no log lines.
    pub skipped_lines: u64,
}

/// A log line of a gateway with the fields that the report needs.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: Box<str>,
    ts: Box<str>,
    workspace: Option<WorkspaceId>,
    #[serde(default)]
    outcome: Box<str>,
    #[serde(default)]
    elapsed_ms: u64,
    #[serde(default)]
    tokens_charged: u64,
    #[serde(default)]
    prepaid: u64,
    #[serde(default)]
    need: u64,
}

/// The charge of one request, which counts from its arrival.
struct Charge {
    arrived_at: LogTime,
    tokens: u64,
}

/// A final refusal.
struct Refusal {
    refused_at: LogTime,
    prepaid: u64,
    need: u64,
}

#[derive(Default)]
struct WorkspaceLog {
    charges: Vec<Charge>,
    refusals: Vec<Refusal>,
}

/// Reads the logs of all gateways, one JSON object a line. Text before the object is ignored.
pub fn check_refusals(text: &str) -> RefusalReport {
    let mut logs: BTreeMap<WorkspaceId, WorkspaceLog> = BTreeMap::new();
    let mut skipped_lines = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let parsed = line.find('{').and_then(|start| parse_line(&line[start..]));
        let Some((line, at)) = parsed else {
            skipped_lines += 1;
            continue;
        };
        let Some(workspace) = line.workspace else { continue };
        match (&*line.msg, &*line.outcome) {
            ("request ended", _) => logs.entry(workspace).or_default().charges.push(Charge {
                arrived_at: at.before(Duration::from_millis(line.elapsed_ms)),
                tokens: line.tokens_charged,
            }),
            ("funds missing", "Exhausted") => {
                logs.entry(workspace).or_default().refusals.push(Refusal {
                    refused_at: at,
                    prepaid: line.prepaid,
                    need: line.need,
                });
            }
            _ => {}
        }
    }
    logs.retain(|_, log| !log.refusals.is_empty());
    let workspaces = logs.into_iter().map(|(workspace, log)| (workspace, log.summarize()));
    RefusalReport { workspaces: workspaces.collect(), skipped_lines }
}

fn parse_line(text: &str) -> Option<(LogLine, LogTime)> {
    let line: LogLine = serde_json::from_str(text).ok()?;
    let at = line.ts.parse().ok()?;
    Some((line, at))
}

impl WorkspaceLog {
    fn summarize(mut self) -> WorkspaceRefusals {
        self.charges.sort_by_key(|charge| charge.arrived_at);
        self.refusals.sort_by_key(|refusal| refusal.refused_at);
        let mut charges = self.charges.iter().peekable();
        let mut charged = 0;
        let mut early_refusals = 0;
        for refusal in &self.refusals {
            while let Some(charge) =
                charges.next_if(|charge| charge.arrived_at <= refusal.refused_at)
            {
                charged += charge.tokens;
            }
            let uncharged = refusal.prepaid.saturating_sub(charged);
            let tolerated = refusal.prepaid / 100 * TOLERATED_PERCENT;
            early_refusals += u64::from(uncharged >= tolerated.saturating_add(refusal.need));
        }
        WorkspaceRefusals {
            prepaid: TokenCount(self.refusals.last().map_or(0, |refusal| refusal.prepaid)),
            charged: TokenCount(self.charges.iter().map(|charge| charge.tokens).sum()),
            refusals: self.refusals.len() as u64,
            early_refusals,
        }
    }
}

impl fmt::Display for RefusalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (heading, reset) = (Style::HEADING.render(), Style::HEADING.render_reset());
        write!(
            f,
            "{heading}{:<30} {:>15} {:>15} {:>10} {:>10}{reset}",
            "workspace", "prepaid", "charged", "refusals", "early"
        )?;
        for (workspace, found) in &self.workspaces {
            write!(
                f,
                "\n{workspace:<30} {:>15} {:>15} {:>10} {:>10}",
                found.prepaid, found.charged, found.refusals, found.early_refusals
            )?;
        }
        write!(f, "\n{} lines were no log lines", self.skipped_lines)
    }
}

impl CommandReport for RefusalReport {}
