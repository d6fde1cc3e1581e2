/**
 * Many histories of one duty: nodes are cut from the store and from each other,
 * restarted and drained, and answers are lost.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLog } from "@almondcrank/common/logs.ts";
import { ManualClock } from "@almondcrank/common/manual_clock.ts";
import { Random } from "@almondcrank/common/random.ts";
import { MemoryObjectStore } from "@almondcrank/infrastructure/memory_object_store.ts";
import type { ObjectStore } from "@almondcrank/infrastructure/object_store.ts";
import { MemberTable } from "../cluster/member_table.ts";
import { DutyLease } from "./duty_lease.ts";

const leaseMs = 3_000;
const tickMs = 50;
const lengthMs = 60_000;
const histories = 40;
const nodeCount = 4;

interface Act {
  readonly at: number;
  readonly node: string;
  readonly fencing: number;
}

/** One node that may restart. */
class TestNode {
  readonly name: string;
  readonly #clock: ManualClock;
  readonly #store: ObjectStore;
  #incarnation = 0;
  #lease: DutyLease | undefined;
  members: MemberTable;
  isCutFromStore = false;
  isCutFromPeers = false;
  losesAnswers = false;

  constructor(name: string, clock: ManualClock, store: MemoryObjectStore) {
    this.name = name;
    this.#clock = clock;
    this.#store = store.createClient(() => {
      if (this.isCutFromStore) return "unavailable";
      return this.losesAnswers ? "lost_after" : "pass";
    });
    this.members = MemberTable.create(name);
    this.start(true);
  }

  get lease(): DutyLease | undefined {
    return this.#lease;
  }

  start(isFirstStart: boolean): void {
    this.#incarnation += 1;
    this.members = MemberTable.create(this.name);
    this.#lease = DutyLease.create({
      store: this.#store,
      clock: this.#clock,
      log: createSilentLog(),
      members: this.members,
      node: this.name,
      incarnation: String(this.#incarnation),
      leaseMs,
      isFirstStart,
      mayHold: () => true,
    });
  }

  kill(): void {
    this.#lease?.dispose();
    this.#lease = undefined;
  }

  async drain(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.release();
  }
}

async function runHistory(seed: number): Promise<readonly Act[]> {
  const clock = ManualClock.create();
  const random = Random.create(seed);
  const store = MemoryObjectStore.create(clock);
  const nodes = Array.from(
    { length: nodeCount },
    (_, at) => new TestNode(`n${at}`, clock, store),
  );
  const acts: Act[] = [];
  const restartAt = new Map<TestNode, number>();
  while (clock.now() < lengthMs) {
    await clock.advance(tickMs);
    tellPeers(nodes, clock.now());
    for (const node of nodes) {
      const proof = node.lease?.readProof();
      if (proof !== undefined) {
        acts.push({
          at: clock.now(),
          node: node.name,
          fencing: proof.fencingToken,
        });
      }
      const due = restartAt.get(node);
      if (due !== undefined && clock.now() >= due) {
        restartAt.delete(node);
        node.start(false);
      }
    }
    if (random.next() < 0.03) {
      disturb(random.choose(nodes), random, (node, ms) => {
        restartAt.set(node, clock.now() + ms);
      });
    }
  }
  for (const node of nodes) node.kill();
  await clock.advance(10_000);
  return acts;
}

function disturb(
  node: TestNode,
  random: Random,
  restartIn: (node: TestNode, ms: number) => void,
): void {
  switch (random.nextInt(5)) {
    case 0:
      node.isCutFromStore = !node.isCutFromStore;
      return;
    case 1:
      node.isCutFromPeers = !node.isCutFromPeers;
      return;
    case 2:
      node.losesAnswers = !node.losesAnswers;
      return;
    case 3:
      if (node.lease === undefined) return;
      node.kill();
      return restartIn(node, 300 + random.nextInt(2_000));
    default:
      if (node.lease === undefined) return;
      void node.drain();
      return restartIn(node, 300 + random.nextInt(2_000));
  }
}

function tellPeers(nodes: readonly TestNode[], now: number): void {
  for (const sender of nodes) {
    if (sender.isCutFromPeers || sender.lease === undefined) continue;
    for (const receiver of nodes) {
      if (receiver === sender || receiver.isCutFromPeers) continue;
      receiver.members.record({
        node: sender.name,
        incarnation: "",
        ip: sender.name,
        isDraining: false,
        isStoreUnreachable: sender.isCutFromStore,
        lastSeenAt: now,
        wallTimeOffset: 0,
        fencingToken: sender.lease.fencingToken,
        sentAt: now,
      });
    }
  }
}

/** Fails when holders act in the order A, B, A within the lease's time. */
function checkOrder(acts: readonly Act[], seed: number): void {
  const changes = acts.filter((act, at) => acts[at - 1]?.node !== act.node);
  let highest = 0;
  for (const act of acts) {
    assert.ok(act.fencing >= highest, `seed ${seed}: fencing fell`);
    highest = act.fencing;
  }
  changes.forEach((change, at) => {
    const again = changes.slice(at + 2).find(({ node }) =>
      node === change.node
    );
    const next = changes[at + 1];
    if (again === undefined || next === undefined) return;
    const lastOfFirst = acts
      .filter(({ node, at: time }) => node === change.node && time <= next.at)
      .at(-1);
    const spanMs = again.at - (lastOfFirst?.at ?? 0);
    assert.ok(spanMs > leaseMs, `seed ${seed}: A, B, A within ${spanMs} ms`);
  });
}

test("holders never act in the order A, B, A, nor with falling numbers", async () => {
  let acts = 0;
  let holders = 0;
  for (let seed = 1; seed <= histories; seed += 1) {
    const history = await runHistory(seed);
    checkOrder(history, seed);
    acts += history.length;
    holders += new Set(history.map(({ fencing }) => fencing)).size;
  }
  // The histories are no proof if nobody acts or the holder never changes.
  assert.ok(acts > histories * 100, `${acts} acts`);
  assert.ok(holders > histories * 3, `${holders} holders`);
});

test.run();
