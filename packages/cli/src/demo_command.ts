/**
 * `almondcrank demo`: a small fleet on loopback, example requests, a booking
 * that is sent twice, and a host reclaimed in the middle of an answer.
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
const shownLength = 60;

interface ChunkBody {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly usage?: { readonly recomputed_tokens: number };
  readonly error?: { readonly message?: string };
}

/** Shows the system at work within a minute. */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "show the system at work on loopback",
    examples: [["A short one", "almondcrank demo --requests 2"]],
  });

  requests = Option.String("--requests", "6", {
    description: "example conversations and calls",
  });

  #broken = 0;

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
      await this.#askExamples(fleet, client, mix);
      await this.#bookTwice(fleet, client, mix);
      await this.#reclaimHost(fleet, mix);
    } finally {
      fleet.dispose();
      await agent.close();
    }
    this.#write(
      this.#broken === 0
        ? "Everything was answered once and whole."
        : `${this.#broken} answers were not as they should be.`,
    );
    return this.#broken === 0 ? exitCodes.done : exitCodes.failed;
  }

  async #askExamples(
    fleet: DemoFleet,
    client: LoadClient,
    mix: RequestMix,
  ): Promise<void> {
    const drawer = RequestSampler.create(mix, Random.create(1), "demo");
    for (let number = 0; number < Number(this.requests); number++) {
      const node = fleet.findCallerAddress(number);
      const now = performance.now();
      const sendOptions = { node, dueAt: now, runStartedAt: now };
      const drawn = drawer.chooseRequest();
      const result = drawn.kind === "call"
        ? await client.sendCall(
          drawn,
          sendOptions,
          drawn.idempotencyKey === undefined
            ? undefined
            : await client.issueKey(node, drawn.key),
        )
        : await client.sendTurn({
          ...drawn,
          messages: [
            { role: "system", content: drawn.system },
            { role: "user", content: drawn.turns[0] ?? "" },
          ],
        }, sendOptions);
      if (result.outcome !== "answered") this.#broken++;
      const tokens = result.usage === undefined
        ? ""
        : `, ${result.usage.completion_tokens} tokens, ${result.usage.prompt_tokens_details.cached_tokens} of ${result.usage.prompt_tokens} prompt tokens from cache`;
      this.#write(
        `${drawn.name}: ${result.reason ?? result.outcome}, first after ${
          result.firstOutputMs?.toFixed(1)
        } ms${tokens}`,
      );
      this.#write(`    ${shorten(result.text)}`);
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
      if (result.outcome !== "answered") this.#broken++;
    }
    const same = answers[0] === answers[1];
    if (!same) this.#broken++;
    this.#write(
      `booking sent to two nodes with one key: ${
        same ? "the same answer twice, booked once" : "different answers"
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
      this.#broken++;
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
    const whole = tokens.join("") === expected.join("");
    if (!whole) this.#broken++;
    this.#write(
      `the answer went on: ${tokens.length} of ${expected.length} tokens, ${
        whole ? "none missing or doubled" : "not the right ones"
      }, ${recomputed} recomputed`,
    );
  }

  #write(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function shorten(text: string): string {
  const line = text.replace(/\s+/g, " ").trim();
  return line.length > shownLength ? `${line.slice(0, shownLength)}…` : line;
}
