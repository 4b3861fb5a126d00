// Tests that node's pg driver works with papayaline unchanged.
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { after, before, test } from "node:test";
import pg from "pg";

const DEMO = process.env.PAPAYALINE_DEMO;
let demo;
let port;

before(async () => {
  demo = spawn(DEMO, { stdio: ["pipe", "pipe", "inherit"] });
  for await (const line of createInterface({ input: demo.stdout })) {
    const match = line.match(/host=127\.0\.0\.1 port=(\d+)/);
    if (match) {
      port = Number(match[1]);
      return;
    }
  }
});

after(() => demo.stdin.end("\n"));

async function withClient(use) {
  const client = new pg.Client({ host: "127.0.0.1", port, user: "agents", database: "reminders" });
  await client.connect();
  try {
    return await use(client);
  } finally {
    await client.end();
  }
}

test("driver_simpleAndParameterized_readsOwnWrites", async () => {
  await withClient(async (client) => {
    await client.query("CREATE TABLE sent (id INTEGER, name TEXT)");
    const inserted = await client.query("INSERT INTO sent VALUES ($1, $2) RETURNING id", [7, "Lin"]);
    assert.equal(Number(inserted.rows[0].id), 7);
    assert.equal(inserted.rowCount, 1);
  });
  await withClient(async (client) => {
    const read = await client.query("SELECT name FROM sent WHERE id = $1", [7]);
    assert.equal(read.rows[0].name, "Lin");
  });
});

test("driver_namedPreparedStatement_isReused", async () => {
  await withClient(async (client) => {
    for (const n of [1, 2, 3]) {
      const result = await client.query({ name: "twice", text: "SELECT $1 * 2 AS n", values: [n] });
      assert.equal(Number(result.rows[0].n), 2 * n);
    }
  });
});

test("driver_transactionRolledBack_leavesNothing", async () => {
  await withClient(async (client) => {
    await client.query("CREATE TABLE plots (id INTEGER)");
    await client.query("BEGIN");
    await client.query("INSERT INTO plots VALUES (1)");
    await client.query("ROLLBACK");
    const result = await client.query("SELECT count(*) AS n FROM plots");
    assert.equal(Number(result.rows[0].n), 0);
  });
});

test("driver_unsupportedStatement_getsItsSqlState", async () => {
  await withClient(async (client) => {
    await assert.rejects(client.query("LISTEN x"), { code: "0A000" });
    const result = await client.query("SELECT 1 AS n");
    assert.equal(Number(result.rows[0].n), 1);
  });
});
