import * as assert from "uvu/assert";
import { test } from "uvu";
import { computeEndpointPath } from "./plain_handler.ts";

test("the path below a service keeps its query and its encoding", () => {
  assert.is(
    computeEndpointPath("/services/booking/slots?a=%2F"),
    "/slots?a=%2F",
  );
  assert.is(computeEndpointPath("/services/booking"), "/");
  assert.is(computeEndpointPath("/services/booking?a=1"), "/?a=1");
});

test("a percent-encoded name does not shift the path", () => {
  assert.is(computeEndpointPath("/services/b%6Foking/slots/3"), "/slots/3");
});

test.run();
