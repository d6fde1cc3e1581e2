/**
 * Quarantine of prompt parts under which replicas crash.
 *
 * A node records the crashes and the runs that went well which it sees, and learns
 * those of its peers. Requests with a quarantined part are refused, except for single
 * probes at growing intervals, so that a part that was blocked wrongly comes free.
 */

import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import { chooseQuarantinedParts, isTellingApart } from "./quarantined_parts.ts";
import { PartEvidence, quarantineCrashes } from "./part_evidence.ts";
import { computeProbeMs } from "./probe_interval.ts";
import { isFingerprint } from "./request_fingerprint.ts";
import { SurvivalTable } from "./survival_table.ts";
import { composeToldPart, type ToldPart } from "./told_part.ts";

/** Parts with evidence that are kept; those with the fewest crashes go first. */
const maxParts = 2_048;
/** Parts that are forgotten together, so that they are rarely put in order. */
const forgottenParts = 256;
/** Time without crashes and requests after which a part is forgotten. */
const forgetMs = 600_000;
const forgetIntervalMs = 1_000;
/** Time for which news are repeated to peers, since datagrams are lost. */
const tellMs = 3_000;
const maxToldParts = 48;
const minRetryAfterMs = 1_000;
/** Time to the next request that tells a part from one beside it. */
const trialIntervalMs = 1_000;
/** Factor by which each such request of the part's prober makes that time longer. */
const trialIntervalFactor = 8;
/** Time after the third crash in which every node may tell a part from others. */
const openTrialMs = 2_000;

/** Dependencies of a quarantine. */
export interface PartQuarantineOptions {
  /** Whether this node is the one that sends the probes of a part. */
  readonly isProber: (part: string) => boolean;
}

/** Whether a request may be sent. */
export type QuarantineVerdict =
  | { readonly kind: "free" }
  /** It may be sent, to find out whether the part still crashes replicas. */
  | { readonly kind: "probe"; readonly part: string }
  | {
    readonly kind: "quarantined";
    readonly part: string;
    /** Time to the next probe, in milliseconds. */
    readonly retryAfterMs: number;
  };

/** A part that enters or leaves the quarantine. */
export interface QuarantineChange {
  readonly kind: "entered" | "left";
  readonly part: string;
  /** Incarnations that crashed under it and that count at present. */
  readonly crashes: number;
}

/** Quarantine as one node sees it. Times are monotonic, in milliseconds. */
export class PartQuarantine {
  readonly #options: PartQuarantineOptions;
  readonly #evidence = new Map<string, PartEvidence>();
  readonly #survivals = SurvivalTable.create();
  /** The same of what is single requests' own, so that it displaces no shared part. */
  readonly #ownSurvivals = SurvivalTable.create();
  #quarantined: ReadonlySet<string> = new Set();
  /** Time of the last probe that this node sent of each part. */
  readonly #probedAt = new Map<string, number>();
  /** Requests that this node has sent to tell each part from one beside it. */
  readonly #trials = new Map<string, number>();
  #forgotAt = -Infinity;
  /** Place among the news at which the next report begins. */
  #firstTold = 0;
  readonly #changed = Emitter.create<QuarantineChange>();

  private constructor(options: PartQuarantineOptions) {
    this.#options = options;
  }

  static create(options: PartQuarantineOptions): PartQuarantine {
    return new PartQuarantine(options);
  }

  /** Fired for each part that enters or leaves the quarantine. */
  readonly onChanged: Event<QuarantineChange> = this.#changed.event;

  /** Number of parts in quarantine. */
  get size(): number {
    return this.#quarantined.size;
  }

  /**
   * Decides whether to send a request. A probe that is granted counts as sent.
   *
   * @param parts Parts by which the request is known.
   */
  check(parts: readonly string[], now: number): QuarantineVerdict {
    if (!parts.some((part) => this.#isNoted(part))) return free;
    this.refresh(now);
    const blocked = parts.filter((part) => this.#quarantined.has(part));
    for (const part of blocked) this.#evidence.get(part)?.recordRequest(now);
    const waits = blocked
      .map((part) => ({ part, waitMs: this.#computeProbeAt(part) - now }))
      .sort((a, b) => b.waitMs - a.waitMs);
    const [longest] = waits;
    if (longest === undefined) return free;
    const { part, waitMs } = longest;
    const isProbe = waitMs <= 0 && this.#options.isProber(part);
    const isTrial = !isProbe && this.#isTrial(blocked, parts, now);
    if (isProbe || isTrial) {
      for (const probed of blocked) this.#recordProbe(probed, { isTrial, now });
      return { kind: "probe", part };
    }
    const retryAfterMs = Math.max(minRetryAfterMs, waitMs);
    return { kind: "quarantined", part, retryAfterMs };
  }

  /**
   * Whether a request may be repeated: no part of it is quarantined, and if it broke
   * itself, none that never went well was in a request of others that broke.
   *
   * @param brokenOn Incarnations on which the request itself broke.
   */
  mayRepeat(
    parts: readonly string[],
    brokenOn: ReadonlySet<string>,
    now: number,
  ): boolean {
    this.refresh(now);
    // A request that did not break itself says nothing new of its parts.
    const hasBroken = brokenOn.size > 0;
    return !parts.some((part) =>
      this.#quarantined.has(part) ||
      (hasBroken && this.#isSuspected(part, brokenOn))
    );
  }

  /**
   * Records that the connection to a replica broke while a run waited for its first
   * output or shortly after it.
   */
  recordCrash(
    parts: readonly string[],
    incarnation: string,
    now: number,
  ): void {
    for (const part of parts) {
      this.#find(part).recordCrash(incarnation, now, now);
    }
    this.refresh(now);
  }

  /**
   * Records a run that went well: it was whole, or it has gone on for some time.
   *
   * @param startedAt Time of its first output.
   */
  recordSurvival(
    parts: readonly string[],
    startedAt: number,
    now: number,
  ): void {
    this.#recordSurvival(this.#survivals, { parts, startedAt, now });
  }

  /** The same of parts that are a single request's own, such as its fingerprint. */
  recordOwnSurvival(
    parts: readonly string[],
    startedAt: number,
    now: number,
  ): void {
    this.#recordSurvival(this.#ownSurvivals, { parts, startedAt, now });
  }

  /**
   * Lists what is in quarantine, and in turn what peers may not know: of many parts
   * with one crash each, any may be the one that others lack.
   */
  listTold(now: number): readonly ToldPart[] {
    this.refresh(now);
    const held = [...this.#evidence]
      .filter(([part]) => this.#quarantined.has(part))
      .sort(([, a], [, b]) => compareWeight(b, a))
      .slice(0, maxToldParts);
    const news = [...this.#evidence].filter(([part, { changedAt }]) =>
      !this.#quarantined.has(part) && now - changedAt <= tellMs
    );
    const first = this.#firstTold % Math.max(1, news.length);
    const room = maxToldParts - held.length;
    this.#firstTold = first + room;
    const inTurn = [...news.slice(first), ...news.slice(0, first)];
    return [...held, ...inTurn.slice(0, room)]
      .map(([part, entry]) => composeToldPart(part, entry, now));
  }

  /** Lists all that is in quarantine. */
  listQuarantined(now: number): readonly ToldPart[] {
    this.refresh(now);
    return [...this.#quarantined].flatMap((part) => {
      const entry = this.#evidence.get(part);
      return entry === undefined ? [] : [composeToldPart(part, entry, now)];
    });
  }

  /** Applies what a peer told. */
  learn(told: readonly ToldPart[], now: number): void {
    if (told.length === 0) return;
    for (const entry of told) this.#learnPart(entry, now);
    this.refresh(now);
  }

  /** Judges all parts anew, as far as time and evidence went on. */
  refresh(now: number): void {
    this.#forgetOld(now);
    const previous = this.#quarantined;
    const quarantined = chooseQuarantinedParts(this.#evidence, now);
    this.#quarantined = quarantined;
    for (const part of quarantined) {
      if (!previous.has(part)) this.#fireChange("entered", part);
    }
    for (const part of previous) {
      if (quarantined.has(part)) continue;
      this.#probedAt.delete(part);
      this.#trials.delete(part);
      this.#fireChange("left", part);
    }
  }

  #recordSurvival(
    table: SurvivalTable,
    { parts, startedAt, now }: {
      readonly parts: readonly string[];
      readonly startedAt: number;
      readonly now: number;
    },
  ): void {
    for (const part of parts) {
      table.record(part, startedAt);
      this.#evidence.get(part)?.recordSurvival(startedAt, now);
    }
    if (parts.some((part) => this.#quarantined.has(part))) this.refresh(now);
  }

  #learnPart(
    { part, survivedAgeMs, requestedAgeMs, crashes }: ToldPart,
    now: number,
  ): void {
    const recent = crashes.filter(([, ageMs]) => ageMs <= forgetMs);
    const isKnown = this.#evidence.has(part);
    if (!isKnown && survivedAgeMs === null && recent.length === 0) return;
    const entry = this.#find(part);
    if (survivedAgeMs !== null) entry.learnSurvival(now - survivedAgeMs, now);
    for (const [incarnation, ageMs] of recent) {
      entry.recordCrash(incarnation, now - ageMs, now);
    }
    if (requestedAgeMs !== null) entry.learnRequest(now - requestedAgeMs);
  }

  /** Whether enough speaks against a part to look at all evidence. */
  #isNoted(part: string): boolean {
    const crashes = this.#evidence.get(part)?.crashes.size ?? 0;
    return crashes >= quarantineCrashes || this.#quarantined.has(part);
  }

  /**
   * Whether a request tells all its parts in quarantine from ones beside them. Every
   * node may try it just after the crashes, as most parts of a crashed replica's
   * runs are sound. Later only the node that sends a part's probes tries it, so that
   * all nodes together crash few replicas if the part is the cause.
   */
  #isTrial(
    blocked: readonly string[],
    parts: readonly string[],
    now: number,
  ): boolean {
    return blocked.every((part) =>
      this.#mayTry(part, now) && isTellingApart(part, parts, this.#evidence)
    );
  }

  #mayTry(part: string, now: number): boolean {
    const probedAt = this.#probedAt.get(part) ?? -Infinity;
    if (this.#options.isProber(part)) {
      const trials = this.#trials.get(part) ?? 0;
      const growth = trialIntervalFactor ** Math.max(0, trials - 1);
      return now - probedAt >= trialIntervalMs * growth;
    }
    // A single request is missed less than a part that many share.
    if (isFingerprint(part)) return false;
    const crashedAt = this.#evidence.get(part)?.decisiveCrashAt ?? -Infinity;
    return now - crashedAt < openTrialMs && now - probedAt >= trialIntervalMs;
  }

  #recordProbe(
    part: string,
    { isTrial, now }: { readonly isTrial: boolean; readonly now: number },
  ): void {
    this.#probedAt.set(part, now);
    if (isTrial) this.#trials.set(part, (this.#trials.get(part) ?? 0) + 1);
  }

  #isSuspected(part: string, brokenOn: ReadonlySet<string>): boolean {
    // Callers may send the same request side by side, as sound as others.
    if (isFingerprint(part)) return false;
    const entry = this.#evidence.get(part);
    return entry !== undefined && !entry.hasSurvived &&
      [...entry.crashes.keys()].some((key) => !brokenOn.has(key));
  }

  #find(part: string): PartEvidence {
    const present = this.#evidence.get(part);
    if (present !== undefined) return present;
    if (this.#evidence.size >= maxParts) this.#forgetLeast();
    const entry = PartEvidence.create(
      Math.max(this.#survivals.read(part), this.#ownSurvivals.read(part)),
    );
    this.#evidence.set(part, entry);
    return entry;
  }

  /** Time from which a probe of a part in quarantine may be sent. */
  #computeProbeAt(part: string): number {
    const entry = this.#evidence.get(part);
    if (entry === undefined) return -Infinity;
    const probedAt = this.#probedAt.get(part) ?? -Infinity;
    return Math.max(entry.lastCrashAt, probedAt) + computeProbeMs(entry);
  }

  #forgetOld(now: number): void {
    if (now - this.#forgotAt < forgetIntervalMs) return;
    this.#forgotAt = now;
    for (const [part, entry] of this.#evidence) {
      const { crashes, changedAt, lastCrashAt, requestedAt } = entry;
      const isOld = crashes.size === 0
        ? now - changedAt > tellMs
        : now - Math.max(lastCrashAt, requestedAt) > forgetMs;
      if (isOld) this.#evidence.delete(part);
    }
  }

  /** Forgets some of the parts with the fewest crashes. */
  #forgetLeast(): void {
    const least = [...this.#evidence]
      .sort(([, a], [, b]) => compareWeight(a, b))
      .slice(0, forgottenParts);
    for (const [part] of least) this.#evidence.delete(part);
  }

  #fireChange(kind: QuarantineChange["kind"], part: string): void {
    const crashes = this.#evidence.get(part)?.crashes.size ?? 0;
    this.#changed.fire({ kind, part, crashes });
  }
}

/** Fewer crashes first; of as many, those that went well, then those without news. */
function compareWeight(a: PartEvidence, b: PartEvidence): number {
  return a.crashes.size - b.crashes.size ||
    Number(b.hasSurvived) - Number(a.hasSurvived) ||
    a.changedAt - b.changedAt;
}

const free: QuarantineVerdict = { kind: "free" };
