/**
 * Streams while replicas of several software versions serve, over real sockets
 * and against stand-ins of the platform. What two versions write doesn't fit
 * together; the stand-ins write their version into each event.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { originPath } from "@almondcrank/gateway/cluster/origin_exchange.ts";
import { countRuns, runWithSetup } from "./testing/gateway_helpers.ts";
import type {
  AddedReplicaOptions,
  GatewaySetup,
} from "./testing/gateway_setup.ts";

const versions = ["v1", "v2"] as const;
const eventCount = 40;
const eventMs = 10;
/** Time that leaving replicas go on serving, as in the nodes' settings. */
const drainMs = 1_000;

/** Replaces the replicas by new ones, two of each version. */
async function replaceReplicas(
  setup: GatewaySetup,
  options: AddedReplicaOptions = {},
): Promise<void> {
  for (const version of versions) {
    for (const copy of ["a", "b"]) {
      await addReplica(setup, `${version}-${copy}`, version, options);
    }
  }
  setup.store.remove("servers", "model-1");
  setup.store.remove("servers", "model-2");
  await sleep(400);
}

async function addReplica(
  setup: GatewaySetup,
  id: string,
  softwareVersion: string,
  options: AddedReplicaOptions = {},
): Promise<void> {
  const replica = await setup.addReplica(id, "models", {
    events: eventCount,
    eventMs,
    ...options,
    softwareVersion,
  });
  replica.tokenText = softwareVersion;
}

/** Formats events as replicas of one version write them. */
function formatVersion(version: string, from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id += 1) {
    text += `id: ${id}\ndata: ${version} ${id}\n\n`;
  }
  return text;
}

/** Begins a stream, closes its connection midway and tells what it brought. */
async function beginStream(
  setup: GatewaySetup,
  id: string,
  node = 0,
): Promise<{ readonly version: string; readonly lastId: number }> {
  const begun = await setup.call({
    path: "/answer/stream",
    id,
    node,
    abortAfterEvents: 10,
  });
  const events = [...begun.body.matchAll(/id: (\d+)\ndata: (\S+) /g)];
  const last = events.at(-1);
  assert.ok(last !== undefined, `${id} brought no event`);
  return { version: last?.[2] ?? "", lastId: Number(last?.[1]) };
}

function callResume(
  setup: GatewaySetup,
  { id, resumes, lastId, node }: {
    readonly id: string;
    readonly resumes?: string;
    readonly lastId: number;
    readonly node: number;
  },
): ReturnType<GatewaySetup["call"]> {
  return setup.call({
    path: "/answer/stream",
    id,
    node,
    headers: {
      "Last-Event-Id": String(lastId),
      ...(resumes === undefined ? {} : { Resumes: resumes }),
    },
  });
}

/** Whether a node was told of the first `count` streams. */
async function knowsAll(
  setup: GatewaySetup,
  node: number,
  count: number,
): Promise<boolean> {
  const control = `http://${setup.findControlAddress(node)}`;
  const answers = await Promise.all(
    Array.from({ length: count }, (_, at) => {
      const id = Buffer.from(`first-${at}`).toString("base64url");
      return fetch(control + originPath + id);
    }),
  );
  return answers.every(({ status }) => status === 200);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("a broken stream continues at a replica of its software version", async () => {
  await runWithSetup(1, async (setup) => {
    await replaceReplicas(setup);
    for (const version of versions) {
      const broken = setup.findReplica(`${version}-a`);
      broken.fault = { kind: "break", events: 5 };
    }
    const ids = Array.from({ length: 16 }, (_, at) => `broken-${at}`);
    const answers = await Promise.all(
      ids.map((id) => setup.call({ path: "/answer/stream", id })),
    );
    let resumed = 0;
    for (const [at, id] of ids.entries()) {
      if (countRuns(setup, id) < 2) continue;
      resumed += 1;
      const body = answers[at]?.body ?? "";
      const version = /data: (\S+) 1\n/.exec(body)?.[1] ?? "";
      assert.is(body, formatVersion(version, 1, eventCount));
      assert.is(answers[at]?.isComplete, true);
    }
    assert.ok(resumed >= 2, `${resumed} resumed`);
  });
});

test("a run moves only to a replica of its software version", async () => {
  await runWithSetup(1, async (setup) => {
    const slow = { events: 80, eventMs: 20 };
    await addReplica(setup, "old", "v1", slow);
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await sleep(400);
    const streaming = setup.call({ path: "/once/stream", id: "moved" });
    await setup.waitUntil(() => countRuns(setup, "moved") === 1);
    for (const id of ["new-1", "new-2", "new-3", "new-4"]) {
      await addReplica(setup, id, "v2", slow);
    }
    await addReplica(setup, "same", "v1", slow);
    await sleep(300);
    setup.registerReplica("old", "models", "draining", { leaves_ms: 900 });
    const answer = await streaming;
    assert.is(answer.body, formatVersion("v1", 1, 80));
    assert.is(countRuns(setup, "moved"), 2);
  });
});

test("a stream whose caller comes back at another node continues at its software version", async () => {
  await runWithSetup(3, async (setup) => {
    await replaceReplicas(setup);
    const begun = await Promise.all(
      Array.from({ length: 16 }, (_, at) => beginStream(setup, `first-${at}`)),
    );
    for (const [at, { version, lastId }] of begun.entries()) {
      const rest = await callResume(setup, {
        id: `second-${at}`,
        resumes: `first-${at}`,
        lastId,
        node: 1 + at % 2,
      });
      assert.is(rest.status, 200, rest.body);
      assert.is(rest.body, formatVersion(version, lastId + 1, eventCount));
    }
    assert.is(new Set(begun.map(({ version }) => version)).size, 2);
  });
});

test("a stream whose node has ended continues at its software version", async () => {
  await runWithSetup(3, async (setup) => {
    await replaceReplicas(setup);
    const begun = await Promise.all(
      Array.from(
        { length: 12 },
        (_, at) => beginStream(setup, `first-${at}`, 2),
      ),
    );
    for (const node of [0, 1]) {
      await setup.waitUntil(() => knowsAll(setup, node, begun.length));
    }
    setup.nodes[2]?.dispose();
    const rests = await Promise.all(
      begun.map(({ lastId }, at) =>
        callResume(setup, {
          id: `second-${at}`,
          resumes: `first-${at}`,
          lastId,
          node: at % 2,
        })
      ),
    );
    for (const [at, rest] of rests.entries()) {
      const { version, lastId } = begun[at] ?? { version: "", lastId: 0 };
      assert.is(rest.status, 200, `${rest.status} ${rest.body}`);
      assert.is(rest.body, formatVersion(version, lastId + 1, eventCount));
    }
    assert.is(new Set(begun.map(({ version }) => version)).size, 2);
  });
});

test("a stream that began before a second software version started continues at the first", async () => {
  await runWithSetup(2, async (setup) => {
    await addReplica(setup, "old-1", "v1", { events: 80, eventMs: 20 });
    await addReplica(setup, "old-2", "v1", { events: 80, eventMs: 20 });
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await sleep(400);
    const begun = Array.from(
      { length: 6 },
      (_, at) =>
        setup.call({
          path: "/answer/stream",
          id: `first-${at}`,
          abortAfterEvents: 45,
        }),
    );
    await sleep(100);
    for (const id of ["new-1", "new-2", "new-3", "new-4"]) {
      await addReplica(setup, id, "v2", { events: 80, eventMs: 5 });
    }
    const answers = await Promise.all(begun);
    for (const [at, { body }] of answers.entries()) {
      const lastId = Number([...body.matchAll(/id: (\d+)/g)].at(-1)?.[1]);
      const rest = await callResume(setup, {
        id: `second-${at}`,
        resumes: `first-${at}`,
        lastId,
        node: 1,
      });
      assert.is(rest.body, formatVersion("v1", lastId + 1, 80));
    }
  });
});

test("a stream whose caller comes back while the last replicas of its software version drain continues there", async () => {
  await runWithSetup(1, async (setup) => {
    await replaceReplicas(setup);
    const { version, lastId } = await beginStream(setup, "first");
    for (const copy of ["a", "b"]) {
      setup.registerReplica(`${version}-${copy}`, "models", "draining");
    }
    await sleep(200);
    const rest = await callResume(setup, {
      id: "second",
      resumes: "first",
      lastId,
      node: 0,
    });
    assert.is(rest.status, 200, `${rest.status} ${rest.body}`);
    assert.is(rest.body, formatVersion(version, lastId + 1, eventCount));
  });
});

test("a stream whose software version is not known or gone is refused at once", async () => {
  await runWithSetup(1, async (setup) => {
    await replaceReplicas(setup);
    for (const resumes of ["nobody-knows", undefined]) {
      const id = `unknown-${resumes}`;
      const input = { id, lastId: 7, node: 0 };
      const answer = await callResume(
        setup,
        resumes === undefined ? input : { ...input, resumes },
      );
      assert.is(answer.status, 503);
      assert.ok(answer.totalMs < 600, `${answer.totalMs} ms`);
      assert.match(answer.body, "without Last-Event-ID");
      assert.is(countRuns(setup, id), 0);
    }
    const { version, lastId } = await beginStream(setup, "first");
    setup.store.remove("servers", `${version}-a`);
    setup.store.remove("servers", `${version}-b`);
    await sleep(drainMs + 200);
    const gone = await callResume(setup, {
      id: "second",
      resumes: "first",
      lastId,
      node: 0,
    });
    assert.is(gone.status, 503);
    assert.is(countRuns(setup, "second"), 0);
  });
});

test("a stream of an unknown request continues while all replicas have one software version", async () => {
  await runWithSetup(1, async (setup) => {
    const answer = await callResume(setup, { id: "only", lastId: 2, node: 0 });
    assert.is(answer.status, 200);
    assert.match(answer.body, /^id: 3\n/);
  });
});

test.run();
