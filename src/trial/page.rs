//! Renders the report as one self-contained HTML page with plots.

use std::fmt::Write;

use super::report::RunReport;
use super::run::{Series, TrialResult};
use super::tally::SLICE_MS;

/// Width of a plot, in pixels.
const WIDTH: f64 = 460.0;
/// Height of a plot, in pixels.
const HEIGHT: f64 = 180.0;
/// Space for the labels of the vertical axis, in pixels.
const MARGIN: f64 = 42.0;
/// Number of intervals on the vertical axis.
const TICKS: u32 = 4;
/// Colours of the lines of a plot, in order; they repeat after the last.
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#2e8b57", "#8e6bbf", "#d48806", "#555555",
];
const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;color:#222;background:#fafafa;\
margin:2rem auto;max-width:1040px;padding:0 1rem}h1{font-size:1.5rem}h2{margin-top:2.2rem;\
font-size:1.2rem}table{border-collapse:collapse;background:#fff}th,td{border:1px solid #ddd;\
padding:.25rem .6rem;text-align:right}th:first-child,td:first-child{text-align:left}\
.plots{display:flex;flex-wrap:wrap;gap:1rem}figure{margin:0;background:#fff;border:1px solid #ddd;\
padding:.5rem}figcaption{font-weight:600}svg text{font-size:10px;fill:#555}.legend span{\
margin-right:1rem}.legend i{display:inline-block;width:.8rem;height:.2rem;margin-right:.3rem;\
vertical-align:middle}p.note{background:#fff3cd;border:1px solid #e0c060;padding:.5rem}";

/// One line of a plot, with a value for each slice of time; `None` leaves a slice out.
struct Line<'a> {
    name: &'a str,
    values: Vec<Option<f64>>,
}

/// One plot over time, with the surge shaded.
struct Plot<'a> {
    title: &'a str,
    unit: &'a str,
    surge_ms: (u64, u64),
    lines: Vec<Line<'a>>,
}

/// Renders the page.
pub fn page(result: &TrialResult) -> String {
    let report = &result.report;
    let mut html = String::new();
    let _ = write!(
        html,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>burdockhall trial: {0}</title><style>{STYLE}</style></head><body>\
         <h1>burdockhall trial: {0}</h1><p>Seed {1}, scale {2}, faults besides the surge: {3}. \
         The trigger, a surge of demand while the deep service is slow, is shaded.</p>",
        escape(&report.deployment),
        report.seed,
        report.scale,
        if report.faults.is_empty() {
            "none".to_owned()
        } else {
            escape(&report.faults.join(", "))
        },
    );
    write_summary(&mut html, &report.runs);
    for (run, series) in report.runs.iter().zip(&result.series) {
        write_run(&mut html, run, series);
    }
    html.push_str("</body></html>\n");
    html
}

fn write_summary(html: &mut String, runs: &[RunReport]) {
    html.push_str(
        "<table><tr><th>policy</th><th>calm /s</th><th>surge /s</th><th>goodput /s</th>\
         <th>important /s</th><th>recovery ms</th><th>extra attempts</th><th>executed twice</th>\
         <th>not-run but ran</th><th>wrong answers</th><th>added p99 µs</th><th>busy</th></tr>",
    );
    for run in runs {
        let _ = write!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.0}%</td></tr>",
            run.policy,
            cell(run.calm_goodput_per_s),
            cell(run.surge_goodput_per_s),
            cell(run.goodput_per_s),
            cell(run.important_goodput_per_s),
            run.recovery_cell(),
            cell(run.extra_attempts_max),
            run.executed_twice,
            run.not_run_but_ran,
            run.wrong_answers,
            cell(run.added_p99_us),
            run.busy_share * 100.0,
        );
    }
    html.push_str("</table>");
}

fn write_run(html: &mut String, run: &RunReport, series: &Series) {
    let _ = write!(html, "<h2>{}</h2>", run.policy);
    if run.machine_bound() {
        html.push_str(
            "<p class=\"note\">The machine was the bottleneck of this run, so its plots are left \
             out.</p>",
        );
        return;
    }
    html.push_str("<div class=\"plots\">");
    for plot in plots(series) {
        plot.write(html);
    }
    html.push_str("</div>");
}

fn plots(series: &Series) -> Vec<Plot<'_>> {
    let plot = |title, unit, lines| Plot {
        title,
        unit,
        surge_ms: series.surge_ms,
        lines,
    };
    let classes = series.done.iter().map(|(name, counts)| Line {
        name,
        values: per_second(counts),
    });
    let refusals = Line {
        name: "refusals",
        values: per_second(&series.refusals),
    };
    let latency = Line {
        name: "mean latency",
        values: series.latency_ms.clone(),
    };
    let limits = vec![
        Line {
            name: "first service",
            values: bounded_limits(&series.front_limit),
        },
        Line {
            name: "deep service",
            values: bounded_limits(&series.deep_limit),
        },
    ];
    vec![
        plot("Goodput by class", "requests/s", classes.collect()),
        plot("Refusals", "answers/s", vec![refusals]),
        plot("Latency of whole answers", "ms", vec![latency]),
        plot("Concurrency limit", "slots", limits),
    ]
}

impl Plot<'_> {
    fn write(&self, html: &mut String) {
        let y_max = self.y_max();
        let count = self.lines.iter().map(|line| line.values.len()).max();
        let duration_ms = (count.unwrap_or(0) as u64 * SLICE_MS).max(1) as f64;
        let x = |at_ms: f64| MARGIN + at_ms / duration_ms * (WIDTH - MARGIN - 8.0);
        let y = |value: f64| HEIGHT - 20.0 - value / y_max * (HEIGHT - 32.0);
        let _ = write!(
            html,
            "<figure><figcaption>{} ({})</figcaption><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" \
             role=\"img\" aria-label=\"{}\">",
            self.title, self.unit, self.title
        );
        let (from, to) = (x(self.surge_ms.0 as f64), x(self.surge_ms.1 as f64));
        let _ = write!(
            html,
            "<rect x=\"{from:.1}\" y=\"8\" width=\"{:.1}\" height=\"{:.1}\" fill=\"#f3d9a4\" \
             opacity=\"0.6\"/>",
            to - from,
            HEIGHT - 28.0
        );
        for tick in 0..=TICKS {
            let value = y_max * f64::from(tick) / f64::from(TICKS);
            let _ = write!(
                html,
                "<line x1=\"{MARGIN}\" x2=\"{:.1}\" y1=\"{1:.1}\" y2=\"{1:.1}\" \
                 stroke=\"#e4e4e4\"/><text x=\"{2:.1}\" y=\"{3:.1}\" text-anchor=\"end\">{4}</text>",
                WIDTH - 8.0,
                y(value),
                MARGIN - 4.0,
                y(value) + 3.0,
                label(value)
            );
        }
        for second in 0..=(duration_ms / 1_000.0) as u64 {
            let _ = write!(
                html,
                "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{second} s</text>",
                x(second as f64 * 1_000.0),
                HEIGHT - 5.0
            );
        }
        for (index, line) in self.lines.iter().enumerate() {
            let points = line.values.iter().enumerate().filter_map(|(slice, value)| {
                let at_ms = (slice as f64 + 0.5) * SLICE_MS as f64;
                value.map(|value| format!("{:.1},{:.1}", x(at_ms), y(value)))
            });
            let points: Vec<String> = points.collect();
            let _ = write!(
                html,
                "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"{}\"/>",
                colour(index),
                points.join(" ")
            );
        }
        html.push_str("</svg><div class=\"legend\">");
        for (index, line) in self.lines.iter().enumerate() {
            let _ = write!(
                html,
                "<span><i style=\"background:{}\"></i>{}</span>",
                colour(index),
                escape(line.name)
            );
        }
        html.push_str("</div></figure>");
    }

    fn y_max(&self) -> f64 {
        let values = self.lines.iter().flat_map(|line| &line.values);
        values.flatten().fold(1.0_f64, |max, value| max.max(*value)) * 1.05
    }
}

fn per_second(counts: &[u64]) -> Vec<Option<f64>> {
    let factor = 1_000.0 / SLICE_MS as f64;
    counts
        .iter()
        .map(|count| Some(*count as f64 * factor))
        .collect()
}

/// Leaves out slices without a limit: an unlimited daemon adds `u32::MAX` to the sum.
fn bounded_limits(values: &[u64]) -> Vec<Option<f64>> {
    let bounded = |value: &u64| (*value < u64::from(u32::MAX)).then_some(*value as f64);
    values.iter().map(bounded).collect()
}

fn colour(index: usize) -> &'static str {
    COLOURS[index % COLOURS.len()]
}

fn label(value: f64) -> String {
    if value < 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.0}")
    }
}

fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "–".to_owned(), |value| value.to_string())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
