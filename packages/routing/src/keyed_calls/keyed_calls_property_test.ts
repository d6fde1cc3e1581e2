import * as assert from "uvu/assert";
import { test } from "uvu";
import { Buffer } from "node:buffer";
import fc from "fast-check";
import {
  bookingService,
  counterTeam,
  type EndpointFault,
  FakeCluster,
} from "../testing/fake_cluster.ts";
import { type StoreFault } from "../testing/fake_object_store.ts";

const nodeCount = 3;
const historyCount = 300;
const seed = 20_261;

type Step =
  | { readonly kind: "book"; readonly key: number; readonly node: number }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "endpoint"; readonly fault: EndpointFault }
  | { readonly kind: "store"; readonly fault: StoreFault }
  | {
    readonly kind: "freeze" | "thaw" | "leave" | "restart";
    readonly node: number;
  }
  | {
    readonly kind: "cut_requests" | "cut_answers";
    readonly from: number;
    readonly to: number;
  }
  | { readonly kind: "heal" }
  | { readonly kind: "limit"; readonly on: boolean };

const nodeNumber = fc.nat({ max: nodeCount - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("book" as const),
      key: fc.nat({ max: 5 }),
      node: nodeNumber,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.constantFrom(0, 30, 200, 700, 2_500),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("endpoint" as const),
      fault: fc.constantFrom<EndpointFault>(
        "unreachable",
        "declined",
        "lost_before",
        "lost_after",
        "slow",
        "silent",
      ),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      fault: fc.constantFrom<StoreFault>(
        "out",
        "lost_before",
        "lost_after",
        "slow",
      ),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "freeze" as const,
        "thaw" as const,
        "leave" as const,
        "restart" as const,
      ),
      node: nodeNumber,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom("cut_requests" as const, "cut_answers" as const),
      from: nodeNumber,
      to: nodeNumber,
    }),
  },
  { weight: 2, arbitrary: fc.constant<Step>({ kind: "heal" }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("limit" as const),
      on: fc.boolean(),
    }),
  },
);

/** An answer to a caller of one key, with the number of runs at that moment. */
interface CallerAnswer {
  readonly key: string;
  readonly run: "answered" | "not_run" | "unknown" | "ran";
  /** Whether the caller may send the call again with the same key. */
  readonly mayRetry: boolean;
  readonly runsWhenTold: number;
  readonly body: string;
}

const totals = { bookings: 0, copies: 0, answered: 0, notRun: 0, unknown: 0 };

class History {
  readonly answers: CallerAnswer[] = [];
  readonly cluster: FakeCluster;
  readonly #keys = new Map<number, string>();

  constructor(cluster: FakeCluster) {
    this.cluster = cluster;
  }

  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      await this.#apply(step);
      await this.cluster.clock.advance(1);
    }
    this.#heal();
    for (let at = 0; at < nodeCount; at++) this.#thaw(at);
    await this.cluster.clock.advance(3 * bookingService.timeoutMs);
    for (const key of this.#keys.keys()) this.#book(key, key % nodeCount);
    await this.cluster.clock.advance(3 * bookingService.timeoutMs);
    totals.bookings += this.#keys.size;
  }

  async #apply(step: Step): Promise<void> {
    const { cluster } = this;
    switch (step.kind) {
      case "book":
        return this.#book(step.key, step.node);
      case "wait":
        return await cluster.clock.advance(step.ms);
      case "endpoint":
        cluster.nextEndpointFaults.push(step.fault);
        return;
      case "store":
        if (step.fault === "out") cluster.claims.fault = "out";
        else cluster.claims.nextFaults.push(step.fault);
        return;
      case "freeze":
        return cluster.pickNode(step.node).gate.set("frozen");
      case "thaw":
        return this.#thaw(step.node);
      case "leave":
        void cluster.pickNode(step.node).calls.close();
        return;
      case "restart":
        return cluster.restart(step.node);
      case "cut_requests":
        cluster.cutRequests.add(`node-${step.from}>node-${step.to}`);
        return;
      case "cut_answers":
        cluster.cutAnswers.add(`node-${step.from}>node-${step.to}`);
        return;
      case "heal":
        return this.#heal();
      case "limit":
        if (step.on) cluster.limited.add("counter");
        else cluster.limited.delete("counter");
        return;
    }
  }

  /** Sends a copy of a booking; even keys are issued, odd ones caller-made. */
  #book(number: number, at: number): void {
    const { cluster } = this;
    let key = this.#keys.get(number);
    if (key === undefined) {
      const issued = cluster.pickNode(at).calls.issueKey(counterTeam);
      const made = `order-${number}`;
      // A leaving node issues no key.
      key = number % 2 === 0 ? issued.orDefault(made) : made;
      this.#keys.set(number, key);
    }
    const sent = key;
    totals.copies++;
    void cluster.book(at, sent).then((result) => {
      const runsWhenTold = cluster.readRuns(sent);
      this.answers.push(result.caseOf<CallerAnswer>({
        Right: ({ body }) => ({
          key: sent,
          run: "answered",
          mayRetry: false,
          runsWhenTold,
          body: Buffer.from(body).toString(),
        }),
        Left: ({ run, detail }) => ({
          key: sent,
          run,
          mayRetry: detail.retryAfterMs !== undefined,
          runsWhenTold,
          body: "",
        }),
      }));
    });
  }

  #heal(): void {
    this.cluster.cutRequests.clear();
    this.cluster.cutAnswers.clear();
    this.cluster.claims.fault = "none";
    this.cluster.limited.clear();
  }

  #thaw(at: number): void {
    const { gate } = this.cluster.pickNode(at);
    if (gate.state === "frozen") gate.set("open");
  }
}

function checkHistory({ cluster, answers }: History): void {
  for (const [key, runs] of cluster.runs) {
    assert.is(runs, 1, `${key} ran ${runs} times`);
  }
  for (const { key, run, mayRetry, runsWhenTold, body } of answers) {
    const runs = cluster.readRuns(key);
    switch (run) {
      case "answered":
        totals.answered++;
        assert.is(body, `booked ${key}`);
        assert.is(runs, 1);
        break;
      case "not_run":
        totals.notRun++;
        assert.is(runsWhenTold, 0, `${key} had run when told not_run`);
        if (!mayRetry) assert.is(runs, 0, `${key} ran after a final not_run`);
        break;
      case "unknown":
        totals.unknown++;
        break;
      case "ran":
        assert.is(runs, 1);
        break;
    }
  }
}

test("under faults no booking runs twice and not_run is accurate", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 30, maxLength: 60 }),
      async (steps) => {
        const cluster = await FakeCluster.open({ nodes: nodeCount });
        const history = new History(cluster);
        await history.run(steps);
        checkHistory(history);
      },
    ),
    { numRuns: historyCount, seed },
  );
  console.log(`    ${JSON.stringify(totals)}`);
  // The test is only meaningful if the histories produce every kind of outcome.
  assert.ok(totals.bookings >= 1_000, `${totals.bookings} bookings`);
  assert.ok(totals.answered >= 1_000, `${totals.answered} answered`);
  assert.ok(totals.notRun >= 100, `${totals.notRun} not run`);
  assert.ok(totals.unknown >= 500, `${totals.unknown} unknown`);
});

test.run();
