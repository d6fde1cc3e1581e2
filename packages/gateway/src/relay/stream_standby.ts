/**
 * Second send of a stream, for the time that its replica is silent.
 *
 * Silence does not show that a replica has failed: it may go on where it was. So
 * its run is given up only once another replica has begun to answer. Until then
 * whichever of the two goes on first serves the stream, and the other one is
 * aborted.
 */

import type { Disposable } from "@almondcrank/common/disposables.ts";
import { signatureHeader } from "@almondcrank/platform/headers.ts";
import type { SendOutcome } from "./replica_request.ts";
import {
  type ProgressWatch,
  StallDetector,
  type StallDetectorOptions,
} from "./stall_detector.ts";
import type { StreamSend } from "./stream_segment.ts";

/** Replica to watch, and callbacks of a standby. */
export interface StreamStandbyOptions
  extends Omit<StallDetectorOptions, "onStalled"> {
  /** Sends the stream to another replica; `undefined` if it may not be sent. */
  readonly openSend: () => StreamSend | undefined;
  /** Called when the other replica has begun to answer. */
  readonly onReady: () => void;
}

/** Standby of one segment. */
export class StreamStandby implements ProgressWatch, Disposable {
  readonly #options: StreamStandbyOptions;
  readonly #stallDetector: StallDetector;
  #send: StreamSend | undefined;

  private constructor(options: StreamStandbyOptions) {
    this.#options = options;
    this.#stallDetector = StallDetector.create({
      ...options,
      onStalled: () => this.#start(),
    });
  }

  static create(options: StreamStandbyOptions): StreamStandby {
    return new StreamStandby(options);
  }

  recordEvents(): void {
    this.cancel();
    this.#stallDetector.recordEvents();
  }

  pause(): void {
    this.#stallDetector.pause();
  }

  resume(): void {
    this.#stallDetector.resume();
  }

  /** Whether a send is on the way that was not handed over. */
  get isPending(): boolean {
    return this.#send !== undefined;
  }

  /** Hands over the send, if there is one. */
  take(): StreamSend | undefined {
    const send = this.#send;
    this.#send = undefined;
    return send;
  }

  /** Aborts the send, if there is one that was not handed over. */
  cancel(): void {
    const send = this.take();
    send?.aborter.abort();
    send?.pendingSend.end();
  }

  dispose(): void {
    this.#stallDetector.dispose();
    this.cancel();
  }

  /** Sends the stream to another replica unless that has been done. */
  #start(): void {
    const { clock, state, openSend } = this.#options;
    state.failures.record(true, clock.now());
    if (this.#send !== undefined) return;
    const send = openSend();
    if (send === undefined) return;
    this.#send = send;
    void this.#watch(send);
  }

  async #watch(send: StreamSend): Promise<void> {
    const outcome = await send.pendingSend.outcome;
    if (this.#send !== send) return;
    if (isStreamAnswer(outcome)) this.#options.onReady();
    else this.cancel();
  }
}

function isStreamAnswer(outcome: SendOutcome): boolean {
  switch (outcome.kind) {
    case "answered": {
      const { statusCode, headers } = outcome.response;
      return statusCode === 200 && headers[signatureHeader] !== undefined;
    }
    case "declined":
    case "not_sent":
    case "lost":
      return false;
  }
}
