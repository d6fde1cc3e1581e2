/**
 * What speaks for and against one part of prompts: the incarnations of replicas
 * that crashed under it, and the last run on it that went well.
 *
 * A part that crashes replicas does so with each run that begins on it. So a run
 * that began after a crash and went well clears the part of that crash, while one
 * that had begun well before does not. Evidence of several nodes is merged by
 * taking all crashes and the latest run, in any order and any number of times.
 */

/** Crashes that no other part explains, from which a part is quarantined. */
export const quarantineCrashes = 3;
/** Crashes kept of one part; the oldest ones are dropped. */
const maxCrashes = 64;
/** Error of times that peers tell, from the way of their datagrams. */
const toldErrorMs = 300;

/** Evidence of one part. Times are monotonic, in milliseconds. */
export class PartEvidence {
  /** Time of the crash of each incarnation. */
  readonly #crashes = new Map<string, number>();
  #survivedAt: number;
  #requestedAt = -Infinity;
  #changedAt = -Infinity;

  private constructor(survivedAt: number) {
    this.#survivedAt = survivedAt;
  }

  /** @param survivedAt Start of the last run that went well; -Infinity if none. */
  static create(survivedAt: number): PartEvidence {
    return new PartEvidence(survivedAt);
  }

  /** Crashed incarnations since the last run that went well, with their times. */
  get crashes(): ReadonlyMap<string, number> {
    return this.#crashes;
  }

  /** Start of the last run that went well; -Infinity if none. */
  get survivedAt(): number {
    return this.#survivedAt;
  }

  get hasSurvived(): boolean {
    return this.#survivedAt > -Infinity;
  }

  /** Time of the last crash that counts; -Infinity if none does. */
  get lastCrashAt(): number {
    return Math.max(-Infinity, ...this.#crashes.values());
  }

  /** Time of the crash that put it in quarantine; infinite before. */
  get decisiveCrashAt(): number {
    const counted = [...this.#crashes.values()].sort((a, b) => a - b);
    return counted[quarantineCrashes - 1] ?? Infinity;
  }

  /** Last request with the part while it was in quarantine; -Infinity if none. */
  get requestedAt(): number {
    return this.#requestedAt;
  }

  /** Time of the last news, which peers may lack. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Records a crash; one before the last run that went well does not count. */
  recordCrash(incarnation: string, at: number, now: number): void {
    if (at <= this.#survivedAt + toldErrorMs) {
      // Whoever tells of it lacks the run that went well.
      this.#changedAt = now;
      return;
    }
    const known = this.#crashes.get(incarnation);
    if (known === undefined) this.#changedAt = now;
    this.#crashes.set(incarnation, Math.min(at, known ?? Infinity));
    if (this.#crashes.size > maxCrashes) this.#dropOldest();
  }

  /** Records the start of a run that went well. */
  recordSurvival(at: number, now: number): void {
    if (at <= this.#survivedAt) return;
    this.#survivedAt = at;
    for (const [incarnation, crashedAt] of this.#crashes) {
      if (crashedAt > at + toldErrorMs) continue;
      this.#crashes.delete(incarnation);
      this.#changedAt = now;
    }
  }

  /** The same of a run that a peer told; what may be the known one is left out. */
  learnSurvival(at: number, now: number): void {
    if (at > this.#survivedAt + toldErrorMs) this.recordSurvival(at, now);
  }

  /** Records a request during the quarantine. */
  recordRequest(at: number): void {
    this.#requestedAt = Math.max(this.#requestedAt, at);
  }

  /** The same of a request that a peer told. */
  learnRequest(at: number): void {
    if (at > this.#requestedAt + toldErrorMs) this.recordRequest(at);
  }

  #dropOldest(): void {
    const [oldest] = [...this.#crashes].sort(([, a], [, b]) => a - b);
    if (oldest !== undefined) this.#crashes.delete(oldest[0]);
  }
}
