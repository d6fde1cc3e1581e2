/**
 * The official OpenAI client against a node: answers, streams, errors, retries.
 */

import * as assert from "uvu/assert";
import { test } from "uvu";
import OpenAI, {
  APIConnectionTimeoutError,
  AuthenticationError,
  InternalServerError,
  NotFoundError,
} from "openai";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { computeExpectedTokens } from "@almondcrank/standin/expected_tokens.ts";
import {
  teamKey,
  TestFleet,
  testModel,
  waitUntil,
} from "./testing/test_fleet.ts";

const messages = [{ role: "user" as const, content: "Opening hours today?" }];
const prompt = "<user> Opening hours today?\n<assistant>";
const maxTokens = 20;
const chat = { model: "assistant", messages, max_tokens: maxTokens };

let fleet: TestFleet;
let expected: string;

test.before(async () => {
  fleet = await TestFleet.open();
  expected = await computeText(maxTokens);
});
test.after(() => fleet?.dispose());

async function computeText(tokens: number, adapter?: string): Promise<string> {
  const question = { model: testModel, adapter, prompt, maxTokens: tokens };
  const hasher = await openHasher();
  return computeExpectedTokens(hasher, question).tokens.join("");
}

function createClient(
  options: Partial<ConstructorParameters<typeof OpenAI>[0]> = {},
): OpenAI {
  const baseURL = `http://${fleet.callers}/v1`;
  return new OpenAI({ baseURL, apiKey: teamKey, maxRetries: 0, ...options });
}

/** Returns the error with which a call fails. */
async function readError(call: Promise<unknown>): Promise<unknown> {
  return await call.then(
    () => assert.unreachable("the call was answered"),
    (error: unknown) => error,
  );
}

test("a complete answer arrives with its usage", async () => {
  const answer = await createClient().chat.completions.create(chat);
  assert.is(answer.choices[0]?.message.content, expected);
  assert.is(answer.choices[0]?.message.role, "assistant");
  assert.is(answer.choices[0]?.finish_reason, "length");
  assert.is(answer.usage?.completion_tokens, maxTokens);
  assert.is(answer.object, "chat.completion");
});

test("a stream arrives token by token, with usage at its end", async () => {
  const stream = await createClient().chat.completions.create({
    ...chat,
    stream: true,
    stream_options: { include_usage: true },
  });
  const texts: string[] = [];
  const reasons: string[] = [];
  let tokens: number | undefined;
  for await (const chunk of stream) {
    const choice = chunk.choices[0];
    if (choice?.delta.content) texts.push(choice.delta.content);
    if (choice?.finish_reason) reasons.push(choice.finish_reason);
    tokens = chunk.usage?.completion_tokens ?? tokens;
  }
  assert.is(texts.join(""), expected);
  assert.is(texts.length, maxTokens);
  assert.equal(reasons, ["length"]);
  assert.is(tokens, maxTokens);
});

test("the client's stream helper assembles the answer", async () => {
  const runner = createClient().chat.completions.stream(chat);
  const answer = await runner.finalChatCompletion();
  assert.is(answer.choices[0]?.message.content, expected);
});

test("models lists services and their adapters", async () => {
  const ids: string[] = [];
  for await (const model of createClient().models.list()) ids.push(model.id);
  assert.equal(ids, ["assistant", "assistant:formal"]);
});

test("an adapter is requested as SERVICE:ADAPTER", async () => {
  const model = "assistant:formal";
  const answer = await createClient().chat.completions.create({
    ...chat,
    model,
  });
  const text = await computeText(maxTokens, "formal");
  assert.is(answer.choices[0]?.message.content, text);
  assert.is(answer.model, model);
});

for (const model of ["nobody", "assistant:nothing", "booking"]) {
  test(`model ${model} is not found`, async () => {
    const error = await readError(
      createClient().chat.completions.create({ ...chat, model }),
    );
    assert.instance(error, NotFoundError);
    const body = (error as InstanceType<typeof NotFoundError>).error as {
      kind: string;
      run: string;
    };
    assert.is(body.kind, "unknown_model");
    assert.is(body.run, "not_run");
    assert.match((error as Error).message, "/v1/models");
  });
}

test("a wrong key is an authentication error", async () => {
  const client = createClient({ apiKey: "wrong-key-0123456789" });
  const error = await readError(client.chat.completions.create(chat));
  assert.instance(error, AuthenticationError);
  assert.match((error as Error).message, "key");
});

test("the client's timeout ends the call", async () => {
  fleet.engine.faults.apply({ frozen: true });
  try {
    const client = createClient({ timeout: 100 });
    const error = await readError(client.chat.completions.create(chat));
    assert.instance(error, APIConnectionTimeoutError);
  } finally {
    fleet.engine.faults.apply({ frozen: false });
  }
  await waitUntil(() => countRunning() === 0);
});

test("a request ends with the deadline error at the deadline in its header", async () => {
  fleet.engine.faults.apply({ frozen: true });
  try {
    const error = await readError(
      createClient().chat.completions.create(chat, {
        headers: { "x-request-timeout-ms": "300" },
      }),
    );
    assert.instance(error, InternalServerError);
    const { status, error: body } = error as InstanceType<
      typeof InternalServerError
    >;
    assert.is(status, 504);
    assert.is((body as { kind: string }).kind, "deadline");
  } finally {
    fleet.engine.faults.apply({ frozen: false });
  }
});

test("the engine stops an unstreamed answer whose caller leaves", async () => {
  fleet.engine.faults.apply({ slowdown: 20 });
  const leaving = new AbortController();
  const call = createClient().chat.completions.create(
    { ...chat, max_tokens: 500 },
    { signal: leaving.signal },
  );
  await waitUntil(() => countRunning() === 1);
  leaving.abort();
  await readError(call);
  await waitUntil(() => countRunning() === 0);
  fleet.engine.faults.apply({ slowdown: 1 });
});

test("a refused call is retried after Retry-After and answered", async () => {
  fleet.engine.faults.apply({ outage: "error" });
  const statuses: number[] = [];
  const times: number[] = [];
  let retryAfterMs = 0;
  const client = createClient({
    maxRetries: 8,
    fetch: async (url, init) => {
      times.push(performance.now());
      const answer = await fetch(url, init);
      statuses.push(answer.status);
      if (statuses.length === 1) {
        retryAfterMs = Number(answer.headers.get("retry-after-ms"));
        assert.ok(Number(answer.headers.get("retry-after")) >= 1);
        fleet.engine.faults.apply({ outage: "none" });
      }
      return answer;
    },
  });
  const answer = await client.chat.completions.create(chat);
  assert.is(answer.choices[0]?.message.content, expected);
  assert.ok(statuses[0]! >= 500, `${statuses}`);
  assert.is(statuses.at(-1), 200);
  assert.ok(retryAfterMs > 0, "no retry-after-ms");
  assert.ok(times[1]! - times[0]! >= retryAfterMs - 1);
});

/** Counts the requests that are running or queued at the engine. */
function countRunning(): number {
  const { running, queued } = fleet.engine.load;
  return running + queued;
}

test.run();
