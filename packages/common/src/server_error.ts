/**
 * Error answers of the HTTP server itself, outside of handlers.
 */

/** An error answer; `run` tells whether the request may have run. */
export interface ServerError {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly run: "not_run" | "unknown";
}

/** Formats the JSON body of an error answer. */
export function formatServerError({ kind, message, run }: ServerError): object {
  return {
    error: { message, type: "almondcrank_error", code: kind, kind, run },
  };
}

/**
 * Creates the error for a request that Node's HTTP server rejected before a
 * handler ran; `code` is the code of Node's error.
 */
export function createClientError(
  code: string | undefined,
  limits: {
    readonly maxHeaderBytes: number;
    readonly requestTimeoutMs: number;
  },
): ServerError {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return {
        status: 431,
        kind: "headers_too_large",
        message:
          `headers exceed ${limits.maxHeaderBytes} bytes; send fewer or shorter ones`,
        run: "not_run",
      };
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return {
        status: 408,
        kind: "request_too_slow",
        message:
          `request did not arrive within ${limits.requestTimeoutMs} ms; send it again faster or smaller`,
        run: "not_run",
      };
    default:
      return {
        status: 400,
        kind: "malformed_http",
        message: "request is not HTTP/1.1; send a well-formed request",
        run: "not_run",
      };
  }
}

/** Creates the error for a caller who is given up before its request was read. */
export function createMemoryError(): ServerError {
  return {
    status: 503,
    kind: "memory_short",
    message:
      "requests of others leave no room for this one; send it again after the time in Retry-After, or to another node",
    run: "not_run",
  };
}

/** Creates the error for a path or method without a route. */
export function createNoSuchPathError(): ServerError {
  return {
    status: 404,
    kind: "no_such_path",
    message: "no such path or method; see the documentation for the paths",
    run: "not_run",
  };
}

/** Creates the error for a request that still ran as its node ended. */
export function createStoppedError(): ServerError {
  return {
    status: 502,
    kind: "node_stopped",
    message:
      "the node stopped before the request ended; ask whether it ran before you repeat it",
    run: "unknown",
  };
}
