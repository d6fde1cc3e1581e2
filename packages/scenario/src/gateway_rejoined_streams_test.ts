/**
 * Streams that callers take up again after all nodes ended at once, while two
 * software versions serve or the replicas of one have just left.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { countRuns, runWithSetup } from "./testing/gateway_helpers.ts";
import type { GatewaySetup } from "./testing/gateway_setup.ts";

const versions = ["v1", "v2"] as const;
const eventCount = 40;
/** Characters of a stream's key in the store. */
const keyLength = 8;

interface BegunStream {
  readonly id: string;
  readonly version: string;
  readonly lastId: number;
}

/** Replaces the first replicas by two of each version. */
async function mixVersions(setup: GatewaySetup): Promise<void> {
  for (const version of versions) {
    for (const copy of ["a", "b"]) await addReplica(setup, version, copy);
  }
  setup.store.remove("servers", "model-1");
  setup.store.remove("servers", "model-2");
  await sleep(500);
}

async function addReplica(
  setup: GatewaySetup,
  softwareVersion: string,
  copy: string,
): Promise<void> {
  const replica = await setup.addReplica(
    `${softwareVersion}-${copy}`,
    "models",
    { events: eventCount, eventMs: 10, softwareVersion },
  );
  replica.tokenText = softwareVersion;
}

function removeVersion(setup: GatewaySetup, version: string): void {
  for (const copy of ["a", "b"]) {
    setup.store.remove("servers", `${version}-${copy}`);
  }
}

/** Begins streams at all nodes and closes their connections midway. */
function beginStreams(
  setup: GatewaySetup,
  count: number,
): Promise<readonly BegunStream[]> {
  return Promise.all(
    Array.from({ length: count }, async (_, at): Promise<BegunStream> => {
      const id = `first-${at}`;
      const begun = await setup.call({
        path: "/answer/stream",
        id,
        node: at % setup.nodes.length,
        abortAfterEvents: 10,
      });
      const last = [...begun.body.matchAll(/id: (\d+)\ndata: (\S+) /g)].at(-1);
      assert.ok(last !== undefined, `${id} brought no event`);
      return { id, version: last?.[2] ?? "", lastId: Number(last?.[1]) };
    }),
  );
}

/** Waits until the store holds the origins of `count` streams. */
async function waitUntilStored(
  setup: GatewaySetup,
  count: number,
): Promise<void> {
  await setup.waitUntil(() => countStored(setup) >= count);
}

function countStored(setup: GatewaySetup): number {
  const segments = setup.store.copy().kinds.get("stream-origins")?.values();
  let characters = 0;
  for (const { spec } of segments ?? []) {
    const { origins } = spec as { readonly origins: readonly string[][] };
    for (const [, , keys] of origins) characters += keys?.length ?? 0;
  }
  return characters / keyLength;
}

/** Ends all nodes at once, then starts them again. */
async function restartAll(
  setup: GatewaySetup,
  whileDown: () => void = () => {},
): Promise<void> {
  for (const node of setup.nodes) node.dispose();
  whileDown();
  await Promise.all(setup.nodes.map((_, at) => setup.restart(at)));
  // Nodes check keys once they know that their configuration is the latest.
  await setup.waitUntil(() => servesAll(setup));
}

/** Whether a node has learnt the routes, be it from a peer. */
async function hasRoutes(
  setup: GatewaySetup,
  node: number,
): Promise<boolean> {
  const { status } = await setup.call({ path: "/lookup/x", node });
  return status === 200;
}

async function servesAll(setup: GatewaySetup): Promise<boolean> {
  const answers = await Promise.all(
    setup.nodes.map((_, node) => setup.call({ path: "/book/x", node })),
  );
  return answers.every(({ status }) => status === 200);
}

function takeUp(
  setup: GatewaySetup,
  { id, lastId }: Pick<BegunStream, "id" | "lastId">,
  at: number,
): ReturnType<GatewaySetup["call"]> {
  return setup.call({
    path: "/answer/stream",
    id: `again-${id}`,
    node: at % setup.nodes.length,
    headers: { "Last-Event-Id": String(lastId), Resumes: id },
  });
}

function formatRest(version: string, lastId: number): string {
  let text = "";
  for (let id = lastId + 1; id <= eventCount; id += 1) {
    text += `id: ${id}\ndata: ${version} ${id}\n\n`;
  }
  return text;
}

/** Asserts that each stream goes on at the version that began it. */
async function checkContinued(
  setup: GatewaySetup,
  begun: readonly BegunStream[],
): Promise<void> {
  const rests = await Promise.all(
    begun.map((stream, at) => takeUp(setup, stream, at)),
  );
  for (const [at, { version, lastId }] of begun.entries()) {
    assert.is(rests[at]?.status, 200, rests[at]?.body);
    assert.is(rests[at]?.body, formatRest(version, lastId));
  }
}

/** Asserts that each stream is refused at once for this and has not run. */
async function checkRefused(
  setup: GatewaySetup,
  begun: readonly BegunStream[],
  reason = /unknown_origin|version_gone/,
): Promise<void> {
  const answers = await Promise.all(
    begun.map((stream, at) => takeUp(setup, stream, at)),
  );
  for (const [at, answer] of answers.entries()) {
    const id = `again-${begun[at]?.id}`;
    assert.is(answer.status, 503, `${id} ${answer.body}`);
    assert.match(answer.body, reason, answer.body);
    assert.ok(answer.totalMs < 1_500, `${answer.totalMs} ms`);
    assert.is(countRuns(setup, id), 0);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("after all nodes ended, streams continue at their software versions", async () => {
  await runWithSetup(3, async (setup) => {
    await mixVersions(setup);
    const begun = await beginStreams(setup, 16);
    await waitUntilStored(setup, begun.length);
    await restartAll(setup);
    await checkContinued(setup, begun);
    assert.is(new Set(begun.map(({ version }) => version)).size, 2);
  });
});

test("after all nodes ended and a version has left, its streams are refused and the others continue", async () => {
  await runWithSetup(3, async (setup) => {
    await mixVersions(setup);
    const begun = await beginStreams(setup, 16);
    await waitUntilStored(setup, begun.length);
    await restartAll(setup, () => removeVersion(setup, "v1"));
    const findBegun = (version: string) =>
      begun.filter((stream) => stream.version === version);
    assert.ok(findBegun("v1").length > 0);
    await checkRefused(setup, findBegun("v1"));
    await checkContinued(setup, findBegun("v2"));
  });
});

test("a stream that no node wrote down is refused while a version that has left may have begun it", async () => {
  await runWithSetup(2, async (setup) => {
    await mixVersions(setup);
    await restartAll(setup, () => removeVersion(setup, "v1"));
    await checkRefused(setup, [{ id: "unknown", version: "v1", lastId: 5 }]);
  });
});

test("streams that began after a version had left continue once all nodes ended", async () => {
  await runWithSetup(2, async (setup) => {
    await mixVersions(setup);
    removeVersion(setup, "v1");
    await sleep(300);
    const begun = await beginStreams(setup, 6);
    await waitUntilStored(setup, begun.length);
    await restartAll(setup);
    await checkContinued(setup, begun);
  });
});

test("with one software version all streams continue after all nodes ended", async () => {
  await runWithSetup(2, async (setup) => {
    await addReplica(setup, "v1", "a");
    await addReplica(setup, "v1", "b");
    setup.store.remove("servers", "model-1");
    setup.store.remove("servers", "model-2");
    await sleep(400);
    const begun = await beginStreams(setup, 6);
    await restartAll(setup);
    await checkContinued(setup, begun);
    const written = [...setup.store.callsByKind]
      .filter(([call]) => /^(PUT|POST) stream-origins/.test(call));
    assert.equal(written, []);
  });
});

test("nodes that start while the store is down refuse streams that only it knows", async () => {
  await runWithSetup(2, async (setup) => {
    await mixVersions(setup);
    const begun = await beginStreams(setup, 8);
    await waitUntilStored(setup, begun.length);
    setup.nodes[1]?.dispose();
    setup.store.fault = "silent";
    await setup.restart(1);
    await setup.waitUntil(() => hasRoutes(setup, 1));
    await setup.restart(0);
    await setup.waitUntil(() => hasRoutes(setup, 0));
    // Keys cannot be checked either without the store.
    await checkRefused(setup, begun, /unknown_origin|not_read|stale_config/);
    setup.store.fault = "none";
    await setup.waitUntil(() => servesAll(setup));
    const [first] = begun;
    assert.ok(first !== undefined);
    for (const at of [0, 1]) {
      await setup.waitUntil(async () => {
        const { status, body } = await takeUp(setup, first!, at);
        assert.match(body, status === 200 ? "id: " : "versions_not_read");
        return status === 200;
      });
    }
    await checkContinued(setup, begun);
  });
});

test("streams continue after the store came back from an older copy beside a restart", async () => {
  await runWithSetup(2, async (setup) => {
    await mixVersions(setup);
    await setup.waitUntil(() => {
      const history = setup.store.read("stream-versions", "history");
      return JSON.stringify(history ?? "").includes('"v2"');
    });
    const copy = setup.store.copy();
    const begun = await beginStreams(setup, 10);
    await waitUntilStored(setup, begun.length);
    await restartAll(setup, () => {
      setup.store.restore(copy);
      removeVersion(setup, "v1");
    });
    // What the older copy does not hold cannot be proven any more.
    await checkRefused(
      setup,
      begun.filter(({ version }) => version === "v1"),
    );
  });
});

test("objects of the store that others wrote or that are torn do no harm", async () => {
  await runWithSetup(2, async (setup) => {
    await mixVersions(setup);
    const begun = await beginStreams(setup, 8);
    await waitUntilStored(setup, begun.length);
    await restartAll(setup, () => {
      setup.store.put("stream-origins", "foreign", { origins: "?" });
      setup.store.put("stream-origins", "torn", {
        at: Date.now(),
        origins: [["models", "v1", "abc"]],
      });
      setup.store.put("stream-origins", "text", "");
    });
    await checkContinued(setup, begun);
  });
});

test.run();
