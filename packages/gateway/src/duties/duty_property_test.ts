/**
 * Random simulations of the duty lease. Nodes are partitioned from the store and
 * from each other, restarted and drained, and answers of the store are lost.
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
const durationMs = 60_000;
const simulations = 40;
const nodeCount = 4;

/** A moment at which a node held a proof for a call. */
interface ProofRecord {
  readonly at: number;
  readonly node: string;
  readonly fencingToken: number;
}

/** A node that may restart under a new incarnation. */
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
  restoredAt = -Infinity;

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
      readRestoredAt: () => this.restoredAt,
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

async function runSimulation(
  seed: number,
  restores = false,
): Promise<readonly ProofRecord[]> {
  const clock = ManualClock.create();
  const random = Random.create(seed);
  const store = MemoryObjectStore.create(clock);
  const nodes = Array.from(
    { length: nodeCount },
    (_, at) => new TestNode(`n${at}`, clock, store),
  );
  const records: ProofRecord[] = [];
  const restartAt = new Map<TestNode, number>();
  let copy = store.copy();
  while (clock.now() < durationMs) {
    await clock.advance(tickMs);
    announceToPeers(nodes, clock.now());
    for (const node of nodes) {
      const proof = node.lease?.readProof();
      if (proof !== undefined) {
        records.push({
          at: clock.now(),
          node: node.name,
          fencingToken: proof.fencingToken,
        });
      }
      const due = restartAt.get(node);
      if (due !== undefined && clock.now() >= due) {
        restartAt.delete(node);
        node.start(false);
      }
    }
    if (random.next() < 0.05) copy = store.copy();
    if (restores && random.next() < 0.004) {
      store.restore(copy);
      for (const node of nodes) node.restoredAt = clock.now();
    }
    if (random.next() < 0.03) {
      faultNode(random.choose(nodes), random, (node, ms) => {
        restartAt.set(node, clock.now() + ms);
      });
    }
  }
  for (const node of nodes) node.kill();
  await clock.advance(10_000);
  return records;
}

function faultNode(
  node: TestNode,
  random: Random,
  scheduleRestart: (node: TestNode, ms: number) => void,
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
      return scheduleRestart(node, 300 + random.nextInt(2_000));
    default:
      if (node.lease === undefined) return;
      void node.drain();
      return scheduleRestart(node, 300 + random.nextInt(2_000));
  }
}

function announceToPeers(nodes: readonly TestNode[], now: number): void {
  for (const sender of nodes) {
    if (sender.isCutFromPeers || sender.lease === undefined) continue;
    for (const receiver of nodes) {
      if (receiver === sender || receiver.isCutFromPeers) continue;
      receiver.members.record({
        node: sender.name,
        incarnation: "",
        ip: sender.name,
        zone: "",
        isDraining: false,
        isStoreUnreachable: sender.isCutFromStore,
        lastSeenAt: now,
        fencingToken: sender.lease.fencingToken,
        datagram: { receivedAt: now, sentAt: now, wallTimeOffset: 0 },
      });
    }
  }
}

/**
 * Fails when fencing tokens decrease, or when proofs are held by A, then B, then A
 * again within one lease time of A's previous proof.
 */
function checkOrder(records: readonly ProofRecord[], seed: number): void {
  const changes = records.filter((record, at) =>
    records[at - 1]?.node !== record.node
  );
  let highest = 0;
  for (const record of records) {
    assert.ok(record.fencingToken >= highest, `seed ${seed}: token decreased`);
    highest = record.fencingToken;
  }
  changes.forEach((change, at) => {
    const again = changes.slice(at + 2).find(({ node }) =>
      node === change.node
    );
    const next = changes[at + 1];
    if (again === undefined || next === undefined) return;
    const lastOfFirst = records
      .filter(({ node, at: time }) => node === change.node && time <= next.at)
      .at(-1);
    const spanMs = again.at - (lastOfFirst?.at ?? 0);
    assert.ok(spanMs > leaseMs, `seed ${seed}: A, B, A within ${spanMs} ms`);
  });
}

test("holders never act in the order A, B, A, nor with decreasing tokens", async () => {
  let proofs = 0;
  let holders = 0;
  for (let seed = 1; seed <= simulations; seed += 1) {
    const simulation = await runSimulation(seed);
    checkOrder(simulation, seed);
    proofs += simulation.length;
    holders += new Set(simulation.map(({ fencingToken }) => fencingToken)).size;
  }
  // The simulations prove nothing if no node gets a proof or the holder never changes.
  assert.ok(proofs > simulations * 100, `${proofs} proofs`);
  assert.ok(holders > simulations * 3, `${holders} holders`);
});

test("nor when the store comes back from older copies", async () => {
  let proofs = 0;
  for (let seed = 101; seed <= 100 + simulations; seed += 1) {
    const simulation = await runSimulation(seed, true);
    checkOrder(simulation, seed);
    proofs += simulation.length;
  }
  assert.ok(proofs > simulations * 100, `${proofs} proofs`);
});

test.run();
