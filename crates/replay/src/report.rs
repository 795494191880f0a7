//! Reports of measured values, as a Markdown table, a JSON file and SVG plots.

use std::{fs, path::Path};

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::stats::SampleSummary;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PIXELS: (u32, u32) = (720, 360);

/// The value of one measure for one subject, such as a routing policy.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MeasureRow {
    /// Name of the measure.
    pub measure: String,
    /// Unit of the value.
    pub unit: String,
    /// Name of what was measured, such as a policy.
    pub subject: String,
    /// Summary of the value over all runs.
    pub value: SampleSummary,
}

/// All measures of a comparison or benchmark.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MeasureReport {
    /// Title of the report.
    pub title: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Conditions under which the values were measured, such as sizes and time scale.
    pub conditions: Vec<String>,
    /// The values, in the order in which they are printed.
    pub rows: Vec<MeasureRow>,
}

impl MeasureReport {
    /// Adds a measure of a subject. `values` holds one value for each run.
    pub fn push(&mut self, measure: &str, unit: &str, subject: &str, values: &[f64]) {
        self.rows.push(MeasureRow {
            measure: measure.to_string(),
            unit: unit.to_string(),
            subject: subject.to_string(),
            value: SampleSummary::from_values(values),
        });
    }

    /// Distinct names of the measures, in the order of their first rows.
    fn measure_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for row in &self.rows {
            if !names.contains(&row.measure.as_str()) {
                names.push(&row.measure);
            }
        }
        names
    }

    fn rows_for<'a>(&'a self, measure: &'a str) -> impl Iterator<Item = &'a MeasureRow> {
        self.rows.iter().filter(move |row| row.measure == measure)
    }

    /// Formats the report as a Markdown table with the median and the range of each measure.
    pub fn table(&self) -> String {
        let mut text = format!("{}\n", self.title);
        for condition in &self.conditions {
            text.push_str(&format!("- {condition}\n"));
        }
        text.push_str("\n| measure | subject | median | lowest | highest | runs |\n");
        text.push_str("|---|---|---:|---:|---:|---:|\n");
        for row in &self.rows {
            let SampleSummary { median, low, high, runs } = row.value;
            let MeasureRow { measure, unit, subject, .. } = row;
            text.push_str(&format!(
                "| {measure} ({unit}) | {subject} | {median:.3} | {low:.3} | {high:.3} | {runs} |\n"
            ));
        }
        text
    }

    /// Writes `NAME.md`, `NAME.json` and one `NAME-MEASURE.svg` for each measure to `folder`.
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be written, or a plot cannot be drawn.
    pub fn write(&self, folder: &Path, name: &str) -> Result<()> {
        fs::create_dir_all(folder)
            .wrap_err_with(|| format!("failed to create {}", folder.display()))?;
        let save = |file: String, text: String| {
            let path = folder.join(file);
            fs::write(&path, text).wrap_err_with(|| format!("failed to write {}", path.display()))
        };
        save(format!("{name}.md"), self.table())?;
        save(format!("{name}.json"), serde_json::to_string_pretty(self)? + "\n")?;
        for measure in self.measure_names() {
            let file = format!("{name}-{}.svg", measure.replace([' ', '/'], "-"));
            let rows: Vec<&MeasureRow> = self.rows_for(measure).collect();
            let plot =
                render_plot(&rows).map_err(|cause| eyre!("failed to plot {measure}: {cause}"))?;
            save(file, plot)?;
        }
        Ok(())
    }
}

/// Draws one measure as SVG: a bar with the median for each subject, and a line from the lowest to
/// the highest value.
fn render_plot(rows: &[&MeasureRow]) -> Result<String, Box<dyn std::error::Error + Send + Sync>> {
    let mut text = String::new();
    let Some(first) = rows.first() else { return Ok(text) };
    let highest = rows.iter().map(|row| row.value.high).fold(0.0, f64::max);
    let y_max = if highest > 0.0 { highest * 1.1 } else { 1.0 };
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let subjects = rows.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{} ({})", first.measure, first.unit), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(-0.5..subjects - 0.5, 0.0..y_max)?;
        let label = |x: &f64| {
            let index = x.round();
            let on_tick = (x - index).abs() < 0.05 && index >= 0.0;
            let row = if on_tick { rows.get(index as usize) } else { None };
            row.map(|row| row.subject.clone()).unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(rows.len() * 2 + 1)
            .x_label_formatter(&label)
            .draw()?;
        chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
            let x = index as f64;
            let corners = [(x - 0.3, 0.0), (x + 0.3, row.value.median)];
            Rectangle::new(corners, RGBColor(70, 120, 180).filled())
        }))?;
        chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
            let x = index as f64;
            PathElement::new(vec![(x, row.value.low), (x, row.value.high)], BLACK)
        }))?;
        area.present()?;
    }
    Ok(text)
}
