/**
 * Spreads urgent news: at once to the own data centre, and to delegates of the
 * others, which pass it on to theirs.
 *
 * Whoever is missed hears the same in its next exchanges, so a failed call is
 * not repeated to the same node.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ClusterView } from "./cluster_view.ts";
import { computeDelegateOrder, delegatesPerZone } from "./delegates.ts";
import type { Member, NodeIdentity } from "./membership.ts";
import type { Announcement } from "./messages.ts";
import type { PeerTransport } from "./peer_transport.ts";

/** Members of another data centre that are tried for one delegate. */
const attemptsPerDelegate = 3;

/** Options of the announcer. */
export interface AnnouncerOptions {
  readonly self: NodeIdentity;
  readonly hasher: Hasher;
  readonly transport: PeerTransport;
  readonly metrics: Metrics;
  readonly view: ClusterView;
}

/** News without the fields that depend on the receiver. */
export type AnnouncementBody = Omit<Announcement, "relay">;

/** Sends announcements. */
export class Announcer {
  readonly #options: AnnouncerOptions;

  private constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  static create(options: AnnouncerOptions): Announcer {
    return new Announcer(options);
  }

  /** Sends news to every data centre; resolves when all calls have ended. */
  async announceToAll(news: AnnouncementBody): Promise<void> {
    const { self, view } = this.#options;
    const members = view.listReachable();
    if (view.isSmallSystem()) return await this.#sendAll(members, news);
    const zones = new Map<string, Member[]>();
    for (const member of members) {
      const { zone } = member.identity;
      if (zone === self.zone) continue;
      zones.set(zone, [...zones.get(zone) ?? [], member]);
    }
    await Promise.all([
      this.announceToZone(news),
      ...[...zones].map(([zone, others]) =>
        this.#sendZone(zone, { members: others, news })
      ),
    ]);
  }

  /** Sends news to the own data centre. */
  async announceToZone(news: AnnouncementBody): Promise<void> {
    const { self, view } = this.#options;
    const members = view.listReachable()
      .filter(({ identity }) => identity.zone === self.zone);
    await this.#sendAll(members, news);
  }

  async #sendAll(
    members: readonly Member[],
    news: AnnouncementBody,
  ): Promise<void> {
    await Promise.all(
      members.map((member) => this.#sendOne(member, { ...news, relay: false })),
    );
  }

  async #sendZone(
    zone: string,
    work: {
      readonly members: readonly Member[];
      readonly news: AnnouncementBody;
    },
  ): Promise<void> {
    const byName = new Map(
      work.members.map((member) => [member.identity.node, member] as const),
    );
    const order = computeDelegateOrder(
      this.#options.hasher,
      zone,
      [...byName.keys()],
    );
    const queue = order.slice(0, delegatesPerZone * attemptsPerDelegate);
    const run = async (): Promise<void> => {
      for (let node = queue.shift(); node; node = queue.shift()) {
        const member = byName.get(node);
        if (member === undefined) continue;
        const news = { ...work.news, relay: true };
        if (await this.#sendOne(member, news)) return;
      }
    };
    await Promise.all(Array.from({ length: delegatesPerZone }, run));
  }

  async #sendOne(member: Member, news: Announcement): Promise<boolean> {
    const { transport, metrics } = this.#options;
    const result = await transport.announce(member.identity.peerAddress, news);
    const outcome = result.isRight() ? "sent" : "failed";
    metrics.count("membership_announcements_total", { outcome });
    return result.isRight();
  }
}
