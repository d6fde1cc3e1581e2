/**
 * Members of a small system, learnt by asking the seed addresses in turn.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "@almondcrank/common/disposables.ts";
import type {
  Digest,
  Member,
  Membership,
  NodeIdentity,
} from "@almondcrank/membership/membership.ts";
import { Emitter } from "@almondcrank/common/emitter.ts";

const periodMs = 500;

/** Options of the directory. */
export interface SeedMembershipOptions {
  readonly self: NodeIdentity;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** Asks an address who it is; undefined when it does not answer. */
  readonly identify: (address: string) => Promise<Member | undefined>;
}

/** Members behind the seed addresses. */
export class SeedMembership implements Membership, Disposable {
  readonly self: NodeIdentity;
  readonly #options: SeedMembershipOptions;
  readonly #members = new Map<string, Member>();
  readonly #changes = Emitter.create<Member>();
  readonly #digests = Emitter.create<Digest>();
  readonly #lifetime = new AbortController();

  readonly onChange = this.#changes.event;
  readonly onDigest = this.#digests.event;

  private constructor(options: SeedMembershipOptions) {
    this.self = options.self;
    this.#options = options;
    for (const seed of options.seeds) void this.#follow(seed);
  }

  static create(options: SeedMembershipOptions): SeedMembership {
    return new SeedMembership(options);
  }

  list(): readonly Member[] {
    return [...this.#members.values()];
  }

  dispose(): void {
    this.#lifetime.abort();
    createDisposable(() => this.#members.clear()).dispose();
  }

  async #follow(seed: string): Promise<void> {
    const { signal } = this.#lifetime;
    while (!signal.aborted) {
      const member = await this.#options.identify(seed);
      if (member !== undefined) {
        this.#members.set(seed, member);
        this.#changes.fire(member);
      } else this.#suspect(seed);
      await this.#options.clock.sleep(periodMs, signal);
    }
  }

  #suspect(seed: string): void {
    const known = this.#members.get(seed);
    if (known === undefined) return;
    this.#members.set(seed, { ...known, state: "suspected" });
  }
}
