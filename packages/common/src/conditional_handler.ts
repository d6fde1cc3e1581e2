/**
 * Withholds a request whose condition no longer holds when it is about to leave.
 *
 * A condition that was checked when a call was made says little about the moment
 * at which it leaves: the process may have been paused while a connection was
 * established, and a lease may have lapsed meanwhile.
 */

import type { Dispatcher } from "undici";

/** The condition of a request did not hold any more; nothing has left. */
export class WithheldError extends Error {
  static create(): WithheldError {
    return new WithheldError(
      "the call was no longer allowed when it was about to leave",
    );
  }
}

/** Handler of one request that asks its condition right before it is written. */
export class ConditionalHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #isAllowed: () => boolean;

  private constructor(
    handler: Dispatcher.DispatchHandler,
    isAllowed: () => boolean,
  ) {
    this.#handler = handler;
    this.#isAllowed = isAllowed;
  }

  static create(
    handler: Dispatcher.DispatchHandler,
    isAllowed: () => boolean,
  ): ConditionalHandler {
    return new ConditionalHandler(handler, isAllowed);
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    if (!this.#isAllowed()) controller.abort(WithheldError.create());
    else this.#handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[]>,
    statusMessage?: string,
  ): void {
    this.#handler.onResponseStart?.(
      controller,
      statusCode,
      headers,
      statusMessage,
    );
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[]>,
  ): void {
    this.#handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#handler.onResponseError?.(controller, error);
  }
}
