/**
 * Withholds a request whose condition no longer holds when it is about to leave.
 *
 * A condition that was checked when a call was made says little about the moment
 * at which it leaves: the process may have been paused while a connection was
 * established, and a lease may have lapsed meanwhile.
 */

import type { Dispatcher } from "undici";
import { ForwardingHandler } from "./forwarding_handler.ts";

/** The condition of a request did not hold any more; nothing has left. */
export class WithheldError extends Error {
  static create(): WithheldError {
    return new WithheldError(
      "the call was no longer allowed when it was about to leave; check the lease and call again",
    );
  }
}

/** Handler of one request that asks its condition right before it is written. */
export class ConditionalHandler extends ForwardingHandler {
  readonly #isAllowed: () => boolean;

  private constructor(
    handler: Dispatcher.DispatchHandler,
    isAllowed: () => boolean,
  ) {
    super(handler);
    this.#isAllowed = isAllowed;
  }

  static create(
    handler: Dispatcher.DispatchHandler,
    isAllowed: () => boolean,
  ): ConditionalHandler {
    return new ConditionalHandler(handler, isAllowed);
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    if (!this.#isAllowed()) controller.abort(WithheldError.create());
    else super.onRequestStart(controller, context);
  }
}
