/**
 * A replica reports that it leaves while a node reads the list of replicas, which
 * takes two pages: does the node still learn of it?
 */

import { Client, Run, sleep } from "../lib/run.mjs";
import { Cloud, Store } from "../lib/platform.mjs";
import { booking, composeEntry, composeManifest, host, key } from "../lib/manifest.mjs";
import { Replica } from "../lib/replica.mjs";

const drainMs = 2_000;
/** Time for which the leaving replica goes on serving after its report. */
const servesOnMs = 7_000;
/** Replicas of another service, so that the list takes two pages. */
const otherService = "zupo55c";
const otherReplicas = 520;

const run = new Run(new URL(".", import.meta.url).pathname);

await run.play(async () => {
  const store = await Store.open(run.platformHost);
  const cloud = await Cloud.open(run.platformHost);
  run.onEnd(() => store.close());
  run.onEnd(() => cloud.close());
  const services = [{
    name: otherService,
    "health-path": "/healthz",
    "max-conns": 110,
    protocol: "h1",
    tls: false,
  }];
  store.put("config", "main", composeManifest(1, { services }));
  const replicas = [];
  for (const id of ["i-1a", "i-1b", "i-1c"]) {
    replicas.push(
      await Replica.open(run, store, { id, service: booking, slots: 6, workMs: 100 }),
    );
  }
  const [leaving] = replicas;
  for (let index = 0; index < otherReplicas; index += 1) {
    const other = {
      service: otherService,
      address: `${run.prefix}.${201 + index % 40}:${20_000 + index}`,
      born: Date.now(),
    };
    store.put("servers", `i-2${String(index).padStart(4, "0")}`, composeEntry(other));
  }
  const nodes = await run.startNodes(2, { store, cloud });

  let goesOn = true;
  const bookings = [];
  const bookers = Array.from({ length: 16 }, async (_, index) => {
    const node = nodes[index % 2];
    const booker = new Client(run, node, { host, key, prefix: `b${index}-` });
    while (goesOn) {
      const call = booker.send({
        path: "/puxa403/2f",
        body: "a slot",
        deadlineMs: 1_000,
      });
      bookings.push(call);
      await call.done;
    }
  });
  await sleep(5_000);
  let leftAt;
  const leave = () => {
    if (leftAt !== undefined) return;
    leftAt = run.now();
    leaving.register({ state: "draining", "seq-no": 2 });
  };
  if (run.hasTrouble) {
    store.onPage = ({ kind, after, hasMore, revision }) => {
      if (kind !== "servers") return;
      run.record(`the store answered a page after "${after}" at revision ${revision}`);
      if (hasMore) setTimeout(leave, 1);
    };
    run.record("the store cuts the watches that wait");
    store.cutWatches();
  } else leave();
  const until = run.now() + 3_000;
  while (leftAt === undefined && run.now() < until) await sleep(10);
  if (leftAt === undefined) throw new Error("no list took two pages");
  await sleep(leftAt + servesOnMs - run.now());
  leaving.exit();
  await sleep(1_500);
  goesOn = false;
  await Promise.all(bookers);

  const late = leaving.runs.filter(({ at }) => at > leftAt + drainMs);
  const lost = bookings.filter(({ id, status }) =>
    status !== 200 && late.some((task) => task.id === id)
  );
  run.record(
    `${late.length} requests reached ${leaving.id} later than ${drainMs} ms after ` +
      `the store accepted its report; ${lost.length} of them got no answer of it`,
  );
  if (late.length > 0) {
    run.breakRule(
      `DRAIN: ${late.length} requests reached ${leaving.id} later than ` +
        `${drainMs} ms after the ack of its leaving, the last after ` +
        `${(late.at(-1).at - leftAt).toFixed(0)} ms; ${lost.length} were lost at its end`,
    );
  }
});
