/**
 * Sends announcements: directly to the members of this node's data centre, and
 * to delegates of the others, which relay them within theirs.
 *
 * A failed call is not retried to the same node: a node that misses an
 * announcement learns its content from its next exchanges.
 */

import type { Hasher } from "@almondcrank/common/hashing.ts";
import type { Metrics } from "@almondcrank/common/metrics.ts";
import type { ClusterView } from "./cluster_view.ts";
import { computeDelegateOrder, delegatesPerZone } from "./delegates.ts";
import type { Member, NodeIdentity } from "./membership.ts";
import type { Announcement } from "./messages.ts";
import type { PeerTransport } from "./peer_transport.ts";

/** Members of another data centre that are tried for each delegate. */
const attemptsPerDelegate = 3;

/** Options of an announcer. */
export interface AnnouncerOptions {
  readonly self: NodeIdentity;
  readonly hasher: Hasher;
  readonly transport: PeerTransport;
  readonly metrics: Metrics;
  readonly view: ClusterView;
}

/** An announcement without the fields that depend on the receiver. */
export type AnnouncementBody = Omit<Announcement, "relay">;

/** Sends announcements of one node. */
export class Announcer {
  readonly #options: AnnouncerOptions;

  private constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  static create(options: AnnouncerOptions): Announcer {
    return new Announcer(options);
  }

  /** Sends to every data centre; resolves when all calls have ended. */
  async announceToAll(body: AnnouncementBody): Promise<void> {
    const { self, view } = this.#options;
    const members = view.listReachable();
    if (view.isSmallSystem()) return await this.#sendToMembers(members, body);
    const zones = new Map<string, Member[]>();
    for (const member of members) {
      const { zone } = member.identity;
      if (zone === self.zone) continue;
      zones.set(zone, [...zones.get(zone) ?? [], member]);
    }
    await Promise.all([
      this.announceToZone(body),
      ...[...zones].map(([zone, others]) =>
        this.#sendToZone(zone, { members: others, body })
      ),
    ]);
  }

  /** Sends to all reachable members of this node's data centre. */
  async announceToZone(body: AnnouncementBody): Promise<void> {
    const { self, view } = this.#options;
    const members = view.listReachable()
      .filter(({ identity }) => identity.zone === self.zone);
    await this.#sendToMembers(members, body);
  }

  async #sendToMembers(
    members: readonly Member[],
    body: AnnouncementBody,
  ): Promise<void> {
    await Promise.all(
      members.map((member) =>
        this.#sendToMember(member, { ...body, relay: false })
      ),
    );
  }

  async #sendToZone(
    zone: string,
    input: {
      readonly members: readonly Member[];
      readonly body: AnnouncementBody;
    },
  ): Promise<void> {
    const byName = new Map(
      input.members.map((member) => [member.identity.node, member] as const),
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
        const body = { ...input.body, relay: true };
        if (await this.#sendToMember(member, body)) return;
      }
    };
    await Promise.all(Array.from({ length: delegatesPerZone }, run));
  }

  async #sendToMember(
    member: Member,
    announcement: Announcement,
  ): Promise<boolean> {
    const { transport, metrics } = this.#options;
    const result = await transport.announce(
      member.identity.peerAddress,
      announcement,
    );
    const outcome = result.isRight() ? "sent" : "failed";
    metrics.count("membership_announcements_total", { outcome });
    return result.isRight();
  }
}
