import * as assert from "uvu/assert";
import { test } from "uvu";
import { Random } from "@almondcrank/common/random.ts";
import { parseRequestMix, RequestSampler } from "./request_mix.ts";

const text = `{
  "teams": [{ "name": "counter", "key": "k" }],
  "values": { "city": ["Fürth", "Augsburg"] },
  "systems": { "s": "System" },
  "conversations": [{ "name": "chat", "team": "counter", "service": "assistant",
    "weight": 3, "system": "s", "maxTokens": 9, "turns": ["In {city}?"] }],
  "calls": [{ "name": "book", "team": "counter", "service": "booking",
    "weight": 1, "method": "POST", "path": "/bookings", "key": "issued",
    "body": { "slot": "{city}/{unique}" } }]
}`;

test("requests are chosen by weight and repeat with the seed", () => {
  const mix = parseRequestMix("m.jsonc", text).unsafeCoerce();
  const chooseAll = (seed: number): string[] => {
    const sampler = RequestSampler.create(mix, Random.create(seed));
    return Array.from(
      { length: 400 },
      () => JSON.stringify(sampler.chooseRequest()),
    );
  };
  assert.equal(chooseAll(5), chooseAll(5));
  const chats = chooseAll(5).filter((line) => line.includes('"chat"')).length;
  assert.ok(chats > 260 && chats < 340, `${chats} of 400 are conversations`);
});

test("templates are filled and unique values differ", () => {
  const mix = parseRequestMix("m.jsonc", text).unsafeCoerce();
  const sampler = RequestSampler.create(mix, Random.create(1), "r");
  const bodies = new Set<string>();
  for (let i = 0; i < 100; i++) {
    const sampled = sampler.chooseRequest();
    if (sampled.kind === "call") bodies.add(sampled.body ?? "");
    else assert.match(sampled.turns[0] ?? "", /^In (Fürth|Augsburg)\?$/);
  }
  assert.ok(bodies.size > 10);
  for (const body of bodies) assert.match(body, /"slot":"\S+\/r-\d+"/);
});

test("a fault in the mix is reported with file, line and key", () => {
  const message = String(
    parseRequestMix("m.jsonc", text.replace('"weight": 3', '"weight": 0'))
      .extract(),
  );
  assert.match(message, /m\.jsonc:6:.*conversations\[0\]\.weight/);
});

test.run();
