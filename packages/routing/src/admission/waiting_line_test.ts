import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Waiter } from "./urgency_order.ts";
import { WaitingLine } from "./waiting_line.ts";

interface Named extends Waiter {
  readonly name: string;
}

function createWaiter(name: string, rest: Partial<Waiter> = {}): Named {
  return {
    name,
    tenantPriority: 1,
    routePriority: 1,
    tenant: "t",
    isReturning: false,
    tokens: 1_000,
    enteredAt: 0,
    latestStartAt: 400,
    ...rest,
  };
}

function listNames(line: WaitingLine<Named>): string {
  return line.list().map(({ name }) => name).join("");
}

test("the tenant's priority goes before the route's, then time and size", () => {
  const line = WaitingLine.create<Named>(8);
  line.offer(createWaiter("e", { tokens: 9_000 }), 10, 0);
  line.offer(createWaiter("d"), 10, 0);
  line.offer(createWaiter("c", { latestStartAt: 300 }), 10, 0);
  line.offer(createWaiter("b", { routePriority: 0 }), 10, 0);
  line.offer(createWaiter("a", { tenantPriority: 0, routePriority: 2 }), 10, 0);
  assert.is(listNames(line), "abcde");
});

test("one that can't start in time is refused at once", () => {
  const line = WaitingLine.create<Named>(8);
  const verdict = line.offer(createWaiter("a"), 401, 0);
  assert.equal(verdict, { kind: "refused", reason: "no_place_in_time" });
  line.offer(createWaiter("b"), 390, 0);
  assert.is(line.offer(createWaiter("c"), 390, 0).kind, "refused");
});

test("a more urgent one displaces the least urgent, which hears at once", () => {
  const line = WaitingLine.create<Named>(2);
  line.offer(createWaiter("a"), 10, 0);
  line.offer(createWaiter("b", { routePriority: 2 }), 10, 0);
  const verdict = line.offer(createWaiter("c", { routePriority: 0 }), 10, 0);
  if (verdict.kind !== "waits") throw new Error("refused");
  assert.equal(verdict.displaced.map(({ name }) => name), ["b"]);
  assert.is(listNames(line), "ca");
  const last = line.offer(createWaiter("d", { routePriority: 2 }), 10, 0);
  assert.equal(last, { kind: "refused", reason: "line_full" });
});

test("one that is pushed beyond its time is displaced too", () => {
  const line = WaitingLine.create<Named>(8);
  line.offer(createWaiter("a", { latestStartAt: 30 }), 25, 0);
  const verdict = line.offer(createWaiter("b", { routePriority: 0 }), 10, 0);
  if (verdict.kind !== "waits") throw new Error("refused");
  assert.equal(verdict.displaced.map(({ name }) => name), ["a"]);
});

test("a tenant takes half of a line in which others wait", () => {
  const line = WaitingLine.create<Named>(4);
  for (const name of "ab") line.offer(createWaiter(name), 10, 0);
  assert.is(line.offer(createWaiter("c"), 10, 0).kind, "waits", "alone");
  line.remove(line.list()[2] as Named);
  line.offer(createWaiter("x", { tenant: "other" }), 10, 0);
  const verdict = line.offer(createWaiter("d"), 10, 0);
  assert.equal(verdict, { kind: "refused", reason: "tenant_share" });
});

test("among equals the tenant that was served least goes first", () => {
  const line = WaitingLine.create<Named>(8);
  for (let at = 0; at < 10; at += 1) {
    line.recordStart(createWaiter("s", { tokens: 8_000 }), at);
  }
  line.offer(createWaiter("b"), 10, 10);
  line.offer(createWaiter("a", { tenant: "other" }), 10, 10);
  assert.is(listNames(line), "ab");
});

test("after a freeze what waited is late, and is never started", () => {
  const line = WaitingLine.create<Named>(8);
  line.offer(createWaiter("a"), 10, 0);
  line.offer(createWaiter("b", { latestStartAt: 9_000 }), 10, 0);
  const late = line.takeLate(5_000);
  assert.equal(late.map(({ name }) => name), ["a"]);
  assert.is(listNames(line), "b");
});

/** A surge of three times what one place serves, by priority, on a driven clock. */
test("in a surge the urgent are served, and nobody waits in vain", () => {
  const line = WaitingLine.create<Named>(16);
  const serviceMs = 30;
  let freeAt = 0;
  const served = [0, 0, 0];
  const sent = [0, 0, 0];
  let refusedLate = 0;
  for (let now = 0; now < 6_000; now += 10) {
    refusedLate += line.takeLate(now).length;
    const [next] = line.list();
    if (now >= freeAt && next !== undefined) {
      line.remove(next);
      line.recordStart(next, now);
      served[next.routePriority] = (served[next.routePriority] ?? 0) + 1;
      freeAt = now + serviceMs;
    }
    const routePriority = now / 10 % 3;
    sent[routePriority] = (sent[routePriority] ?? 0) + 1;
    const waiter = createWaiter("", {
      routePriority,
      tenant: `t${now % 70}`,
      enteredAt: now,
      latestStartAt: now + 300,
    });
    line.offer(waiter, Math.max(0, freeAt - now), now);
  }
  const shares = served.map((count, at) => count / (sent[at] ?? 1));
  const [first = 0, second = 0, third = 0] = shares;
  assert.ok(first > 0.95, `${shares}`);
  assert.ok(first >= second && second >= third, `${shares}`);
  const total = served.reduce((sum, count) => sum + count, 0);
  assert.ok(total >= 6_000 / serviceMs * 0.95, `${total} served`);
  assert.ok(refusedLate < total * 0.02, `${refusedLate} waited in vain`);
});

test.run();
