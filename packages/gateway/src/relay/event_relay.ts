/**
 * Forwards the events of one replica's response to the caller as they arrive.
 *
 * Only complete events are forwarded. Ids must be consecutive: a resumed stream
 * must continue with the id after its last event. Backpressure of a slow caller
 * pauses the replica, so that events do not pile up in this node's memory.
 * Comments are forwarded too, but a replica that sends nothing else is silent.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "@almondcrank/common/abort_response.ts";
import {
  findFraming,
  type ResponseFraming,
} from "@almondcrank/common/answer_framing.ts";
import type { BodyBudget } from "@almondcrank/common/body_budget.ts";
import { EventSplitter } from "./event_splitter.ts";
import { writeEvents } from "./event_writer.ts";
import type { ProgressWatch } from "./stall_detector.ts";

/**
 * Largest event that is awaited, in bytes: above any token's event. The bytes of
 * an event are kept until it is complete.
 */
const maxEventBytes = 262_144;
/** Size up to which such an event is not counted: above nearly all of them. */
const uncountedBytes = 4_096;

/** How the relay of one response ended. */
export type RelayEnd =
  /** The replica completed the stream. */
  | "complete"
  /** The response broke, was aborted, or ended before the stream was whole. */
  | "broken"
  /** Its connection ended it, and nothing shows that it was whole by then. */
  | "unproven"
  /** The next id was not the last one plus 1. */
  | "out_of_order"
  | "caller_gone";

/** How the relay of one response ended, and what had arrived by then. */
export interface RelayOutcome {
  readonly end: RelayEnd;
  readonly framing: ResponseFraming;
  /** Size of the event that had begun but was not complete, in bytes. */
  readonly unfinishedBytes: number;
  /** Whether other answers left no room for that event; the replica is sound. */
  readonly hasNoRoom: boolean;
  /** Whether the connection ended before the response, or ended it. */
  readonly hasDisconnected: boolean;
}

/** Source, destination and callbacks of one event relay. */
export interface EventRelayOptions {
  /** Response of the replica. */
  readonly response: IncomingMessage;
  readonly callerResponse: ServerResponse;
  /** Id of the last event that the caller received. */
  readonly lastId: number | undefined;
  /** Memory of the answers, and parts of answers, that the node keeps. */
  readonly answers: BodyBudget;
  /** Learns of events, and of the time in which the response is not read. */
  readonly watch: ProgressWatch;
  /** Writes the response headers unless written; called before each write. */
  readonly writeHead: () => void;
  /** Called after each group of events is forwarded, comments left out. */
  readonly onEvents: (lastId: number | undefined, eventCount: number) => void;
}

/**
 * Relays events until the response or the caller's connection ends; rejects if one
 * of the callbacks throws.
 */
export function relayEvents(
  options: EventRelayOptions,
): Promise<RelayOutcome> {
  const { response, callerResponse, watch, writeHead, onEvents } = options;
  const splitter = EventSplitter.create();
  const share = options.answers.open({ priority: 0 });
  const isResumed = options.lastId !== undefined;
  let lastId = options.lastId;
  let hasEvents = false;
  let hasNoRoom = false;
  return new Promise((resolve, reject) => {
    // Nobody catches what a listener throws, so it would end the process.
    const guard = (handle: () => void): void => {
      try {
        handle();
      } catch (thrown) {
        removeListeners();
        response.destroy();
        reject(thrown);
      }
    };
    // A regular end of the response does not show that the stream is whole.
    const isWhole = (): boolean =>
      response.complete && splitter.remainderBytes === 0 &&
      (hasEvents || isResumed || findFraming(response) !== "connection");
    const keepUnfinished = (): boolean => {
      const bytes = splitter.remainderBytes;
      return share.set(bytes > uncountedBytes ? bytes : 0);
    };
    // What a caller doesn't read may not fill the memory of the others.
    const keepUnread = (): void => {
      share.set(splitter.remainderBytes + callerResponse.writableLength);
      share.deliver(() => {
        finish("caller_gone");
        abortResponse(callerResponse);
      });
    };
    const onDrain = (): void => {
      share.complete();
      keepUnfinished();
      response.resume();
      watch.resume();
    };
    const onCallerClose = (): void => finish("caller_gone");
    const finish = (end: RelayEnd): void => {
      const unfinishedBytes = splitter.remainderBytes;
      const framing = findFraming(response);
      const hasDisconnected = !response.complete || framing === "connection";
      removeListeners();
      if (end !== "complete") response.destroy();
      resolve({
        end,
        framing,
        unfinishedBytes,
        hasNoRoom,
        hasDisconnected,
      });
    };
    const removeListeners = (): void => {
      share.release();
      callerResponse.off("drain", onDrain);
      callerResponse.off("close", onCallerClose);
      response.removeAllListeners("data");
    };
    const onData = (chunk: Buffer): void => {
      const chunkEvents = splitter.add(chunk);
      if (splitter.remainderBytes > maxEventBytes) return finish("broken");
      hasNoRoom = !keepUnfinished();
      if (hasNoRoom) return finish("broken");
      if (chunkEvents === undefined) return;
      const { firstId, hasFields, isConsecutive } = chunkEvents;
      const isNext = firstId === undefined || lastId === undefined ||
        firstId === lastId + 1;
      if (!isNext || !isConsecutive) return finish("out_of_order");
      lastId = chunkEvents.lastId ?? lastId;
      hasEvents ||= hasFields;
      writeHead();
      const isCallerReady = writeEvents(callerResponse, chunkEvents.bytes);
      if (hasFields) {
        watch.recordEvents();
        onEvents(lastId, chunkEvents.eventCount);
      }
      if (isCallerReady) return;
      keepUnread();
      response.pause();
      watch.pause();
    };
    const onEnd = (): void => {
      if (!isWhole()) return finish("broken");
      writeHead();
      finish("complete");
    };
    callerResponse.on("drain", onDrain);
    callerResponse.on("close", onCallerClose);
    response.on("data", (chunk: Buffer) => guard(() => onData(chunk)));
    response.on("end", () => guard(onEnd));
    response.on("error", () => finish("broken"));
    response.on("close", () => finish("broken"));
    // It may have broken before anyone listened.
    if (response.destroyed) finish("broken");
  });
}
