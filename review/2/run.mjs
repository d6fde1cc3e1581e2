/**
 * One spoiled answer of a replica: what becomes of the requests at other replicas.
 */

import { Client, Run, sleep } from "../lib/run.mjs";
import { Cloud, Store } from "../lib/platform.mjs";
import { booking, composeManifest, host, key, models } from "../lib/manifest.mjs";
import { Replica } from "../lib/replica.mjs";

/** Requests that may be closed without an answer by the rule LOST. */
const maxLost = 3;
/** Least answers of the faulty replica before the one that is spoiled. */
const leastAnswers = 60;

/** The head of a stream in which one byte of a header's name is spoiled. */
const spoiledHead = {
  name: "a byte of its head is a space",
  compose: (task, head) => {
    const lines = Object.entries(head)
      .map(([name, value]) => `${name}: ${value}\r\n`).join("")
      .replace("X-Weight-Versions", "X-Weight Versions");
    return `HTTP/1.1 200 OK\r\n${lines}Content-Type: text/event-stream\r\n` +
      `Transfer-Encoding: chunked\r\n\r\n` +
      chunk(`id: 1\ndata: piece 1 of ${task.id}\n\n`) + "0\r\n\r\n";
  },
};

function chunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const run = new Run(new URL(".", import.meta.url).pathname);

await run.play(async () => {
  const store = await Store.open(run.platformHost);
  const cloud = await Cloud.open(run.platformHost);
  run.onEnd(() => store.close());
  run.onEnd(() => cloud.close());
  store.put("config", "main", composeManifest(1));
  const engines = [];
  for (const id of ["i-0a", "i-0b", "i-0c"]) {
    engines.push(await Replica.open(run, store, { id, service: models, events: 4 }));
  }
  const bookers = [];
  for (const id of ["i-1a", "i-1b"]) {
    bookers.push(
      await Replica.open(run, store, { id, service: booking, slots: 6, workMs: 100 }),
    );
  }
  const [node, other] = await run.startNodes(2, { store, cloud });
  const client = new Client(run, node, { host, key, prefix: "s" });
  const faulty = engines[0];
  let part = 0;
  const stream = () => {
    part += 1;
    return client.send({
      path: "/pufi791/2f",
      body: "a question",
      headers: {
        "X-Model": "m",
        "X-Token-Count": "828,300",
        "X-Prefix-Hash": `${(0xa0000 + part).toString(16)}:828`,
      },
    });
  };

  // So many answers that one of them is under 2 in 100 of this replica's.
  while (faulty.runs.length < leastAnswers) {
    await Promise.all(Array.from({ length: 24 }, () => stream().done));
  }
  await sleep(1_000);

  // Bookings on kept channels, one after the other on each.
  const bookings = [];
  let goesOn = true;
  const counters = Array.from({ length: 10 }, async (_, index) => {
    const booker = new Client(run, node, { host, key, prefix: `b${index}-` });
    while (goesOn && !node.hasEnded) {
      const call = booker.send({
        path: "/puxa403/2f",
        body: "a slot",
        deadlineMs: 1_000,
      });
      call.isKept = bookings.some(({ booker }) => booker === index);
      bookings.push({ booker: index, call });
      await call.done;
    }
  });
  await sleep(1_500);
  let isSpoiled = false;
  faulty.chooseFault = (task) => {
    if (!run.hasTrouble || isSpoiled) return undefined;
    isSpoiled = true;
    run.record(
      `the answer to ${task.id} is spoiled, after ` +
        `${faulty.runs.length - 1} sound answers of ${faulty.id}`,
    );
    return spoiledHead;
  };
  const until = run.now() + 4_000;
  while (run.now() < until && !node.hasEnded) {
    const streams = Array.from({ length: 9 }, () => stream().done);
    await Promise.race([Promise.all(streams), sleep(1_000)]);
  }
  if (run.hasTrouble && !isSpoiled) throw new Error("no answer was spoiled");
  await sleep(500);
  goesOn = false;
  await Promise.all(counters);

  const ran = new Set(bookers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const lost = bookings.filter(({ call }) =>
    call.isKept && call.status === 0 && ran.has(call.id)
  );
  run.record(
    `${bookings.length} bookings; ${lost.length} that came on kept channels and ran ` +
      `at sound replicas got no answer; ${node.name} ` +
      `${node.hasEnded ? "has ended by itself" : "runs"}, ` +
      `${other.name} ${other.hasEnded ? "has ended" : "runs"}`,
  );
  for (const { call } of lost) run.record(`lost: ${call.id}, ${call.how}`);
  if (node.hasEnded) {
    const words = node.output.split("\n").filter((line) => /Error/.test(line));
    run.record(`last words of ${node.name}: ${words.slice(0, 2).join(" | ")}`);
  }
  if (node.hasEnded && lost.length > maxLost) {
    run.breakRule(
      `LOST: ${lost.length} bookings that were passed on to sound replicas got ` +
        `no answer, as ${node.name} ended by itself at one spoiled answer`,
    );
  }
});
