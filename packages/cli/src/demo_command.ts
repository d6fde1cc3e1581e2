/**
 * `almondcrank demo`: starts a small fleet on loopback, sends example requests,
 * sends a booking twice, and reclaims a host in the middle of an answer.
 */

import { Command, Option } from "clipanion";
import { Agent, request } from "undici";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { openHasher } from "@almondcrank/common/hashing.ts";
import { TslogLog } from "@almondcrank/common/logs.ts";
import { Random } from "@almondcrank/common/random.ts";
import { LoadClient } from "@almondcrank/load/load_client.ts";
import {
  type RequestMix,
  RequestSampler,
} from "@almondcrank/load/request_mix.ts";
import { readServerSentEvents } from "@almondcrank/load/sse_reader.ts";
import { computeExpectedTokens } from "@almondcrank/standin/expected_tokens.ts";
import { DemoFleet } from "./demo_fleet.ts";
import { readDemoMix } from "./demo_mix.ts";
import { exitCodes } from "./exit_codes.ts";

const reclaimPrompt = "Was wird an der Bremse geprüft?";
const reclaimTokens = 200;
const reclaimAfterTokens = 40;
const reclaimNoticeMs = 1_000;
const maxTextLength = 60;

interface ChunkBody {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly usage?: { readonly recomputed_tokens: number };
  readonly error?: { readonly message?: string };
}

/** Runs the demonstration, which takes less than a minute. */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "demonstrate the system on loopback",
    examples: [["A short run", "almondcrank demo --requests 2"]],
  });

  requests = Option.String("--requests", "6", {
    description: "number of example conversations and calls",
  });

  #failures = 0;

  override async execute(): Promise<number> {
    const mix = readDemoMix();
    const log = TslogLog.create("node", { level: "error", format: "text" });
    const fleet = await DemoFleet.open(mix, log);
    const agent = new Agent();
    this.#write(
      `${fleet.nodes.length} nodes, 4 engines and a booking service on loopback; the release note is in force everywhere.`,
    );
    try {
      const client = LoadClient.create(SystemClock.create(), agent);
      await this.#sendExamples(fleet, client, mix);
      await this.#bookTwice(fleet, client, mix);
      await this.#reclaimHost(fleet, mix);
    } finally {
      fleet.dispose();
      await agent.close();
    }
    this.#write(
      this.#failures === 0
        ? "Every request was answered completely and ran once."
        : `${this.#failures} checks failed.`,
    );
    return this.#failures === 0 ? exitCodes.done : exitCodes.failed;
  }

  async #sendExamples(
    fleet: DemoFleet,
    client: LoadClient,
    mix: RequestMix,
  ): Promise<void> {
    const sampler = RequestSampler.create(mix, Random.create(1), "demo");
    for (let index = 0; index < Number(this.requests); index++) {
      const node = fleet.findCallerAddress(index);
      const now = performance.now();
      const sendOptions = { node, dueAt: now, runStartedAt: now };
      const sampled = sampler.chooseRequest();
      const result = sampled.kind === "call"
        ? await client.sendCall(
          sampled,
          sendOptions,
          sampled.idempotencyKey === undefined
            ? undefined
            : await client.issueKey(node, sampled.key),
        )
        : await client.sendTurn({
          ...sampled,
          messages: [
            { role: "system", content: sampled.system },
            { role: "user", content: sampled.turns[0] ?? "" },
          ],
        }, sendOptions);
      if (result.outcome !== "answered") this.#failures++;
      const tokens = result.usage === undefined
        ? ""
        : `, ${result.usage.completion_tokens} tokens, ${result.usage.prompt_tokens_details.cached_tokens} of ${result.usage.prompt_tokens} prompt tokens from cache`;
      this.#write(
        `${sampled.name}: ${
          result.reason ?? result.outcome
        }, first output after ${result.firstOutputMs?.toFixed(1)} ms${tokens}`,
      );
      this.#write(`    ${formatExcerpt(result.text)}`);
    }
  }

  async #bookTwice(
    fleet: DemoFleet,
    client: LoadClient,
    mix: RequestMix,
  ): Promise<void> {
    const teamKey = mix.teams[0]?.key ?? "";
    const key = await client.issueKey(fleet.findCallerAddress(0), teamKey);
    const answers: string[] = [];
    for (const index of [0, 1]) {
      const now = performance.now();
      const result = await client.sendCall(
        {
          kind: "call",
          name: "book_slot",
          key: teamKey,
          service: "booking",
          method: "POST",
          path: "/bookings",
          idempotencyKey: "issued",
          body: JSON.stringify({ slot: "München-Nord/2/demo" }),
        },
        { node: fleet.findCallerAddress(index), dueAt: now, runStartedAt: now },
        key,
      );
      answers.push(result.text);
      if (result.outcome !== "answered") this.#failures++;
    }
    const isSame = answers[0] === answers[1];
    if (!isSame) this.#failures++;
    this.#write(
      `booking sent to two nodes with one key: ${
        isSame ? "the same answer twice, booked once" : "different answers"
      }`,
    );
  }

  async #reclaimHost(fleet: DemoFleet, mix: RequestMix): Promise<void> {
    const answer = await request(
      `http://${fleet.findCallerAddress(0)}/v1/chat/completions`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${mix.teams[0]?.key ?? ""}` },
        body: JSON.stringify({
          model: "assistant",
          messages: [{ role: "user", content: reclaimPrompt }],
          max_tokens: reclaimTokens,
          stream: true,
          stream_options: { include_usage: true },
        }),
      },
    );
    const tokens: string[] = [];
    let recomputed = 0;
    for await (const { id, data } of readServerSentEvents(answer.body)) {
      if (data === "[DONE]") break;
      const chunk = JSON.parse(data) as ChunkBody;
      if (chunk.error !== undefined) this.#write(chunk.error.message ?? "");
      recomputed = chunk.usage?.recomputed_tokens ?? recomputed;
      const text = chunk.choices?.[0]?.delta?.content ?? "";
      if (text === "") continue;
      tokens.push(text);
      if (tokens.length === reclaimAfterTokens) {
        await this.#reclaimEndpoint(fleet, id ?? "");
      }
    }
    await this.#checkTokens(tokens, recomputed);
  }

  async #reclaimEndpoint(fleet: DemoFleet, eventId: string): Promise<void> {
    const streamId = eventId.replace(/:\d+$/, "");
    const endpoint = await fleet.findStreamEndpoint(streamId);
    if (endpoint === undefined) {
      this.#failures++;
      return;
    }
    fleet.standins.cloudApi?.reclaim({
      host: endpoint,
      noticeMs: reclaimNoticeMs,
    });
    this.#write(
      `${endpoint} is reclaimed with ${reclaimNoticeMs} ms notice after ${reclaimAfterTokens} tokens of an answer`,
    );
  }

  async #checkTokens(
    tokens: readonly string[],
    recomputed: number,
  ): Promise<void> {
    const expected = computeExpectedTokens(await openHasher(), {
      model: "pruef-14b",
      prompt: `<user> ${reclaimPrompt}\n<assistant>`,
      maxTokens: reclaimTokens,
    }).tokens;
    const isExpected = tokens.join("") === expected.join("");
    if (!isExpected) this.#failures++;
    this.#write(
      `the answer continued: ${tokens.length} of ${expected.length} tokens, ${
        isExpected ? "none missing or repeated" : "not the expected ones"
      }, ${recomputed} recomputed`,
    );
  }

  #write(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function formatExcerpt(text: string): string {
  const line = text.replace(/\s+/g, " ").trim();
  return line.length > maxTextLength
    ? `${line.slice(0, maxTextLength)}…`
    : line;
}
