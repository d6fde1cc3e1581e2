/**
 * Tells a few peers which version began each stream, and asks them.
 *
 * The holders of a stream follow from its id and the member list by rendezvous
 * hashing, so a node that needs a stream's origin knows whom to ask. Nodes that
 * end move the others up in that order, so a holder that is left is found. What
 * no peer knows any more may be in the store, where each node writes down what
 * began there.
 *
 * Streams are known by a short hash of their first request's id.
 */

import type { Clock } from "@almondcrank/common/clock.ts";
import { Emitter, type Event } from "@almondcrank/common/emitter.ts";
import {
  computeRendezvousOrder,
  type Hasher,
} from "@almondcrank/common/hashing.ts";
import { originKeyLength } from "../choice/origin_ring.ts";
import type {
  FoundOrigin,
  StreamOrigin,
  StreamOriginDirectory,
  StreamOrigins,
} from "../choice/stream_origins.ts";
import {
  type ControlResponse,
  sendControlCall,
} from "../relay/control_call.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type { OriginArchive } from "./origin_archive.ts";
import { encodeOrigins } from "./origin_messages.ts";
import type { VersionKnowledge } from "./version_archive.ts";

/** Peers that hold the origin of a stream beside the node that began it. */
const holderCount = 2;
/** Peers that a node asks for the origin of a stream. */
const askedCount = holderCount + 2;
/** Time that origins wait for others, so that one datagram takes several. */
const collectMs = 25;
const askTimeoutMs = 250;
/** Questions to a peer that may well know, each on a new connection. */
const maxQuestions = 4;
/** Status of the answer of a peer that does not know a stream. */
const unknownStatus = 404;
/** Path of the control listener for that question; the id in base64url follows. */
export const originPath = "/peer/origin/";

/** Dependencies of an exchange. */
export interface OriginExchangeOptions {
  /** Clock of the origins. */
  readonly clock: Clock;
  /** Clock of membership. */
  readonly membersClock: Clock;
  readonly hasher: Hasher;
  readonly origins: StreamOrigins;
  readonly members: MemberTable;
  readonly versions: Pick<
    VersionKnowledge,
    "isMixed" | "hasMixedService" | "adoptHistory"
  >;
  readonly archive: Pick<
    OriginArchive,
    "record" | "complete" | "find" | "hasRead"
  >;
  /** Port of the control listener, the same on all nodes. */
  readonly controlPort: number;
}

/** A datagram for one peer. */
export interface OriginDatagram {
  readonly ip: string;
  readonly bytes: Buffer;
}

/** Exchange of one node. */
export class OriginExchange implements StreamOriginDirectory {
  readonly #options: OriginExchangeOptions;
  readonly #send = Emitter.create<OriginDatagram>();
  #isScheduled = false;

  private constructor(options: OriginExchangeOptions) {
    this.#options = options;
  }

  static create(options: OriginExchangeOptions): OriginExchange {
    return new OriginExchange(options);
  }

  /** Fired for each datagram to send. */
  readonly onSend: Event<OriginDatagram> = this.#send.event;

  get hasReadStored(): boolean {
    return this.#options.archive.hasRead;
  }

  /** Records a stream, and tells its holders soon if versions are mixed. */
  begin(id: string, origin: StreamOrigin): void {
    const { origins, clock, versions } = this.#options;
    origins.begin(this.#computeKey(id), origin, clock.now());
    if (!versions.isMixed(origin.service) || this.#isScheduled) return;
    this.#isScheduled = true;
    void clock.sleep(collectMs).then(() => {
      this.#isScheduled = false;
      this.tellDue();
    });
  }

  complete(id: string): void {
    const key = this.#computeKey(id);
    this.#options.origins.complete(key);
    this.#options.archive.complete(key);
  }

  /** Records what a peer told. */
  apply(told: ReadonlyMap<string, StreamOrigin>): void {
    const { origins, clock } = this.#options;
    for (const [id, origin] of told) origins.learn(id, origin, clock.now());
  }

  /** Tells the holders of all streams that are due, and has them written. */
  tellDue(): void {
    const { origins, versions, archive } = this.#options;
    if (!versions.hasMixedService) return;
    const due = origins.takeDue((service) => versions.isMixed(service));
    if (due.size === 0) return;
    archive.record(due);
    const byIp = new Map<string, Map<string, StreamOrigin>>();
    const members = this.#listMembers();
    for (const [key, origin] of due) {
      for (const { ip } of this.#choosePeers(key, members, chooseHolders)) {
        const told = byIp.get(ip);
        if (told === undefined) byIp.set(ip, new Map([[key, origin]]));
        else told.set(key, origin);
      }
    }
    for (const [ip, told] of byIp) {
      for (const bytes of encodeOrigins(told)) this.#send.fire({ ip, bytes });
    }
  }

  /** Finds the origin of a stream: here, at peers, or stored. */
  async find(id: string, isLikely: boolean): Promise<FoundOrigin> {
    const { origins, clock, archive } = this.#options;
    const key = this.#computeKey(id);
    const known = origins.find(key, clock.now());
    if (known !== undefined) return { kind: "known", origin: known };
    // The peers that would know may have ended: any that answers shows that this
    // node is not out of step.
    const asked = this.#choosePeers(key, this.#listMembers(), chooseAsked);
    const questions = isLikely ? maxQuestions : 1;
    const answers = asked.map((member) => this.#ask(member, id, questions));
    const stored = isLikely ? archive.find(key).then(composeStored) : undefined;
    return await chooseAnswer(answers, stored);
  }

  /**
   * Composes the answer to a peer's question; `undefined` if not known here.
   *
   * @param encodedId Id of the stream's first request, as in the path.
   */
  composeAnswer(encodedId: string): string | undefined {
    const { origins, clock } = this.#options;
    const id = Buffer.from(encodedId, "base64url").toString();
    const origin = origins.find(this.#computeKey(id), clock.now());
    return origin === undefined ? undefined : JSON.stringify(origin);
  }

  #computeKey(id: string): string {
    return computeOriginKey(this.#options.hasher, id);
  }

  /** Asks one peer. */
  async #ask(
    member: Member,
    id: string,
    maxQuestions: number,
  ): Promise<FoundOrigin> {
    for (let questions = 0; questions < maxQuestions; questions += 1) {
      const answer = await this.#askOnce(member, id);
      switch (answer?.statusCode) {
        case 200: {
          const origin = parseOrigin(answer.text);
          if (origin !== undefined) return { kind: "known", origin };
          // It stopped half-way, and says that the peer knows the stream.
          break;
        }
        case unknownStatus:
          this.#options.versions.adoptHistory(answer.text);
          return { kind: "unknown" };
      }
    }
    return { kind: "unheard" };
  }

  #askOnce(
    { ip }: Member,
    id: string,
  ): Promise<ControlResponse | undefined> {
    return sendControlCall(
      {
        method: "GET",
        path: originPath + Buffer.from(id).toString("base64url"),
        body: "",
      },
      {
        address: `${ip}:${this.#options.controlPort}`,
        timeoutMs: askTimeoutMs,
      },
    );
  }

  #listMembers(): ReadonlyMap<string, Member> {
    const { members, membersClock } = this.#options;
    return new Map(
      members.listAlive(membersClock.now())
        .map((member) => [member.node, member]),
    );
  }

  #choosePeers(
    id: string,
    members: ReadonlyMap<string, Member>,
    choose: typeof chooseHolders,
  ): readonly Member[] {
    return choose(this.#options.hasher, id, [...members.keys()])
      .flatMap((node) => members.get(node) ?? []);
  }
}

/** Computes the short hash by which a stream is known. */
export function computeOriginKey(hasher: Hasher, id: string): string {
  const bytes = Buffer.alloc(8);
  bytes.writeBigUInt64BE(hasher.hash64(id));
  return bytes.toString("base64url").slice(0, originKeyLength);
}

function composeStored(origin: StreamOrigin | undefined): FoundOrigin {
  return origin === undefined ? { kind: "unknown" } : { kind: "known", origin };
}

async function requireKnown(
  answer: Promise<FoundOrigin>,
): Promise<FoundOrigin> {
  const found = await answer;
  if (found.kind !== "known") throw new Error("the origin is not known there");
  return found;
}

/** Waits for the first answer that names the origin, else for all peers. */
async function chooseAnswer(
  answers: readonly Promise<FoundOrigin>[],
  stored: Promise<FoundOrigin> | undefined,
): Promise<FoundOrigin> {
  const sources = stored === undefined ? answers : [...answers, stored];
  return await Promise.any(sources.map(requireKnown)).catch(async () => {
    const heard = await Promise.all(answers);
    const isUnheard = heard.length > 0 &&
      heard.every(({ kind }) => kind === "unheard");
    return { kind: isUnheard ? "unheard" : "unknown" } as const;
  });
}

/** Chooses the peers that a node tells of a stream that began there. */
export function chooseHolders(
  hasher: Hasher,
  id: string,
  peers: readonly string[],
): readonly string[] {
  return computeRendezvousOrder(hasher, id, peers).slice(0, holderCount);
}

/**
 * Chooses the peers that a node asks for a stream. The node that began it and the
 * asking one are each in only one of the two lists, so more are asked than told.
 */
export function chooseAsked(
  hasher: Hasher,
  id: string,
  peers: readonly string[],
): readonly string[] {
  return computeRendezvousOrder(hasher, id, peers).slice(0, askedCount);
}

function parseOrigin(text: string): StreamOrigin | undefined {
  try {
    const { service, version } = JSON.parse(text) as Partial<
      Record<keyof StreamOrigin, unknown>
    >;
    return typeof service === "string" && typeof version === "string"
      ? { service, version }
      : undefined;
  } catch {
    return undefined;
  }
}
