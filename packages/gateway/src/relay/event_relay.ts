/**
 * Hands the events of one replica's answer on to the caller as they arrive.
 *
 * Only whole events pass, in the order of their ids: after a resumed stream's
 * last event the next id must follow. A caller that reads slowly pauses the
 * replica instead of filling this node's memory.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { EventSplitter } from "./event_splitter.ts";

/** How a pump ended. */
export type RelayEnd =
  /** The replica ended the stream properly. */
  | "complete"
  /** The replica's connection broke, or it was given up. */
  | "broken"
  /** The next event did not follow the last one. */
  | "out_of_order"
  | "caller_gone";

/** What a pump needs. */
export interface EventRelayOptions {
  readonly answer: IncomingMessage;
  readonly response: ServerResponse;
  /** Id of the last event that the caller has. */
  readonly lastId: number | undefined;
  /** Writes the response's head before its first event. */
  readonly writeHead: () => void;
  /** Told of each group of events that passed. */
  readonly onEvents: (lastId: number | undefined, events: number) => void;
}

/** Pumps until the answer or the caller's connection ends. */
export function relayEvents(options: EventRelayOptions): Promise<RelayEnd> {
  const { answer, response, writeHead, onEvents } = options;
  const splitter = EventSplitter.create();
  let lastId = options.lastId;
  return new Promise((resolve) => {
    const onDrain = (): void => void answer.resume();
    const onCallerClose = (): void => finish("caller_gone");
    const finish = (end: RelayEnd): void => {
      response.off("drain", onDrain);
      response.off("close", onCallerClose);
      answer.removeAllListeners("data");
      if (end !== "complete") answer.destroy();
      resolve(end);
    };
    response.on("drain", onDrain);
    response.on("close", onCallerClose);
    answer.on("data", (chunk: Buffer) => {
      const events = splitter.add(chunk);
      if (events === undefined) return;
      const { firstId } = events;
      const isNext = firstId === undefined || lastId === undefined ||
        firstId === lastId + 1;
      if (!isNext) return finish("out_of_order");
      lastId = events.lastId ?? lastId;
      writeHead();
      if (!response.write(events.bytes)) answer.pause();
      onEvents(lastId, events.events);
    });
    answer.on("end", () => {
      if (!answer.complete) return finish("broken");
      writeHead();
      const rest = splitter.takeRemainder();
      if (rest !== undefined) response.write(rest);
      finish("complete");
    });
    answer.on("error", () => finish("broken"));
    answer.on("close", () => finish("broken"));
  });
}
