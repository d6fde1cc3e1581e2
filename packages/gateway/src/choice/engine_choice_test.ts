import { test } from "uvu";
import * as assert from "uvu/assert";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import { createReplica } from "../testing/create_replica.ts";
import { CandidateOrder } from "./candidate_order.ts";
import {
  chooseEngine,
  type EngineChoiceServices,
  type EngineRequest,
} from "./engine_choice.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { ReplicaState } from "./replica_state.ts";

const hasher = await openHasher();
const traits = {
  slots: 8,
  cacheTokens: 400_000,
  tokensPerEvent: 9,
  canMove: false,
};

function createStates(count: number, prefix = "r"): ReplicaState[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `${prefix}${index}`;
    return ReplicaState.create(id, createReplica({ id, slots: 8 }));
  });
}

function createServices(
  change: Partial<EngineChoiceServices> = {},
): EngineChoiceServices {
  return {
    hasher,
    prefixes: PrefixIndex.create(),
    costs: CostModel.create(),
    order: CandidateOrder.create(hasher),
    sender: { hasIdleConnection: () => false },
    ...change,
  };
}

function createRequest(change: Partial<EngineRequest> = {}): EngineRequest {
  return {
    service: "s",
    parts: [],
    promptTokens: 800,
    zone: "a",
    traits,
    now: 1_000,
    excluded: new Set(),
    draw: 0.5,
    ...change,
  };
}

function createParts(sharedTokens: number, id = "shared") {
  return [{ id, tokens: sharedTokens }, { id: "own", tokens: 800 }];
}

/** Counts how often each replica is chosen over draws. */
function countChoices(
  states: readonly ReplicaState[],
  request: Partial<EngineRequest>,
  services: EngineChoiceServices,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let draw = 0.005; draw < 1; draw += 0.01) {
    const choice = chooseEngine(
      states,
      createRequest({ ...request, draw }),
      services,
    );
    const key = choice?.state.key ?? "none";
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

test("nodes that decide at the same time do not all choose one replica", () => {
  const counts = countChoices(createStates(10), {}, createServices());
  assert.is(counts.size, 10);
  for (const count of counts.values()) assert.ok(count <= 15, `${count}`);
});

test("a replica with much work left, or slow for good, gets little", () => {
  const [busy, slow, free] = createStates(3) as [
    ReplicaState,
    ReplicaState,
    ReplicaState,
  ];
  busy.addOwnLoad({ active: 2, pendingTokens: 5_000, activeTokens: 9_000 }, 0);
  for (let at = 0; at < 1_000; at += 10) slow.recordFirstEvent(200, 100, at);
  const counts = countChoices([busy, slow, free], {}, createServices());
  assert.ok((counts.get(free.key) ?? 0) >= 95);
});

test("a replica that is fast and failing gets less than one that is slow", () => {
  const [failing, slow] = createStates(2) as [ReplicaState, ReplicaState];
  for (let at = 0; at < 1_000; at += 50) {
    failing.recordFirstEvent(20, 60, at);
    failing.failures.record(true, at);
    slow.recordFirstEvent(90, 60, at);
    slow.failures.record(false, at);
  }
  const counts = countChoices([failing, slow], {}, createServices());
  assert.ok((counts.get(slow.key) ?? 0) >= 95);
});

test("an open connection is preferred among replicas that are otherwise equal", () => {
  const states = createStates(6);
  const connected = states[4];
  const services = createServices({
    sender: { hasIdleConnection: (state) => state === connected },
  });
  const counts = countChoices(states, {}, services);
  const most = Math.max(...counts.values());
  assert.is(counts.get("r4"), most);
  assert.ok(most >= 40, `${most}`);
  connected?.addOwnLoad(
    { active: 1, pendingTokens: 2_000, activeTokens: 2_000 },
    0,
  );
  assert.is(countChoices(states, {}, services).get("r4") ?? 0, 0);
});

test("a popular prefix gets a second replica before the first is full", () => {
  const states = createStates(40);
  const services = createServices();
  const request = { parts: createParts(5_000), promptTokens: 5_800 };
  const homes: string[] = [];
  for (let sent = 0; sent < traits.slots; sent += 1) {
    const choice = chooseEngine(states, createRequest(request), services);
    if (choice === undefined) throw new Error("no replica");
    const { state, uncachedTokens } = choice;
    services.prefixes.record(request.parts, state.key, 1_000);
    homes.push(state.key);
    state.addOwnLoad({
      active: 1,
      pendingTokens: uncachedTokens,
      activeTokens: request.promptTokens,
    }, 1_000);
  }
  assert.is(homes[0], homes[1]);
  const first = homes.filter((home) => home === homes[0]).length;
  assert.ok(first < traits.slots, `${first}`);
});

test("the largest prompts find a place with a learnt speed as small ones do", () => {
  const services = createServices();
  const random = Random.create(3);
  const key = { service: "s", softwareVersion: "v1" };
  for (let stream = 0; stream < 200; stream += 1) {
    const work = { tokens: random.nextExponential(3_000), active: 2 };
    const observedMs = 20 + work.tokens / 101;
    services.costs.firstEvents.record(key, { work, observedMs }, stream * 10);
  }
  const request = createRequest({ promptTokens: 30_000, now: 3_000 });
  const choice = chooseEngine(createStates(8), request, services);
  const predictedMs = choice?.predictedMs ?? Infinity;
  // 30,000 tokens take 300 ms; at the assumed speed they would take 600 ms.
  assert.ok(predictedMs > 250 && predictedMs < 400, `${predictedMs}`);
});

test("without learnt costs, statements or uneven speeds the cost is as assumed", () => {
  const [state] = createStates(1) as [ReplicaState];
  state.addOwnLoad({ active: 2, pendingTokens: 1_000, activeTokens: 0 }, 0);
  const choice = chooseEngine([state], createRequest(), createServices());
  assert.is(choice?.predictedMs, 25 + 1_800 / 50 + 2);
  assert.is(choice?.uncachedTokens, 800);
});

test("a statement of an earlier incarnation does not count for the next one", () => {
  const [old, next] = createStates(2) as [ReplicaState, ReplicaState];
  const statement = { running: 8, waiting: 90, slots: 8, slowness: 5 };
  old.recordStatement(statement, 990);
  const services = createServices();
  const request = createRequest();
  const oldMs = chooseEngine([old], request, services)?.predictedMs ?? 0;
  const nextMs = chooseEngine([next], request, services)?.predictedMs ?? 0;
  assert.ok(oldMs > nextMs * 10, `${oldMs}, ${nextMs}`);
  assert.is(nextMs, 41);
});

test("replicas that are excluded or at their limits are not chosen", () => {
  const states = createStates(40);
  const [first, ...rest] = states;
  first?.pauseUntil(5_000);
  const excluded = new Set(rest.slice(0, 38).map(({ key }) => key));
  const request = createRequest({ parts: createParts(500), excluded });
  const choice = chooseEngine(states, request, createServices());
  assert.is(choice?.state, rest.at(-1));
  const all = new Set(states.map(({ key }) => key));
  const none = createRequest({ parts: createParts(500), excluded: all });
  assert.is(chooseEngine(states, none, createServices()), undefined);
});

test("the order of a prefix is the same whether or not it was kept", () => {
  const states = createStates(200);
  const order = CandidateOrder.create(hasher);
  const isUsable = ({ key }: ReplicaState): boolean => key !== "r7";
  const query = { isUsable, most: 5 };
  const kept = [1, 2].map(() => order.listFirst(states, "p", query));
  assert.equal(kept[0], kept[1]);
  const fresh = CandidateOrder.create(hasher);
  const usable = states.filter(isUsable);
  const direct = fresh.listFirst(usable, "p", {
    ...query,
    isUsable: () => true,
  });
  assert.equal(kept[0], direct);
});

test.run();
