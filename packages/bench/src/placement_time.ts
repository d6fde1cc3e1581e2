/**
 * Measures the time of one choice among thousands of replicas.
 *
 * Usage: node --import tsx packages/bench/src/placement_time.ts
 */

import { openHasher } from "@almondcrank/common/hashing.ts";
import { Random } from "@almondcrank/common/random.ts";
import { CandidateOrder } from "@almondcrank/gateway/choice/candidate_order.ts";
import { chooseEngine } from "@almondcrank/gateway/choice/engine_choice.ts";
import { PrefixIndex } from "@almondcrank/gateway/choice/prefix_index.ts";
import { ReplicaState } from "@almondcrank/gateway/choice/replica_state.ts";
import { createReplica } from "@almondcrank/gateway/testing/create_replica.ts";
import { CostModel } from "@almondcrank/routing/placement/cost_model.ts";
import { computePercentile } from "./percentiles.ts";

const choices = 5_000;
const sharedParts = 200;
const random = Random.create(1);
const hasher = await openHasher();

for (const count of [40, 400, 5_500]) {
  const states = Array.from({ length: count }, (_, index) => {
    const id = `i-${index}`;
    return ReplicaState.create(id, createReplica({ id, slots: 24 }));
  });
  const services = {
    hasher,
    prefixes: PrefixIndex.create(),
    costs: CostModel.create(),
    order: CandidateOrder.create(hasher),
    sender: { hasIdleConnection: () => false },
  };
  const times: number[] = [];
  for (let choice = 0; choice < choices; choice += 1) {
    const id = `p${random.nextInt(sharedParts)}`;
    const begin = performance.now();
    chooseEngine(states, {
      service: "s",
      parts: [{ id, tokens: 5_000 }, { id: `own${choice}`, tokens: 800 }],
      promptTokens: 5_800,
      zone: "a",
      traits: {
        slots: 24,
        cacheTokens: 600_000,
        tokensPerEvent: 9,
        canMove: false,
      },
      now: choice,
      excluded: new Set(),
      draw: random.next(),
    }, services);
    times.push((performance.now() - begin) * 1_000);
  }
  const total = times.reduce((sum, time) => sum + time, 0);
  console.log(
    `${count} replicas: mean ${(total / choices).toFixed(0)} us, p50 ${
      computePercentile(times, 50).toFixed(0)
    } us, p99 ${computePercentile(times, 99).toFixed(0)} us`,
  );
}
