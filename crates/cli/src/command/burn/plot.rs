//! SVG plots of the report.

use std::time;

use plotters::prelude::*;
use skylark_core::burn;

use super::text;
use crate::error;

const WIDTH_PIXELS: u32 = 1_000;
const HEIGHT_PIXELS: u32 = 340;
const ROW_HEIGHT_PIXELS: u32 = 26;
const MARGIN_PIXELS: u32 = 12;
const AXIS_HEIGHT_PIXELS: u32 = 48;
const LEGEND_PIXELS: i32 = 18;
const MIN_BURN_RATE: f64 = 0.1;
const MIN_LATENCY_MILLIS: f64 = 0.1;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const FONT: &str = "sans-serif";
const COLORS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(120, 94, 60),
];
const OBJECTIVE_COLOR: RGBColor = RGBColor(207, 34, 46);

/// Draws the burn rate of each service over time.
///
/// # Errors
///
/// Fails when the plot cannot be drawn.
pub fn burn(report: &burn::Report) -> error::Result<String> {
    let mut svg = String::new();
    draw_burn(report, &mut svg).map_err(|error| error::Error::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw_burn(report: &burn::Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, (WIDTH_PIXELS, HEIGHT_PIXELS)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || report.series.iter().flat_map(|series| &series.points);
    let highest = points().map(|point| point.burn_rate).fold(1.0, f64::max);
    let seconds = |millis: u64| time::Duration::from_millis(millis).as_secs_f64();
    let from = report.from.as_millis();
    let end = seconds(report.to.as_millis() - from).max(1.0);
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(AXIS_HEIGHT_PIXELS)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, (MIN_BURN_RATE..highest * 2.0).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("seconds since the first request")
        .y_desc("burn rate, 0.1 and less on the axis")
        .y_label_formatter(&|burn| format!("{burn}"))
        .label_style((FONT, 14))
        .draw()?;
    let objective = [(0.0, 1.0), (end, 1.0)];
    chart.draw_series(LineSeries::new(objective, OBJECTIVE_COLOR.stroke_width(1)))?;
    for (number, series) in report.series.iter().enumerate() {
        let color = COLORS[number % COLORS.len()];
        let coordinates = |point: &burn::Point| {
            let at = seconds(point.at.as_millis() - from);
            (at, point.burn_rate.max(MIN_BURN_RATE))
        };
        let line = LineSeries::new(series.points.iter().map(coordinates), color.stroke_width(2));
        chart
            .draw_series(line.point_size(2))?
            .label(series.service.as_str())
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + LEGEND_PIXELS, y)], color.stroke_width(3))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .label_font((FONT, 14))
        .draw()?;
    root.present()?;
    Ok(())
}

/// Draws the latency of each client account, as bars from the median to the 99th percentile.
///
/// # Errors
///
/// Fails when the plot cannot be drawn.
pub fn latency(report: &burn::Report) -> error::Result<String> {
    let mut svg = String::new();
    draw_latency(report, &mut svg).map_err(|error| error::Error::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw_latency(report: &burn::Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let rows = u32::try_from(report.rows.len())?;
    let height = ROW_HEIGHT_PIXELS * rows + AXIS_HEIGHT_PIXELS + 2 * MARGIN_PIXELS;
    let root = SVGBackend::with_string(svg, (WIDTH_PIXELS, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let bars: Vec<Bar> = report.rows.iter().map(Bar::new).collect();
    let longest = bars
        .iter()
        .map(|bar| bar.end.max(bar.objective))
        .fold(1.0, f64::max);
    let labels: Vec<String> = report
        .rows
        .iter()
        .map(|row| format!("{} / {}", text::account(row), row.service))
        .collect();
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(AXIS_HEIGHT_PIXELS)
        .y_label_area_size(260)
        .build_cartesian_2d(
            (MIN_LATENCY_MILLIS..longest * 2.0).log_scale(),
            (0..rows).into_segmented(),
        )?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("milliseconds")
        .x_label_formatter(&|millis| format!("{millis}"))
        .y_labels(labels.len())
        .y_label_formatter(&|position| label(position, rows, &labels))
        .label_style((FONT, 14))
        .draw()?;
    let services = super::services(report);
    for (number, (row, bar)) in report.rows.iter().zip(&bars).enumerate() {
        let position = rows - 1 - u32::try_from(number)?;
        let (low, high) = (
            SegmentValue::Exact(position),
            SegmentValue::Exact(position + 1),
        );
        let service = services
            .iter()
            .position(|name| *name == row.service.as_str());
        let color = COLORS[service.unwrap_or(0) % COLORS.len()];
        let corners = [(bar.start, low.clone()), (bar.end, high.clone())];
        let mut shape = Rectangle::new(corners, color.filled());
        shape.set_margin(5, 5, 0, 0);
        let mark = PathElement::new(
            [(bar.objective, low), (bar.objective, high)],
            OBJECTIVE_COLOR.stroke_width(2),
        );
        chart.draw_series([shape])?;
        chart.draw_series([mark])?;
    }
    root.present()?;
    Ok(())
}

/// Bar of one row in the latency plot, with its ends and the objective in milliseconds.
struct Bar {
    start: f64,
    end: f64,
    objective: f64,
}

impl Bar {
    fn new(row: &burn::Row) -> Self {
        let start = as_millis(row.latency.p50);
        Self {
            start,
            end: as_millis(row.latency.p99).max(start * 1.02),
            objective: row.within.get().as_secs_f64() * MILLIS_PER_SECOND,
        }
    }
}

fn as_millis(micros: u64) -> f64 {
    let latency = time::Duration::from_micros(micros);
    (latency.as_secs_f64() * MILLIS_PER_SECOND).max(MIN_LATENCY_MILLIS)
}

/// Returns the label at a position of the vertical axis.
///
/// The axis counts from the bottom, so the first row has the last position.
fn label(position: &SegmentValue<u32>, rows: u32, labels: &[String]) -> String {
    let (SegmentValue::CenterOf(position) | SegmentValue::Exact(position)) = position else {
        return String::new();
    };
    let number = rows.checked_sub(position + 1).map(usize::try_from);
    let label = number.and_then(|number| labels.get(number.ok()?));
    label.cloned().unwrap_or_default()
}
