/**
 * Request mixes for load runs, from a file in JSON with comments.
 *
 * A mix has conversations (several turns with a shared prefix) and calls of plain
 * services, each chosen at random by its weight. `{name}` in a text is replaced by
 * a random value of that name in the file, `{unique}` by a text that is unique in
 * the run.
 */

import type { Either } from "purify-ts";
import { z } from "zod";
import {
  type FileError,
  parseJsoncFile,
} from "@almondcrank/common/jsonc_file.ts";
import type { Random } from "@almondcrank/common/random.ts";

const weight = z.number().positive();

const schema = z.strictObject({
  teams: z.array(z.strictObject({ name: z.string(), key: z.string() })).min(1),
  values: z.record(z.string(), z.array(z.string()).min(1)).default({}),
  systems: z.record(z.string(), z.string()).default({}),
  conversations: z.array(z.strictObject({
    name: z.string(),
    team: z.string(),
    service: z.string(),
    weight,
    system: z.string(),
    maxTokens: z.int().min(1),
    turns: z.array(z.string()).min(1),
  })).default([]),
  calls: z.array(z.strictObject({
    name: z.string(),
    team: z.string(),
    service: z.string(),
    weight,
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    path: z.string().startsWith("/"),
    key: z.enum(["issued", "own"]).optional(),
    body: z.record(z.string(), z.string()).optional(),
  })).default([]),
});

/** A valid mix. */
export type RequestMix = z.output<typeof schema>;

/** A conversation with its templates filled. */
export interface SampledConversation {
  readonly kind: "conversation";
  readonly name: string;
  /** API key of the team. */
  readonly key: string;
  readonly service: string;
  readonly system: string;
  readonly maxTokens: number;
  readonly turns: readonly string[];
}

/** A call with its templates filled. */
export interface SampledCall {
  readonly kind: "call";
  readonly name: string;
  /** API key of the team. */
  readonly key: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Whether a node issues the idempotency key or the caller makes its own. */
  readonly idempotencyKey: "issued" | "own" | undefined;
  readonly body: string | undefined;
}

/** A conversation or call that was chosen from a mix. */
export type SampledRequest = SampledConversation | SampledCall;

/** Parses and checks a mix; `Left` names file, line and column. */
export function parseRequestMix(
  file: string,
  text: string,
): Either<FileError, RequestMix> {
  return parseJsoncFile({ file, text, schema }).map((checked) => checked.value);
}

/** Chooses requests of a mix at random. */
export class RequestSampler {
  readonly #mix: RequestMix;
  readonly #random: Random;
  readonly #run: string;
  #sampleCount = 0;

  private constructor(mix: RequestMix, random: Random, run: string) {
    this.#mix = mix;
    this.#random = random;
    this.#run = run;
  }

  /** @param run Prefix of `{unique}`, to make it differ between runs. */
  static create(mix: RequestMix, random: Random, run = "run"): RequestSampler {
    return new RequestSampler(mix, random, run);
  }

  /** Chooses one conversation or call; throws when the mix has none. */
  chooseRequest(): SampledRequest {
    this.#sampleCount++;
    const { conversations, calls } = this.#mix;
    const total = sumWeights(conversations) + sumWeights(calls);
    let left = this.#random.next() * total;
    for (const conversation of conversations) {
      left -= conversation.weight;
      if (left < 0) return this.#composeConversation(conversation);
    }
    for (const call of calls) {
      left -= call.weight;
      if (left < 0) return this.#composeCall(call);
    }
    throw new Error("mix has no requests; add a conversation or a call");
  }

  #composeConversation(
    conversation: RequestMix["conversations"][number],
  ): SampledConversation {
    const values = this.#chooseValues();
    return {
      kind: "conversation",
      name: conversation.name,
      key: this.#findKey(conversation.team),
      service: conversation.service,
      system: this.#mix.systems[conversation.system] ?? conversation.system,
      maxTokens: conversation.maxTokens,
      turns: conversation.turns.map((turn) => fillTemplate(turn, values)),
    };
  }

  #composeCall(call: RequestMix["calls"][number]): SampledCall {
    const values = this.#chooseValues();
    const body = call.body === undefined
      ? undefined
      : JSON.stringify(Object.fromEntries(
        Object.entries(call.body).map((
          [key, value],
        ) => [key, fillTemplate(value, values)]),
      ));
    return {
      kind: "call",
      name: call.name,
      key: this.#findKey(call.team),
      service: call.service,
      method: call.method,
      path: fillTemplate(call.path, values),
      idempotencyKey: call.key,
      body,
    };
  }

  #findKey(team: string): string {
    return this.#mix.teams.find((known) => known.name === team)?.key ?? "";
  }

  #chooseValues(): ReadonlyMap<string, string> {
    const values = new Map<string, string>();
    for (const [name, choices] of Object.entries(this.#mix.values)) {
      values.set(name, this.#random.choose(choices));
    }
    values.set("unique", `${this.#run}-${this.#sampleCount}`);
    return values;
  }
}

function sumWeights(items: readonly { readonly weight: number }[]): number {
  return items.reduce((sum, item) => sum + item.weight, 0);
}

function fillTemplate(
  text: string,
  values: ReadonlyMap<string, string>,
): string {
  return text.replace(
    /\{(\w+)\}/g,
    (placeholder, name: string) => values.get(name) ?? placeholder,
  );
}
