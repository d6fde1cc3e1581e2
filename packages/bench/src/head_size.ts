/**
 * Measures the stored size of the head object, which holds the configuration in
 * force, and the time to encode and decode it.
 *
 * Usage: npx tsx packages/bench/src/head_size.ts
 */

import process from "node:process";
import { Random } from "@almondcrank/common/random.ts";
import {
  createEndpoint,
  createFirstConfiguration,
} from "@almondcrank/fleet/testing/release_fixtures.ts";
import {
  computeValueBytes,
  decodeHead,
  encodeStoredValue,
  headKey,
} from "@almondcrank/infrastructure/configuration_codec.ts";

const rounds = 20;

/** Prints the figures for a configuration with this number of replicas. */
function measure(replicas: number): void {
  const random = Random.create(1);
  const endpoints = Array.from(
    { length: replicas },
    (_, i) =>
      createEndpoint(`engine-${i}`, {
        address: `10.${random.nextInt(256)}.${random.nextInt(256)}.${
          random.nextInt(256)
        }:9000`,
        host: `host-${random.nextInt(2 ** 30).toString(16)}`,
        zone: `zone-${i % 16}`,
        machineClass: `gpu-${random.nextInt(4)}`,
      }),
  );
  const configuration = { ...createFirstConfiguration(), endpoints };
  const head = { writes: [], configuration };
  let encodeMs = 0;
  let decodeMs = 0;
  let bytes = 0;
  for (let round = 0; round < rounds; round++) {
    const start = performance.now();
    const value = encodeStoredValue(head);
    const encoded = performance.now();
    decodeHead({ key: headKey, version: 1, value }).unsafeCoerce();
    encodeMs += encoded - start;
    decodeMs += performance.now() - encoded;
    bytes = computeValueBytes(value);
  }
  const plain = JSON.stringify(head).length;
  process.stdout.write(
    `${replicas} replicas: ${plain} bytes of JSON, ${bytes} stored, encode ${
      (encodeMs / rounds).toFixed(1)
    } ms, decode ${(decodeMs / rounds).toFixed(1)} ms\n`,
  );
}

for (const replicas of [12, 500, 1_980, 5_500, 20_000]) measure(replicas);
