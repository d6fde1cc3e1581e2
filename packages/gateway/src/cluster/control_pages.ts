/**
 * Answers of the control listener: copies of the store's objects, origins of
 * streams, and text pages.
 */

import type { ServerResponse } from "node:http";
import { sendWhole } from "@almondcrank/common/ending_connections.ts";
import {
  type FeedKind,
  feedKinds,
  type FeedState,
} from "../feed/feed_state.ts";
import { copyPath } from "./feed_pulls.ts";
import { FeedSnapshots } from "./feed_snapshots.ts";
import { originPath } from "./origin_exchange.ts";

const busyStatus = 503;

/** Dependencies of control pages. */
export interface ControlPagesOptions {
  readonly feeds: Readonly<Record<FeedKind, FeedState>>;
  /** Answers a peer that asks for the origin of a stream. */
  readonly answerOrigin: (id: string) => string | undefined;
  /** What such a peer gets to know if the origin is not known here. */
  readonly answerUnknownOrigin: () => string;
  /** Further text pages, by path. */
  readonly pages: Readonly<Record<string, () => string>>;
}

/** Pages of one node's control listener. */
export class ControlPages {
  readonly #options: ControlPagesOptions;
  readonly #snapshots: FeedSnapshots;

  private constructor(options: ControlPagesOptions) {
    this.#options = options;
    this.#snapshots = FeedSnapshots.create(options.feeds);
  }

  static create(options: ControlPagesOptions): ControlPages {
    return new ControlPages(options);
  }

  /** Answers a request for a path; 404 if there is no such page. */
  async answer(url: string, response: ServerResponse): Promise<void> {
    const kind = feedKinds.find((kind) => url === copyPath + kind);
    if (kind !== undefined) return await this.#answerSnapshot(kind, response);
    const text = this.#composeText(url);
    if (text === undefined) {
      const isQuestion = url.startsWith(originPath);
      const body = isQuestion ? this.#options.answerUnknownOrigin() : "";
      return sendWhole(response, { status: 404, headers: {}, body });
    }
    const headers = { "Content-Type": "text/plain; charset=utf-8" };
    sendWhole(response, { status: 200, headers, body: text });
  }

  #composeText(url: string): string | undefined {
    const { answerOrigin, pages } = this.#options;
    return url.startsWith(originPath)
      ? answerOrigin(url.slice(originPath.length))
      : pages[url]?.();
  }

  async #answerSnapshot(
    kind: FeedKind,
    response: ServerResponse,
  ): Promise<void> {
    if (!this.#snapshots.takeTransfer(kind)) {
      response.writeHead(busyStatus);
      response.end();
      return;
    }
    response.once("close", () => this.#snapshots.endTransfer(kind));
    const bytes = await this.#snapshots.encode(kind);
    response.setHeader("Content-Type", "application/octet-stream");
    response.end(bytes);
  }
}
