use serde::Serialize;

use super::{Outcome, Scenario, Strategy, run_scenario};

/// Figures of several strategies in the same scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// Description of the scenario.
    pub scenario: String,
    /// One row per strategy, the oracle last.
    pub rows: Vec<Row>,
}

/// One strategy in a comparison.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Description of the strategy.
    pub strategy: String,
    /// Figures of the run.
    pub outcome: Outcome,
    /// Imbalance divided by that of the oracle.
    pub against_oracle: f64,
}

const TABLE_HEAD: &str = "\
| way | broken flows | imbalance (CV) | / oracle | p50 ms | p99 ms | p999 ms | shed % | agent hops \
| requests passed % | report B/s | admitted after drain |
|---|---|---|---|---|---|---|---|---|---|---|---|";

impl Comparison {
    /// Runs `scenario` with each of `strategies` and with the oracle.
    #[must_use]
    pub fn run(scenario: &Scenario, strategies: &[Strategy]) -> Self {
        let oracle = run_scenario(&scenario.strategy(Strategy::Oracle));
        let mut rows: Vec<_> = strategies
            .iter()
            .map(|strategy| {
                row(
                    *strategy,
                    run_scenario(&scenario.strategy(*strategy)),
                    &oracle,
                )
            })
            .collect();
        rows.push(row(Strategy::Oracle, oracle.clone(), &oracle));
        Self {
            scenario: scenario.to_string(),
            rows,
        }
    }
}

fn row(strategy: Strategy, outcome: Outcome, oracle: &Outcome) -> Row {
    Row {
        strategy: strategy.to_string(),
        against_oracle: outcome.imbalance_cv / oracle.imbalance_cv,
        outcome,
    }
}

impl std::fmt::Display for Comparison {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}:\n\n{TABLE_HEAD}", self.scenario)?;
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let outcome = &self.outcome;
        write!(
            f,
            "| {} | {} | {:.3} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {:.1} | {:.0} | {} |",
            self.strategy,
            outcome.broken_flows,
            outcome.imbalance_cv,
            self.against_oracle,
            outcome.p50_ms,
            outcome.p99_ms,
            outcome.p999_ms,
            outcome.shed_percent,
            outcome.agent_hops,
            outcome.spread_percent,
            outcome.report_bytes_per_s,
            outcome.admitted_after_drain,
        )
    }
}
