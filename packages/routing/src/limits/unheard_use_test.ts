import { test } from "uvu";
import * as assert from "uvu/assert";
import { UnheardUse } from "./unheard_use.ts";

test("admitted cost counts until a report of it was heard", () => {
  const use = UnheardUse.create(0);
  use.recordAdmitted(40);
  assert.is(use.readCost(), 40);
  use.recordReport(100, -1);
  use.recordAdmitted(5);
  assert.is(use.readCost(), 45, "reported, but not yet heard");
  use.recordReport(200, 99);
  assert.is(use.readCost(), 45);
  use.recordReport(300, 100);
  assert.is(use.readCost(), 5, "heard up to the first report");
  use.recordReport(400, 300);
  assert.is(use.readCost(), 0);
});

test("while no reports are heard, all that is admitted adds up", () => {
  const use = UnheardUse.create(0);
  for (let now = 0; now < 5_000; now += 200) {
    use.recordAdmitted(1);
    use.recordReport(now, -1);
  }
  assert.is(use.readCost(), 25);
});

test("a refund lowers it", () => {
  const use = UnheardUse.create(0);
  use.recordAdmitted(10);
  use.recordAdmitted(-4);
  assert.is(use.readCost(), 6);
});

test("refused requests count towards a surge, one request does not make one", () => {
  const use = UnheardUse.create(0);
  assert.is(use.computeSurge(100), 1);
  use.recordRequest(10);
  assert.is(use.computeSurge(100), 1);
  for (let at = 0; at < 100; at += 1) use.recordRequest(10);
  assert.is(use.meanCost, 10);
  assert.is(use.computeSurge(100), (3 + 101) / (3 + 10));
  assert.is(use.readCost(), 0);
});

test("a surge is over once its requests were heard", () => {
  const use = UnheardUse.create(0);
  for (let at = 0; at < 50; at += 1) use.recordRequest(10);
  use.recordReport(100, -1);
  use.recordReport(200, 100);
  assert.is(use.computeSurge(0), 1);
});

test.run();
