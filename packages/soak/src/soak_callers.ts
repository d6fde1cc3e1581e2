/**
 * Callers of a soak. Each sends one request after the other on a keep-alive
 * connection, sometimes leaves early, and records the answers.
 */

import { Agent } from "node:http";
import type { Random } from "@almondcrank/common/random.ts";
import {
  lastEventIdHeader,
  promptPartsHeader,
  resumedRequestHeader,
  signatureHeader,
} from "@almondcrank/platform/headers.ts";
import { sendRouteRequest } from "@almondcrank/load/route_client.ts";
import {
  exampleHostname,
  tenantKey,
} from "@almondcrank/standin/platform/example_configuration.ts";
import type { BalancedNode, LoadBalancer } from "./load_balancer.ts";
import type { CallerRecord, RequestKind } from "./records.ts";
import { secondKey } from "./soak_system.ts";

const kinds: readonly RequestKind[] = ["stream", "once", "book", "lookup"];
const paths: Readonly<Record<RequestKind, string>> = {
  stream: "/answer/draft/stream",
  once: "/once/draft/stream",
  book: "/book/slot",
  lookup: "/lookup/slot",
};
const deadlineMs = 4_000;
const meanPauseMs = 60;
const abortProbability = 0.04;
const abortAfterMs = 90;
const secondKeyProbability = 0.15;
/** Parts that all prompts share, as `ID:TOKENS`. */
const sharedParts = ["5c1e07a2:200", "91bd3f06:100"];
const crashingPartTokens = 50;
const ownPartTokens = 20;
/** Probability that the caller of a broken stream comes back for its rest. */
const returnProbability = 0.7;
/** Probability that it comes back at two nodes at once. */
const twoNodesProbability = 0.3;
/** Longest time for which `minRequests` extends a soak. */
const maxExtensionMs = 60_000;

/** Number of callers, their load balancer and for how long they send. */
export interface SoakCallersOptions {
  readonly balancer: LoadBalancer;
  readonly random: Random;
  readonly callers: number;
  readonly lengthMs: number;
  /** Takes a part that crashes replicas for the next prompt, if one is due. */
  readonly takeCrashingPart: () => string | undefined;
  /**
   * Number of requests that are sent at least, on a slow machine for longer than
   * `lengthMs`.
   */
  readonly minRequests?: number;
}

/** Runs all callers and returns their records. */
export async function runCallers(
  options: SoakCallersOptions,
): Promise<readonly CallerRecord[]> {
  const records: CallerRecord[] = [];
  const endsAt = performance.now() + options.lengthMs;
  await Promise.all(
    Array.from(
      { length: options.callers },
      (_, caller) => runCaller(options, { caller, endsAt, records }),
    ),
  );
  return records;
}

interface CallerTask {
  readonly caller: number;
  readonly endsAt: number;
  readonly records: CallerRecord[];
}

/**
 * Sends requests until `endsAt`. A caller keeps its connection until that closes,
 * as the user documentation says.
 */
async function runCaller(
  options: SoakCallersOptions,
  { caller, endsAt, records }: CallerTask,
): Promise<void> {
  const { balancer, random, minRequests = 0 } = options;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let node = balancer.choose(caller);
  let number = 0;
  const isOver = (): boolean => {
    const leftMs = endsAt - performance.now();
    if (records.length < minRequests) return leftMs < -maxExtensionMs;
    return leftMs <= 0;
  };
  while (!isOver()) {
    await sleep(random.nextExponential(meanPauseMs));
    const isConnected = Object.keys(agent.freeSockets).length > 0;
    if (!isConnected) node = balancer.choose(caller);
    if (node === undefined) continue;
    number += 1;
    const willAbort = random.next() < abortProbability;
    const id = `c${caller}-${number}`;
    const kind = random.choose(kinds);
    const record = await sendRequest(agent, {
      id,
      kind,
      ...composePrompt(options, id, kind),
      key: random.next() < secondKeyProbability ? secondKey : tenantKey,
      node,
      abortAfterMs: willAbort ? abortAfterMs : undefined,
    });
    records.push(record);
    const returning = composeReturn(record);
    if (returning === undefined || random.next() >= returnProbability) continue;
    const count = random.next() < twoNodesProbability ? 2 : 1;
    records.push(
      ...await sendReturns(returning, {
        balancer,
        callers: [caller + 1, caller + 2].slice(0, count),
      }),
    );
  }
  agent.destroy();
}

interface Prompt {
  readonly promptParts: string | undefined;
  readonly crashingPart: string | undefined;
}

/** Composes the prompt of a request, if its kind has one. */
function composePrompt(
  { random, takeCrashingPart }: SoakCallersOptions,
  id: string,
  kind: RequestKind,
): Prompt {
  const hasPrompt = kind === "stream" || kind === "once";
  if (!hasPrompt) return { promptParts: undefined, crashingPart: undefined };
  const parts = [...sharedParts];
  const crashingPart = takeCrashingPart();
  if (crashingPart !== undefined) {
    const at = random.nextInt(parts.length + 1);
    parts.splice(at, 0, `${crashingPart}:${crashingPartTokens}`);
  }
  parts.push(`${Buffer.from(id).toString("hex")}:${ownPartTokens}`);
  return { promptParts: parts.join(","), crashingPart };
}

interface SoakRequest extends Prompt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly key: string;
  readonly node: BalancedNode;
  readonly abortAfterMs?: number | undefined;
  readonly resumeHeaders?: Readonly<Record<string, string>>;
}

/** A broken stream whose caller comes back. */
interface ReturningStream {
  readonly broken: CallerRecord;
  /** Its whole events. */
  readonly text: string;
  readonly lastId: string;
}

/** Composes the return to a stream that broke after an event, if it did. */
function composeReturn(broken: CallerRecord): ReturningStream | undefined {
  const { kind, status, isComplete } = broken;
  if (kind !== "stream" || status !== 200 || isComplete) return undefined;
  const text = broken.text.slice(0, broken.text.lastIndexOf("\n\n") + 2);
  const lastId = [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
  return lastId === undefined ? undefined : { broken, text, lastId };
}

/** Asks the nodes of some callers for the rest, all at once. */
async function sendReturns(
  returning: ReturningStream,
  { balancer, callers }: {
    readonly balancer: LoadBalancer;
    readonly callers: readonly number[];
  },
): Promise<readonly CallerRecord[]> {
  const nodes = callers.map((caller) => balancer.choose(caller))
    .filter((node) => node !== undefined);
  return await Promise.all(
    nodes.map((node, at) => sendReturn(returning, { node, number: at + 1 })),
  );
}

/** Asks another node for the rest; the record has the events of both. */
async function sendReturn(
  { broken, text, lastId }: ReturningStream,
  { node, number }: { readonly node: BalancedNode; readonly number: number },
): Promise<CallerRecord> {
  const agent = new Agent({ keepAlive: false });
  const rest = await sendRequest(agent, {
    id: `${broken.id}-again-${number}`,
    kind: broken.kind,
    key: broken.key,
    node,
    promptParts: broken.promptParts,
    crashingPart: broken.crashingPart,
    resumeHeaders: {
      [lastEventIdHeader]: lastId,
      [resumedRequestHeader]: broken.id,
    },
  });
  agent.destroy();
  return rest.status === 200 ? { ...rest, text: text + rest.text } : rest;
}

async function sendRequest(
  agent: Agent,
  request: SoakRequest,
): Promise<CallerRecord> {
  const { id, kind, key, node, abortAfterMs, resumeHeaders } = request;
  const { promptParts, crashingPart } = request;
  const path = paths[kind];
  const body = `question ${id}`;
  const sentAt = performance.now();
  const answer = await sendRouteRequest({
    address: node.address,
    host: exampleHostname,
    path,
    id,
    key,
    body,
    deadlineMs,
    agent,
    abortAfterMs,
    headers: {
      ...(promptParts === undefined
        ? {}
        : { [promptPartsHeader]: promptParts }),
      ...resumeHeaders,
    },
  });
  const endedAt = performance.now();
  return {
    id,
    kind,
    path,
    body,
    key,
    node: node.name,
    sentAt,
    endedAt,
    status: answer.status,
    seal: answer.headers[signatureHeader]?.toString(),
    text: answer.body,
    isComplete: answer.isComplete,
    leftAt: answer.isAborted ? endedAt : undefined,
    isReturn: resumeHeaders !== undefined,
    promptParts,
    crashingPart,
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
