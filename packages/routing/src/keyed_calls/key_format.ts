/**
 * Text format of issued keys.
 *
 * An issued key holds the process that may run its call, the time of issue on
 * that process's monotonic clock, and a random id. An HMAC-SHA-256 authenticates
 * them and the team. Nodes share the secret, so any node can verify any key
 * without a call to another, and callers cannot forge or alter keys.
 */

import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { type KeyBinding, keyBindingSchema } from "./key_peers.ts";

const issuedPrefix = "ack1";
const randomLength = 12;
const macLength = 16;
const maxCallerKeyLength = 512;
const printablePattern = /^[\x21-\x7e]+$/;

/** A key as a caller sent it, by its format. */
export type ParsedKey =
  | { readonly kind: "issued"; readonly binding: KeyBinding }
  | { readonly kind: "caller_made"; readonly text: string }
  | { readonly kind: "malformed"; readonly reason: string };

/** Content of an issued key; `boundAtMs` is the owner's monotonic time. */
export interface KeyContent {
  readonly node: string;
  readonly incarnation: string;
  readonly boundAtMs: number;
  readonly team: string;
}

/** Formats and verifies issued keys. */
export class KeyFormat {
  readonly #secret: string;

  private constructor(secret: string) {
    this.#secret = secret;
  }

  /** @param secret HMAC secret shared by all nodes. */
  static create(secret: string): KeyFormat {
    return new KeyFormat(secret);
  }

  /** Issues a key with a new random id. */
  issue(content: KeyContent): string {
    const { node, incarnation, boundAtMs } = content;
    const id = randomBytes(randomLength).toString("base64url");
    const fields = [node, incarnation, Math.floor(boundAtMs), id];
    const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
    const mac = this.#computeMac(payload, content.team);
    return `${issuedPrefix}.${payload}.${mac.toString("base64url")}`;
  }

  /** Parses a key; an issued key of another team is `malformed`. */
  parse(text: string, team: string): ParsedKey {
    if (text.length > maxCallerKeyLength || !printablePattern.test(text)) {
      const reason =
        `a key has 1 to ${maxCallerKeyLength} printable ASCII characters without spaces`;
      return { kind: "malformed", reason };
    }
    if (!text.startsWith(`${issuedPrefix}.`)) {
      return { kind: "caller_made", text };
    }
    const [, payload = "", mac = "", rest] = text.split(".");
    if (rest !== undefined || !this.#hasMac(payload, mac, team)) {
      return {
        kind: "malformed",
        reason: "the key was not issued to the team",
      };
    }
    const binding = parsePayload(payload);
    return binding === undefined
      ? { kind: "malformed", reason: "the key's content cannot be read" }
      : { kind: "issued", binding };
  }

  #hasMac(payload: string, mac: string, team: string): boolean {
    const expected = this.#computeMac(payload, team);
    const given = Buffer.from(mac, "base64url");
    return given.length === expected.length && timingSafeEqual(given, expected);
  }

  #computeMac(payload: string, team: string): Buffer {
    const hmac = createHmac("sha256", this.#secret);
    return hmac.update(`${payload}.${team}`).digest().subarray(0, macLength);
  }
}

function parsePayload(payload: string): KeyBinding | undefined {
  try {
    const text = Buffer.from(payload, "base64url").toString();
    const [node, incarnation, boundAtMs, id] = JSON.parse(text) as unknown[];
    const binding = { node, incarnation, boundAtMs, id };
    return keyBindingSchema.safeParse(binding).data;
  } catch {
    return undefined;
  }
}
