/**
 * Messages between the operators' client and a node.
 */

import { z } from "zod";

/** Body of `POST /diff`. */
export const diffRequestSchema = z.strictObject({
  /** Name of the note's file, for messages. */
  file: z.string(),
  text: z.string(),
});

/** Body of `POST /apply`. */
export const applyRequestSchema = z.strictObject({
  file: z.string(),
  text: z.string(),
  /** Revision the operator saw; the one in force at the node when left out. */
  base: z.int().min(0).optional(),
  /** Identifies the change when it is sent again. */
  writeId: z.string().min(8).max(128),
});

/** Body of `POST /drain`. */
export const drainRequestSchema = z.strictObject({ node: z.string() });

/** Answer of `POST /diff`. */
export interface DiffResponse {
  /** Revision the note was compared with. */
  readonly base: number;
  /** One sentence a change. */
  readonly changes: readonly string[];
}

/** Answer of `POST /apply`. */
export interface ApplyResponse {
  readonly revision: number;
}

/** A node as another sees it. */
export interface NodeRow {
  readonly node: string;
  readonly zone: string;
  readonly state: "self" | "alive" | "leaving" | "suspected";
  readonly revision: number;
}

/** An endpoint as a node sees it. */
export interface EndpointRow {
  readonly endpoint: string;
  readonly service: string;
  readonly zone: string;
  readonly state: string;
  readonly running: number | undefined;
  readonly queued: number | undefined;
}

/** A stream that has not ended. */
export interface StreamRow {
  readonly id: string;
  readonly service: string;
  /** Endpoint that generates it at this moment. */
  readonly endpoint: string | undefined;
}

/** Answer of `GET /streams`. */
export interface StreamList {
  readonly streams: readonly StreamRow[];
}

/** Answer of `GET /status`. */
export interface NodeStatus {
  readonly node: string;
  readonly incarnation: string;
  readonly readiness: "ready" | "starting" | "draining";
  readonly revision: number;
  readonly requests: number;
  /** Shards of control work whose lease the node holds. */
  readonly shards: readonly string[];
  readonly nodes: readonly NodeRow[];
  readonly endpoints: readonly EndpointRow[];
}
