import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReplicaSpeed } from "./replica_speed.ts";

test("a replica that is slow for good is known as such, and tried again", () => {
  const speed = ReplicaSpeed.create();
  for (let at = 0; at < 60_000; at += 1_000) speed.recordWork(1.7, at);
  const lasting = speed.readLasting(60_000);
  assert.ok(lasting > 1.4 && lasting < 1.8, `${lasting}`);
  assert.ok(speed.readLasting(70_000) > 1.3);
  assert.ok(speed.readLasting(1_500_000) < 1.05);
});

test("one slow second is no slow replica", () => {
  const speed = ReplicaSpeed.create();
  for (let at = 0; at < 1_000; at += 20) speed.recordWork(6, at);
  assert.ok(speed.readLasting(1_000) < 1.25, `${speed.readLasting(1_000)}`);
  assert.ok(speed.readSlowness(1_000) > 3);
  assert.ok(speed.readSlowness(15_000) < 1.35);
});

test("a stated moment counts now and is worth nothing after a second", () => {
  const speed = ReplicaSpeed.create();
  for (let at = 0; at < 30_000; at += 1_000) speed.recordStated(1, at);
  speed.recordStated(4, 30_000);
  assert.ok(speed.readSlowness(30_000) > 3.5);
  assert.ok(speed.readSlowness(30_200) < 2.6);
  assert.ok(speed.readSlowness(31_500) < 1.1);
});

test("a slow moment that the replica stated is not learnt a second time", () => {
  const speed = ReplicaSpeed.create();
  for (let at = 0; at < 30_000; at += 1_000) {
    const slowness = at % 5_000 === 0 ? 4 : 1;
    speed.recordStated(slowness, at);
    speed.recordWork(slowness, at);
  }
  const slowness = speed.readSlowness(32_000);
  assert.ok(slowness > 0.8 && slowness < 1.4, `${slowness}`);
});

test("what a replica always states is its lasting speed", () => {
  const speed = ReplicaSpeed.create();
  speed.recordStated(0.7, 0);
  assert.ok(Math.abs(speed.readSlowness(5_000) - 0.7) < 0.01);
});

test("a replica that claims to be fast and is not is found out", () => {
  const speed = ReplicaSpeed.create();
  for (let at = 0; at < 60_000; at += 500) {
    speed.recordStated(0.1, at);
    speed.recordWork(2, at);
  }
  const slowness = speed.readSlowness(60_100);
  assert.ok(slowness > 1, `${slowness}`);
});

test("a slow replica that is full and behaves as predicted stays slow", () => {
  const speed = ReplicaSpeed.create();
  let now = 0;
  for (; now < 600_000; now += 10_000) speed.recordWork(1.7, now);
  const lasting = speed.readLasting(now);
  for (; now < 900_000; now += 10_000) speed.recordPredicted(1, now);
  assert.ok(speed.readLasting(now) > 1 + (lasting - 1) / 4);
  assert.ok(speed.readLasting(now) <= lasting);
});

test.run();
