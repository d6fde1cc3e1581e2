/**
 * Tells the answer of a call from one that belongs to an earlier call.
 *
 * HTTP/1.1 pairs answers with requests by their order alone. An endpoint that
 * sends a second copy of an answer, late, on a connection that is in use again
 * would answer the next call with it. Therefore each call carries an id of its
 * own, and an answer that echoes another id closes the connection. An answer
 * without an id is accepted from a service that does not know the header, and so
 * has echoed none before.
 */

import { randomUUID } from "node:crypto";
import type { Dispatcher } from "undici";
import { ForwardingHandler } from "@almondcrank/common/forwarding_handler.ts";

/** Smallest status of an answer that is not an interim one. */
const minFinalStatus = 200;

/** Header that a call carries and its answer echoes. */
export const callIdHeader = "x-call-id";

/** The answer on a connection belongs to another call. */
export class ForeignAnswerError extends Error {
  static create(): ForeignAnswerError {
    return new ForeignAnswerError(
      "the answer belongs to another call; the connection is closed, repeat the call if it may run twice",
    );
  }
}

/** What is known of an endpoint. */
interface EchoState {
  /** Whether its last answer echoed an id. */
  echoes: boolean;
}

/** Creates an interceptor that adds ids to calls and checks those of answers. */
export function createCallIds(): Dispatcher.DispatcherComposeInterceptor {
  const state: EchoState = { echoes: false };
  return (dispatch) => (options, handler) => {
    const id = randomUUID();
    const given = options.headers as Readonly<Record<string, string>> | null;
    const headers = { ...given, [callIdHeader]: id };
    return dispatch(
      { ...options, headers },
      CallIdHandler.create(handler, id, state),
    );
  };
}

/** Handler of one call that refuses the answer of another one. */
class CallIdHandler extends ForwardingHandler {
  readonly #id: string;
  readonly #state: EchoState;

  private constructor(
    handler: Dispatcher.DispatchHandler,
    id: string,
    state: EchoState,
  ) {
    super(handler);
    this.#id = id;
    this.#state = state;
  }

  static create(
    handler: Dispatcher.DispatchHandler,
    id: string,
    state: EchoState,
  ): CallIdHandler {
    return new CallIdHandler(handler, id, state);
  }

  override onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[]>,
    statusMessage?: string,
  ): void {
    if (statusCode < minFinalStatus || this.#isOwn(headers[callIdHeader])) {
      super.onResponseStart(controller, statusCode, headers, statusMessage);
      return;
    }
    controller.abort(ForeignAnswerError.create());
  }

  /** Whether an answer is that of this call, by the id that it echoes. */
  #isOwn(echoed: string | string[] | undefined): boolean {
    const { echoes } = this.#state;
    this.#state.echoes = echoed !== undefined;
    return echoed === undefined ? !echoes : echoed === this.#id;
  }
}
