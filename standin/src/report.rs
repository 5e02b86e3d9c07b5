//! Reports the figures of runs as a table, as ratios and as a plot.

use crate::experiment::{Figures, Outcome};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};
use std::{fmt::Write, path::Path};

/// Label of a figure and its value in a run.
type Row = (&'static str, fn(&Figures) -> f64);

/// Rows of the table.
const ROWS: [Row; 17] = [
    ("requests", |f| f.requests as f64),
    ("served in time, share", |f| f.goodput),
    ("load stall, total s", |f| f.stall_total),
    ("  interactive, s", |f| f.stall_by_class[0]),
    ("  standard, s", |f| f.stall_by_class[1]),
    ("  batch, s", |f| f.stall_by_class[2]),
    ("requests that stalled, share", |f| f.stalled),
    ("load stall p50, ms", |f| f.stall_p50 as f64),
    ("load stall p99, ms", |f| f.stall_p99 as f64),
    ("batch efficiency", |f| f.efficiency),
    ("loads", |f| f.loads as f64),
    ("loads per 1,000 requests", |f| f.loads_per_1000),
    ("repeated loads", |f| f.repeated_loads as f64),
    ("most loads in a second", |f| f64::from(f.peak_loads)),
    ("first token p95, ms", |f| f.first_p95 as f64),
    ("owners, highest/lowest share", |f| f.fairness),
    ("recovery, s", |f| f.recovery),
];

/// Formats a table with a column per run.
pub fn table(runs: &[Figures]) -> String {
    let mut out = String::new();
    if let Some(first) = runs.first() {
        let (name, seed, bound) = (&first.scenario, first.seed, first.clairvoyant_loads);
        let _infallible = writeln!(out, "{name}, seed {seed}; clairvoyant loads {bound}");
    }
    let _infallible = write!(out, "{:<30}", "");
    for run in runs {
        let _infallible = write!(out, "{:>18}", run.policy);
    }
    out.push('\n');
    for (name, value) in ROWS {
        let _infallible = write!(out, "{name:<30}");
        for run in runs {
            let _infallible = write!(out, "{:>18.3}", value(run));
        }
        out.push('\n');
    }
    out
}

/// Formats the figures of the last run relative to the best baseline other than `cost-lru`.
pub fn ratios(runs: &[Figures]) -> String {
    let Some((policy, baselines)) = runs.split_last() else {
        return String::new();
    };
    let best = |value: fn(&Figures) -> f64, lowest: bool| {
        let values = baselines
            .iter()
            .filter(|f| f.policy != "cost-lru")
            .map(value);
        if lowest {
            values.fold(f64::MAX, f64::min)
        } else {
            values.fold(0.0, f64::max)
        }
    };
    let stall = policy.stall_total / best(|f| f.stall_total, true);
    let efficiency = policy.efficiency / best(|f| f.efficiency, false);
    let misses = policy.misses - best(|f| f.misses, true);
    let loads = policy.loads as f64 / policy.clairvoyant_loads.max(1) as f64;
    format!(
        "policy against the best baseline: load stall {stall:.3}x, batch efficiency \
         {efficiency:.3}x, deadline misses {misses:+.3}; loads {loads:.2}x the clairvoyant minimum\n"
    )
}

/// Plots the cumulative distribution of the load stalls of several runs as SVG.
///
/// # Errors
/// Fails if the file could not be written.
pub fn plot(path: &Path, outcomes: &[Outcome]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let name = outcomes.first().map_or("", |o| o.figures.scenario.as_str());
    let highest = outcomes
        .iter()
        .flat_map(|o| o.records.iter().map(|r| r.stall_ms))
        .max();
    let highest = highest.unwrap_or(1).max(1) as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{name}: load stalls"),
            ("sans-serif", 20).into_font(),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..highest, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("load stall, s")
        .y_desc("share of requests")
        .draw()?;
    for (n, outcome) in outcomes.iter().enumerate() {
        let mut stalls: Vec<u64> = outcome.records.iter().map(|r| r.stall_ms).collect();
        stalls.sort_unstable();
        let total = stalls.len().max(1) as f64;
        let points = stalls
            .iter()
            .enumerate()
            .map(move |(i, ms)| (*ms as f64 / 1_000.0, (i + 1) as f64 / total));
        let colour = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(outcome.figures.policy.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
