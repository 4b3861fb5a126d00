#!/usr/bin/env node
// Prints what a run of the users' bench cost, from the file that its --report
// wrote: one line a count, each also for an instance and second, and how the
// tries ended. Two files are printed side by side.
//
//   Meta/report-counts.mjs BEFORE.json [AFTER.json]
import { readFileSync } from "node:fs";

const files = process.argv.slice(2);
if (files.length < 1 || files.length > 2) {
  console.error("usage: Meta/report-counts.mjs BEFORE.json [AFTER.json]");
  process.exit(2);
}

function rowsOf(report) {
  const rows = new Map();
  const machineSeconds =
    report.prices.find(([name]) => name === "machine-seconds")?.[1] ?? 0;
  rows.set("worth", report.G.toFixed(3));
  for (const key of ["served", "refused", "failed"]) {
    rows.set(key, report[key].toFixed(3));
  }
  for (const [name, , value] of report.parts) {
    rows.set(name, value.toFixed(3));
  }
  for (const [name, count, price] of report.prices) {
    if (price === 0) continue;
    const each = machineSeconds > 0 ? count / machineSeconds : 0;
    rows.set(name, `${count} (${each.toFixed(3)} each, -${price.toFixed(4)})`);
  }
  for (const [code, n] of Object.entries(report.ends)) {
    rows.set(`tries: ${code}`, n);
  }
  return rows;
}

const columns = files.map((it) => rowsOf(JSON.parse(readFileSync(it, "utf8"))));
const names = new Set(columns.flatMap((it) => [...it.keys()]));
for (const name of names) {
  const cells = columns.map((it) => String(it.get(name) ?? "-").padEnd(40));
  console.log(name.padEnd(36), ...cells);
}
