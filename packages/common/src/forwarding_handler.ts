/**
 * Handler of one HTTP call that forwards all events to another one.
 *
 * Base of handlers that act on some events: they override these.
 */

import type { Dispatcher } from "undici";

/** Forwards the events of one call. */
export abstract class ForwardingHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;

  protected constructor(handler: Dispatcher.DispatchHandler) {
    this.#handler = handler;
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#handler.onRequestStart?.(controller, context);
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
