/**
 * Stand-in for the platform's object API, with the HTTP API that
 * `infrastructure/object_store.ts` describes.
 */

import { z } from "zod";
import type { Address } from "@almondcrank/common/address.ts";
import type { Clock } from "@almondcrank/common/clock.ts";
import { parseJsonBody } from "@almondcrank/common/http_server.ts";
import { eraHeader } from "@almondcrank/infrastructure/http_object_store.ts";
import {
  maxObjectBytes,
  type WriteCondition,
  type WriteOutcome,
} from "@almondcrank/infrastructure/object_store.ts";
import { CallRateLimiter } from "./call_rate_limiter.ts";
import type { CommonFaults } from "./fault_settings.ts";
import { FaultInjector } from "./fault_injector.ts";
import {
  type ControlCall,
  createAnswer,
  handleControlCall,
  type Part,
  type PartAnswer,
  type PartCall,
  PartServer,
} from "./part_server.ts";
import {
  findKey,
  type ObjectsCopy,
  VersionedObjects,
} from "./versioned_objects.ts";

const maxWatchMs = 60_000;

/** Schema of the object API's settings. */
export const objectApiSettings = z.strictObject({
  writesPerSecond: z.number().min(1).default(400),
  /** Reads, lists and watches together. */
  readsPerSecond: z.number().min(1).default(2_000),
  /** Number of latest changes that a watch can read. */
  historyLimit: z.number().int().min(1).default(10_000),
});
/** Settings with all defaults filled in. */
export type ObjectApiSettings = z.infer<typeof objectApiSettings>;

const ratesChange = z.strictObject({
  writesPerSecond: z.number().min(1),
  readsPerSecond: z.number().min(1),
});

/** Calls by kind since the last reset; a waiting watch is one call. */
export interface ObjectApiCounts {
  read: number;
  list: number;
  write: number;
  remove: number;
  watch: number;
  conflict: number;
  rateLimited: number;
}

/** Options of the object API stand-in. */
export interface ObjectApiOptions extends Partial<ObjectApiSettings> {
  readonly address: Address;
  readonly clock: Clock;
  readonly name?: string;
}

/** Running stand-in for the object API. */
export class ObjectApiStandin implements Part {
  readonly name: string;
  readonly faults: FaultInjector<CommonFaults>;
  readonly objects: VersionedObjects;
  readonly #clock: Clock;
  readonly #writes: CallRateLimiter;
  readonly #reads: CallRateLimiter;
  readonly #ended = new AbortController();
  #server!: PartServer;
  #counts = createCounts();
  #copy: ObjectsCopy | undefined;

  private constructor(options: ObjectApiOptions, settings: ObjectApiSettings) {
    this.name = options.name ?? "objectApi";
    this.#clock = options.clock;
    this.faults = FaultInjector.createCommon(options.clock);
    this.objects = VersionedObjects.create(settings.historyLimit);
    this.#writes = CallRateLimiter.create(
      options.clock,
      settings.writesPerSecond,
    );
    this.#reads = CallRateLimiter.create(
      options.clock,
      settings.readsPerSecond,
    );
  }

  static async open(options: ObjectApiOptions): Promise<ObjectApiStandin> {
    const { address, clock, name: _name, ...settings } = options;
    const standin = new ObjectApiStandin(
      options,
      objectApiSettings.parse(settings),
    );
    standin.#server = await PartServer.open({
      address,
      clock,
      faults: standin.faults,
      routes: [
        // A wildcard, because the router limits the length of named parameters.
        {
          method: "GET",
          path: "/objects/*",
          handle: (e) => standin.#stateEra(standin.#read(e)),
        },
        {
          method: "GET",
          path: "/objects",
          handle: (e) => standin.#stateEra(standin.#list(e)),
        },
        {
          method: "PUT",
          path: "/objects/*",
          handle: (e) => standin.#stateEra(standin.#write(e)),
        },
        {
          method: "DELETE",
          path: "/objects/*",
          handle: (e) => standin.#stateEra(standin.#remove(e)),
        },
        {
          method: "GET",
          path: "/watch",
          handle: async (e) => standin.#stateEra(await standin.#watch(e)),
        },
      ],
      controls: {
        "GET /control/counts": () => createAnswer(200, standin.#counts),
        "POST /control/counts/reset": () => standin.#resetCounts(),
        "POST /control/history/drop": () => standin.#compactHistory(),
        "POST /control/copy": () => standin.#copyObjects(),
        "POST /control/restore": () => standin.#restoreObjects(),
        "POST /control/rates": (call) => standin.#setRates(call),
      },
    });
    return standin;
  }

  get address(): Address {
    return this.#server.address;
  }

  /** Calls counted since the start or the last reset. */
  get counts(): Readonly<ObjectApiCounts> {
    return this.#counts;
  }

  callControl(call: ControlCall): PartAnswer {
    return this.#server.callControl(call);
  }

  dispose(): void {
    this.#ended.abort();
    this.#server.dispose();
  }

  #read(call: PartCall): PartAnswer {
    const refusal = this.#claimCall("read");
    if (refusal !== undefined) return refusal;
    const object = this.objects.find(parseKey(call));
    return object === undefined
      ? createAnswer(404, { reason: "no such object" })
      : createAnswer(200, object);
  }

  #list({ query }: PartCall): PartAnswer {
    return this.#claimCall("list") ??
      createAnswer(200, this.objects.list(query.get("prefix") ?? ""));
  }

  #write(call: PartCall): PartAnswer {
    const refusal = this.#claimCall("write");
    if (refusal !== undefined) return refusal;
    const condition = parseCondition(call);
    if (condition === undefined) return createMissingCondition();
    if (call.body.length > maxObjectBytes) {
      return createAnswer(413, { reason: "value exceeds one megabyte" });
    }
    return parseJsonBody(call.body).caseOf({
      Left: (error) => createAnswer(400, { reason: error.message }),
      Right: (value) =>
        this.#createWriteAnswer(
          this.objects.write(parseKey(call), value, condition),
        ),
    });
  }

  #remove(call: PartCall): PartAnswer {
    const refusal = this.#claimCall("remove");
    if (refusal !== undefined) return refusal;
    const condition = parseCondition(call);
    if (condition?.kind !== "version") return createMissingCondition();
    const outcome = this.objects.remove(parseKey(call), condition.version);
    return outcome === undefined
      ? createAnswer(404, { reason: "no such object" })
      : this.#createWriteAnswer(outcome);
  }

  async #watch({ query, response }: PartCall): Promise<PartAnswer> {
    const refusal = this.#claimCall("watch");
    if (refusal !== undefined) return refusal;
    const prefix = query.get("prefix") ?? "";
    const since = Number(query.get("since"));
    const waitMs = Math.min(Number(query.get("waitMs")), maxWatchMs);
    if (!(since >= 0 && waitMs >= 0)) {
      return createAnswer(400, { reason: "since and waitMs must be numbers" });
    }
    let outcome = this.objects.readChanges(prefix, since);
    if (
      outcome.kind === "changes" && outcome.batch.changes.length === 0 &&
      waitMs > 0
    ) {
      const gone = new AbortController();
      response.once("close", () => gone.abort());
      await this.#waitForChange(prefix, waitMs, gone.signal);
      outcome = this.objects.readChanges(prefix, since);
    }
    switch (outcome.kind) {
      case "changes":
        return createAnswer(200, outcome.batch);
      case "expired":
        return createAnswer(410, { reason: "history gone; list again" });
    }
  }

  async #waitForChange(
    prefix: string,
    waitMs: number,
    gone: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = (): void => woken.abort();
    const subscription = this.objects.onChange((change) => {
      if (findKey(change).startsWith(prefix)) wake();
    });
    this.#ended.signal.addEventListener("abort", wake);
    gone.addEventListener("abort", wake);
    await this.#clock.sleep(waitMs, woken.signal);
    this.#ended.signal.removeEventListener("abort", wake);
    subscription.dispose();
  }

  /** Counts a call; creates an answer 429 when the call rate is exceeded. */
  #claimCall(
    kind: "read" | "list" | "write" | "remove" | "watch",
  ): PartAnswer | undefined {
    this.#counts[kind] += 1;
    const isWrite = kind === "write" || kind === "remove";
    const waitMs = (isWrite ? this.#writes : this.#reads).claim();
    if (waitMs === 0) return undefined;
    this.#counts.rateLimited += 1;
    return createAnswer(429, { reason: "call rate exceeded" }, {
      "retry-after-ms": String(waitMs),
    });
  }

  #createWriteAnswer(outcome: WriteOutcome): PartAnswer {
    switch (outcome.kind) {
      case "written":
        return createAnswer(200, { version: outcome.version });
      case "conflict":
        this.#counts.conflict += 1;
        return createAnswer(409, { current: outcome.current ?? null });
    }
  }

  #resetCounts(): PartAnswer {
    this.#counts = createCounts();
    return createAnswer(200, this.#counts);
  }

  #compactHistory(): PartAnswer {
    this.objects.compactHistory();
    return createAnswer(200, { version: this.objects.version });
  }

  /** Keeps a copy of all objects for `restore`. */
  #copyObjects(): PartAnswer {
    this.#copy = this.objects.copy();
    return createAnswer(200, { version: this.objects.version });
  }

  /** Goes back to the last copy, in a new era. */
  #restoreObjects(): PartAnswer {
    if (this.#copy === undefined) {
      const reason = "no copy to restore; POST /control/copy first";
      return createAnswer(409, { reason });
    }
    this.objects.restore(this.#copy);
    return createAnswer(200, { era: this.objects.era });
  }

  /** Adds the store's era to an answer. */
  #stateEra(answer: PartAnswer): PartAnswer {
    if (answer.kind !== "json") return answer;
    const headers = { ...answer.headers, [eraHeader]: `${this.objects.era}` };
    return { ...answer, headers };
  }

  #setRates(call: ControlCall): PartAnswer {
    return handleControlCall(ratesChange, call, (rates) => {
      this.#writes.setRate(rates.writesPerSecond);
      this.#reads.setRate(rates.readsPerSecond);
      return createAnswer(200, rates);
    });
  }
}

function createCounts(): ObjectApiCounts {
  return {
    read: 0,
    list: 0,
    write: 0,
    remove: 0,
    watch: 0,
    conflict: 0,
    rateLimited: 0,
  };
}

function parseKey({ path }: PartCall): string {
  return decodeURIComponent(path.slice("/objects/".length));
}

function parseCondition(
  { request }: PartCall,
): WriteCondition | undefined {
  if (request.headers["if-none-match"] === "*") return { kind: "absent" };
  const match = /^"?(\d+)"?$/.exec(request.headers["if-match"] ?? "");
  return match === null
    ? undefined
    : { kind: "version", version: Number(match[1]) };
}

function createMissingCondition(): PartAnswer {
  return createAnswer(428, {
    reason: "send If-Match: VERSION, or If-None-Match: * for a new object",
  });
}
