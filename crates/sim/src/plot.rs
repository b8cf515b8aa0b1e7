//! Plots measurements as SVG files.

use crate::measure::Measures;
use eyre::{Result, eyre};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 420);
const WINDOW_SECONDS: f64 = 5.0;

/// Plots load per server, and key moves with rejected requests, over time.
///
/// # Errors
/// Returns an error if a file cannot be written.
pub fn plot(measures: &Measures, folder: &Path, deployment: &str) -> Result<()> {
    let name = |what: &str| {
        let Measures {
            scenario, policy, ..
        } = measures;
        folder.join(format!("{deployment}-{scenario}-{policy}-{what}.svg"))
    };
    let title = format!("{deployment}, {}, {}", measures.scenario, measures.policy);
    lines(
        &name("load"),
        &format!("{title}: requests/s per server"),
        &measures.load_series,
    )?;
    let events = [
        measures.move_series.clone(),
        measures.refusal_series.clone(),
    ];
    lines(
        &name("events"),
        &format!("{title}: sampled keys that moved (blue), requests refused or unknown (red)"),
        &events,
    )
}

fn lines(file: &Path, title: &str, series: &[Vec<f64>]) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| eyre!("plot {}: {error}", file.display());
    let most = series.iter().flatten().copied().fold(1.0, f64::max);
    let length = series.iter().map(Vec::len).max().unwrap_or(1);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..length as f64 * WINDOW_SECONDS, 0.0..most * 1.1)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(|error| failed(&error))?;
    for (position, values) in series.iter().enumerate() {
        let color = if series.len() == 2 {
            [BLUE, RED][position].to_rgba()
        } else {
            Palette99::pick(position).to_rgba()
        };
        let points = values
            .iter()
            .enumerate()
            .map(|(window, value)| (window as f64 * WINDOW_SECONDS, *value));
        let line = LineSeries::new(points, color.stroke_width(2));
        chart.draw_series(line).map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
