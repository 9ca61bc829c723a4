//! The report of a run as text, JSON and an SVG chart.

use std::{
    fmt::Write as _,
    path::Path, //
};

use anyhow::anyhow;
use plotters::prelude::{
    BLACK,
    BLUE,
    ChartBuilder,
    Color as _,
    GREEN,
    IntoDrawingArea as _,
    LineSeries,
    MAGENTA,
    RED,
    RGBColor,
    SVGBackend,
    WHITE, //
};
use serde::Serialize;

use crate::measure::Measure;

/// Width and height of the chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (1000, 500);
/// Length of the intervals over which the chart takes percentiles, in seconds.
const INTERVAL_SECONDS: f64 = 1.0;
const COLORS: [RGBColor; 5] = [RED, BLUE, GREEN, MAGENTA, BLACK];

/// Measures of one strategy.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the strategy.
    pub strategy: &'static str,
    /// Measures of each phase.
    pub phases: Vec<Measure>,
    /// Scheduled time in seconds and first-token latency in milliseconds of each answered urgent
    /// model request.
    #[serde(skip)]
    pub points: Vec<(f64, f64)>,
}

/// Report of a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Seeds of the schedules.
    pub seeds: Vec<u64>,
    /// Contents of `/proc/loadavg` at the start of the run; empty if it cannot be read.
    pub load_average: String,
    /// Measures of each strategy.
    pub rows: Vec<Row>,
}

impl Report {
    /// Formats the report as text tables.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} seeds {:?}, load average at start {}\n",
            self.deployment, self.seeds, self.load_average
        );
        for phase in 0..self.rows.first().map_or(0, |row| row.phases.len()) {
            // Writing to a string cannot fail.
            writeln!(
                text,
                "\n{:<13} {:>5}  {:>27}  {:>20}  {:>20}  {:>9}  {:>9}  {:>13}  {:>4} {:>4}",
                self.rows[0].phases[phase].phase.as_str(),
                "hit",
                "urgent p50/p99/p99.9/worst",
                "plain p50/p99/worst",
                "may-wait p50/p99",
                "recomp kt",
                "comp kt",
                "ws worst/med",
                "ref",
                "fail",
            )
            .ok();
            for row in &self.rows {
                write_row(&mut text, row.strategy, &row.phases[phase]);
            }
        }
        for row in &self.rows {
            let mut examples = row.phases.iter().filter_map(|phase| phase.example.as_ref());
            if let Some(example) = examples.next_back() {
                writeln!(text, "{} failed, for example: {example}", row.strategy).ok();
            }
        }
        text
    }

    /// Plots the 95th percentile of the first-token latency of urgent model requests over time.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write_svg(&self, path: &Path) -> anyhow::Result<()> {
        let chart_error = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
        let curves: Vec<(&str, Vec<(f64, f64)>)> = self
            .rows
            .iter()
            .map(|row| (row.strategy, p95_curve(&row.points)))
            .collect();
        let points = || curves.iter().flat_map(|(_, curve)| curve);
        let max_seconds = points().map(|point| point.0).fold(1.0, f64::max);
        let max_ms = points().map(|point| point.1).fold(1.0, f64::max);
        let area = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(|error| chart_error(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_seconds, 0.0..max_ms)
            .map_err(|error| chart_error(&error))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("urgent first token, p95 of each second, ms")
            .draw()
            .map_err(|error| chart_error(&error))?;
        for (index, (name, curve)) in curves.into_iter().enumerate() {
            let color = COLORS[index % COLORS.len()];
            chart
                .draw_series(LineSeries::new(curve, &color))
                .map_err(|error| chart_error(&error))?
                .label(name)
                .legend(move |(x, y)| {
                    plotters::prelude::Rectangle::new([(x, y - 3), (x + 12, y + 3)], color.filled())
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()
            .map_err(|error| chart_error(&error))?;
        area.present().map_err(|error| chart_error(&error))
    }
}

fn write_row(text: &mut String, strategy: &str, measure: &Measure) {
    let Measure {
        urgent,
        plain,
        may_wait,
        ..
    } = measure;
    writeln!(
        text,
        "{strategy:<13} {:>5.3}  {:>27}  {:>20}  {:>20}  {:>9}  {:>9}  {:>13}  {:>4} {:>4}",
        measure.hit_rate,
        format!(
            "{:.0}/{:.0}/{:.0}/{:.0}",
            urgent.p50, urgent.p99, urgent.p999, urgent.worst
        ),
        format!("{:.0}/{:.0}/{:.0}", plain.p50, plain.p99, plain.worst),
        format!("{:.0}/{:.0}", may_wait.p50, may_wait.p99),
        measure.recomputed / 1000,
        measure.computed / 1000,
        format!(
            "{:.0}/{:.0}",
            measure.worst_workspace_p99, measure.median_workspace_p99
        ),
        measure.refused,
        measure.failed,
    )
    .ok();
}

/// Returns the 95th percentile of each interval, at the time of the interval's first point.
fn p95_curve(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    sorted
        .chunk_by(|a, b| (a.0 / INTERVAL_SECONDS).floor() == (b.0 / INTERVAL_SECONDS).floor())
        .map(|interval| {
            let mut values: Vec<f64> = interval.iter().map(|point| point.1).collect();
            values.sort_by(f64::total_cmp);
            (interval[0].0, values[values.len() * 95 / 100])
        })
        .collect()
}
