/**
 * A model replica leaves as planned, with many streams that are moved off it: do
 * streams whose answer has no length still look complete only if they are?
 */

import { Client, Run, sleep } from "../lib/run.mjs";
import { Cloud, Store } from "../lib/platform.mjs";
import { composeManifest, host, key, models } from "../lib/manifest.mjs";
import { Replica } from "../lib/replica.mjs";

const events = 120;
const eventMs = 70;
/** Prompt of each stream; 60 of them fit in the memory of one replica. */
const tokens = 9_000;
const streams = 60;
/** Every such stream's answer has no length: 3 of 60, 5 in 100. */
const unframedEvery = 20;

const run = new Run(new URL(".", import.meta.url).pathname);

await run.play(async () => {
  const store = await Store.open(run.platformHost);
  const cloud = await Cloud.open(run.platformHost);
  run.onEnd(() => store.close());
  run.onEnd(() => cloud.close());
  store.put("config", "main", composeManifest(1));
  const zones = new Map();
  const zoneOf = (address) => zones.get(address);
  const open = async (id, zone) => {
    const replica = await Replica.open(run, store, {
      id, zone, zoneOf, service: models, events, eventMs,
    });
    zones.set(replica.address, zone);
    return replica;
  };
  const leaving = await open("i-0a", "muc-a");
  const [node] = await run.startNodes(1, { store, cloud });
  const client = new Client(run, node, { host, key, prefix: "s" });

  let begun = 0;
  leaving.isUnframed = () => (begun += 1) % unframedEvery === 0;
  const calls = [];
  for (let index = 0; index < streams; index += 1) {
    calls.push(client.send({
      path: "/pufi791/2f",
      body: "a question",
      deadlineMs: 12_000,
      headers: {
        "X-Model": "m",
        "X-Token-Count": `${tokens},700`,
        "X-Prefix-Hash": `${(0xa0000 + index).toString(16)}:${tokens}`,
      },
    }));
    await sleep(15);
  }
  await sleep(500);
  const others = [await open("i-0b", "muc-b"), await open("i-0c", "muc-b")];
  if (run.hasTrouble) leaving.register({ state: "draining", "seq-no": 2 });
  await Promise.all(calls.map(({ done }) => done));

  const counts = { whole: 0, "cut off": 0, refused: 0, short: 0 };
  const runs = [leaving, ...others].flatMap((replica) => replica.runs);
  for (const call of calls) {
    const received = [...call.body.matchAll(/^id: (\d+)$/gm)]
      .map(([, id]) => Number(id));
    const isWhole = received.length === events &&
      received.every((id, index) => id === index + 1);
    if (call.status !== 200) counts.refused += 1;
    else if (!call.isComplete) counts["cut off"] += 1;
    else if (isWhole) counts.whole += 1;
    else {
      counts.short += 1;
      const at = runs.filter(({ id }) => id === call.id)
        .map((task) => `${task.replica}: ${task.end}`).join("; ");
      run.breakRule(
        `ORDER: ${call.id} ended as complete with ${received.length} of ` +
          `${events} events (${at})`,
      );
    }
  }
  run.record(`${streams} streams: ${JSON.stringify(counts)}`);
});
