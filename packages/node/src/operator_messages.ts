/**
 * JSON messages between the operators' client and a node.
 */

import { z } from "zod";

/** Body of `POST /diff`. */
export const diffRequestSchema = z.strictObject({
  /** Name of the release note's file, for messages. */
  file: z.string(),
  /** Content of the file. */
  text: z.string(),
});

/** Body of `POST /apply`. */
export const applyRequestSchema = z.strictObject({
  file: z.string(),
  text: z.string(),
  /**
   * Revision that the operator saw; by default the one in force at the node.
   */
  base: z.int().min(0).optional(),
  /**
   * Identifies the write, so that repeating the request does not apply it
   * twice.
   */
  writeId: z.string().min(8).max(128),
});

/** Body of `POST /drain`. */
export const drainRequestSchema = z.strictObject({ node: z.string() });

/** Answer of `POST /diff`. */
export interface DiffResponse {
  /** Revision that the note was compared with. */
  readonly base: number;
  /** One sentence per change. */
  readonly changes: readonly string[];
}

/** Answer of `POST /apply`. */
export interface ApplyResponse {
  /** Revision that the write created. */
  readonly revision: number;
}

/** State of a node as the answering node sees it. */
export interface NodeRow {
  readonly node: string;
  readonly zone: string;
  readonly state: "self" | "alive" | "leaving" | "suspected";
  readonly revision: number;
}

/** State of an endpoint as the answering node sees it. */
export interface EndpointRow {
  readonly endpoint: string;
  readonly service: string;
  readonly zone: string;
  readonly state: string;
  /** Requests running and queued at the endpoint; undefined until known. */
  readonly running: number | undefined;
  readonly queued: number | undefined;
}

/** A stream that has not ended. */
export interface StreamRow {
  readonly id: string;
  readonly service: string;
  /** Endpoint that generates it now. */
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
  /** Callers' requests in progress. */
  readonly requests: number;
  /** Shards of fleet control whose lease the node holds. */
  readonly shards: readonly string[];
  readonly nodes: readonly NodeRow[];
  readonly endpoints: readonly EndpointRow[];
}
