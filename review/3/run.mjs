/**
 * One odd entry among the replicas in the store: what becomes of the requests at the
 * sound replicas, and of the nodes.
 */

import { Client, findTcpPort, Run, sleep } from "../lib/run.mjs";
import { Cloud, Store } from "../lib/platform.mjs";
import { booking, composeManifest, host, key } from "../lib/manifest.mjs";
import { Replica } from "../lib/replica.mjs";

/** Requests that may be closed without an answer by the rule LOST. */
const maxLost = 3;
/** Delay after which the platform starts a process again that has ended. */
const restartMs = 1_000;
/** Id under which the odd entry lies: two of its bytes can't be read. */
const oddId = "i-1d\ufffd\ufffd";

const run = new Run(new URL(".", import.meta.url).pathname);

await run.play(async () => {
  const store = await Store.open(run.platformHost);
  const cloud = await Cloud.open(run.platformHost);
  run.onEnd(() => store.close());
  run.onEnd(() => cloud.close());
  store.put("config", "main", composeManifest(1));
  const replicas = [];
  for (const id of ["i-1a", "i-1b", "i-1c"]) {
    replicas.push(
      await Replica.open(run, store, { id, service: booking, slots: 6, workMs: 60 }),
    );
  }
  const nodes = await run.startNodes(2, { store, cloud });
  const ends = new Map(nodes.map((node) => [node, 0]));
  let goesOn = true;
  const restarts = nodes.map(async (node) => {
    while (goesOn) {
      await sleep(50);
      if (!node.hasEnded || !goesOn) continue;
      ends.set(node, ends.get(node) + 1);
      const words = node.output.split("\n").filter((line) => /Error/.test(line));
      run.record(`${node.name} has ended by itself: ${words.at(-1)}`);
      await sleep(restartMs);
      if (goesOn) node.start();
    }
  });

  // Bookings, one after the other on each channel, as many as there are places.
  const bookings = [];
  const bookers = Array.from({ length: 12 }, async (_, index) => {
    const node = nodes[index % 2];
    const booker = new Client(run, node, { host, key, prefix: `b${index}-` });
    let isKept = false;
    while (goesOn) {
      if (node.hasEnded) {
        isKept = false;
        await sleep(100);
        continue;
      }
      const call = booker.send({
        path: "/puxa403/2f",
        body: "a slot",
        deadlineMs: 1_000,
      });
      bookings.push({ call, isKept });
      await call.done;
      isKept = call.status === 200;
      if (call.status !== 200) await sleep(100);
    }
  });
  await sleep(4_000);
  const troubleAt = run.now();
  if (run.hasTrouble) {
    const address = `${run.platformHost}:${await findTcpPort(run.platformHost)}`;
    // Fields that the pages name are missing, and bytes of the id can't be read.
    const odd = { service: booking, address, zone: "muc-a", slots: 6, state: "ready" };
    store.put("servers", oddId, odd);
    run.record(`another writer wrote servers/${oddId}: ${JSON.stringify(odd)}`);
  }
  await sleep(15_000);
  goesOn = false;
  await Promise.all([...bookers, ...restarts]);

  const ran = new Set(replicas.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const lost = bookings.filter(({ call, isKept }) =>
    isKept && call.status === 0 && ran.has(call.id)
  );
  const after = bookings.filter(({ call }) => call.sentAt > troubleAt);
  const served = after.filter(({ call }) => call.status === 200);
  run.record(
    `${served.length} of ${after.length} bookings were served in the last 15 s; ` +
      `${lost.length} that came on kept channels and ran at sound replicas got no ` +
      `answer; ${nodes.map((node) => `${node.name} ended ${ends.get(node)} times`)}`,
  );
  for (const { call } of lost) run.record(`lost: ${call.id}, ${call.how}`);
  if (lost.length > maxLost) {
    run.breakRule(
      `LOST: ${lost.length} bookings that were passed on to sound replicas got ` +
        `no answer, as the nodes ended by themselves ` +
        `${[...ends.values()].join(" and ")} times at one odd entry`,
    );
  }
});
