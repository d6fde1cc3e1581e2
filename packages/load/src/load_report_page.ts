/**
 * Formats load reports as one HTML page with plots over time.
 */

import {
  formatReports,
  type LoadReport,
  type SecondStats,
} from "./load_report.ts";
import { readPlotLibrary } from "./plot_library.ts";

/** Fault injected during a run, marked in the plots. */
export interface FaultMark {
  /** Seconds since the start. */
  readonly second: number;
  /** Text beside the mark. */
  readonly label: string;
}

interface Plot {
  readonly title: string;
  readonly read: (second: SecondStats) => number;
}

const plots: readonly Plot[] = [
  { title: "requests due a second", read: (s) => s.due },
  {
    title: "share on time, %",
    read: (s) => (s.due === 0 ? 100 : 100 * s.onTime / s.due),
  },
  { title: "first token p95, ms", read: (s) => s.firstP95 },
  { title: "refused a second", read: (s) => s.refused },
  { title: "failed a second", read: (s) => s.failed },
];

const colours = ["#1b6ca8", "#c1440e", "#2e7d32", "#6a1b9a", "#8a6d00"];

const plotScript = `
const { plots, marks, colours } = JSON.parse(
  document.getElementById("data").textContent);
const drawMarks = (u) => {
  u.ctx.save();
  u.ctx.strokeStyle = "#888";
  u.ctx.fillStyle = "#444";
  for (const mark of marks) {
    const x = u.valToPos(mark.second, "x", true);
    u.ctx.beginPath();
    u.ctx.moveTo(x, u.bbox.top);
    u.ctx.lineTo(x, u.bbox.top + u.bbox.height);
    u.ctx.stroke();
    u.ctx.fillText(mark.label, x + 4, u.bbox.top + 12);
  }
  u.ctx.restore();
};
for (const plot of plots) {
  new uPlot({
    title: plot.title, width: 900, height: 240,
    scales: { x: { time: false } },
    hooks: { draw: [drawMarks] },
    series: [{ label: "second" }, ...plot.names.map((label, index) => ({
      label, stroke: colours[index % colours.length], width: 2,
    }))],
  }, plot.data, document.getElementById("plots"));
}`;

/** Formats the page, which contains the plot library and needs no network. */
export function formatReportPage(
  reports: readonly LoadReport[],
  marks: readonly FaultMark[] = [],
): string {
  const { script, style } = readPlotLibrary();
  const data = {
    plots: plots.map((plot) => computePlotData(plot, reports)),
    marks,
    colours,
  };
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>almondcrank load report</title>
<style>${style}
body { font-family: sans-serif; margin: 2em; }</style></head>
<body><h1>Load report</h1><pre>${escapeText(formatReports(reports))}</pre>
<div id="plots"></div>
<script type="application/json" id="data">${escapeJson(data)}</script>
<script>${script}</script><script>${plotScript}</script></body></html>
`;
}

function computePlotData(
  plot: Plot,
  reports: readonly LoadReport[],
): object {
  const last = Math.max(
    0,
    ...reports.flatMap((report) => report.timeline.map((s) => s.second)),
  );
  const seconds = Array.from({ length: last + 1 }, (_, index) => index);
  const columns = reports.map((report) => {
    const bySecond = new Map(report.timeline.map((s) => [s.second, s]));
    return seconds.map((second) => {
      const stats = bySecond.get(second);
      return stats === undefined ? null : plot.read(stats);
    });
  });
  return {
    title: plot.title,
    names: reports.map((report) => report.target),
    data: [seconds, ...columns],
  };
}

function escapeText(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;");
}

/** Formats JSON that cannot end the script element around it. */
function escapeJson(value: object): string {
  return JSON.stringify(value).replace(/</g, "\\u003c");
}
