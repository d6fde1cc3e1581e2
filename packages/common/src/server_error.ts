/**
 * Errors that the HTTP server answers itself, before or beside a handler.
 */

/** An error that the server itself answers, before or beside a handler. */
export interface ServerError {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly run: "not_run" | "unknown";
}

/** Body of such an error. */
export function formatServerError({ kind, message, run }: ServerError): object {
  return {
    error: { message, type: "almondcrank_error", code: kind, kind, run },
  };
}

/** Error for a request that is not whole HTTP within its limits. */
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

/** Error for a path or method that no route has. */
export function createNoSuchPathError(): ServerError {
  return {
    status: 404,
    kind: "no_such_path",
    message: "no such path or method; see the documentation for the paths",
    run: "not_run",
  };
}
