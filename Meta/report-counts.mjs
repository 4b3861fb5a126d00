#!/usr/bin/env node
// Prints the costs of a bench run from the JSON file that --report writes: one
// line per count, with the count per instance and second, and the number of
// attempts per result. Prints two files side by side.
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
