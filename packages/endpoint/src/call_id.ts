/**
 * Tells the answer of a call from one that belongs to an earlier call.
 *
 * HTTP/1.1 pairs answers with requests by their order alone. An endpoint that
 * sends a second copy of an answer, late, on a connection that is in use again
 * would answer the next call with it. Therefore each call carries an id of its
 * own, and an answer that echoes another id closes the connection. An answer
 * without an id is accepted: services that do not know the header do not echo it.
 */

import { randomUUID } from "node:crypto";
import type { Dispatcher } from "undici";
import { ForwardingHandler } from "@almondcrank/common/forwarding_handler.ts";

/** Header that a call carries and its answer echoes. */
export const callIdHeader = "x-call-id";

/** The answer on a connection belongs to another call. */
export class ForeignAnswerError extends Error {
  static create(): ForeignAnswerError {
    return new ForeignAnswerError(
      "the answer carries the id of another call; the connection is closed, repeat the call if it may run twice",
    );
  }
}

/** Creates an interceptor that adds ids to calls and checks those of answers. */
export function createCallIds(): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    const id = randomUUID();
    const given = options.headers as Readonly<Record<string, string>> | null;
    const headers = { ...given, [callIdHeader]: id };
    return dispatch({ ...options, headers }, CallIdHandler.create(handler, id));
  };
}

/** Handler of one call that refuses the answer of another one. */
class CallIdHandler extends ForwardingHandler {
  readonly #id: string;

  private constructor(handler: Dispatcher.DispatchHandler, id: string) {
    super(handler);
    this.#id = id;
  }

  static create(
    handler: Dispatcher.DispatchHandler,
    id: string,
  ): CallIdHandler {
    return new CallIdHandler(handler, id);
  }

  override onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[]>,
    statusMessage?: string,
  ): void {
    const echoed = headers[callIdHeader];
    if (echoed === undefined || echoed === this.#id) {
      super.onResponseStart(controller, statusCode, headers, statusMessage);
      return;
    }
    controller.abort(ForeignAnswerError.create());
  }
}
